"""Applies progress, failures and ends of attempts to the tables."""

from __future__ import annotations

from result import Err

from burdockspan.admission import forecast as admission_forecast
from burdockspan.admission.forecast import Rate
from burdockspan.membership.calls import CallStep
from burdockspan.node import call_messages, endpoint_table, health, unresponsive
from burdockspan.node.context import Context
from burdockspan.node.effects import Abort, Answer, Count, Effects, Measure
from burdockspan.node.messages import (
    FinishRequest,
    RecordEvent,
    RegisterAbort,
    ReleaseMemory,
)
from burdockspan.node.tables import PendingRelease, Tables
from burdockspan.requests import lifecycle
from burdockspan.requests.lifecycle import (
    InvalidTransition,
    Release,
    RequestRow,
    State,
    Transition,
)
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import AttemptEvent, Failure, FailureKind
from burdockspan.values.refusal import Execution, Reason, Refusal

# Events that are reported to the owner of the pool. A call to a plain service
# has no RESERVED event, so its dispatch is reported as the reservation.
_STEP_BY_EVENT = {
    AttemptEvent.RESERVED: CallStep.RESERVED,
    AttemptEvent.DISPATCHED: CallStep.RESERVED,
    AttemptEvent.TRANSFERRED: CallStep.TRANSFERRED,
}


def find_current(tables: Tables, attempt: AttemptId) -> RequestRow | None:
    """Returns the running request whose current attempt this is.

    None if the attempt has ended or is unknown.
    """
    request_id = tables.request_id_by_attempt.get(attempt)
    request_row = tables.requests_by_id.get(request_id) if request_id else None
    if request_row is None or request_row.attempt != attempt:
        return None
    return (
        None if request_row.state in lifecycle.TERMINAL_STATES else request_row
    )


def record_event(
    tables: Tables, message: RecordEvent, context: Context
) -> tuple[bool, Effects]:
    """Records an event; returns whether the HTTP handler may continue."""
    now_s = context.clock()
    request_row = find_current(tables, message.attempt)
    if request_row is None:
        return False, (Count("stale_events"),)
    request_id = request_row.submission.request_id
    if _is_caller_gone(tables, request_id):
        return False, cancel(tables, request_id, now_s)
    unresponsive_endpoint = unresponsive.find_unresponsive(
        tables, request_row, message.event, now_s
    )
    if unresponsive_endpoint is not None:
        refusal = unresponsive.make_refusal(unresponsive_endpoint)
        return False, refuse(tables, request_id, refusal, now_s)
    result = lifecycle.record_event(
        request_row, message.attempt, message.event, now_s
    )
    if isinstance(result, Err):
        if result.err_value is InvalidTransition.DEADLINE:
            refusal = _make_deadline_refusal()
            return False, refuse(tables, request_id, refusal, now_s)
        return False, (Count("invalid_events"),)
    tables.requests_by_id[request_id] = result.ok_value.row
    effects = _apply_event(tables, request_row, message.event, now_s)
    step = _STEP_BY_EVENT.get(message.event)
    if step is not None:
        effects += call_messages.report_progress(tables, message.attempt, step)
    return True, effects


def register_abort(tables: Tables, message: RegisterAbort) -> Effects:
    """Registers an abort function; calls it at once for an ended attempt."""
    if find_current(tables, message.attempt) is None:
        return (Abort(message.abort),)
    tables.aborts_by_attempt[message.attempt] = message.abort
    return ()


def fail(
    tables: Tables, request_row: RequestRow, failure: Failure, now_s: float
) -> Effects:
    """Ends the current attempt of a request after a failure.

    The state of the request returns to QUEUED. The function that calls this one
    then enqueues or refuses the request.
    """
    if request_row.attempt is None:
        return ()
    progress_effects: Effects = ()
    if failure.kind is FailureKind.FULL:
        progress_effects = call_messages.report_progress(
            tables, request_row.attempt, CallStep.FULL, failure.endpoint
        )
    transition = lifecycle.fail_attempt(
        request_row, request_row.attempt, failure
    ).unwrap()
    return progress_effects + _apply_transition(
        tables, request_row, transition, now_s
    )


