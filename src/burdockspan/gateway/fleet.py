"""The endpoints that a VM believes in, from the entries of the store."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Mapping

from burdockspan.gateway.values import Replica, Stage

# An endpoint whose entry lapsed while the store was away renews it within two
# seconds of the store's return; one still missing then is gone.
LAPSE_GRACE_S = 1.9


@dataclasses.dataclass(frozen=True)
class Entry:
    """An endpoint and whether its entry is missing.

    Attributes:
      replica: the endpoint.
      expires_s: when a missing entry counts as gone, monotonic seconds;
        infinite while the entry is there.
    """

    replica: Replica
    expires_s: float = math.inf


@dataclasses.dataclass(frozen=True)
class Fleet:
    """Endpoints by identity.

    Attributes:
      by_id: the endpoints.
      grace_until_s: until when a missing entry may have lapsed during an
        outage of the store.
    """

    by_id: Mapping[str, Entry] = dataclasses.field(default_factory=dict)
    grace_until_s: float = -math.inf


def note_regained(fleet: Fleet, now_s: float) -> Fleet:
    """Returns the fleet after the store answers again after an outage."""
    return dataclasses.replace(fleet, grace_until_s=now_s + LAPSE_GRACE_S)


def adopt_listing(
    fleet: Fleet, replicas: Iterable[Replica], now_s: float
) -> Fleet:
    """Returns the fleet after a complete list of the entries."""
    listed = {replica.id: replica for replica in replicas}
    by_id = {
        name: Entry(_newer(fleet, replica)) for name, replica in listed.items()
    }
    for name, entry in fleet.by_id.items():
        kept = None if name in listed else _keep_missing(fleet, entry, now_s)
        if kept is not None:
            by_id[name] = kept
    return dataclasses.replace(fleet, by_id=by_id)


def adopt_entry(fleet: Fleet, replica: Replica) -> Fleet:
    """Returns the fleet after an entry was written."""
    entry = Entry(_newer(fleet, replica))
    return dataclasses.replace(fleet, by_id={**fleet.by_id, replica.id: entry})


def remove_entry(fleet: Fleet, replica_id: str, now_s: float) -> Fleet:
    """Returns the fleet after an entry was removed or became unreadable."""
    entry = fleet.by_id.get(replica_id)
    if entry is None:
        return fleet
    by_id = dict(fleet.by_id)
    kept = _keep_missing(fleet, entry, now_s)
    if kept is None:
        del by_id[replica_id]
    else:
        by_id[replica_id] = kept
    return dataclasses.replace(fleet, by_id=by_id)


def expire(fleet: Fleet, now_s: float) -> Fleet:
    """Returns the fleet without endpoints whose entries stayed away."""
    if all(entry.expires_s > now_s for entry in fleet.by_id.values()):
        return fleet
    by_id = {
        name: entry
        for name, entry in fleet.by_id.items()
        if entry.expires_s > now_s
    }
    return dataclasses.replace(fleet, by_id=by_id)


def usable(
    fleet: Fleet, service: str, now_s: float, stage: Stage | None = None
) -> tuple[Replica, ...]:
    """Returns the endpoints of a service that take new work.

    Args:
      fleet: the endpoints.
      service: name of the service.
      now_s: monotonic seconds.
      stage: only model engines of this stage; None for any.
    """
    return tuple(
        entry.replica
        for entry in fleet.by_id.values()
        if entry.replica.service == service
        and not entry.replica.leaving
        and entry.expires_s > now_s
        and (stage is None or entry.replica.stage is stage)
    )


def _newer(fleet: Fleet, replica: Replica) -> Replica:
    """Returns the entry to believe.

    A write of an earlier start of the same endpoint may arrive after those of
    the present one.
    """
    held = fleet.by_id.get(replica.id)
    if held is not None and held.replica.born_ms > replica.born_ms > 0:
        return held.replica
    return replica


def _keep_missing(fleet: Fleet, entry: Entry, now_s: float) -> Entry | None:
    if entry.replica.leaving or now_s >= fleet.grace_until_s:
        return None
    expires_s = min(entry.expires_s, fleet.grace_until_s)
    return dataclasses.replace(entry, expires_s=expires_s)


__all__ = [
    "LAPSE_GRACE_S",
    "Entry",
    "Fleet",
    "adopt_entry",
    "adopt_listing",
    "expire",
    "note_regained",
    "remove_entry",
    "usable",
]
