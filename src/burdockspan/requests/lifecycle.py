"""State machine of a request, as pure functions."""

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
    """State of a request at the node that accepted it."""

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

# For each event, the states in which it may occur and the state that follows.
_TRANSITIONS: dict[AttemptEvent, tuple[frozenset[State], State]] = {
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

# Events that precede sending a request to an endpoint. They are rejected after
# the deadline, so that a process that was paused starts no work late.
_START_EVENTS = frozenset(
    {
        AttemptEvent.PREFILL_SENT,
        AttemptEvent.DECODE_SENT,
        AttemptEvent.DISPATCHED,
    }
)


class InvalidTransition(enum.Enum):
    """Why a transition was rejected."""

    ENDED = "the request has ended"
    NOT_CURRENT = "the attempt is not the current one"
    OUT_OF_ORDER = "the event does not follow from the state"
    DEADLINE = "the deadline has passed"


@dataclasses.dataclass(frozen=True)
class RequestRow:
    """A request in the table of the node that accepted it.

    Attributes:
      submission: the call.
      state: its state.
      attempt: identity of the current attempt; None while queued.
      placement: endpoints of the current attempt; None while queued.
      attempts: number of attempts started so far.
      last_event: last event of the current attempt.
      last_event_s: when it was recorded, monotonic seconds.
      execution: whether any of the failed attempts ran.
      refusal: the refusal; None unless the state is REFUSED.
      status: HTTP status of the response; None until the request has ended.
      excluded: endpoints at which an attempt of this request failed.
    """

    submission: Submission
    state: State = State.QUEUED
    attempt: AttemptId | None = None
    placement: Placement | None = None
    attempts: int = 0
    last_event: AttemptEvent | None = None
    last_event_s: float = 0.0
    execution: Execution = Execution.NOT_RUN
    refusal: Refusal | None = None
    status: int | None = None
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Release:
    """Memory to release at an endpoint.

    Attributes:
      attempt: the attempt that reserved it.
      endpoint: name of the engine.
    """

    attempt: AttemptId
    endpoint: str


@dataclasses.dataclass(frozen=True)
class Transition:
    """Result of a transition.

    Attributes:
      row: the request after the transition.
      releases: memory that must now be released.
      aborted: attempt whose open connections must be closed.
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
    first_state = (
        State.RESERVING if kind is CallKind.COMPLETION else State.DISPATCHING
    )
    started = dataclasses.replace(
        row,
        state=first_state,
        attempt=placement.attempt,
        placement=placement,
        attempts=row.attempts + 1,
        last_event=None,
    )
    return Ok(Transition(started))


def record_event(
    row: RequestRow, attempt: AttemptId, event: AttemptEvent, now_s: float
) -> Result[Transition, InvalidTransition]:
    """Records an event of an attempt.

    Args:
      row: the request.
      attempt: attempt that the event belongs to.
      event: what is about to happen or has happened.
      now_s: monotonic seconds.
    """
    problem = _check_current(row, attempt)
    if problem is not None:
        return Err(problem)
    allowed_states, next_state = _TRANSITIONS[event]
    if row.state not in allowed_states:
        return Err(InvalidTransition.OUT_OF_ORDER)
    if event in _START_EVENTS and now_s >= row.submission.deadline_s:
        return Err(InvalidTransition.DEADLINE)
    recorded = dataclasses.replace(
        row, state=next_state, last_event=event, last_event_s=now_s
    )
    return Ok(Transition(recorded))


def fail_attempt(
    row: RequestRow, attempt: AttemptId, failure: Failure
) -> Result[Transition, InvalidTransition]:
    """Ends the current attempt and returns the request to the QUEUED state.

    Does not check whether the request may be retried. If it may not (see
    `may_retry`), the calling code has to refuse the queued request.
    """
    problem = _check_current(row, attempt)
    if problem is not None:
        return Err(problem)
    ran = outcome.execution_after(row.last_event, failure.kind)
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
    """Ends a request with a refusal that says whether the request ran.

    Bytes of a running attempt may still be on the way to its endpoint, so it
    counts as if its connection had been lost now.
    """
    if row.state in TERMINAL_STATES:
        return Err(InvalidTransition.ENDED)
    refusal_now = dataclasses.replace(refusal, execution=_execution_now(row))
    refused = dataclasses.replace(
        row,
        state=State.REFUSED,
        execution=refusal_now.execution,
        refusal=refusal_now,
        status=refusal.status,
    )
    return Ok(Transition(refused, _releases_of(row), row.attempt))


def cancel(row: RequestRow) -> Result[Transition, InvalidTransition]:
    """Ends a request whose caller has disconnected."""
    if row.state in TERMINAL_STATES:
        return Err(InvalidTransition.ENDED)
    cancelled = dataclasses.replace(
        row, state=State.CANCELLED, execution=_execution_now(row)
    )
    return Ok(Transition(cancelled, _releases_of(row), row.attempt))


def finish(
    row: RequestRow, execution: Execution, status: int
) -> Result[Transition, InvalidTransition]:
    """Ends a request with the outcome that the HTTP layer reports.

    After a complete response without an HTTP error, only the memory of the
    decode engine is released, since the prefill engine drops the KV cache when
    it expires.
    """
    if row.state in TERMINAL_STATES:
        return Err(InvalidTransition.ENDED)
    complete = execution is Execution.RAN and row.state is State.RELAYING
    ended = dataclasses.replace(
        row,
        state=State.DONE if complete else State.REFUSED,
        execution=execution,
        status=status,
    )
    releases = _releases_of(row)
    if complete and status < 400:
        # `_releases_of` returns the release of the decode engine first.
        releases = releases[:1]
    return Ok(Transition(ended, releases))


def may_retry(row: RequestRow, failure: Failure, attempts_limit: int) -> bool:
    """Returns whether a request whose attempt just failed may be retried.

    Args:
      row: the request before `fail_attempt`.
      failure: how the attempt failed.
      attempts_limit: maximum number of attempts of one request. It does not
        apply after a refusal by a full or leaving endpoint, since the attempt
        was not started there.
    """
    if row.last_event is AttemptEvent.FIRST_BYTE:
        return False
    ran = outcome.execution_after(row.last_event, failure.kind)
    if not row.submission.idempotent and ran is not Execution.NOT_RUN:
        return False
    if is_refused_before_start(row, failure):
        return True
    return row.attempts < attempts_limit


def is_refused_before_start(row: RequestRow, failure: Failure) -> bool:
    """Returns whether a full or leaving endpoint refused an unstarted call."""
    refused = failure.kind in (FailureKind.FULL, FailureKind.LEAVING)
    ran = outcome.execution_after(row.last_event, failure.kind)
    return refused and ran is Execution.NOT_RUN


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
    lost = outcome.execution_after(row.last_event, FailureKind.CONNECTION_LOST)
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
