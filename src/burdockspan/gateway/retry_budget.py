"""The budget of repeated arrivals that all VMs share.

Each VM spends only its own part, so that the sum keeps the bound without any
messages, also while VMs cannot reach each other.
"""

from __future__ import annotations

import collections
import threading

from burdockspan.gateway.settings import RetryBudgetSettings
from burdockspan.values.clock import Clock

# Arrivals are counted where they end, so a few in flight are not seen yet.
_SAFETY_SHARE = 0.85
# A VM that has just started does not know what its predecessor spent.
_START_SHARE = 0.5


class RetryBudget:
    """Requests and repeats of the last window, by service."""

    def __init__(
        self, bounds: RetryBudgetSettings, clock: Clock, vms: int
    ) -> None:
        self._bounds = bounds
        self._clock = clock
        self._started_s = clock()
        self._lock = threading.Lock()
        self._requests_by_service: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self._repeats_by_service: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self._vms = vms

    def set_vm_count(self, vms: int) -> None:
        """Divides the bounds between so many VMs."""
        self._vms = vms

    def record_request(self, service: str) -> None:
        """Counts a request of a caller."""
        with self._lock:
            self._requests_by_service[service].append(self._clock())

    def spend(self, service: str) -> bool:
        """Takes one repeat from the budget; False if there is none left."""
        now_s = self._clock()
        with self._lock:
            requests = self._recent(self._requests_by_service[service], now_s)
            repeats = self._recent(self._repeats_by_service[service], now_s)
            if repeats + 1 > self._allowed(requests, now_s):
                return False
            self._repeats_by_service[service].append(now_s)
            return True

    def _allowed(self, requests: int, now_s: float) -> float:
        bounds = self._bounds
        slack = bounds.slack / max(1, self._vms)
        if now_s - self._started_s < bounds.window_s:
            slack *= _START_SHARE
        return _SAFETY_SHARE * (bounds.ratio * requests + slack)

    def _recent(self, times: collections.deque[float], now_s: float) -> int:
        while times and times[0] < now_s - self._bounds.window_s:
            times.popleft()
        return len(times)


__all__ = ["RetryBudget"]
