"""Grants of endpoints to waiting calls."""

from __future__ import annotations

import dataclasses

from result import Ok

from burdockspan.admission import forecast as forecasts
from burdockspan.admission import queue
from burdockspan.admission.deadline import Forecast, retry_after_s
from burdockspan.admission.forecast import Rate, Supply
from burdockspan.admission.queue import Shares, Waiting
from burdockspan.configuration.document import Service
from burdockspan.node import attempts, fleet
from burdockspan.node.catalog import Catalog, delay_ms
from burdockspan.node.context import Context
from burdockspan.node.effects import Answer, Count, Effects, Measure
from burdockspan.node.fleet import EndpointRow
from burdockspan.node.gossip import count_live_entry_vms
from burdockspan.node.tables import Tables, make_attempt_id
from burdockspan.placement import transfer
from burdockspan.placement.decode import choose_decode
from burdockspan.placement.prefill import choose_prefill
from burdockspan.placement.service import choose_service
from burdockspan.placement.transfer import Link
from burdockspan.requests import lifecycle
from burdockspan.requests.lifecycle import RequestRow
from burdockspan.resilience import breaker
from burdockspan.values.endpoint import EndpointView, Pool
from burdockspan.values.placement import Placement
from burdockspan.values.refusal import Execution, Reason, Refusal
from burdockspan.values.submission import CallKind

# Covers a report that is late by a few polls.
_STRANDED_WAIT_S = 1.0
_STRANDED_RETRY_S = 1.0

# Typical length of an answer, for want of an observation.
_ASSUMED_SERVICE_S = 10.0


def grant(tables: Tables, service: Service, context: Context) -> Effects:
    """Places waiting calls of a service until one does not fit."""
    effects: Effects = ()
    waiting = tables.waiting_by_service.get(service.name, {})
    shares = _shares_of(tables, service)
    while True:
        now_s = context.clock()
        chosen = queue.choose_next(waiting, shares, now_s)
        if chosen is None:
            break
        placement = _choose_endpoints(tables, service, chosen, context)
        if placement is None:
            break
        del waiting[chosen.request_id]
        shares = queue.grant(shares, chosen, waiting)
        effects += _start(tables, service, chosen, placement, now_s)
    tables.shares_by_service[service.name] = shares
    return effects


def shed(tables: Tables, service: Service, context: Context) -> Effects:
    """Refuses the waiting calls that cannot meet their deadlines."""
    now_s = context.clock()
    waiting = tables.waiting_by_service.get(service.name, {})
    if not waiting or tables.catalog is None:
        return ()
    if not has_usable_endpoints(tables, service, now_s):
        return _refuse_stranded(tables, service, now_s)
    forecast = make_forecast(tables, service, now_s)
    limit = tables.catalog.configuration.policy.queue_limit
    effects: Effects = ()
    for row in queue.shed(waiting, forecast, now_s, limit):
        refusal = Refusal(
            503,
            Execution.NOT_RUN,
            Reason.OVERLOADED,
            "The expected wait exceeds the deadline of the call.",
            retry_after_s(forecast.patient_wait_s),
        )
        effects += attempts.refuse(tables, row.request_id, refusal, now_s)
    return effects


def _refuse_stranded(tables: Tables, service: Service, now_s: float) -> Effects:
    """Refuses calls that have waited for an endpoint that none can use."""
    refusal = Refusal(
        503,
        Execution.NOT_RUN,
        Reason.NO_ENDPOINT,
        f"Service {service.name} has no endpoint that can be used now.",
        _STRANDED_RETRY_S,
    )
    waiting = tables.waiting_by_service.get(service.name, {})
    effects: Effects = ()
    for row in list(waiting.values()):
        if now_s - row.arrived_s >= _STRANDED_WAIT_S:
            effects += attempts.refuse(tables, row.request_id, refusal, now_s)
    return effects


def make_forecast(tables: Tables, service: Service, now_s: float) -> Forecast:
    """Returns what this node expects for new calls of a service now."""
    rows = _grantable_rows(tables, service)
    free = sum(
        fleet.free_room(row) for row in rows if fleet.is_usable(row, now_s)
    )
    observed = tables.released_by_service.get(service.name, Rate())
    arriving = tables.urgent_by_service.get(service.name, Rate())
    supply = Supply(
        free_pieces=free,
        released_per_s=max(
            forecasts.current(observed, now_s),
            _expected_release_per_s(tables, service, rows),
        ),
        urgent_per_s=forecasts.current(arriving, now_s),
        overhead_s=0.0,
    )
    waiting = tables.waiting_by_service.get(service.name, {})
    share = _shares_of(tables, service).patient_share
    forecast = forecasts.make_forecast(waiting, service, supply, share)
    if service.models:
        return forecast
    return dataclasses.replace(
        forecast,
        prefill_s_per_token=0.0,
        transfer_s_per_token=0.0,
        token_gap_s=0.0,
    )


def has_usable_endpoints(
    tables: Tables, service: Service, now_s: float
) -> bool:
    """Returns whether each pool of a service has an endpoint to use now."""
    wanted = {Pool.SERVICE}
    if service.models:
        wanted = {Pool.PREFILL, Pool.DECODE}
    usable = {
        row.endpoint.pool
        for row in tables.endpoints_by_name.values()
        if row.endpoint.service == service.name and fleet.is_usable(row, now_s)
    }
    return wanted <= usable


def _grantable_rows(tables: Tables, service: Service) -> list[EndpointRow]:
    return [
        row
        for row in tables.endpoints_by_name.values()
        if row.endpoint.service == service.name
        and row.endpoint.pool is not Pool.PREFILL
    ]


