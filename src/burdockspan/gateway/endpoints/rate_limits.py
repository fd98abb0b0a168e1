"""Limits of the requests that endpoints take from all VMs together.

An endpoint in need names a rate in its answers. Each VM that has received such
an answer sends it requests at an equal share of that rate, without messages to
the other VMs. A share is a sequence of permits at regular intervals from a
random start, so that the permits of all VMs together arise evenly, also where
one VM has a permit every few minutes only. Unused permits expire, since those
of many VMs could otherwise be used at the same moment.
"""

from __future__ import annotations

import dataclasses
import math
import threading
from collections.abc import Collection

from burdockspan.gateway.ports import EndpointSignals
from burdockspan.gateway.values import Endpoint, Incarnation
from burdockspan.placement.sampling import RandomFloat
from burdockspan.values.clock import Clock

# The users' bound on what an endpoint receives: in any window, no more than
# the factor times its limit, and these requests in addition.
_WINDOW_S = 4.0
_BOUND_FACTOR = 1.5
_BOUND_REQUESTS = 5.0
# The VMs use at most this share of a limit, so that requests whose answers are
# late do not exceed it.
_MAX_USED_SHARE = 0.85
# Margin below the bound, in standard deviations of the requests in a window.
# It is wide because small numbers of independent requests deviate more often
# than a normal distribution says.
_MARGIN_DEVIATIONS = 6.0
# Time that a permit can be used for after it has arisen.
_PERMIT_TTL_S = 1.0
# Requests are sent to an endpoint at this rate even if it names a lower limit.
# Without requests, no VM would learn that the limit has ended.
_MIN_LIMIT_PER_S = 0.2


@dataclasses.dataclass(frozen=True)
class PermitSchedule:
    """The permits of this VM for one endpoint.

    Attributes:
      period_s: time between two permits.
      next_s: when the first unused permit arises or has arisen, in monotonic
        seconds.
    """

    period_s: float
    next_s: float


def start_schedule(
    limit_per_s: float, vm_count: int, now_s: float, random_float: RandomFloat
) -> PermitSchedule:
    """Returns the schedule of a limit that this VM has just received."""
    period_s = _compute_period_s(limit_per_s, vm_count)
    return PermitSchedule(period_s, now_s + random_float() * period_s)


def change_rate(
    schedule: PermitSchedule, limit_per_s: float, vm_count: int, now_s: float
) -> PermitSchedule:
    """Returns the schedule for another limit or number of VMs.

    The time until the next permit changes in proportion. A permit that has
    arisen stays as it is.
    """
    period_s = _compute_period_s(limit_per_s, vm_count)
    wait_s = schedule.next_s - now_s
    if wait_s > 0:
        wait_s *= period_s / schedule.period_s
    return PermitSchedule(period_s, now_s + wait_s)


def find_next_permit_s(schedule: PermitSchedule, now_s: float) -> float:
    """Returns when the first permit that has not expired arises or arose."""
    expired_s = now_s - _PERMIT_TTL_S - schedule.next_s
    expired_permits = max(0, math.ceil(expired_s / schedule.period_s))
    return schedule.next_s + expired_permits * schedule.period_s


def take_permit(
    schedule: PermitSchedule, now_s: float
) -> PermitSchedule | None:
    """Returns the schedule after the use of a permit; None if there is none."""
    permit_s = find_next_permit_s(schedule, now_s)
    if permit_s > now_s:
        return None
    return dataclasses.replace(schedule, next_s=permit_s + schedule.period_s)


def choose_used_share(limit_per_s: float, vm_count: int) -> float:
    """Returns the share of a limit that all VMs together use.

    A few VMs keep the bound whatever the starts of their permits are. The
    permits of many VMs arise independently of each other; their number in a
    window has a Poisson distribution, whose mean must leave a margin.
    """
    bound = _BOUND_FACTOR * limit_per_s * _WINDOW_S + _BOUND_REQUESTS
    permits_per_window = (
        vm_count + (_WINDOW_S + _PERMIT_TTL_S) * _MAX_USED_SHARE * limit_per_s
    )
    if permits_per_window <= bound:
        return _MAX_USED_SHARE
    # Solves `mean + margin * sqrt(mean) = bound`.
    margin = _MARGIN_DEVIATIONS
    root = (math.sqrt(margin * margin + 4.0 * bound) - margin) / 2.0
    return min(_MAX_USED_SHARE, root * root / (_WINDOW_S * limit_per_s))


