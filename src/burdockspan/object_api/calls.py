"""Accounting and local rate bounds of platform calls.

The platform accepts several hundred writes/s and about 2,000 reads/s from all
VMs together, so each VM bounds its own calls. Part of each bound is kept for
claims, because a call that cannot be claimed must be refused.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import threading

from result import Err, Ok, Result

from burdockspan.values.clock import Clock

CLAIMS_KIND = "claims"
_KEPT_SECONDS = 60


class Budget(enum.Enum):
    """Which bound a call counts against; a watch counts as one read."""

    READ = "read"
    WRITE = "write"


@dataclasses.dataclass(frozen=True)
class CallLimit:
    """A token bucket's settings.

    Attributes:
      calls_per_s: sustained rate of this VM.
      burst: calls that may be made at once.
      claims_reserve: calls of the burst that only claims may use.
    """

    calls_per_s: float
    burst: float
    claims_reserve: float = 0.0


@dataclasses.dataclass(frozen=True)
class Bucket:
    """Calls left at a moment of the monotonic clock."""

    calls: float
    at_s: float


@dataclasses.dataclass(frozen=True)
class CallCounts:
    """Calls made by this process.

    Attributes:
      by_operation: calls by operation, such as `get` or `watch`.
      by_outcome: calls by `ok` or the name of the error.
      limited: calls that the local bound kept back.
      per_second: calls of the last 60 s by whole second of the monotonic
        clock, the oldest first.
    """

    by_operation: dict[str, int]
    by_outcome: dict[str, int]
    limited: int
    per_second: tuple[tuple[int, int], ...]


DEFAULT_LIMITS = {
    Budget.READ: CallLimit(40.0, 40.0, claims_reserve=10.0),
    Budget.WRITE: CallLimit(20.0, 40.0, claims_reserve=20.0),
}


def refill(bucket: Bucket, limit: CallLimit, now_s: float) -> Bucket:
    """Returns the bucket at a later moment; time never runs backwards."""
    elapsed_s = max(0.0, now_s - bucket.at_s)
    calls = bucket.calls + elapsed_s * limit.calls_per_s
    return Bucket(min(limit.burst, calls), max(now_s, bucket.at_s))


def spend(
    bucket: Bucket, limit: CallLimit, now_s: float, for_claim: bool
) -> Result[Bucket, float]:
    """Takes one call, or returns the seconds until one is allowed."""
    filled = refill(bucket, limit, now_s)
    needed = 1.0 if for_claim else 1.0 + limit.claims_reserve
    if filled.calls >= needed:
        return Ok(dataclasses.replace(filled, calls=filled.calls - 1.0))
    if limit.calls_per_s <= 0:
        return Err(float("inf"))
    return Err((needed - filled.calls) / limit.calls_per_s)


class CallLimiter:
    """Counts and bounds the calls of one process, for all its threads."""

    def __init__(self, clock: Clock, limits: dict[Budget, CallLimit]) -> None:
        self._clock = clock
        self._limits = limits
        self._lock = threading.Lock()
        now_s = clock()
        self._buckets = {
            budget: Bucket(limit.burst, now_s)
            for budget, limit in limits.items()
        }
        self._by_operation: collections.Counter[str] = collections.Counter()
        self._by_outcome: collections.Counter[str] = collections.Counter()
        self._per_second: collections.deque[tuple[int, int]] = (
            collections.deque(maxlen=_KEPT_SECONDS)
        )
        self._limited = 0

    def admit(self, operation: str, budget: Budget, kind: str) -> bool:
        """Counts a call that may be sent; False when the bound is reached."""
        now_s = self._clock()
        with self._lock:
            outcome = spend(
                self._buckets[budget],
                self._limits[budget],
                now_s,
                kind == CLAIMS_KIND,
            )
            if outcome.is_err():
                self._limited += 1
                return False
            self._buckets[budget] = outcome.unwrap()
            self._by_operation[operation] += 1
            self._count_second(int(now_s))
            return True

    def record(self, outcome: str) -> None:
        """Counts how a call ended."""
        with self._lock:
            self._by_outcome[outcome] += 1

    def counts(self) -> CallCounts:
        """Returns the counts so far."""
        with self._lock:
            return CallCounts(
                dict(self._by_operation),
                dict(self._by_outcome),
                self._limited,
                tuple(self._per_second),
            )

    def _count_second(self, second: int) -> None:
        if self._per_second and self._per_second[-1][0] == second:
            count = self._per_second[-1][1]
            self._per_second[-1] = (second, count + 1)
        else:
            self._per_second.append((second, 1))


def make_call_limiter(
    clock: Clock, limits: dict[Budget, CallLimit] | None = None
) -> CallLimiter:
    """Returns an account with full buckets."""
    return CallLimiter(clock, limits or DEFAULT_LIMITS)


__all__ = [
    "CLAIMS_KIND",
    "DEFAULT_LIMITS",
    "Bucket",
    "Budget",
    "CallCounts",
    "CallLimit",
    "CallLimiter",
    "make_call_limiter",
    "refill",
    "spend",
]
