"""Whether an attempt that failed ran: the `outcome` word of a refusal."""

from __future__ import annotations

from burdockspan.values.placement import AttemptEvent, FailureKind
from burdockspan.values.refusal import Execution

_SEVERITY = {Execution.NOT_RUN: 0, Execution.UNKNOWN: 1, Execution.RAN: 2}

# The endpoint said that it did not start, or no byte reached it.
_NOT_STARTED = frozenset(
    {
        FailureKind.FULL,
        FailureKind.LEAVING,
        FailureKind.NOT_CONNECTED,
        FailureKind.REFUSED,
    }
)

# Failures in which the process of the endpoint may have died.
_SUSPECTED_CRASH = frozenset({FailureKind.CONNECTION_LOST, FailureKind.CRASHED})


def combine(first: Execution, second: Execution) -> Execution:
    """Returns what is true of a call of which both are true of an attempt."""
    return max(first, second, key=lambda execution: _SEVERITY[execution])


def execution_after(
    last_event: AttemptEvent | None, kind: FailureKind
) -> Execution:
    """Returns whether an attempt ran that failed after it reached an event.

    Args:
      last_event: the last event recorded before the failure, None before any.
      kind: how the attempt failed.
    """
    if last_event in (None, AttemptEvent.RESERVED):
        return Execution.NOT_RUN
    if last_event in (AttemptEvent.PREFILL_SENT, AttemptEvent.DISPATCHED):
        if kind in _NOT_STARTED:
            return Execution.NOT_RUN
        return Execution.UNKNOWN
    return Execution.RAN


def may_be_crash(last_event: AttemptEvent | None, kind: FailureKind) -> bool:
    """Returns whether the call may have crashed its endpoint.

    A lost connection alone is no crash, since a partition breaks connections
    to endpoints that go on running; it takes a new boot identity as well.
    """
    started = last_event not in (None, AttemptEvent.RESERVED)
    return started and kind in _SUSPECTED_CRASH


__all__ = ["combine", "execution_after", "may_be_crash"]
