"""Balances the stages of the engines after each heartbeat of this VM."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from burdockspan.gateway.choice import stages
from burdockspan.gateway.choice.stage_orders import OrderSender
from burdockspan.gateway.choice.stages import (
    PromptMeasurement,
    SettledEngines,
)
from burdockspan.gateway.context import Context
from burdockspan.gateway.endpoints import passive_health
from burdockspan.gateway.fleet.reachability import OUT_OF_REACH
from burdockspan.gateway.values import Stage


def balance_stages(
    context: Context,
    order_sender: OrderSender,
    settled_engines: SettledEngines,
    measurements: Sequence[Mapping[str, PromptMeasurement]],
    may_order: bool,
) -> bool:
    """Orders prefill engines to decode if no burst needs them to prefill.

    Args:
      context: dependencies.
      order_sender: sends the orders.
      settled_engines: finds engines that already existed at the last heartbeat.
      measurements: what each VM has measured, by service.
      may_order: whether this VM has run for long enough to send orders.

    Returns:
      Whether engines were to be ordered.
    """
    active = context.state.active_configuration()
    if active is None:
        return False
    is_due = False
    for name, service in active.configuration.services_by_name.items():
        engine = service.engine
        if engine is None or engine.stage_switch_s <= 0:
            continue
        demand = stages.combine_measurements(
            [by_service.get(name) for by_service in measurements]
        )
        prefill_engines = settled_engines.update(
            name, context.state.list_usable(name, Stage.PREFILL)
        )
        chosen = stages.choose_engines_to_decode(prefill_engines, demand)
        if not chosen or not may_order:
            continue
        is_due = True
        if context.reachability.is_out_of_reach(name):
            # Orders would fail, and the lease keeps other VMs from sending any.
            context.log("stages not balanced", service=name, cause=OUT_OF_REACH)
            continue
        # An engine with a recent order no longer counts as a prefill engine,
        # although its entry says so until the change is complete.
        remaining = order_sender.exclude_ordered(prefill_engines)
        chosen = stages.choose_engines_to_decode(remaining, demand)
        if not chosen:
            continue
        context.log(
            "stages unbalanced",
            service=name,
            prefill=len(remaining),
            tokens_per_s=round(demand.tokens_per_s),
            engine_tokens_per_s=round(demand.engine_tokens_per_s),
            shortage=round(demand.shortage, 3),
            chosen=[endpoint.id for endpoint in chosen],
        )
        for endpoint in order_sender.send_orders(chosen, Stage.DECODE):
            context.state.record_failure(
                endpoint, passive_health.STAGE_ORDER_WEIGHT
            )
    return is_due


def read_measurements(
    value_by_vm: Mapping[str, Any],
) -> list[dict[str, PromptMeasurement]]:
    """Returns what the VMs have written of their prompts, by service.

    Args:
      value_by_vm: contents of the objects that VMs renewed recently.
    """
    return [
        stages.decode_measurements(
            value.get("demand") if isinstance(value, dict) else None
        )
        for value in value_by_vm.values()
    ]


__all__ = ["balance_stages", "read_measurements"]
