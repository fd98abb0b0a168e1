"""Whether a node accepts new calls."""

from __future__ import annotations

from burdockspan.node.context import Context
from burdockspan.node.tables import Tables

# A draining VM accepts calls until the load balancer has taken it out.
DRAIN_GRACE_S = 5.0


def is_accepting(tables: Tables, context: Context) -> bool:
    """Returns whether new calls are accepted."""
    if tables.catalog is None or tables.members.superseded:
        return False
    if tables.stopping:
        return False
    if not tables.draining:
        return True
    return context.clock() - tables.draining_since_s < DRAIN_GRACE_S


__all__ = ["DRAIN_GRACE_S", "is_accepting"]
