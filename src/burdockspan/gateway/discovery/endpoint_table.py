"""The table of endpoints, built from their entries in the store."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Mapping

from burdockspan.gateway.values import Endpoint, Incarnation, Stage

# An endpoint whose entry expired during an outage of the store renews it within
# two seconds after the outage. If the entry is still missing then, its endpoint
# has stopped.
GRACE_PERIOD_S = 1.9
# A store that comes back from a copy lists endpoints that have left since. The
# entry of one that has stopped is removed within this time, and one that still
# runs writes that it leaves.
RESTORED_DELAY_S = 6.0
# Time for which endpoints that have left are remembered. It is longer than the
# age of a copy, some seconds, and the outage before.
_DEPARTED_TTL_S = 120.0


@dataclasses.dataclass(frozen=True)
class EndpointEntry:
    """An endpoint with the state of its entry in the store.

    Attributes:
      endpoint: the endpoint.
      expires_s: when an endpoint whose entry is missing leaves the table, in
        monotonic seconds; infinite while the store has the entry.
      usable_from_s: when it may receive work, in monotonic seconds.
    """

    endpoint: Endpoint
    expires_s: float = math.inf
    usable_from_s: float = -math.inf


@dataclasses.dataclass(frozen=True)
class EndpointTable:
    """An immutable table of endpoints.

    Attributes:
      by_id: the endpoints with their entries.
      grace_until_s: end of the grace period after an outage of the store, in
        monotonic seconds. Until then, endpoints without an entry are kept.
      departed_s: when endpoints recently left the table, in monotonic seconds.
      is_restored: whether the store has come back from a copy, and no list has
        been applied since.
    """

    by_id: Mapping[str, EndpointEntry] = dataclasses.field(default_factory=dict)
    grace_until_s: float = -math.inf
    departed_s: Mapping[Incarnation, float] = dataclasses.field(
        default_factory=dict
    )
    is_restored: bool = False


def start_grace_period(
    table: EndpointTable, now_s: float, restored: bool = False
) -> EndpointTable:
    """Returns the table with a grace period that starts now.

    Args:
      table: the endpoints.
      now_s: present time, in monotonic seconds.
      restored: whether the store has come back from a copy.
    """
    return dataclasses.replace(
        table,
        grace_until_s=now_s + GRACE_PERIOD_S,
        is_restored=table.is_restored or restored,
    )


def apply_listing(
    table: EndpointTable, endpoints: Iterable[Endpoint], now_s: float
) -> EndpointTable:
    """Returns the table after a complete list of the entries."""
    listed = {endpoint.id: endpoint for endpoint in endpoints}
    by_id = {
        endpoint_id: _make_listed_entry(table, endpoint, now_s)
        for endpoint_id, endpoint in listed.items()
    }
    for endpoint_id, entry in table.by_id.items():
        kept = (
            None
            if endpoint_id in listed
            else _keep_within_grace(table, entry, now_s)
        )
        if kept is not None:
            by_id[endpoint_id] = kept
    return dataclasses.replace(
        _replace_entries(table, by_id, now_s), is_restored=False
    )


def apply_entry(table: EndpointTable, endpoint: Endpoint) -> EndpointTable:
    """Returns the table after an entry was written."""
    entry = EndpointEntry(_choose_newer(table, endpoint))
    return dataclasses.replace(table, by_id={**table.by_id, endpoint.id: entry})


def remove_entry(
    table: EndpointTable, endpoint_id: str, now_s: float
) -> EndpointTable:
    """Returns the table after an entry was removed or became malformed."""
    entry = table.by_id.get(endpoint_id)
    if entry is None:
        return table
    by_id = dict(table.by_id)
    kept = _keep_within_grace(table, entry, now_s)
    if kept is None:
        del by_id[endpoint_id]
    else:
        by_id[endpoint_id] = kept
    return _replace_entries(table, by_id, now_s)


def expire(table: EndpointTable, now_s: float) -> EndpointTable:
    """Returns the table without endpoints whose grace period has ended."""
    if all(entry.expires_s > now_s for entry in table.by_id.values()):
        return table
    by_id = {
        endpoint_id: entry
        for endpoint_id, entry in table.by_id.items()
        if entry.expires_s > now_s
    }
    return _replace_entries(table, by_id, now_s)


def list_usable(
    table: EndpointTable, service: str, now_s: float, stage: Stage | None = None
) -> tuple[Endpoint, ...]:
    """Returns the endpoints of a service that accept new work.

    Args:
      table: the endpoints.
      service: name of the service.
      now_s: present time, in monotonic seconds.
      stage: selects the model engines of this stage; None selects all
        endpoints.
    """
    return tuple(
        entry.endpoint
        for entry in table.by_id.values()
        if entry.endpoint.service == service
        and not entry.endpoint.leaving
        and entry.usable_from_s <= now_s < entry.expires_s
        and (stage is None or entry.endpoint.stage is stage)
    )


def _choose_newer(table: EndpointTable, endpoint: Endpoint) -> Endpoint:
    """Returns the endpoint as its latest process describes it.

    A write of an earlier process under the same identity may arrive after
    those of the present process. A store that comes back from a copy may have
    an entry from before its process began to leave.
    """
    current = table.by_id.get(endpoint.id)
    if current is None or endpoint.started_ms == 0:
        return endpoint
    is_older = current.endpoint.started_ms > endpoint.started_ms
    is_from_before_leaving = (
        current.endpoint.incarnation == endpoint.incarnation
        and current.endpoint.leaving
    )
    return current.endpoint if is_older or is_from_before_leaving else endpoint


def _make_listed_entry(
    table: EndpointTable, endpoint: Endpoint, now_s: float
) -> EndpointEntry:
    """Returns the entry of an endpoint that a list contains."""
    newest = _choose_newer(table, endpoint)
    current = table.by_id.get(endpoint.id)
    if current is not None and current.endpoint.incarnation == (
        newest.incarnation
    ):
        return EndpointEntry(newest, usable_from_s=current.usable_from_s)
    has_left = newest.incarnation in table.departed_s
    if table.is_restored and has_left:
        return EndpointEntry(newest, usable_from_s=now_s + RESTORED_DELAY_S)
    return EndpointEntry(newest)


def _replace_entries(
    table: EndpointTable, by_id: Mapping[str, EndpointEntry], now_s: float
) -> EndpointTable:
    """Returns the table with other entries; remembers those that left."""
    departed_s = {
        incarnation: left_s
        for incarnation, left_s in table.departed_s.items()
        if now_s - left_s < _DEPARTED_TTL_S
    }
    for endpoint_id, entry in table.by_id.items():
        incarnation = entry.endpoint.incarnation
        present = by_id.get(endpoint_id)
        if present is None or present.endpoint.incarnation != incarnation:
            departed_s[incarnation] = now_s
    return dataclasses.replace(table, by_id=by_id, departed_s=departed_s)


def _keep_within_grace(
    table: EndpointTable, entry: EndpointEntry, now_s: float
) -> EndpointEntry | None:
    if entry.endpoint.leaving or now_s >= table.grace_until_s:
        return None
    expires_s = min(entry.expires_s, table.grace_until_s)
    return dataclasses.replace(entry, expires_s=expires_s)


__all__ = [
    "GRACE_PERIOD_S",
    "EndpointEntry",
    "EndpointTable",
    "apply_entry",
    "apply_listing",
    "expire",
    "list_usable",
    "remove_entry",
    "start_grace_period",
]
