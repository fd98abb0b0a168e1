"""Places calls of other entry VMs on pools that this node owns.

The owner of a pool, by rendezvous hashing, places the calls of all entry VMs on
it. A single queue sees each release of memory at once and orders all calls by
priority and deadline. With one queue per entry VM, urgent calls of one VM would
wait while another VM places patient calls.
"""

from __future__ import annotations

import dataclasses

from result import Err

from burdockspan.admission import forecast as admission_forecast
from burdockspan.admission import queue
from burdockspan.admission.forecast import Rate
from burdockspan.configuration.document import Service
from burdockspan.membership.calls import CallMessage, CallNeeds, CallStep
from burdockspan.node import endpoint_table
from burdockspan.node.call_messages import make_call_effect
from burdockspan.node.context import Context
from burdockspan.node.effects import Count, Effects
from burdockspan.node.forecasts import has_usable_endpoints, make_forecast
from burdockspan.node.gossip import is_dead
from burdockspan.node.tables import RemoteCall, Tables
from burdockspan.requests.lifecycle import RequestRow
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import Placement
from burdockspan.values.refusal import Execution, Reason, Refusal
from burdockspan.values.submission import CallKind, Priority, Submission

_RETRY_AFTER_S = 1.0
# A requester repeats its request while its call waits. Without a repetition
# within this time the call has ended, or its requester has turned to another
# owner.
_REQUEST_TIMEOUT_S = 1.0
# Ends a grant whose requester never reported the end of its attempt. From then
# on only the engine's load reports count its memory.
_GRANT_TIMEOUT_S = 900.0
# Ends a grant that was lost or that its requester did not use. The requester
# acknowledges a grant by reporting the reservation or dispatch that it allows,
# which takes less time than this.
_GRANT_ACKNOWLEDGE_TIMEOUT_S = 5.0
# A reservation counts as confirmed this long after its grant, even without a
# progress report, since the engine has certainly confirmed or refused it.
_CONFIRMED_AFTER_S = 0.5


def receive_request(
    tables: Tables, message: CallMessage, address: str, context: Context
) -> Effects:
    """Queues or refuses a placement request.

    For a request that is already known, repeats the response.
    """
    now_s = context.clock()
    call_id = str(message.attempt)
    call = tables.remote_calls_by_id.get(call_id)
    if call is not None:
        tables.remote_calls_by_id[call_id] = dataclasses.replace(
            call, last_received_s=now_s, address=address
        )
        response = call.response or CallMessage(
            CallStep.QUEUED, message.attempt
        )
        return (make_call_effect(tables, address, response),)
    needs = message.needs
    if needs is None:
        return ()
    service = _find_service(tables, needs)
    if service is None:
        return ()
    submission = _make_submission(needs, call_id, now_s)
    tables.remote_calls_by_id[call_id] = RemoteCall(
        message.attempt,
        address,
        RequestRow(submission, excluded=frozenset(needs.excluded)),
        last_received_s=now_s,
    )
    forecast = make_forecast(tables, service, now_s)
    waiting = tables.waiting_by_service.setdefault(service.name, {})
    if not has_usable_endpoints(tables, service, now_s):
        refusal = Refusal(
            503,
            Execution.NOT_RUN,
            Reason.NO_ENDPOINT,
            f"Service {service.name} has no endpoint that can be used now.",
            _RETRY_AFTER_S,
        )
        return refuse(tables, call_id, refusal, context)
    admitted = queue.admit(waiting, submission, forecast, now_s)
    if isinstance(admitted, Err):
        return refuse(tables, call_id, admitted.err_value, context)
    if needs.urgent:
        rate = tables.urgent_rate_by_service.get(service.name, Rate())
        tables.urgent_rate_by_service[service.name] = (
            admission_forecast.record_amount(rate, needs.pieces, now_s)
        )
    waiting[call_id] = queue.make_waiting_call(
        submission, needs.pieces, forecast
    )
    response = CallMessage(CallStep.QUEUED, message.attempt)
    return (
        Count("remote_calls.asked"),
        make_call_effect(tables, address, response),
    )


def grant(
    tables: Tables, call_id: str, placement: Placement, context: Context
) -> Effects:
    """Sends a requester the endpoints that its call was granted."""
    prefill, decode = placement.prefill, placement.decode
    service_endpoint = placement.service
    response = CallMessage(
        CallStep.GRANT,
        placement.attempt,
        prefill=prefill.name if prefill else None,
        decode=decode.name if decode else None,
        endpoint=service_endpoint.name if service_endpoint else None,
    )
    call = tables.remote_calls_by_id[call_id]
    tables.remote_calls_by_id[call_id] = dataclasses.replace(
        call,
        response=response,
        placement=placement,
        responded_s=context.clock(),
    )
    return (
        Count("remote_calls.granted"),
        make_call_effect(tables, call.address, response),
    )


