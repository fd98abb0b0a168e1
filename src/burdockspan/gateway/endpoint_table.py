"""The endpoints that a VM believes in, from the entries of the store."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Mapping

from burdockspan.gateway.values import Endpoint, Stage

# An endpoint whose entry lapsed while the store was away renews it within two
# seconds of the store's return; one still missing then is gone.
LAPSE_GRACE_S = 1.9


@dataclasses.dataclass(frozen=True)
class Entry:
    """An endpoint and whether its entry is missing.

    Attributes:
      endpoint: the endpoint.
      expires_s: when a missing entry counts as gone, monotonic seconds;
        infinite while the entry is there.
    """

    endpoint: Endpoint
    expires_s: float = math.inf


@dataclasses.dataclass(frozen=True)
class EndpointTable:
    """Endpoints by identity.

    Attributes:
      by_id: the endpoints.
      grace_until_s: until when a missing entry may have lapsed during an
        outage of the store.
    """

    by_id: Mapping[str, Entry] = dataclasses.field(default_factory=dict)
    grace_until_s: float = -math.inf


def start_lapse_grace(table: EndpointTable, now_s: float) -> EndpointTable:
    """Returns the fleet after the store answers again after an outage."""
    return dataclasses.replace(table, grace_until_s=now_s + LAPSE_GRACE_S)


def apply_listing(
    table: EndpointTable, endpoints: Iterable[Endpoint], now_s: float
) -> EndpointTable:
    """Returns the fleet after a complete list of the entries."""
    listed = {endpoint.id: endpoint for endpoint in endpoints}
    by_id = {
        name: Entry(_choose_newer(table, endpoint))
        for name, endpoint in listed.items()
    }
    for name, entry in table.by_id.items():
        kept = (
            None if name in listed else _keep_within_grace(table, entry, now_s)
        )
        if kept is not None:
            by_id[name] = kept
    return dataclasses.replace(table, by_id=by_id)


def apply_entry(table: EndpointTable, endpoint: Endpoint) -> EndpointTable:
    """Returns the fleet after an entry was written."""
    entry = Entry(_choose_newer(table, endpoint))
    return dataclasses.replace(table, by_id={**table.by_id, endpoint.id: entry})


def remove_entry(
    table: EndpointTable, endpoint_id: str, now_s: float
) -> EndpointTable:
    """Returns the fleet after an entry was removed or became unreadable."""
    entry = table.by_id.get(endpoint_id)
    if entry is None:
        return table
    by_id = dict(table.by_id)
    kept = _keep_within_grace(table, entry, now_s)
    if kept is None:
        del by_id[endpoint_id]
    else:
        by_id[endpoint_id] = kept
    return dataclasses.replace(table, by_id=by_id)


def expire(table: EndpointTable, now_s: float) -> EndpointTable:
    """Returns the fleet without endpoints whose entries stayed away."""
    if all(entry.expires_s > now_s for entry in table.by_id.values()):
        return table
    by_id = {
        name: entry
        for name, entry in table.by_id.items()
        if entry.expires_s > now_s
    }
    return dataclasses.replace(table, by_id=by_id)


def list_usable(
    table: EndpointTable, service: str, now_s: float, stage: Stage | None = None
) -> tuple[Endpoint, ...]:
    """Returns the endpoints of a service that take new work.

    Args:
      table: the endpoints.
      service: name of the service.
      now_s: monotonic seconds.
      stage: only model engines of this stage; None for any.
    """
    return tuple(
        entry.endpoint
        for entry in table.by_id.values()
        if entry.endpoint.service == service
        and not entry.endpoint.leaving
        and entry.expires_s > now_s
        and (stage is None or entry.endpoint.stage is stage)
    )


def _choose_newer(table: EndpointTable, endpoint: Endpoint) -> Endpoint:
    """Returns the entry to believe.

    A write of an earlier start of the same endpoint may arrive after those of
    the present one.
    """
    held = table.by_id.get(endpoint.id)
    if held is not None and held.endpoint.started_ms > endpoint.started_ms > 0:
        return held.endpoint
    return endpoint


def _keep_within_grace(
    table: EndpointTable, entry: Entry, now_s: float
) -> Entry | None:
    if entry.endpoint.leaving or now_s >= table.grace_until_s:
        return None
    expires_s = min(entry.expires_s, table.grace_until_s)
    return dataclasses.replace(entry, expires_s=expires_s)


__all__ = [
    "LAPSE_GRACE_S",
    "Entry",
    "EndpointTable",
    "apply_entry",
    "apply_listing",
    "expire",
    "start_lapse_grace",
    "remove_entry",
    "list_usable",
]
