"""Balances the stages of the engines; runs at one VM after each beat."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from burdockspan.gateway import evidence, stages
from burdockspan.gateway.context import Context
from burdockspan.gateway.orders import Orderer
from burdockspan.gateway.stages import SettledEngines
from burdockspan.gateway.values import Stage


def balance(
    context: Context,
    orderer: Orderer,
    settled: SettledEngines,
    value_by_vm: Mapping[str, Any],
    may_order: bool,
) -> None:
    """Orders prefill engines that no burst needs to decode.

    Args:
      context: collaborators.
      orderer: sends orders.
      settled: engines of the last beat.
      value_by_vm: what the VMs wrote into their objects lately.
      may_order: whether this VM has run for long enough to give orders.
    """
    version = context.tables.version()
    if version is None:
        return
    demands = []
    for value in value_by_vm.values():
        held = value.get("demand") if isinstance(value, dict) else None
        demands.append(stages.decode(held) or {})
    for name, service in version.configuration.services_by_name.items():
        engine = service.engine
        if engine is None or engine.stage_switch_s <= 0:
            continue
        demand = stages.combine([one.get(name) for one in demands])
        views = context.tables.views(name, lambda *_: 0.0, Stage.PREFILL)
        prefill = settled.note(name, [view.endpoint for view in views])
        chosen = stages.choose_engines(prefill, demand)
        if not chosen or not may_order:
            continue
        # An engine that was ordered lately is no prefill engine any more,
        # though its entry says so until it has changed.
        staying = orderer.exclude_ordered(prefill)
        chosen = stages.choose_engines(staying, demand)
        if not chosen:
            continue
        context.log(
            "stages unbalanced",
            service=name,
            prefill=len(staying),
            tokens_per_s=round(demand.tokens_per_s),
            engine_tokens_per_s=round(demand.speed),
            chosen=[one.id for one in chosen],
        )
        for ordered in orderer.give(chosen, Stage.DECODE):
            context.tables.note_failure(ordered, evidence.ORDERED_WEIGHT)


__all__ = ["balance"]