def refuse(
    tables: Tables, request_id: str, refusal: Refusal, now_s: float
) -> Effects:
    """Ends a request with a refusal and wakes the HTTP handler that waits."""
    request_row = tables.requests_by_id[request_id]
    result = lifecycle.refuse(request_row, refusal)
    if isinstance(result, Err):
        return ()
    transition = result.ok_value
    effects = _apply_transition(tables, request_row, transition, now_s)
    effects += (Count(f"refused.{refusal.reason.value}"),)
    future = tables.futures_by_request.pop(request_id, None)
    if future is not None and transition.row.refusal is not None:
        effects += (Answer(future, Err(transition.row.refusal)),)
    return effects


def cancel(tables: Tables, request_id: str, now_s: float) -> Effects:
    """Ends a request whose caller has disconnected."""
    request_row = tables.requests_by_id[request_id]
    result = lifecycle.cancel(request_row)
    if isinstance(result, Err):
        return ()
    effects = _apply_transition(tables, request_row, result.ok_value, now_s)
    effects += (Count("cancelled"),)
    future = tables.futures_by_request.pop(request_id, None)
    if future is not None:
        refusal = Refusal(
            499,
            result.ok_value.row.execution,
            Reason.CANCELLED,
            "The caller has gone.",
        )
        effects += (Answer(future, Err(refusal)),)
    return effects


def finish(tables: Tables, message: FinishRequest, now_s: float) -> Effects:
    """Ends a request with the status that was sent and removes it."""
    request_row = tables.requests_by_id.get(message.request_id)
    if request_row is None:
        return ()
    result = lifecycle.finish(request_row, message.execution, message.status)
    effects: Effects = ()
    if not isinstance(result, Err):
        effects = _apply_transition(tables, request_row, result.ok_value, now_s)
        end_state = result.ok_value.row.state
        effects += (
            Count(end_state.value),
            Measure("request", now_s - request_row.submission.arrived_s),
        )
    remove_request(tables, message.request_id)
    return effects


def remove_request(tables: Tables, request_id: str) -> None:
    """Removes an ended request from the tables."""
    tables.requests_by_id.pop(request_id, None)
    tables.futures_by_request.pop(request_id, None)
    tables.caller_gone_by_request.pop(request_id, None)
    attempts = [
        attempt
        for attempt, id_of_attempt in tables.request_id_by_attempt.items()
        if id_of_attempt == request_id
    ]
    for attempt in attempts:
        del tables.request_id_by_attempt[attempt]
        tables.aborts_by_attempt.pop(attempt, None)


def queue_release(
    tables: Tables, message: ReleaseMemory, now_s: float
) -> Effects:
    """Queues the release of an attempt's memory at an endpoint."""
    _queue_release(tables, Release(message.attempt, message.endpoint), now_s)
    return ()


def find_abandoned(tables: Tables) -> tuple[str, ...]:
    """Returns the running requests whose callers have disconnected."""
    return tuple(
        request_id
        for request_id, request_row in tables.requests_by_id.items()
        if request_row.state not in lifecycle.TERMINAL_STATES
        and _is_caller_gone(tables, request_id)
    )


def find_overdue(tables: Tables, now_s: float) -> tuple[str, ...]:
    """Returns the requests past their deadline without a first byte."""
    return tuple(
        request_id
        for request_id, request_row in tables.requests_by_id.items()
        if request_row.state not in lifecycle.TERMINAL_STATES
        and request_row.state is not State.RELAYING
        and now_s >= request_row.submission.deadline_s
    )


def refuse_overdue(tables: Tables, request_id: str, now_s: float) -> Effects:
    """Refuses a request because its deadline has passed."""
    return refuse(tables, request_id, _make_deadline_refusal(), now_s)


