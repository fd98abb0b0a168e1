"""Backoff of repeated platform calls, and uncertain writes."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any, TypeVar

from result import Err, Ok, Result

from burdockspan.object_api.objects import PlatformError, VersionedObject
from burdockspan.values.clock import Clock

T = TypeVar("T")
RandomFloat = Callable[[], float]
"""Returns uniform floats from 0 to 1, from a seeded generator."""


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
    """Returns the delay after a number of failures in a row, from 1.

    A quarter of the delay is fixed, so that a draw of 0 never leads to a tight
    loop; the rest is uniform, so that many VMs spread their calls.
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
    """Repeats a read that found the platform unavailable.

    Args:
      read: one attempt; bounded in time by itself.
      clock: monotonic seconds.
      sleep: waits for seconds.
      random_float: jitter.
      limit_s: no attempt starts later than this after the first.
    """
    end_s = clock() + limit_s
    outcome = read()
    for failures in range(1, READ_ATTEMPTS):
        if outcome.err() is not PlatformError.UNAVAILABLE:
            break
        pause_s = backoff_delay_s(READ_BACKOFF, failures, random_float)
        if clock() + pause_s >= end_s:
            break
        sleep(pause_s)
        outcome = read()
    return outcome


def resolve_write(
    outcome: Result[VersionedObject, PlatformError],
    read_back: Callable[[], Result[VersionedObject, PlatformError]],
    is_ours: Callable[[Any], bool],
    base_version: int | None,
) -> Result[VersionedObject, PlatformError]:
    """Resolves an uncertain conditional write by reading back.

    Args:
      outcome: what the write returned; only UNCERTAIN is resolved.
      read_back: reads the written object.
      is_ours: whether a value is the one that was written.
      base_version: version the write was conditional on; None for a create.

    Returns:
      The object when the write was applied. CONFLICT when the object has moved
      on from `base_version`, so that the write cannot be applied any more; if
      it was applied, it has been replaced since. UNCERTAIN while the write
      could still be applied late, or when the object cannot be read.
    """
    if outcome.err() is not PlatformError.UNCERTAIN:
        return outcome
    found = read_back()
    if isinstance(found, Ok):
        if is_ours(found.ok_value.value):
            return found
        if found.ok_value.version != base_version:
            return Err(PlatformError.CONFLICT)
    elif (
        found.err_value is PlatformError.NOT_FOUND and base_version is not None
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
