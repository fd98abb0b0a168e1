"""Engines that lately had no room."""

from __future__ import annotations

import threading

from burdockspan.gateway.state import Incarnation
from burdockspan.gateway.values import Endpoint


class FullEngines:
    """Engines that lately had no room, with the size that did not fit."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_incarnation: dict[Incarnation, tuple[float, int]] = {}

    def add(self, endpoint: Endpoint, tokens: int, until_s: float) -> None:
        """Notes that an engine had no room for some tokens."""
        with self._lock:
            self._by_incarnation[endpoint.incarnation] = (until_s, tokens)

    def clear(self, endpoint: Endpoint) -> None:
        """Notes that an engine may have room again."""
        with self._lock:
            self._by_incarnation.pop(endpoint.incarnation, None)

    def is_full_for(
        self, endpoint: Endpoint, tokens: int, now_s: float
    ) -> bool:
        """Returns whether an engine is known to have no such room."""
        mark = self._by_incarnation.get(endpoint.incarnation)
        return mark is not None and now_s < mark[0] and tokens >= mark[1]


__all__ = ["FullEngines"]