def _compute_period_s(limit_per_s: float, vm_count: int) -> float:
    limit_per_s = max(_MIN_LIMIT_PER_S, limit_per_s)
    vm_count = max(1, vm_count)
    return vm_count / (choose_used_share(limit_per_s, vm_count) * limit_per_s)


class RateLimits:
    """The limits that endpoints name at present, and this VM's permits.

    Until the VMs have been counted, this VM has no permits: no share would be
    safe for a fleet of any size.
    """

    def __init__(self, clock: Clock, random_float: RandomFloat) -> None:
        self._clock = clock
        self._random_float = random_float
        self._lock = threading.Lock()
        self._vm_count: int | None = None
        self._limit_by_incarnation: dict[Incarnation, float] = {}
        self._schedule_by_incarnation: dict[Incarnation, PermitSchedule] = {}

    def observe(
        self, endpoint: Endpoint, signals: EndpointSignals
    ) -> tuple[float | None, float | None]:
        """Records the limit that an answer names.

        Returns:
          The limits before and after the answer, in requests per second; None
          for no limit.
        """
        key = endpoint.incarnation
        with self._lock:
            before = self._limit_by_incarnation.get(key)
            if signals.limit_per_s is not None:
                self._limit_by_incarnation[key] = signals.limit_per_s
                if before != signals.limit_per_s:
                    self._update_schedule(key)
            elif signals.answers_request and not signals.problems:
                self._forget(key)
            return before, self._limit_by_incarnation.get(key)

    def set_vm_count(self, vm_count: int) -> None:
        """Sets the number of VMs that share the limits."""
        with self._lock:
            if vm_count == self._vm_count:
                return
            self._vm_count = vm_count
            for key in self._limit_by_incarnation:
                self._update_schedule(key)

    def limit_per_s(self, endpoint: Endpoint) -> float | None:
        """Returns the limit that an endpoint names; None if it names none."""
        return self._limit_by_incarnation.get(endpoint.incarnation)

    def wait_s(self, endpoint: Endpoint) -> float:
        """Returns the time until this VM may send a request to an endpoint.

        It is 0 if a request may be sent now, and infinite if the VMs have not
        been counted.
        """
        with self._lock:
            if endpoint.incarnation not in self._limit_by_incarnation:
                return 0.0
            schedule = self._schedule_by_incarnation.get(endpoint.incarnation)
            if schedule is None:
                return math.inf
            now_s = self._clock()
            return max(0.0, find_next_permit_s(schedule, now_s) - now_s)

    def try_take(self, endpoint: Endpoint) -> bool:
        """Uses a permit; returns False if this VM must not send a request."""
        key = endpoint.incarnation
        with self._lock:
            if key not in self._limit_by_incarnation:
                return True
            schedule = self._schedule_by_incarnation.get(key)
            changed = schedule and take_permit(schedule, self._clock())
            if changed is None:
                return False
            self._schedule_by_incarnation[key] = changed
            return True

    def forget_departed(self, present: Collection[Incarnation]) -> None:
        """Forgets the limits of endpoints that are not present."""
        with self._lock:
            for key in list(self._limit_by_incarnation):
                if key not in present:
                    self._forget(key)

    def _update_schedule(self, key: Incarnation) -> None:
        if self._vm_count is None:
            return
        limit_per_s = self._limit_by_incarnation[key]
        schedule = self._schedule_by_incarnation.get(key)
        now_s = self._clock()
        self._schedule_by_incarnation[key] = (
            start_schedule(
                limit_per_s, self._vm_count, now_s, self._random_float
            )
            if schedule is None
            else change_rate(schedule, limit_per_s, self._vm_count, now_s)
        )

    def _forget(self, key: Incarnation) -> None:
        self._limit_by_incarnation.pop(key, None)
        self._schedule_by_incarnation.pop(key, None)


__all__ = [
    "PermitSchedule",
    "RateLimits",
    "change_rate",
    "choose_used_share",
    "find_next_permit_s",
    "start_schedule",
    "take_permit",
]
