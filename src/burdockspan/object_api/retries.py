"""Retries of platform calls, and resolution of uncertain writes."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any, TypeVar

from result import Err, Ok, Result

from burdockspan.object_api.objects import PlatformError, VersionedObject
from burdockspan.values.clock import Clock
from burdockspan.values.randomness import RandomFloat

T = TypeVar("T")


@dataclasses.dataclass(frozen=True)
class Backoff:
    """Exponential delays with jitter, in seconds."""

    base_s: float
    ceiling_s: float


READ_BACKOFF = Backoff(0.02, 0.2)
READ_ATTEMPTS = 3


def backoff_delay_s(
    backoff: Backoff, failures: int, random_float: RandomFloat
) -> float:
    """Returns the delay after a number of consecutive failures, from 1.

    A quarter of the delay is fixed, so that a random number of 0 does not
    cause a busy loop. The rest is uniformly distributed, so that the calls of
    many VMs are spread over time.
    """
    exponent = min(max(failures - 1, 0), 32)
    full_s = min(backoff.ceiling_s, backoff.base_s * 2.0**exponent)
    return full_s * (0.25 + 0.75 * random_float())


def retry_read(
    read: Callable[[], Result[T, PlatformError]],
    clock: Clock,
    sleep: Callable[[float], None],
    random_float: RandomFloat,
    limit_s: float,
) -> Result[T, PlatformError]:
    """Repeats a read while its result is UNAVAILABLE.

    Args:
      read: makes one attempt, which has its own time limit.
      clock: monotonic seconds.
      sleep: waits for seconds.
      random_float: jitter of the delays.
      limit_s: time from the first attempt, after which no other one starts.
    """
    end_s = clock() + limit_s
    outcome = read()
    for failures in range(1, READ_ATTEMPTS):
        if outcome.err() is not PlatformError.UNAVAILABLE:
            break
        delay_s = backoff_delay_s(READ_BACKOFF, failures, random_float)
        if clock() + delay_s >= end_s:
            break
        sleep(delay_s)
        outcome = read()
    return outcome


def resolve_write(
    outcome: Result[VersionedObject, PlatformError],
    read_object: Callable[[], Result[VersionedObject, PlatformError]],
    is_written_value: Callable[[Any], bool],
    base_version: int | None,
) -> Result[VersionedObject, PlatformError]:
    """Resolves an uncertain conditional write by reading the object.

    Args:
      outcome: result of the write; only UNCERTAIN is resolved.
      read_object: reads the written object.
      is_written_value: tells whether a value is the one that was written.
      base_version: version that the write was conditional on; None if the
        write was to create the object.

    Returns:
      The object if the write was applied. CONFLICT if the object no longer has
      `base_version`: the write can no longer be applied, or it was applied and
      then replaced. UNCERTAIN if the write could still be applied late, or if
      the object cannot be read.
    """
    if outcome.err() is not PlatformError.UNCERTAIN:
        return outcome
    stored = read_object()
    if isinstance(stored, Ok):
        if is_written_value(stored.ok_value.value):
            return stored
        if stored.ok_value.version != base_version:
            return Err(PlatformError.CONFLICT)
    elif (
        stored.err_value is PlatformError.NOT_FOUND and base_version is not None
    ):
        return Err(PlatformError.CONFLICT)
    return Err(PlatformError.UNCERTAIN)


__all__ = [
    "READ_ATTEMPTS",
    "READ_BACKOFF",
    "Backoff",
    "RandomFloat",
    "backoff_delay_s",
    "resolve_write",
    "retry_read",
]