def _expected_release_per_s(
    tables: Tables, service: Service, rows: list[EndpointRow]
) -> float:
    """Returns this node's share of the memory that calls should give back.

    Long answers release memory too rarely for the observed rate. Without an
    estimate, a call would wait in vain until its deadline.
    """
    capacity = sum(
        row.endpoint.pieces or row.endpoint.concurrency for row in rows
    )
    lasting = [
        row.submission.max_tokens * service.token_gap_s
        for row in tables.requests_by_id.values()
        if row.placement is not None
        and row.placement.decode is not None
        and row.placement.decode.service == service.name
    ]
    mean_s = _ASSUMED_SERVICE_S
    if lasting:
        mean_s = max(_ASSUMED_SERVICE_S, sum(lasting) / len(lasting))
    return capacity / count_live_entry_vms(tables) / mean_s


def _start(
    tables: Tables,
    service: Service,
    chosen: Waiting,
    placement: Placement,
    now_s: float,
) -> Effects:
    row = tables.requests_by_id[chosen.request_id]
    placed = lifecycle.place(row, placement).unwrap().row
    tables.requests_by_id[chosen.request_id] = placed
    tables.request_id_by_attempt[placement.attempt] = chosen.request_id
    _hold_endpoints(tables, service, placed, placement, now_s)
    reply = tables.replies_by_request.pop(chosen.request_id, None)
    if reply is None:
        return ()
    waited_s = now_s - chosen.arrived_s
    return (
        Answer(reply, Ok(placement)),
        Measure(f"wait.{chosen.priority.value}", waited_s),
        Count("placed"),
    )


def _choose_endpoints(
    tables: Tables, service: Service, chosen: Waiting, context: Context
) -> Placement | None:
    catalog = tables.catalog
    row = tables.requests_by_id.get(chosen.request_id)
    if catalog is None or row is None:
        return None
    if row.submission.kind is CallKind.SERVICE:
        replica = choose_service(
            _views(tables, catalog, service, Pool.SERVICE, row, context),
            context.draw,
        )
        if replica is None:
            return None
        return Placement(
            chosen.request_id,
            make_attempt_id(tables),
            service=replica.endpoint,
        )
    decode = choose_decode(
        _views(tables, catalog, service, Pool.DECODE, row, context),
        chosen.pieces,
        context.draw,
    )
    if decode is None:
        return None
    prefill = choose_prefill(
        _prefill_views(tables, catalog, service, row, decode, context),
        row.submission.prompt_tokens,
        context.draw,
    )
    if prefill is None:
        return None
    return Placement(
        chosen.request_id,
        make_attempt_id(tables),
        chosen.pieces,
        prefill.endpoint,
        decode.endpoint,
    )


def _views(
    tables: Tables,
    catalog: Catalog,
    service: Service,
    pool: Pool,
    request: RequestRow,
    context: Context,
) -> list[EndpointView]:
    rows = [
        row
        for row in tables.endpoints_by_name.values()
        if row.endpoint.service == service.name and row.endpoint.pool is pool
    ]
    # A failed endpoint is tried again only if there is no other.
    fresh = [row for row in rows if row.endpoint.name not in request.excluded]
    zone = context.settings.availability_zone
    return [
        fleet.view(
            row,
            catalog,
            zone,
            context.clock(),
            tables.prefixes if pool is Pool.PREFILL else None,
            request.submission.prefix,
        )
        for row in fresh or rows
    ]


def _prefill_views(
    tables: Tables,
    catalog: Catalog,
    service: Service,
    request: RequestRow,
    decode: EndpointView,
    context: Context,
) -> list[EndpointView]:
    """Returns the prefill engines whose KV cache would arrive in time."""
    now_s = context.clock()
    views = _views(tables, catalog, service, Pool.PREFILL, request, context)
    return [
        view
        for view in views
        if transfer.arrives_in_life(
            request.submission.prompt_tokens,
            service,
            transfer.backlog_bytes(
                tables.links_by_endpoint.get(view.endpoint.name, Link()),
                service,
                now_s,
            ),
            delay_ms(
                catalog,
                view.endpoint.availability_zone,
                decode.endpoint.availability_zone,
            ),
        )
    ]


def _hold_endpoints(
    tables: Tables,
    service: Service,
    row: RequestRow,
    placement: Placement,
    now_s: float,
) -> None:
    tokens = row.submission.prompt_tokens
    pieces = max(1, placement.pieces)
    for endpoint in (placement.prefill, placement.decode, placement.service):
        held = endpoint and tables.endpoints_by_name.get(endpoint.name)
        if held:
            begun = fleet.set_breaker(held, breaker.begin(held.breaker, now_s))
            tables.endpoints_by_name[held.endpoint.name] = fleet.hold(
                begun, placement.attempt, pieces, tokens
            )
    if placement.prefill is None:
        return
    name = placement.prefill.name
    link = tables.links_by_endpoint.get(name, Link(updated_s=now_s))
    tables.links_by_endpoint[name] = transfer.schedule(
        link, tokens, service, now_s
    )
    tables.prefixes.expect(name, row.submission.prefix)


def _shares_of(tables: Tables, service: Service) -> Shares:
    shares = tables.shares_by_service.get(service.name, Shares())
    if tables.catalog is None:
        return shares
    share = tables.catalog.configuration.policy.patient_share
    return dataclasses.replace(shares, patient_share=share)


__all__ = ["grant", "has_usable_endpoints", "make_forecast", "shed"]
