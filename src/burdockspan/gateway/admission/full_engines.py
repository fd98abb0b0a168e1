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
        return self.remaining_s(endpoint, tokens, now_s) > 0.0

    def remaining_s(
        self, endpoint: Endpoint, tokens: int, now_s: float
    ) -> float:
        """Returns for how long `is_full_for` holds yet; 0 if it does not."""
        recorded = self._by_incarnation.get(endpoint.incarnation)
        if recorded is None or tokens < recorded[1]:
            return 0.0
        return max(0.0, recorded[0] - now_s)


__all__ = ["FullEngines"]