def _apply_transition(
    tables: Tables, previous: RequestRow, transition: Transition, now_s: float
) -> Effects:
    request_id = previous.submission.request_id
    tables.requests_by_id[request_id] = transition.row
    for waiting in tables.waiting_by_service.values():
        waiting.pop(request_id, None)
    if previous.placement is not None and previous.attempt is not None:
        _release_endpoints(tables, previous, now_s)
    for release in transition.releases:
        _queue_release(tables, release, now_s)
    effects: Effects = ()
    if previous.attempt is not None:
        effects = call_messages.report_progress(
            tables, previous.attempt, CallStep.ENDED
        )
    if transition.aborted is None:
        return effects
    abort = tables.aborts_by_attempt.pop(transition.aborted, None)
    return (*effects, Abort(abort)) if abort is not None else effects


def _release_endpoints(
    tables: Tables, request_row: RequestRow, now_s: float
) -> None:
    """Releases an attempt's endpoints and records the release rate."""
    placement = request_row.placement
    if placement is None:
        return
    for endpoint in (placement.prefill, placement.decode, placement.service):
        endpoint_row = endpoint and tables.endpoints_by_name.get(endpoint.name)
        if endpoint_row:
            tables.endpoints_by_name[endpoint_row.endpoint.name] = (
                endpoint_table.release(endpoint_row, placement.attempt, now_s)
            )
    counted_endpoint = placement.decode or placement.service
    if counted_endpoint is not None:
        rate = tables.release_rate_by_service.get(
            counted_endpoint.service, Rate()
        )
        tables.release_rate_by_service[counted_endpoint.service] = (
            admission_forecast.record_amount(
                rate, max(1, placement.pieces), now_s
            )
        )


def _queue_release(tables: Tables, release: Release, now_s: float) -> None:
    if release.endpoint in tables.endpoints_by_name:
        key = (release.attempt, release.endpoint)
        tables.releases.setdefault(key, PendingRelease(now_s, now_s))


def _apply_event(
    tables: Tables, request_row: RequestRow, event: AttemptEvent, now_s: float
) -> Effects:
    placement = request_row.placement
    if placement is None or request_row.attempt is None:
        return ()
    if event is AttemptEvent.RESERVED and placement.decode is not None:
        _confirm_reservation(
            tables, placement.decode.name, request_row.attempt, now_s
        )
    if event is AttemptEvent.PREFILL_SENT and placement.prefill is not None:
        _confirm_reservation(
            tables, placement.prefill.name, request_row.attempt, now_s
        )
    if event is AttemptEvent.TRANSFERRED and placement.prefill is not None:
        prefill = tables.endpoints_by_name.get(placement.prefill.name)
        if prefill is not None:
            tables.endpoints_by_name[placement.prefill.name] = (
                endpoint_table.release(prefill, request_row.attempt, now_s)
            )
    if event is AttemptEvent.DISPATCHED and placement.service is not None:
        _confirm_reservation(
            tables, placement.service.name, request_row.attempt, now_s
        )
    health.record_success(tables, request_row, event, now_s)
    if event is not AttemptEvent.FIRST_BYTE:
        return ()
    return (Measure("first_byte", now_s - request_row.submission.arrived_s),)


def _confirm_reservation(
    tables: Tables, endpoint: str, attempt: AttemptId, now_s: float
) -> None:
    endpoint_row = tables.endpoints_by_name.get(endpoint)
    if endpoint_row is not None:
        tables.endpoints_by_name[endpoint] = endpoint_table.confirm_reservation(
            endpoint_row, attempt, now_s
        )


def _is_caller_gone(tables: Tables, request_id: str) -> bool:
    is_caller_gone = tables.caller_gone_by_request.get(request_id)
    return is_caller_gone is not None and is_caller_gone()


def _make_deadline_refusal() -> Refusal:
    return Refusal(
        504,
        Execution.NOT_RUN,
        Reason.DEADLINE,
        "The deadline passed before an answer began.",
    )


__all__ = [
    "register_abort",
    "cancel",
    "fail",
    "find_current",
    "find_abandoned",
    "find_overdue",
    "finish",
    "remove_request",
    "record_event",
    "refuse",
    "refuse_overdue",
    "queue_release",
]
