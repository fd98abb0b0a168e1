"""Sends orders to the endpoints that this node owns."""

from __future__ import annotations

import dataclasses

from burdockspan.configuration.document import Service
from burdockspan.endpoints import desired_state
from burdockspan.endpoints.desired_state import DesiredWeights, OrderState
from burdockspan.endpoints.orders import OrderOutcome
from burdockspan.node import endpoint_table, maintenance, roles
from burdockspan.node.context import Context
from burdockspan.node.effects import (
    Count,
    Effects,
    Note,
    ReadPlatform,
    SendOrder,
)
from burdockspan.node.endpoint_table import EndpointRow
from burdockspan.node.messages import OrderAnswered
from burdockspan.node.tables import Tables

_ORDER_INTERVAL_S = 0.25
# Each order to an unresponsive endpoint blocks an I/O thread for seconds. The
# limit keeps threads free for polls and releases.
_PENDING_LIMIT = 4
_PLATFORM_READ_INTERVAL_S = 5.0


def send_orders(tables: Tables, context: Context) -> Effects:
    """Sends orders that owned endpoints have not confirmed yet."""
    now_s = context.clock()
    if tables.catalog is None or now_s < tables.timers.next_orders_s:
        return ()
    tables.timers.next_orders_s = now_s + _ORDER_INTERVAL_S
    owned = maintenance.find_owned_endpoints(tables)
    _remove_unowned(tables, owned)
    if tables.members.superseded:
        # A newer process with the same VM name has replaced this one.
        return ()
    generation = tables.catalog.configuration.generation
    pending = sum(
        order_state.pending is not None
        for order_state in tables.order_states_by_endpoint.values()
    )
    pools_by_vm = roles.find_pools(tables)
    effects: Effects = ()
    for name in sorted(owned):
        endpoint_row = tables.endpoints_by_name[name]
        service = tables.catalog.services_by_name.get(
            endpoint_row.endpoint.service
        )
        if service is None or not _is_responsive(endpoint_row, now_s):
            continue
        if pending >= _PENDING_LIMIT:
            break
        order_state, order = desired_state.choose_order(
            tables.order_states_by_endpoint.get(name, OrderState()),
            endpoint_row.boot,
            (
                *roles.list_due_roles(
                    tables, endpoint_row, pools_by_vm.get(name), now_s
                ),
                *desired_state.list_desired_weights(service),
            ),
            generation,
            now_s,
        )
        tables.order_states_by_endpoint[name] = order_state
        if order is not None:
            pending += 1
            effects += (
                SendOrder(endpoint_row.endpoint, order),
                Count("orders.sent"),
            )
    return effects + _read_newer_configuration(tables, owned, generation, now_s)


def record_outcome(
    tables: Tables, message: OrderAnswered, context: Context
) -> Effects:
    """Records the response of an endpoint to an order, or its absence."""
    order_state = tables.order_states_by_endpoint.get(message.endpoint)
    if order_state is None:
        return ()
    outcome = message.outcome.ok()
    tables.order_states_by_endpoint[message.endpoint] = (
        desired_state.record_outcome(
            order_state, message.order.fencing_token, outcome, context.clock()
        )
    )
    if outcome is None:
        return (Count("orders.failed"),)
    count = Count(f"orders.{outcome.value}")
    if outcome is OrderOutcome.DONE:
        return (count,)
    fields = (
        ("endpoint", message.endpoint),
        ("kind", message.order.kind.value),
        ("fencing", str(message.order.fencing_token)),
    )
    return (count, Note(f"order_{outcome.value}", fields))


def describe_orders(tables: Tables) -> list[dict[str, object]]:
    """Returns the owned engines with the weights each has not confirmed."""
    if tables.catalog is None:
        return []
    described: list[dict[str, object]] = []
    for name in sorted(maintenance.find_owned_endpoints(tables)):
        endpoint_row = tables.endpoints_by_name[name]
        service = tables.catalog.services_by_name.get(
            endpoint_row.endpoint.service
        )
        if service is not None and service.models:
            described.append(_describe(tables, endpoint_row, service))
    return described


def _describe(
    tables: Tables, endpoint_row: EndpointRow, service: Service
) -> dict[str, object]:
    name = endpoint_row.endpoint.name
    order_state = tables.order_states_by_endpoint.get(name, OrderState())
    desired_weights = desired_state.list_desired_weights(service)
    unconfirmed = desired_state.list_unconfirmed(
        order_state, endpoint_row.boot, desired_weights
    )
    return {
        "vm": name,
        "missing": [
            dataclasses.asdict(item)
            for item in unconfirmed
            if isinstance(item, DesiredWeights)
        ],
        "refused_generation": order_state.refused_generation,
    }


def _is_responsive(endpoint_row: EndpointRow, now_s: float) -> bool:
    return (
        now_s - endpoint_row.report_received_s
        <= endpoint_table.UNRESPONSIVE_AFTER_S
    )


def _remove_unowned(tables: Tables, owned: frozenset[str]) -> None:
    """Removes the order state of endpoints that this node does not own.

    The newest and the refused generation of an endpoint stay as long as it is
    listed. An endpoint with a pending order keeps its whole state until the
    response arrives.
    """
    for name, order_state in list(tables.order_states_by_endpoint.items()):
        if name in owned or order_state.pending is not None:
            continue
        if name in tables.endpoints_by_name:
            remaining = OrderState(
                newest_generation=order_state.newest_generation,
                refused_generation=order_state.refused_generation,
            )
            tables.order_states_by_endpoint[name] = remaining
        else:
            del tables.order_states_by_endpoint[name]


def _read_newer_configuration(
    tables: Tables, owned: frozenset[str], generation: int, now_s: float
) -> Effects:
    """Reads the platform while an endpoint knows a newer generation.

    A newer generation on a peer needs no check here, since membership messages
    carry it.
    """
    newer_known = any(
        tables.order_states_by_endpoint[name].refused_generation >= generation
        for name in owned
        if name in tables.order_states_by_endpoint
    )
    if not newer_known or now_s < tables.timers.next_platform_read_s:
        return ()
    tables.timers.next_platform_read_s = now_s + _PLATFORM_READ_INTERVAL_S
    return (ReadPlatform(),)


__all__ = ["describe_orders", "record_outcome", "send_orders"]
