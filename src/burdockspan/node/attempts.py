"""Progress, failure and end of attempts in the node's tables."""

from __future__ import annotations

from result import Err

from burdockspan.admission import forecast as forecasts
from burdockspan.admission.forecast import Rate
from burdockspan.membership.calls import CallStep
from burdockspan.node import call_messages, endpoint_table, health, unresponsive
from burdockspan.node.context import Context
from burdockspan.node.effects import Abort, Answer, Count, Effects, Measure
from burdockspan.node.messages import (
    Finish,
    RecordEvent,
    RegisterAbort,
    ReleaseMemory,
)
from burdockspan.node.tables import ReleaseRow, Tables
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

# Events that the owner of a pool is told of.
_STEP_BY_EVENT = {
    AttemptEvent.RESERVED: CallStep.RESERVED,
    AttemptEvent.DISPATCHED: CallStep.RESERVED,
    AttemptEvent.TRANSFERRED: CallStep.TRANSFERRED,
}


def find_current(tables: Tables, attempt: AttemptId) -> RequestRow | None:
    """Returns the request whose current attempt this is, None if ended."""
    request_id = tables.request_id_by_attempt.get(attempt)
    row = tables.requests_by_id.get(request_id) if request_id else None
    if row is None or row.attempt != attempt:
        return None
    return None if row.state in lifecycle.TERMINAL_STATES else row


def record(
    tables: Tables, message: RecordEvent, context: Context
) -> tuple[bool, Effects]:
    """Records an event; returns whether the handler may go on."""
    now_s = context.clock()
    row = find_current(tables, message.attempt)
    if row is None:
        return False, (Count("stale_events"),)
    request_id = row.submission.request_id
    if _caller_gone(tables, request_id):
        return False, cancel(tables, request_id, now_s)
    silent = unresponsive.find_unresponsive(tables, row, message.event, now_s)
    if silent is not None:
        refusal = unresponsive.make_refusal(silent)
        return False, refuse(tables, request_id, refusal, now_s)
    result = lifecycle.record_event(row, message.attempt, message.event, now_s)
    if isinstance(result, Err):
        if result.err_value is InvalidTransition.DEADLINE:
            refusal = _make_deadline_refusal()
            return False, refuse(tables, request_id, refusal, now_s)
        return False, (Count("invalid_events"),)
    tables.requests_by_id[request_id] = result.ok_value.row
    effects = _apply_event(tables, row, message.event, now_s)
    step = _STEP_BY_EVENT.get(message.event)
    if step is not None:
        effects += call_messages.report_progress(tables, message.attempt, step)
    return True, effects


def attach(tables: Tables, message: RegisterAbort) -> Effects:
    """Registers an abort function; runs it at once for an ended attempt."""
    if find_current(tables, message.attempt) is None:
        return (Abort(message.abort),)
    tables.aborts_by_attempt[message.attempt] = message.abort
    return ()


def fail(
    tables: Tables, row: RequestRow, failure: Failure, now_s: float
) -> Effects:
    """Ends the current attempt; the request is queued again."""
    if row.attempt is None:
        return ()
    full: Effects = ()
    if failure.kind is FailureKind.FULL:
        full = call_messages.report_progress(
            tables, row.attempt, CallStep.FULL, failure.endpoint
        )
    step = lifecycle.fail_attempt(row, row.attempt, failure).unwrap()
    return full + _apply(tables, row, step, now_s)


def refuse(
    tables: Tables, request_id: str, refusal: Refusal, now_s: float
) -> Effects:
    """Ends a request with a refusal and answers a waiting handler."""
    row = tables.requests_by_id[request_id]
    result = lifecycle.refuse(row, refusal)
    if isinstance(result, Err):
        return ()
    step = result.ok_value
    effects = _apply(tables, row, step, now_s)
    effects += (Count(f"refused.{refusal.reason.value}"),)
    future = tables.futures_by_request.pop(request_id, None)
    if future is not None and step.row.refusal is not None:
        effects += (Answer(future, Err(step.row.refusal)),)
    return effects


def cancel(tables: Tables, request_id: str, now_s: float) -> Effects:
    """Ends a request whose caller is gone."""
    row = tables.requests_by_id[request_id]
    result = lifecycle.cancel(row)
    if isinstance(result, Err):
        return ()
    effects = _apply(tables, row, result.ok_value, now_s)
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


def finish(tables: Tables, message: Finish, now_s: float) -> Effects:
    """Ends a request as the HTTP layer answered it, and forgets it."""
    row = tables.requests_by_id.get(message.request_id)
    if row is None:
        return ()
    result = lifecycle.finish(row, message.execution, message.status)
    effects: Effects = ()
    if not isinstance(result, Err):
        effects = _apply(tables, row, result.ok_value, now_s)
        ended = result.ok_value.row.state
        effects += (
            Count(ended.value),
            Measure("request", now_s - row.submission.arrived_s),
        )
    remove_request(tables, message.request_id)
    return effects


