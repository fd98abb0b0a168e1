"""What a node expects of a service, from its tables."""

from __future__ import annotations

import dataclasses

from burdockspan.admission import forecast as forecasts
from burdockspan.admission.deadline import Forecast
from burdockspan.admission.forecast import Rate, Supply
from burdockspan.admission.queue import PriorityShares
from burdockspan.configuration.document import Service
from burdockspan.node import endpoint_table
from burdockspan.node.endpoint_table import EndpointRow
from burdockspan.node.gossip import count_live_entry_vms
from burdockspan.node.tables import Tables
from burdockspan.values.endpoint import Pool

# Typical length of an answer, for want of an observation.
_ASSUMED_SERVICE_S = 10.0


def make_forecast(tables: Tables, service: Service, now_s: float) -> Forecast:
    """Returns what this node expects for new calls of a service now."""
    rows = _grantable_rows(tables, service)
    free = sum(
        endpoint_table.free_capacity(row)
        for row in rows
        if endpoint_table.is_usable(row, now_s)
    )
    observed = tables.release_rate_by_service.get(service.name, Rate())
    arriving = tables.urgent_rate_by_service.get(service.name, Rate())
    supply = Supply(
        free_pieces=free,
        released_per_s=max(
            forecasts.rate_per_s(observed, now_s),
            _expected_release_per_s(tables, service, rows),
        ),
        urgent_per_s=forecasts.rate_per_s(arriving, now_s),
        overhead_s=0.0,
    )
    waiting = tables.waiting_by_service.get(service.name, {})
    share = shares_of(tables, service).patient_share
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
        if row.endpoint.service == service.name
        and endpoint_table.is_usable(row, now_s)
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
    estimate, a call would wait until its deadline.
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


def shares_of(tables: Tables, service: Service) -> PriorityShares:
    """Returns the grants of each class so far, with the share in force."""
    shares = tables.shares_by_service.get(service.name, PriorityShares())
    if tables.catalog is None:
        return shares
    share = tables.catalog.configuration.policy.patient_share
    return dataclasses.replace(shares, patient_share=share)


__all__ = ["has_usable_endpoints", "make_forecast", "shares_of"]
