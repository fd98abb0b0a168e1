"""Finds reservations of attempts that no process drives any more."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Collection, Sequence

from burdockspan.values.ids import AttemptId


@dataclasses.dataclass(frozen=True)
class ReservedAttempt:
    """An attempt that has memory reserved at an engine.

    Attributes:
      attempt: identity of the attempt.
      pieces: reserved pieces.
    """

    attempt: AttemptId
    pieces: int


def find_orphans(
    reserved: Sequence[ReservedAttempt],
    own_vm: str,
    own_incarnation: int,
    own_current: Collection[AttemptId],
    is_dead: Callable[[str, int], bool],
) -> tuple[AttemptId, ...]:
    """Returns the attempts to cancel at an engine.

    Args:
      reserved: reservations of the engine, without those of attempts that were
        placed after `own_current` was read.
      own_vm: name of this VM.
      own_incarnation: lowest incarnation that this process has used. Attempts
        of this VM with a lower one belong to an earlier process.
      own_current: attempts of this process that have not ended.
      is_dead: whether the process with a given VM name and incarnation is
        known to be dead or superseded; False for unknown VMs.
    """
    orphans = []
    for reservation in reserved:
        attempt = reservation.attempt
        if attempt.vm != own_vm:
            orphaned = is_dead(attempt.vm, attempt.incarnation)
        elif attempt.incarnation < own_incarnation:
            orphaned = True
        else:
            orphaned = attempt not in own_current
        if orphaned:
            orphans.append(attempt)
    return tuple(orphans)


__all__ = ["ReservedAttempt", "find_orphans"]
