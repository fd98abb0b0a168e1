"""Cache of engines that recently lacked free memory."""

from __future__ import annotations

import threading

from burdockspan.gateway.state import Incarnation
from burdockspan.gateway.values import Endpoint


class FullEngines:
    """Engines that recently lacked free memory, with the rejected size."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_incarnation: dict[Incarnation, tuple[float, int]] = {}

    def add(self, endpoint: Endpoint, tokens: int, until_s: float) -> None:
        """Records that an engine lacked free memory for some tokens."""
        with self._lock:
            self._by_incarnation[endpoint.incarnation] = (until_s, tokens)

    def clear(self, endpoint: Endpoint) -> None:
        """Records that an engine may have free memory again."""
        with self._lock:
            self._by_incarnation.pop(endpoint.incarnation, None)

    def is_full_for(
        self, endpoint: Endpoint, tokens: int, now_s: float
    ) -> bool:
        """Returns whether an engine recently rejected no more tokens."""
        recorded = self._by_incarnation.get(endpoint.incarnation)
        return (
            recorded is not None
            and now_s < recorded[0]
            and tokens >= recorded[1]
        )


__all__ = ["FullEngines"]
