"""Grants endpoints to queued calls, or refuses them.

A queue holds calls of this node and, where it owns the pool, of other nodes.
"""

from __future__ import annotations

from collections.abc import Mapping

from result import Ok

from burdockspan.admission import queue
from burdockspan.admission.deadline import retry_after_s
from burdockspan.admission.queue import WaitingCall
from burdockspan.configuration.document import Service
from burdockspan.node import attempts, endpoint_table, remote_calls
from burdockspan.node.choices import choose_endpoints, reserve_endpoints
from burdockspan.node.context import Context
from burdockspan.node.effects import Answer, Count, Effects, Measure
from burdockspan.node.forecasts import (
    has_usable_endpoints,
    make_forecast,
    shares_of,
)
from burdockspan.node.tables import Tables, make_attempt_id
from burdockspan.requests import lifecycle
from burdockspan.requests.lifecycle import RequestRow
from burdockspan.values.endpoint import Pool
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import Placement
from burdockspan.values.refusal import Execution, Reason, Refusal

# Calls that do not fit are skipped, so that a large call does not block smaller
# ones behind it. The limit bounds the work that each event costs.
_MAX_SKIPPED = 8
# A call for a service without usable endpoints waits this long before it is
# refused, so that a load report that is late by a few polls can still arrive.
_UNPLACEABLE_WAIT_S = 0.9
_UNPLACEABLE_RETRY_S = 1.0


def grant(tables: Tables, service: Service, context: Context) -> Effects:
    """Places queued calls of a service as long as they fit."""
    effects: Effects = ()
    waiting = tables.waiting_by_service.get(service.name, {})
    if not waiting or not _may_fit(tables, service, waiting, context):
        return ()
    shares = shares_of(tables, service)
    skipped: dict[str, WaitingCall] = {}
    while len(skipped) < _MAX_SKIPPED:
        chosen = queue.choose_next(waiting, shares, context.clock())
        if chosen is None:
            break
        del waiting[chosen.request_id]
        placement = _choose_placement(tables, service, chosen, context)
        if placement is None:
            skipped[chosen.request_id] = chosen
            continue
        shares = queue.record_grant(shares, chosen, waiting)
        effects += _start(tables, service, chosen, placement, context)
    waiting.update(skipped)
    tables.shares_by_service[service.name] = shares
    return effects


def _may_fit(
    tables: Tables,
    service: Service,
    waiting: Mapping[str, WaitingCall],
    context: Context,
) -> bool:
    """Returns whether the smallest queued call fits on some endpoint.

    Under overload, mostly not even the smallest call fits. Without this check,
    the choice of endpoints for calls that cannot be placed costs more than all
    other control work.
    """
    now_s = context.clock()
    largest = max(
        (
            endpoint_table.free_capacity(endpoint_row)
            for endpoint_row in tables.endpoints_by_name.values()
            if endpoint_row.endpoint.service == service.name
            and endpoint_row.endpoint.pool is not Pool.PREFILL
            and endpoint_table.is_usable(endpoint_row, now_s)
        ),
        default=0,
    )
    return largest >= min(call.pieces for call in waiting.values())


def shed(tables: Tables, service: Service, context: Context) -> Effects:
    """Refuses queued calls that would be late or exceed the queue limit."""
    now_s = context.clock()
    waiting = tables.waiting_by_service.get(service.name, {})
    if not waiting or tables.catalog is None:
        return ()
    forecast = make_forecast(tables, service, now_s)
    limit = tables.catalog.configuration.policy.queue_limit
    effects: Effects = ()
    for call in queue.shed(waiting, forecast, now_s, limit):
        refusal = Refusal(
            503,
            Execution.NOT_RUN,
            Reason.OVERLOADED,
            "The expected wait exceeds the deadline of the call.",
            retry_after_s(forecast.patient_wait_s),
        )
        effects += _refuse(tables, call, refusal, context)
    return effects


def refuse_unplaceable(
    tables: Tables, service: Service, context: Context
) -> Effects:
    """Refuses calls that waited too long for a service without endpoints."""
    if has_usable_endpoints(tables, service, context.clock()):
        return ()
    refusal = Refusal(
        503,
        Execution.NOT_RUN,
        Reason.NO_ENDPOINT,
        f"Service {service.name} has no endpoint that can be used now.",
        _UNPLACEABLE_RETRY_S,
    )
    waiting = tables.waiting_by_service.get(service.name, {})
    effects: Effects = ()
    for call in list(waiting.values()):
        if context.clock() - call.arrived_s >= _UNPLACEABLE_WAIT_S:
            effects += _refuse(tables, call, refusal, context)
    return effects


def _refuse(
    tables: Tables, call: WaitingCall, refusal: Refusal, context: Context
) -> Effects:
    if call.request_id in tables.remote_calls_by_id:
        return remote_calls.refuse(tables, call.request_id, refusal, context)
    return attempts.refuse(tables, call.request_id, refusal, context.clock())


def _choose_placement(
    tables: Tables, service: Service, chosen: WaitingCall, context: Context
) -> Placement | None:
    request_and_attempt = _find_request_and_attempt(tables, chosen.request_id)
    if request_and_attempt is None:
        return None
    request_row, attempt = request_and_attempt
    return choose_endpoints(
        tables, service, request_row, chosen, attempt, context
    )


def _find_request_and_attempt(
    tables: Tables, request_id: str
) -> tuple[RequestRow, AttemptId] | None:
    """Returns a queued request and the attempt that a grant would start.

    The requester chose the attempt identity of a remote call.
    """
    remote = tables.remote_calls_by_id.get(request_id)
    if remote is not None:
        return remote.request, remote.attempt
    request_row = tables.requests_by_id.get(request_id)
    return (
        None if request_row is None else (request_row, make_attempt_id(tables))
    )


def _start(
    tables: Tables,
    service: Service,
    chosen: WaitingCall,
    placement: Placement,
    context: Context,
) -> Effects:
    now_s = context.clock()
    waited_s = now_s - chosen.arrived_s
    effects: Effects = (Measure(f"wait.{chosen.priority.value}", waited_s),)
    if chosen.request_id in tables.remote_calls_by_id:
        request_row = tables.remote_calls_by_id[chosen.request_id].request
        reserve_endpoints(tables, service, request_row, placement, now_s)
        return effects + remote_calls.grant(
            tables, chosen.request_id, placement, context
        )
    return effects + start_attempt(tables, service, placement, context)


def start_attempt(
    tables: Tables, service: Service, placement: Placement, context: Context
) -> Effects:
    """Starts an attempt of a queued request that this node accepted."""
    now_s = context.clock()
    request_id = placement.request_id
    request_row = tables.requests_by_id[request_id]
    placed = lifecycle.start_attempt(request_row, placement).unwrap().row
    tables.requests_by_id[request_id] = placed
    tables.request_id_by_attempt[placement.attempt] = request_id
    reserve_endpoints(tables, service, placed, placement, now_s)
    future = tables.futures_by_request.pop(request_id, None)
    if future is None:
        return ()
    return (Answer(future, Ok(placement)), Count("placed"))


__all__ = ["grant", "refuse_unplaceable", "shed", "start_attempt"]
