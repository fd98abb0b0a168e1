"""Functions that other threads run on the node's tables.

`NodeHandle.read` runs them on the node's thread. All but `begin_stop` only
read.
"""

from __future__ import annotations

from burdockspan.configuration.document import Policy
from burdockspan.membership import ownership, table
from burdockspan.node.tables import Tables


def read_policy(tables: Tables) -> Policy:
    """Returns the active policy; the defaults without a configuration."""
    active = tables.adoption.active
    return Policy() if active is None else active.policy


def begin_stop(tables: Tables) -> bool:
    """Starts the graceful stop: new calls are refused from now on."""
    tables.stopping = True
    return True


def is_idle(tables: Tables) -> bool:
    """Returns whether no request runs and no release is pending."""
    return not tables.requests_by_id and not tables.releases


def is_watcher(tables: Tables) -> bool:
    """Returns whether this VM watches the platform for its zone."""
    members = tables.members
    zone = members.me.availability_zone
    return members.vm in ownership.watchers(zone, table.live_vms(members, zone))


def count_zone_vms(tables: Tables) -> int:
    """Returns the number of live entry VMs of this zone."""
    zone = tables.members.me.availability_zone
    return len(table.live_vms(tables.members, zone))


__all__ = [
    "begin_stop",
    "count_zone_vms",
    "is_idle",
    "is_watcher",
    "read_policy",
]
