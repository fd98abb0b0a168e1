"""Calls of other entry VMs that wait for endpoints of a pool owned here.

The entry VM that ranks first for a service grants the endpoints of its pool to
the calls of all entry VMs. One queue knows each release at once and orders
all calls by class and deadline; with a queue in each entry VM, measured in
bench/, urgent calls of one wait while another grants patient ones.
"""

from __future__ import annotations

import dataclasses

from result import Err

from burdockspan.admission import forecast as forecasts
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
# A requester repeats its request while it waits; one that has fallen silent
# has gone, or asks another owner.
_REQUEST_TIMEOUT_S = 1.0
# A grant whose end was never reported. Reports of the engine count its memory
# from then on.
_GRANT_TIMEOUT_S = 900.0
# A grant that was lost on its way, or that its requester did not use. Longer
# than a reservation or a dispatch takes, which acknowledges the grant.
_UNACKNOWLEDGED_TIMEOUT_S = 5.0
# The engine has confirmed or refused a reservation long before.
_CONFIRMED_AFTER_S = 0.5


def receive_request(
    tables: Tables, message: CallMessage, address: str, context: Context
) -> Effects:
    """Takes in a placement request, or answers a repeated one."""
    now_s = context.clock()
    key = str(message.attempt)
    known = tables.remote_calls_by_id.get(key)
    if known is not None:
        tables.remote_calls_by_id[key] = dataclasses.replace(
            known, last_received_s=now_s, address=address
        )
        answer = known.answer or CallMessage(CallStep.QUEUED, message.attempt)
        return (make_call_effect(tables, address, answer),)
    needs = message.needs
    if needs is None:
        return ()
    service = _find_service(tables, needs)
    if service is None:
        return ()
    submission = _make_submission(needs, key, now_s)
    tables.remote_calls_by_id[key] = RemoteCall(
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
        return refuse(tables, key, refusal, context)
    admitted = queue.admit(waiting, submission, forecast, now_s)
    if isinstance(admitted, Err):
        return refuse(tables, key, admitted.err_value, context)
    if needs.urgent:
        rate = tables.urgent_rate_by_service.get(service.name, Rate())
        tables.urgent_rate_by_service[service.name] = forecasts.record_amount(
            rate, needs.pieces, now_s
        )
    waiting[key] = queue.make_waiting_call(submission, needs.pieces, forecast)
    answer = CallMessage(CallStep.QUEUED, message.attempt)
    return (
        Count("remote_calls.asked"),
        make_call_effect(tables, address, answer),
    )


def grant(
    tables: Tables, key: str, placement: Placement, context: Context
) -> Effects:
    """Tells a requester which endpoints it was granted."""
    prefill, decode = placement.prefill, placement.decode
    replica = placement.service
    answer = CallMessage(
        CallStep.GRANT,
        placement.attempt,
        prefill=prefill.name if prefill else None,
        decode=decode.name if decode else None,
        endpoint=replica.name if replica else None,
    )
    remote = tables.remote_calls_by_id[key]
    tables.remote_calls_by_id[key] = dataclasses.replace(
        remote,
        answer=answer,
        placement=placement,
        answered_s=context.clock(),
    )
    return (
        Count("remote_calls.granted"),
        make_call_effect(tables, remote.address, answer),
    )


def refuse(
    tables: Tables, key: str, refusal: Refusal, context: Context
) -> Effects:
    """Tells a requester that its call is refused."""
    remote = tables.remote_calls_by_id[key]
    retry_s = refusal.retry_after_s
    answer = CallMessage(
        CallStep.REFUSE,
        remote.attempt,
        status=refusal.status,
        reason=refusal.reason.value,
        detail=refusal.detail,
        retry_after_ms=None if retry_s is None else round(retry_s * 1000),
    )
    for waiting in tables.waiting_by_service.values():
        waiting.pop(key, None)
    tables.remote_calls_by_id[key] = dataclasses.replace(
        remote, answer=answer, answered_s=context.clock()
    )
    return (
        Count("remote_calls.refused"),
        make_call_effect(tables, remote.address, answer),
    )


def receive_progress(
    tables: Tables, message: CallMessage, context: Context
) -> Effects:
    """Takes in how far a requester's attempt has come."""
    remote = tables.remote_calls_by_id.get(str(message.attempt))
    if remote is None:
        return ()
    now_s = context.clock()
    placement = remote.placement
    if message.step is CallStep.RESERVED and placement is not None:
        _confirm(tables, placement, now_s)
        tables.remote_calls_by_id[str(message.attempt)] = dataclasses.replace(
            remote, acknowledged=True
        )
    elif message.step is CallStep.TRANSFERRED and placement is not None:
        if placement.prefill is not None:
            _release(tables, placement.prefill.name, message.attempt, now_s)
    elif message.step is CallStep.FULL and message.decode is not None:
        row = tables.endpoints_by_name.get(message.decode)
        if row is not None:
            tables.endpoints_by_name[message.decode] = (
                endpoint_table.record_full(row, now_s)
            )
    elif message.step is CallStep.ENDED:
        _remove_call(tables, remote, now_s)
    return ()


def remove_expired(tables: Tables, context: Context) -> Effects:
    """Drops calls whose requester has died or fallen silent, and old grants."""
    now_s = context.clock()
    for remote in list(tables.remote_calls_by_id.values()):
        attempt = remote.attempt
        silent_s = now_s - remote.last_received_s
        answered = remote.answer is not None
        if remote.placement is not None and (
            now_s - remote.answered_s > _CONFIRMED_AFTER_S
        ):
            _confirm(tables, remote.placement, now_s)
        if remote.placement is not None:
            life_s = _GRANT_TIMEOUT_S
            if not remote.acknowledged:
                life_s = _UNACKNOWLEDGED_TIMEOUT_S
            expired = now_s - remote.answered_s > life_s
        elif answered:
            expired = now_s - remote.answered_s > _REQUEST_TIMEOUT_S
        else:
            expired = silent_s > _REQUEST_TIMEOUT_S
        if expired or is_dead(tables, attempt.vm, attempt.incarnation):
            _remove_call(tables, remote, now_s)
    return ()


def _find_service(tables: Tables, needs: CallNeeds) -> Service | None:
    if tables.catalog is None:
        return None
    service = tables.catalog.services_by_name.get(needs.service)
    if service is None or bool(service.models) != needs.completion:
        return None
    return service


def _make_submission(needs: CallNeeds, key: str, now_s: float) -> Submission:
    return Submission(
        request_id=key,
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


def _confirm(tables: Tables, placement: Placement, now_s: float) -> None:
    for endpoint in (placement.prefill, placement.decode, placement.service):
        row = endpoint and tables.endpoints_by_name.get(endpoint.name)
        if row:
            tables.endpoints_by_name[row.endpoint.name] = (
                endpoint_table.confirm(row, placement.attempt, now_s)
            )


def _release(
    tables: Tables, name: str, attempt: AttemptId, now_s: float
) -> None:
    row = tables.endpoints_by_name.get(name)
    if row is not None:
        tables.endpoints_by_name[name] = endpoint_table.release(
            row, attempt, now_s
        )


def _remove_call(tables: Tables, remote: RemoteCall, now_s: float) -> None:
    key = str(remote.attempt)
    del tables.remote_calls_by_id[key]
    for waiting in tables.waiting_by_service.values():
        waiting.pop(key, None)
    placement = remote.placement
    if placement is None:
        return
    for endpoint in (placement.prefill, placement.decode, placement.service):
        if endpoint is not None:
            _release(tables, endpoint.name, remote.attempt, now_s)
    granted = placement.decode or placement.service
    if granted is not None:
        rate = tables.release_rate_by_service.get(granted.service, Rate())
        tables.release_rate_by_service[granted.service] = (
            forecasts.record_amount(rate, max(1, placement.pieces), now_s)
        )


__all__ = [
    "grant",
    "remove_expired",
    "receive_progress",
    "receive_request",
    "refuse",
]
