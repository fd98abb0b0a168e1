"""Discrete-event loop with a simulated clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class EventLoop:
    """Runs functions in the order of their times.

    Functions with the same time run in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Runs `action` after `delay_s` seconds of simulated time."""
        self._sequence += 1
        heapq.heappush(
            self._events, (self.now_s + delay_s, self._sequence, action)
        )

    def run_until(self, until_s: float) -> None:
        """Runs all events that are due at `until_s` or before."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()


__all__ = ["EventLoop"]
