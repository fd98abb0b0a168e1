"""The retry budget: a limit of repeated calls to endpoints, over all VMs.

Each VM spends only its own share. The sum of the shares keeps the limit of the
deployment without messages between VMs, also during network partitions.
"""

from __future__ import annotations

import collections
import dataclasses
import threading

from burdockspan.gateway.settings import RetryBudgetSettings
from burdockspan.values.clock import Clock

# A VM spends only this share of its budget. The limit of the deployment counts
# calls when they arrive at endpoints, so that a few in flight are not counted
# yet.
_SAFETY_SHARE = 0.85
# Share of the slack that is allowed during the first window. A process does not
# know how much of the budget its predecessor on the same VM has spent.
_START_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class SpentRetry:
    """A retry that was paid from the budget.

    Attributes:
      spent_s: when it was paid, in monotonic seconds.
    """

    spent_s: float


class RetryBudget:
    """This VM's share of the retry budget, by service."""

    def __init__(
        self,
        settings: RetryBudgetSettings,
        clock: Clock,
        vm_count: int | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._started_s = clock()
        self._lock = threading.Lock()
        self._requests_by_service: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self._retries_by_service: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self._vm_count = vm_count

    def set_settings(self, settings: RetryBudgetSettings) -> None:
        """Replaces the limit; retries that have been spent stay counted."""
        self._settings = settings

    def set_vm_count(self, vm_count: int) -> None:
        """Sets the number of VMs that share the budget."""
        self._vm_count = vm_count

    def record_request(self, service: str) -> None:
        """Counts a caller's request, which adds to the budget."""
        with self._lock:
            self._requests_by_service[service].append(self._clock())

    def withdraw_request(self, service: str) -> None:
        """Takes back the latest count of a request that another VM counts."""
        with self._lock:
            requests = self._requests_by_service[service]
            if requests:
                requests.pop()

    def try_spend(self, service: str) -> SpentRetry | None:
        """Spends one retry of the budget; returns None if none is left."""
        now_s = self._clock()
        with self._lock:
            requests = self._count_recent(
                self._requests_by_service[service], now_s
            )
            retries = self._count_recent(
                self._retries_by_service[service], now_s
            )
            if retries + 1 > self._count_allowed(requests, now_s):
                return None
            self._retries_by_service[service].append(now_s)
            return SpentRetry(now_s)

    def refund(self, service: str, retry: SpentRetry) -> None:
        """Returns a retry that was spent and then not made.

        Nothing else is returned if its window has passed.
        """
        with self._lock:
            retries = self._retries_by_service[service]
            if retry.spent_s in retries:
                retries.remove(retry.spent_s)

    def _count_allowed(self, requests: int, now_s: float) -> float:
        settings = self._settings
        slack = self._slack_share()
        if now_s - self._started_s < settings.window_s:
            slack *= _START_SHARE
        return _SAFETY_SHARE * (settings.ratio * requests + slack)

    def _slack_share(self) -> float:
        """Returns this VM's share of the slack; 0 until the VMs are counted.

        No assumed number of VMs would be safe: after a restart of all VMs
        during an outage of the store, the shares of a larger fleet would add
        up to more than the slack.
        """
        if self._vm_count is None:
            return 0.0
        return self._settings.slack / max(1, self._vm_count)

    def _count_recent(
        self, times: collections.deque[float], now_s: float
    ) -> int:
        while times and times[0] < now_s - self._settings.window_s:
            times.popleft()
        return len(times)


__all__ = ["RetryBudget", "SpentRetry"]
