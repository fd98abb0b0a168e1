"""States of a request and the pure transitions between them."""

from __future__ import annotations

import dataclasses
import enum

from result import Err, Ok, Result

from burdockspan.requests import outcome
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import (
    AttemptEvent,
    Failure,
    FailureKind,
    Placement,
)
from burdockspan.values.refusal import Execution, Refusal
from burdockspan.values.submission import CallKind, Submission


class State(enum.Enum):
    """State of a request in the node that accepted it."""

    QUEUED = "queued"
    RESERVING = "reserving"
    PREFILLING = "prefilling"
    TRANSFERRING = "transferring"
    DECODING = "decoding"
    DISPATCHING = "dispatching"
    RELAYING = "relaying"
    DONE = "done"
    REFUSED = "refused"
    CANCELLED = "cancelled"


TERMINAL_STATES = frozenset({State.DONE, State.REFUSED, State.CANCELLED})

# The state in which each event may arrive, and the state that follows.
_PROGRESS: dict[AttemptEvent, tuple[frozenset[State], State]] = {
    AttemptEvent.RESERVED: (frozenset({State.RESERVING}), State.RESERVING),
    AttemptEvent.PREFILL_SENT: (frozenset({State.RESERVING}), State.PREFILLING),
    AttemptEvent.PREFILLED: (frozenset({State.PREFILLING}), State.TRANSFERRING),
    AttemptEvent.TRANSFERRED: (frozenset({State.TRANSFERRING}), State.DECODING),
    AttemptEvent.DECODE_SENT: (frozenset({State.DECODING}), State.DECODING),
    AttemptEvent.DISPATCHED: (
        frozenset({State.DISPATCHING}),
        State.DISPATCHING,
    ),
    AttemptEvent.FIRST_BYTE: (
        frozenset({State.DECODING, State.DISPATCHING}),
        State.RELAYING,
    ),
}

# Events after which bytes leave for an endpoint. They are refused once the
# deadline has passed, so that a process that was paused does not start late.
_STARTING = frozenset(
    {
        AttemptEvent.PREFILL_SENT,
        AttemptEvent.DECODE_SENT,
        AttemptEvent.DISPATCHED,
    }
)


class InvalidTransition(enum.Enum):
    """Why a change was not applied."""

    ENDED = "the request has ended"
    NOT_CURRENT = "the attempt is not the current one"
    OUT_OF_ORDER = "the event does not follow from the state"
    DEADLINE = "the deadline has passed"


@dataclasses.dataclass(frozen=True)
class RequestRow:
    """One request in the table of the node that accepted it.

    Attributes:
      submission: the call.
      state: its state.
      attempt: identity of the current attempt; None while queued.
      placement: endpoints of the current attempt; None while queued.
      attempts: attempts started so far.
      reached: last event of the current attempt.
      reached_s: when it was recorded, monotonic seconds.
      execution: what is true of the attempts that have failed so far.
      refusal: the refusal, once refused.
      status: HTTP status of the answer, once ended.
      excluded: endpoints that failed an attempt of this request.
    """

    submission: Submission
    state: State = State.QUEUED
    attempt: AttemptId | None = None
    placement: Placement | None = None
    attempts: int = 0
    reached: AttemptEvent | None = None
    reached_s: float = 0.0
    execution: Execution = Execution.NOT_RUN
    refusal: Refusal | None = None
    status: int | None = None
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Release:
    """Memory to free: an attempt's, at an endpoint.

    Attributes:
      attempt: the attempt.
      endpoint: name of the engine.
    """

    attempt: AttemptId
    endpoint: str


@dataclasses.dataclass(frozen=True)
class Transition:
    """Result of a transition.

    Attributes:
      row: the new row.
      releases: memory that must now be freed.
      aborted: attempt whose open connection must be closed.
    """

    row: RequestRow
    releases: tuple[Release, ...] = ()
    aborted: AttemptId | None = None


def start_attempt(
    row: RequestRow, placement: Placement
) -> Result[Transition, InvalidTransition]:
    """Starts a new attempt of a queued request."""
    if row.state in TERMINAL_STATES:
        return Err(InvalidTransition.ENDED)
    if row.state is not State.QUEUED:
        return Err(InvalidTransition.OUT_OF_ORDER)
    kind = row.submission.kind
    start = (
        State.RESERVING if kind is CallKind.COMPLETION else State.DISPATCHING
    )
    placed = dataclasses.replace(
        row,
        state=start,
        attempt=placement.attempt,
        placement=placement,
        attempts=row.attempts + 1,
        reached=None,
    )
    return Ok(Transition(placed))


def record_event(
    row: RequestRow, attempt: AttemptId, event: AttemptEvent, now_s: float
) -> Result[Transition, InvalidTransition]:
    """Records an event of an attempt.

    Args:
      row: the request.
      attempt: identity that the event carries.
      event: what is about to happen or has happened.
      now_s: monotonic time.
    """
    problem = _check_current(row, attempt)
    if problem is not None:
        return Err(problem)
    allowed, following = _PROGRESS[event]
    if row.state not in allowed:
        return Err(InvalidTransition.OUT_OF_ORDER)
    if event in _STARTING and now_s >= row.submission.deadline_s:
        return Err(InvalidTransition.DEADLINE)
    reached = dataclasses.replace(
        row, state=following, reached=event, reached_s=now_s
    )
    return Ok(Transition(reached))


