"""Balances the stages of the engines; runs at one VM after each beat."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from burdockspan.gateway import passive_health, stages
from burdockspan.gateway.context import Context
from burdockspan.gateway.stage_orders import OrderSender
from burdockspan.gateway.stages import SettledEngines
from burdockspan.gateway.values import Stage


def balance_stages(
    context: Context,
    order_sender: OrderSender,
    settled: SettledEngines,
    value_by_vm: Mapping[str, Any],
    may_order: bool,
) -> None:
    """Orders prefill engines that no burst needs to decode.

    Args:
      context: collaborators.
      order_sender: sends orders.
      settled: engines of the last beat.
      value_by_vm: what the VMs wrote into their objects lately.
      may_order: whether this VM has run for long enough to give orders.
    """
    active = context.state.active_configuration()
    if active is None:
        return
    demands = []
    for value in value_by_vm.values():
        held = value.get("demand") if isinstance(value, dict) else None
        demands.append(stages.decode_demands(held) or {})
    for name, service in active.configuration.services_by_name.items():
        engine = service.engine
        if engine is None or engine.stage_switch_s <= 0:
            continue
        demand = stages.combine_demands([one.get(name) for one in demands])
        candidates = context.state.candidates(
            name, lambda *_: 0.0, Stage.PREFILL
        )
        prefill = settled.update(
            name, [candidate.endpoint for candidate in candidates]
        )
        chosen = stages.choose_engines_to_decode(prefill, demand)
        if not chosen or not may_order:
            continue
        # An engine that was ordered lately is no prefill engine any more,
        # though its entry says so until it has changed.
        staying = order_sender.exclude_ordered(prefill)
        chosen = stages.choose_engines_to_decode(staying, demand)
        if not chosen:
            continue
        context.log(
            "stages unbalanced",
            service=name,
            prefill=len(staying),
            tokens_per_s=round(demand.tokens_per_s),
            engine_tokens_per_s=round(demand.engine_tokens_per_s),
            chosen=[one.id for one in chosen],
        )
        for ordered in order_sender.send(chosen, Stage.DECODE):
            context.state.record_failure(
                ordered, passive_health.STAGE_ORDER_WEIGHT
            )


__all__ = ["balance_stages"]