def remove_request(tables: Tables, request_id: str) -> None:
    """Drops an ended request from the tables."""
    tables.requests_by_id.pop(request_id, None)
    tables.futures_by_request.pop(request_id, None)
    tables.caller_gone_by_request.pop(request_id, None)
    gone = [
        attempt
        for attempt, owner in tables.request_id_by_attempt.items()
        if owner == request_id
    ]
    for attempt in gone:
        del tables.request_id_by_attempt[attempt]
        tables.aborts_by_attempt.pop(attempt, None)


def release(tables: Tables, message: ReleaseMemory, now_s: float) -> Effects:
    """Queues the release of an attempt's memory at an endpoint."""
    _queue_release(tables, Release(message.attempt, message.endpoint), now_s)
    return ()


def find_gone_callers(tables: Tables) -> tuple[str, ...]:
    """Returns the running requests whose callers have gone."""
    return tuple(
        request_id
        for request_id, row in tables.requests_by_id.items()
        if row.state not in lifecycle.TERMINAL_STATES
        and _caller_gone(tables, request_id)
    )


def find_overdue(tables: Tables, now_s: float) -> tuple[str, ...]:
    """Returns the requests whose deadline passed before the first byte."""
    return tuple(
        request_id
        for request_id, row in tables.requests_by_id.items()
        if row.state not in lifecycle.TERMINAL_STATES
        and row.state is not State.RELAYING
        and now_s >= row.submission.deadline_s
    )


def refuse_overdue(tables: Tables, request_id: str, now_s: float) -> Effects:
    """Ends a request whose deadline has passed."""
    return refuse(tables, request_id, _make_deadline_refusal(), now_s)


def _apply(
    tables: Tables, before: RequestRow, step: Transition, now_s: float
) -> Effects:
    request_id = before.submission.request_id
    tables.requests_by_id[request_id] = step.row
    for waiting in tables.waiting_by_service.values():
        waiting.pop(request_id, None)
    if before.placement is not None and before.attempt is not None:
        _release_endpoints(tables, before, now_s)
    for entry in step.releases:
        _queue_release(tables, entry, now_s)
    effects: Effects = ()
    if before.attempt is not None:
        effects = call_messages.report_progress(
            tables, before.attempt, CallStep.ENDED
        )
    if step.aborted is None:
        return effects
    abort = tables.aborts_by_attempt.pop(step.aborted, None)
    return (*effects, Abort(abort)) if abort is not None else effects


def _release_endpoints(tables: Tables, row: RequestRow, now_s: float) -> None:
    placement = row.placement
    if placement is None:
        return
    for endpoint in (placement.prefill, placement.decode, placement.service):
        endpoint_row = endpoint and tables.endpoints_by_name.get(endpoint.name)
        if endpoint_row:
            tables.endpoints_by_name[endpoint_row.endpoint.name] = (
                endpoint_table.release(endpoint_row, placement.attempt, now_s)
            )
    granted = placement.decode or placement.service
    if granted is not None:
        rate = tables.release_rate_by_service.get(granted.service, Rate())
        tables.release_rate_by_service[granted.service] = (
            forecasts.record_amount(rate, max(1, placement.pieces), now_s)
        )


def _queue_release(tables: Tables, entry: Release, now_s: float) -> None:
    if entry.endpoint in tables.endpoints_by_name:
        key = (entry.attempt, entry.endpoint)
        tables.releases.setdefault(key, ReleaseRow(now_s, now_s))


def _apply_event(
    tables: Tables, row: RequestRow, event: AttemptEvent, now_s: float
) -> Effects:
    placement = row.placement
    if placement is None or row.attempt is None:
        return ()
    if event is AttemptEvent.RESERVED and placement.decode is not None:
        _confirm(tables, placement.decode.name, row.attempt, now_s)
    if event is AttemptEvent.PREFILL_SENT and placement.prefill is not None:
        _confirm(tables, placement.prefill.name, row.attempt, now_s)
    if event is AttemptEvent.TRANSFERRED and placement.prefill is not None:
        prefill = tables.endpoints_by_name.get(placement.prefill.name)
        if prefill is not None:
            tables.endpoints_by_name[placement.prefill.name] = (
                endpoint_table.release(prefill, row.attempt, now_s)
            )
    if event is AttemptEvent.DISPATCHED and placement.service is not None:
        _confirm(tables, placement.service.name, row.attempt, now_s)
    health.record_success(tables, row, event, now_s)
    if event is not AttemptEvent.FIRST_BYTE:
        return ()
    return (Measure("first_byte", now_s - row.submission.arrived_s),)


def _confirm(
    tables: Tables, endpoint: str, attempt: AttemptId, now_s: float
) -> None:
    row = tables.endpoints_by_name.get(endpoint)
    if row is not None:
        tables.endpoints_by_name[endpoint] = endpoint_table.confirm(
            row, attempt, now_s
        )


def _caller_gone(tables: Tables, request_id: str) -> bool:
    gone = tables.caller_gone_by_request.get(request_id)
    return gone is not None and gone()


def _make_deadline_refusal() -> Refusal:
    return Refusal(
        504,
        Execution.NOT_RUN,
        Reason.DEADLINE,
        "The deadline passed before an answer began.",
    )


__all__ = [
    "attach",
    "cancel",
    "fail",
    "find_current",
    "find_gone_callers",
    "find_overdue",
    "finish",
    "remove_request",
    "record",
    "refuse",
    "refuse_overdue",
    "release",
]
