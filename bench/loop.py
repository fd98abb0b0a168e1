"""Discrete-event loop on a test clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Loop:
    """Runs functions in the order of their time; equal times in call order."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Runs `action` after `delay_s` seconds of test time."""
        self._count += 1
        heapq.heappush(
            self._events, (self.now_s + delay_s, self._count, action)
        )

    def run(self, until_s: float) -> None:
        """Runs all events up to `until_s`."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()


__all__ = ["Loop"]