def fail_attempt(
    row: RequestRow, attempt: AttemptId, failure: Failure
) -> Result[Transition, InvalidTransition]:
    """Ends the current attempt and puts the request back into the queue.

    Whether the request may be tried again is for the caller to decide; it
    refuses the queued request if not.
    """
    problem = _check_current(row, attempt)
    if problem is not None:
        return Err(problem)
    ran = outcome.execution_after(row.reached, failure.kind)
    failed = dataclasses.replace(
        row,
        state=State.QUEUED,
        attempt=None,
        placement=None,
        execution=outcome.combine(row.execution, ran),
        excluded=row.excluded | {failure.endpoint},
    )
    return Ok(Transition(failed, releases=_releases_of(row)))


def refuse(
    row: RequestRow, refusal: Refusal
) -> Result[Transition, InvalidTransition]:
    """Ends a request with a refusal, which gets the truthful execution.

    Bytes of a running attempt may still be under way, so its progress counts
    as if the connection had been lost now.
    """
    if row.state in TERMINAL_STATES:
        return Err(InvalidTransition.ENDED)
    truthful = dataclasses.replace(refusal, execution=_execution_now(row))
    refused = dataclasses.replace(
        row,
        state=State.REFUSED,
        execution=truthful.execution,
        refusal=truthful,
        status=refusal.status,
    )
    return Ok(Transition(refused, _releases_of(row), row.attempt))


def cancel(row: RequestRow) -> Result[Transition, InvalidTransition]:
    """Ends a request whose caller is gone."""
    if row.state in TERMINAL_STATES:
        return Err(InvalidTransition.ENDED)
    cancelled = dataclasses.replace(
        row, state=State.CANCELLED, execution=_execution_now(row)
    )
    return Ok(Transition(cancelled, _releases_of(row), row.attempt))


def finish(
    row: RequestRow, execution: Execution, status: int
) -> Result[Transition, InvalidTransition]:
    """Ends a request as the HTTP layer answered it.

    A whole answer leaves only the decode engine's memory to free, since the
    prefill engine drops a KV cache at the end of its lifetime.
    """
    if row.state in TERMINAL_STATES:
        return Err(InvalidTransition.ENDED)
    whole = execution is Execution.RAN and row.state is State.RELAYING
    ended = dataclasses.replace(
        row,
        state=State.DONE if whole else State.REFUSED,
        execution=execution,
        status=status,
    )
    releases = _releases_of(row)
    if whole and status < 400:
        releases = releases[:1]
    return Ok(Transition(ended, releases))


def may_retry(row: RequestRow, failure: Failure, attempts_limit: int) -> bool:
    """Returns whether a request whose attempt just failed may run again.

    Args:
      row: the row before `fail`.
      failure: how the attempt failed.
      attempts_limit: most attempts of one request; refusals by a full or
        leaving endpoint do not count, since nothing was started.
    """
    if row.reached is AttemptEvent.FIRST_BYTE:
        return False
    ran = outcome.execution_after(row.reached, failure.kind)
    if not row.submission.idempotent and ran is not Execution.NOT_RUN:
        return False
    if is_refused_before_start(row, failure):
        return True
    return row.attempts < attempts_limit


def is_refused_before_start(row: RequestRow, failure: Failure) -> bool:
    """Returns whether the endpoint only said that it has no room."""
    missed = failure.kind in (FailureKind.FULL, FailureKind.LEAVING)
    ran = outcome.execution_after(row.reached, failure.kind)
    return missed and ran is Execution.NOT_RUN


def _check_current(
    row: RequestRow, attempt: AttemptId
) -> InvalidTransition | None:
    if row.state in TERMINAL_STATES:
        return InvalidTransition.ENDED
    if row.attempt != attempt:
        return InvalidTransition.NOT_CURRENT
    return None


def _execution_now(row: RequestRow) -> Execution:
    if row.attempt is None:
        return row.execution
    lost = outcome.execution_after(row.reached, FailureKind.CONNECTION_LOST)
    return outcome.combine(row.execution, lost)


def _releases_of(row: RequestRow) -> tuple[Release, ...]:
    placement = row.placement
    if placement is None:
        return ()
    engines = (placement.decode, placement.prefill)
    return tuple(
        Release(placement.attempt, engine.name)
        for engine in engines
        if engine is not None
    )


__all__ = [
    "TERMINAL_STATES",
    "InvalidTransition",
    "Release",
    "RequestRow",
    "State",
    "Transition",
    "cancel",
    "fail_attempt",
    "finish",
    "is_refused_before_start",
    "may_retry",
    "start_attempt",
    "record_event",
    "refuse",
]
