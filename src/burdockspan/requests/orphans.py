"""Finds attempts whose memory is held for nobody."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Collection, Sequence

from burdockspan.values.ids import AttemptId


@dataclasses.dataclass(frozen=True)
class ReservedAttempt:
    """An attempt that an engine holds memory for.

    Attributes:
      attempt: its identity.
      pieces: memory held.
    """

    attempt: AttemptId
    pieces: int


def find_orphans(
    held: Sequence[ReservedAttempt],
    own_vm: str,
    own_incarnation: int,
    own_current: Collection[AttemptId],
    is_dead: Callable[[str, int], bool],
) -> tuple[AttemptId, ...]:
    """Returns the attempts to cancel at an engine.

    Args:
      held: what the engine holds, listed after `own_current` was read less
        any attempt placed in between.
      own_vm: name of this VM.
      own_incarnation: lowest incarnation that this process has used. Attempts
        of this VM under a lower one belong to a predecessor.
      own_current: attempts of this process that have not ended.
      is_dead: whether the process of a VM and incarnation is known to be dead
        or superseded. Unknown VMs are not dead.
    """
    orphans = []
    for entry in held:
        attempt = entry.attempt
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
