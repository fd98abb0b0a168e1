"""Forecasts of waiting times and supply of a service."""

from __future__ import annotations

import dataclasses

from burdockspan.admission import forecast as admission_forecast
from burdockspan.admission.deadline import Forecast
from burdockspan.admission.forecast import Rate, Supply
from burdockspan.admission.queue import PriorityShares
from burdockspan.configuration.document import Service
from burdockspan.node import endpoint_table
from burdockspan.node.endpoint_table import EndpointRow
from burdockspan.node.gossip import count_live_entry_vms
from burdockspan.node.tables import Tables
from burdockspan.values.endpoint import Pool

# Lower bound of the estimated mean duration of calls, and the estimate while no
# call runs.
_MIN_CALL_DURATION_S = 10.0


def make_forecast(tables: Tables, service: Service, now_s: float) -> Forecast:
    """Returns the forecast for new calls of a service."""
    rows = _find_capacity_rows(tables, service)
    free = sum(
        endpoint_table.free_capacity(endpoint_row)
        for endpoint_row in rows
        if endpoint_table.is_usable(endpoint_row, now_s)
    )
    release_rate = tables.release_rate_by_service.get(service.name, Rate())
    urgent_rate = tables.urgent_rate_by_service.get(service.name, Rate())
    supply = Supply(
        free_pieces=free,
        released_per_s=max(
            admission_forecast.rate_per_s(release_rate, now_s),
            _expected_release_per_s(tables, service, rows),
        ),
        urgent_per_s=admission_forecast.rate_per_s(urgent_rate, now_s),
        overhead_s=0.0,
    )
    waiting = tables.waiting_by_service.get(service.name, {})
    share = shares_of(tables, service).patient_share
    forecast = admission_forecast.make_forecast(waiting, service, supply, share)
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
    """Returns whether each pool of a service has a usable endpoint."""
    pools = {Pool.SERVICE}
    if service.models:
        pools = {Pool.PREFILL, Pool.DECODE}
    usable = {
        endpoint_row.endpoint.pool
        for endpoint_row in tables.endpoints_by_name.values()
        if endpoint_row.endpoint.service == service.name
        and endpoint_table.is_usable(endpoint_row, now_s)
    }
    return pools <= usable


def _find_capacity_rows(tables: Tables, service: Service) -> list[EndpointRow]:
    """Returns the decode engines, or the endpoints of a plain service."""
    return [
        endpoint_row
        for endpoint_row in tables.endpoints_by_name.values()
        if endpoint_row.endpoint.service == service.name
        and endpoint_row.endpoint.pool is not Pool.PREFILL
    ]


def _expected_release_per_s(
    tables: Tables, service: Service, rows: list[EndpointRow]
) -> float:
    """Estimates this node's share of the memory released per second.

    Long answers release memory too rarely to observe a rate. Without this
    estimate, a call behind them would wait until its deadline.
    """
    capacity = sum(
        endpoint_row.endpoint.pieces or endpoint_row.endpoint.concurrency
        for endpoint_row in rows
    )
    durations_s = [
        request_row.submission.max_tokens * service.token_gap_s
        for request_row in tables.requests_by_id.values()
        if request_row.placement is not None
        and request_row.placement.decode is not None
        and request_row.placement.decode.service == service.name
    ]
    mean_s = _MIN_CALL_DURATION_S
    if durations_s:
        mean_s = max(_MIN_CALL_DURATION_S, sum(durations_s) / len(durations_s))
    return capacity / count_live_entry_vms(tables) / mean_s


def shares_of(tables: Tables, service: Service) -> PriorityShares:
    """Returns the grants so far, with the configured share of patient calls."""
    shares = tables.shares_by_service.get(service.name, PriorityShares())
    if tables.catalog is None:
        return shares
    share = tables.catalog.configuration.policy.patient_share
    return dataclasses.replace(shares, patient_share=share)


__all__ = ["has_usable_endpoints", "make_forecast", "shares_of"]
