"""Counts and local rate limits of platform calls.

The platform accepts several hundred writes/s and about 2,000 reads/s from all
VMs together, so each VM limits its own calls. Part of each limit is reserved
for claims, because a caller's request that cannot be claimed must be refused.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import threading

from result import Err, Ok, Result

from burdockspan.values.clock import Clock

CLAIMS_KIND = "claims"
_COUNTED_SECONDS = 60


class Budget(enum.Enum):
    """The rate limit that a call counts against; a watch counts as a read."""

    READ = "read"
    WRITE = "write"


@dataclasses.dataclass(frozen=True)
class CallLimit:
    """Settings of a token bucket; each call takes one token.

    Attributes:
      calls_per_s: sustained rate of this VM.
      burst: size of the bucket.
      claims_reserve: tokens of the bucket that only claims may use.
    """

    calls_per_s: float
    burst: float
    claims_reserve: float = 0.0


@dataclasses.dataclass(frozen=True)
class TokenBucket:
    """Tokens left at a time of the monotonic clock."""

    tokens: float
    updated_s: float


@dataclasses.dataclass(frozen=True)
class CallCounts:
    """Calls made by this process.

    Attributes:
      by_operation: calls by operation, such as `get` or `watch`.
      by_outcome: calls by `ok` or the name of the error.
      limited: calls that the local rate limit prevented.
      per_second: calls in each second of the monotonic clock, oldest first,
        for the last 60 seconds with calls.
    """

    by_operation: dict[str, int]
    by_outcome: dict[str, int]
    limited: int
    per_second: tuple[tuple[int, int], ...]


DEFAULT_LIMITS = {
    Budget.READ: CallLimit(40.0, 40.0, claims_reserve=10.0),
    Budget.WRITE: CallLimit(20.0, 40.0, claims_reserve=20.0),
}


def refill(bucket: TokenBucket, limit: CallLimit, now_s: float) -> TokenBucket:
    """Returns the bucket at a later time; ignores a clock that goes back."""
    elapsed_s = max(0.0, now_s - bucket.updated_s)
    tokens = bucket.tokens + elapsed_s * limit.calls_per_s
    return TokenBucket(min(limit.burst, tokens), max(now_s, bucket.updated_s))


def spend_token(
    bucket: TokenBucket, limit: CallLimit, now_s: float, for_claim: bool
) -> Result[TokenBucket, float]:
    """Returns the bucket less one token, or the seconds to wait for one."""
    filled = refill(bucket, limit, now_s)
    needed = 1.0 if for_claim else 1.0 + limit.claims_reserve
    if filled.tokens >= needed:
        return Ok(dataclasses.replace(filled, tokens=filled.tokens - 1.0))
    if limit.calls_per_s <= 0:
        return Err(float("inf"))
    return Err((needed - filled.tokens) / limit.calls_per_s)


class CallLimiter:
    """Counts and limits the calls of all threads of a process."""

    def __init__(self, clock: Clock, limits: dict[Budget, CallLimit]) -> None:
        self._clock = clock
        self._limits = limits
        self._lock = threading.Lock()
        now_s = clock()
        self._buckets = {
            budget: TokenBucket(limit.burst, now_s)
            for budget, limit in limits.items()
        }
        self._by_operation: collections.Counter[str] = collections.Counter()
        self._by_outcome: collections.Counter[str] = collections.Counter()
        self._per_second: collections.deque[tuple[int, int]] = (
            collections.deque(maxlen=_COUNTED_SECONDS)
        )
        self._limited = 0

    def admit(self, operation: str, budget: Budget, kind: str) -> bool:
        """Takes a token and counts the call; False if the call is limited."""
        now_s = self._clock()
        with self._lock:
            outcome = spend_token(
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
        """Counts the outcome of a call: `ok` or the name of the error."""
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
    """Returns a limiter with full token buckets."""
    return CallLimiter(clock, limits or DEFAULT_LIMITS)


__all__ = [
    "CLAIMS_KIND",
    "DEFAULT_LIMITS",
    "Budget",
    "CallCounts",
    "CallLimit",
    "CallLimiter",
    "TokenBucket",
    "make_call_limiter",
    "refill",
    "spend_token",
]
