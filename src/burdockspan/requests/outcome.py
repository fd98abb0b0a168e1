"""Decides whether a failed attempt ran: the `outcome` field of a refusal."""

from __future__ import annotations

from burdockspan.values.placement import AttemptEvent, FailureKind
from burdockspan.values.refusal import Execution

_SEVERITY = {Execution.NOT_RUN: 0, Execution.UNKNOWN: 1, Execution.RAN: 2}

# The endpoint refused the call, or no byte of it was sent.
_NOT_STARTED = frozenset(
    {
        FailureKind.FULL,
        FailureKind.LEAVING,
        FailureKind.NOT_CONNECTED,
        FailureKind.REFUSED,
    }
)

# Failures that a crash of the endpoint's process may have caused.
_POSSIBLE_CRASH = frozenset({FailureKind.CONNECTION_LOST, FailureKind.CRASHED})


def combine(first: Execution, second: Execution) -> Execution:
    """Returns the execution of a call, given those of two of its attempts."""
    return max(first, second, key=lambda execution: _SEVERITY[execution])


def execution_after(
    last_event: AttemptEvent | None, kind: FailureKind
) -> Execution:
    """Returns whether a failed attempt ran.

    Args:
      last_event: last event recorded before the failure; None if there was
        none.
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

    A lost connection alone does not prove a crash, since a network partition
    breaks connections to endpoints that go on running. A crash is proved by a
    new boot identity of the endpoint.
    """
    started = last_event not in (None, AttemptEvent.RESERVED)
    return started and kind in _POSSIBLE_CRASH


__all__ = ["combine", "execution_after", "may_be_crash"]
