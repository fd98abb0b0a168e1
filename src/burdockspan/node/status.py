"""Status of the node as JSON values, for operators."""

from __future__ import annotations

import collections
from typing import Any

from burdockspan.configuration.adoption import generation_of
from burdockspan.node import endpoint_table, orders, roles
from burdockspan.node.context import Context
from burdockspan.node.tables import Tables
from burdockspan.requests import lifecycle


def make_status(tables: Tables, context: Context) -> dict[str, Any]:
    """Returns the state of this node, its peers and its endpoints."""
    me = tables.members.me
    running = [
        request_row
        for request_row in tables.requests_by_id.values()
        if request_row.state not in lifecycle.TERMINAL_STATES
    ]
    states = collections.Counter(row.state.value for row in running)
    return {
        "vm": me.vm,
        "availability_zone": me.availability_zone,
        "incarnation": me.incarnation,
        "generation": generation_of(tables.adoption.active),
        "stored_generation": generation_of(tables.adoption.stored),
        "vm_list_version": tables.vm_list.version,
        "draining": tables.draining,
        "idle": not running and not tables.releases,
        "superseded": tables.members.superseded,
        "requests": dict(sorted(states.items())),
        "waiting": {
            service: len(rows)
            for service, rows in tables.waiting_by_service.items()
        },
        "releases": len(tables.releases),
        "remote_calls": len(tables.remote_calls_by_id),
        "placement_requests": len(tables.placement_requests_by_attempt),
        "members": [
            {
                "vm": member.vm,
                "availability_zone": member.availability_zone,
                "state": member.state.name.lower(),
                "incarnation": member.incarnation,
            }
            for _, member in sorted(tables.members.by_vm.items())
        ],
        "endpoints": _describe_endpoints(tables, context),
        "quarantine": _describe_quarantine(tables, context),
        "stops": _describe_stops(tables),
        "orders": orders.describe_orders(tables),
        "roles": roles.describe_roles(tables),
    }


def _describe_endpoints(
    tables: Tables, context: Context
) -> list[dict[str, Any]]:
    now_s = context.clock()
    return [
        {
            "vm": name,
            "service": endpoint_row.endpoint.service,
            "pool": endpoint_row.endpoint.pool.value,
            "availability_zone": endpoint_row.endpoint.availability_zone,
            "usable": endpoint_table.is_usable(endpoint_row, now_s),
            "leaving": endpoint_row.leaving,
            "breaker": endpoint_row.breaker.phase.value,
            "pieces": endpoint_row.endpoint.pieces,
            "free": endpoint_table.free_capacity(endpoint_row),
            "running_here": sum(
                reservation.released_s is None
                for reservation in endpoint_row.reservations.values()
            ),
            "heard_s_ago": round(now_s - endpoint_row.report_received_s, 3)
            if endpoint_row.report is not None
            else None,
        }
        for name, endpoint_row in sorted(tables.endpoints_by_name.items())
    ]


def _describe_quarantine(
    tables: Tables, context: Context
) -> list[dict[str, Any]]:
    now_s = context.clock()
    return [
        {
            "fingerprint": key.fingerprint,
            "endpoint": key.endpoint,
            "boot": key.boot,
            "remaining_s": round(max(0.0, expires_s - now_s), 1),
        }
        for key, expires_s in sorted(
            tables.members.shared.expiry_s_by_crash.items()
        )
    ]


def _describe_stops(tables: Tables) -> list[dict[str, Any]]:
    if tables.catalog is None:
        return []
    return [
        {"stop_id": stop.stop_id, "vm": stop.vm, "at_s": stop.at_s}
        for stop in tables.catalog.configuration.stops
    ]


__all__ = ["make_status"]
