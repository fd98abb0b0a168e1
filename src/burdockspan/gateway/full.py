"""Engines that lately had no room."""

from __future__ import annotations

import threading

from burdockspan.gateway.tables import Incarnation
from burdockspan.gateway.values import Replica


class FullMarks:
    """Engines that lately had no room, with the size that did not fit."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_incarnation: dict[Incarnation, tuple[float, int]] = {}

    def add(self, replica: Replica, tokens: int, until_s: float) -> None:
        """Notes that an engine had no room for some tokens."""
        with self._lock:
            self._by_incarnation[replica.incarnation] = (until_s, tokens)

    def clear(self, replica: Replica) -> None:
        """Notes that an engine may have room again."""
        with self._lock:
            self._by_incarnation.pop(replica.incarnation, None)

    def covers(self, replica: Replica, tokens: int, now_s: float) -> bool:
        """Returns whether an engine is known to have no such room."""
        mark = self._by_incarnation.get(replica.incarnation)
        return mark is not None and now_s < mark[0] and tokens >= mark[1]


__all__ = ["FullMarks"]
