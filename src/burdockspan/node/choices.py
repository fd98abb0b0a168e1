"""Chooses the endpoints of one call and reserves them in the tables."""

from __future__ import annotations

from burdockspan.admission.queue import WaitingCall
from burdockspan.configuration.document import Service
from burdockspan.node import endpoint_table
from burdockspan.node.catalog import Catalog, delay_ms
from burdockspan.node.context import Context
from burdockspan.node.tables import Tables
from burdockspan.placement import transfer
from burdockspan.placement.pair import TransferLinks, choose_pair
from burdockspan.placement.service import choose_service
from burdockspan.placement.transfer import Link
from burdockspan.requests.lifecycle import RequestRow
from burdockspan.resilience import breaker
from burdockspan.values.endpoint import EndpointView, Pool
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import Placement
from burdockspan.values.submission import CallKind


def choose_endpoints(
    tables: Tables,
    service: Service,
    request_row: RequestRow,
    waiting_call: WaitingCall,
    attempt: AttemptId,
    context: Context,
) -> Placement | None:
    """Returns the endpoints of an attempt, None if the call must wait."""
    catalog = tables.catalog
    if catalog is None:
        return None
    submission = request_row.submission
    if submission.kind is CallKind.SERVICE:
        view = choose_service(
            _make_views(
                tables, catalog, service, Pool.SERVICE, request_row, context
            ),
            context.random_float,
        )
        if view is None:
            return None
        return Placement(submission.request_id, attempt, service=view.endpoint)
    prefill_views = _make_views(
        tables, catalog, service, Pool.PREFILL, request_row, context
    )
    pair = choose_pair(
        waiting_call,
        prompt_tokens=submission.prompt_tokens,
        decode_views=_make_views(
            tables, catalog, service, Pool.DECODE, request_row, context
        ),
        prefill_views=[view for view in prefill_views if view.usable],
        service=service,
        links=_make_links(
            tables, catalog, service, request_row, prefill_views, context
        ),
        now_s=context.clock(),
        random_float=context.random_float,
    )
    if pair is None:
        return None
    return Placement(
        submission.request_id,
        attempt,
        waiting_call.pieces,
        pair.prefill.endpoint,
        pair.decode.endpoint,
    )


def reserve_endpoints(
    tables: Tables,
    service: Service,
    request_row: RequestRow,
    placement: Placement,
    now_s: float,
) -> None:
    """Reserves the endpoints of a placement for its attempt."""
    tokens = request_row.submission.prompt_tokens
    pieces = max(1, placement.pieces)
    for endpoint in (placement.prefill, placement.decode, placement.service):
        endpoint_row = endpoint and tables.endpoints_by_name.get(endpoint.name)
        if endpoint_row:
            updated = endpoint_table.set_breaker(
                endpoint_row, breaker.record_sent(endpoint_row.breaker, now_s)
            )
            tables.endpoints_by_name[endpoint_row.endpoint.name] = (
                endpoint_table.reserve(
                    updated, placement.attempt, pieces, tokens
                )
            )
    if placement.prefill is None:
        return
    name = placement.prefill.name
    link = tables.links_by_endpoint.get(name, Link(updated_s=now_s))
    tables.links_by_endpoint[name] = transfer.enqueue_transfer(
        link, tokens, service, now_s
    )
    tables.prefixes.add_expected(name, request_row.submission.prefix)


def _make_views(
    tables: Tables,
    catalog: Catalog,
    service: Service,
    pool: Pool,
    request_row: RequestRow,
    context: Context,
) -> list[EndpointView]:
    rows = [
        endpoint_row
        for endpoint_row in tables.endpoints_by_name.values()
        if endpoint_row.endpoint.service == service.name
        and endpoint_row.endpoint.pool is pool
    ]
    # An endpoint that failed this request is used only if there is no other.
    untried = [
        endpoint_row
        for endpoint_row in rows
        if endpoint_row.endpoint.name not in request_row.excluded
    ]
    zone = context.settings.availability_zone
    return [
        endpoint_table.make_view(
            endpoint_row,
            catalog,
            zone,
            context.clock(),
            tables.prefixes if pool is Pool.PREFILL else None,
            request_row.submission.prefix,
        )
        for endpoint_row in untried or rows
    ]


def _make_links(
    tables: Tables,
    catalog: Catalog,
    service: Service,
    request_row: RequestRow,
    views: list[EndpointView],
    context: Context,
) -> TransferLinks:
    now_s = context.clock()
    tokens = request_row.submission.prompt_tokens
    backlog_bytes = {}
    for view in views:
        name = view.endpoint.name
        tokens_ahead = view.waiting_tokens
        backlog_bytes[name] = transfer.expected_backlog_bytes(
            tables.links_by_endpoint.get(name, Link()),
            tokens_ahead,
            (tokens_ahead + tokens) / service.prefill_tokens_per_s,
            service,
            now_s,
        )
    return TransferLinks(
        backlog_bytes,
        lambda source, target: delay_ms(
            catalog, source.availability_zone, target.availability_zone
        ),
    )


__all__ = ["choose_endpoints", "reserve_endpoints"]
