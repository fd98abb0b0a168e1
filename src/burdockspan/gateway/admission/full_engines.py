"""Cache of engines that recently lacked free memory."""

from __future__ import annotations

import threading

from burdockspan.gateway.state import Incarnation
from burdockspan.gateway.values import Endpoint


class FullEngines:
    """Engines that recently rejected a reservation."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # When the engine is no longer assumed full, in monotonic seconds, and
        # the size of the rejected reservation in tokens.
        self._by_incarnation: dict[Incarnation, tuple[float, int]] = {}

    def add(self, endpoint: Endpoint, tokens: int, until_s: float) -> None:
        """Records that an engine rejected a reservation of some tokens."""
        with self._lock:
            self._by_incarnation[endpoint.incarnation] = (until_s, tokens)

    def clear(self, endpoint: Endpoint) -> None:
        """Records that an engine may have free memory again."""
        with self._lock:
            self._by_incarnation.pop(endpoint.incarnation, None)

    def is_full_for(
        self, endpoint: Endpoint, tokens: int, now_s: float
    ) -> bool:
        """Returns whether an engine would probably reject a reservation.

        This holds if the engine recently rejected one of at most this size.
        """
        recorded = self._by_incarnation.get(endpoint.incarnation)
        return (
            recorded is not None
            and now_s < recorded[0]
            and tokens >= recorded[1]
        )


__all__ = ["FullEngines"]