def refuse(
    tables: Tables, call_id: str, refusal: Refusal, context: Context
) -> Effects:
    """Sends a requester the refusal of its call."""
    call = tables.remote_calls_by_id[call_id]
    retry_s = refusal.retry_after_s
    response = CallMessage(
        CallStep.REFUSE,
        call.attempt,
        status=refusal.status,
        reason=refusal.reason.value,
        detail=refusal.detail,
        retry_after_ms=None if retry_s is None else round(retry_s * 1000),
    )
    for waiting in tables.waiting_by_service.values():
        waiting.pop(call_id, None)
    tables.remote_calls_by_id[call_id] = dataclasses.replace(
        call, response=response, responded_s=context.clock()
    )
    return (
        Count("remote_calls.refused"),
        make_call_effect(tables, call.address, response),
    )


def receive_progress(
    tables: Tables, message: CallMessage, context: Context
) -> Effects:
    """Applies a progress report of a requester's attempt."""
    call = tables.remote_calls_by_id.get(str(message.attempt))
    if call is None:
        return ()
    now_s = context.clock()
    placement = call.placement
    if message.step is CallStep.RESERVED and placement is not None:
        _confirm_reservations(tables, placement, now_s)
        tables.remote_calls_by_id[str(message.attempt)] = dataclasses.replace(
            call, acknowledged=True
        )
    elif message.step is CallStep.TRANSFERRED and placement is not None:
        if placement.prefill is not None:
            _release(tables, placement.prefill.name, message.attempt, now_s)
    elif message.step is CallStep.FULL and message.decode is not None:
        endpoint_row = tables.endpoints_by_name.get(message.decode)
        if endpoint_row is not None:
            tables.endpoints_by_name[message.decode] = (
                endpoint_table.record_full(endpoint_row, now_s)
            )
    elif message.step is CallStep.ENDED:
        _remove_call(tables, call, now_s)
    return ()


def remove_expired(tables: Tables, context: Context) -> Effects:
    """Removes calls of dead or unresponsive requesters, and expired grants."""
    now_s = context.clock()
    for call in list(tables.remote_calls_by_id.values()):
        attempt = call.attempt
        request_age_s = now_s - call.last_received_s
        responded = call.response is not None
        if call.placement is not None and (
            now_s - call.responded_s > _CONFIRMED_AFTER_S
        ):
            _confirm_reservations(tables, call.placement, now_s)
        if call.placement is not None:
            timeout_s = _GRANT_TIMEOUT_S
            if not call.acknowledged:
                timeout_s = _GRANT_ACKNOWLEDGE_TIMEOUT_S
            expired = now_s - call.responded_s > timeout_s
        elif responded:
            expired = now_s - call.responded_s > _REQUEST_TIMEOUT_S
        else:
            expired = request_age_s > _REQUEST_TIMEOUT_S
        if expired or is_dead(tables, attempt.vm, attempt.incarnation):
            _remove_call(tables, call, now_s)
    return ()


def _find_service(tables: Tables, needs: CallNeeds) -> Service | None:
    if tables.catalog is None:
        return None
    service = tables.catalog.services_by_name.get(needs.service)
    if service is None or bool(service.models) != needs.completion:
        return None
    return service


def _make_submission(
    needs: CallNeeds, call_id: str, now_s: float
) -> Submission:
    return Submission(
        request_id=call_id,
        client="",
        kind=CallKind.COMPLETION if needs.completion else CallKind.SERVICE,
        target=needs.service,
        path="/",
        priority=Priority.URGENT if needs.urgent else Priority.PATIENT,
        arrived_s=now_s,
        deadline_s=now_s + needs.remaining_ms / 1000,
        prompt_tokens=needs.prompt_tokens,
        max_tokens=needs.max_tokens,
        prefix=needs.prefix,
    )


def _confirm_reservations(
    tables: Tables, placement: Placement, now_s: float
) -> None:
    for endpoint in (placement.prefill, placement.decode, placement.service):
        endpoint_row = endpoint and tables.endpoints_by_name.get(endpoint.name)
        if endpoint_row:
            tables.endpoints_by_name[endpoint_row.endpoint.name] = (
                endpoint_table.confirm_reservation(
                    endpoint_row, placement.attempt, now_s
                )
            )


def _release(
    tables: Tables, name: str, attempt: AttemptId, now_s: float
) -> None:
    endpoint_row = tables.endpoints_by_name.get(name)
    if endpoint_row is not None:
        tables.endpoints_by_name[name] = endpoint_table.release(
            endpoint_row, attempt, now_s
        )


def _remove_call(tables: Tables, call: RemoteCall, now_s: float) -> None:
    """Removes a call, releases its endpoints and records the release rate."""
    call_id = str(call.attempt)
    del tables.remote_calls_by_id[call_id]
    for waiting in tables.waiting_by_service.values():
        waiting.pop(call_id, None)
    placement = call.placement
    if placement is None:
        return
    for endpoint in (placement.prefill, placement.decode, placement.service):
        if endpoint is not None:
            _release(tables, endpoint.name, call.attempt, now_s)
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


__all__ = [
    "grant",
    "remove_expired",
    "receive_progress",
    "receive_request",
    "refuse",
]
