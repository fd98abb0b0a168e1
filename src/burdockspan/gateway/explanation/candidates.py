"""Explains the order in which the endpoints of a stage would be tried."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from burdockspan.gateway.choice.endpoint_capacity import Load
from burdockspan.gateway.choice.ranking import Candidate, relate_to_zone
from burdockspan.gateway.context import Context
from burdockspan.gateway.endpoints import passive_health
from burdockspan.gateway.requests.reservations import (
    choose_tokens,
    list_decode_candidates,
)
from burdockspan.gateway.values import (
    Endpoint,
    EngineProperties,
    GenerationSize,
    Stage,
)


@dataclasses.dataclass(frozen=True)
class CandidateExplanation:
    """An endpoint of the service, with the inputs of its rank.

    Attributes:
      endpoint: identity of the endpoint.
      zone: its availability zone.
      stage: part of a generation that it runs; None for both, or if plain.
      software_version: version of its software.
      slots: requests that it runs concurrently.
      running_here: requests that this VM runs there.
      tokens_here: tokens of the generations that this VM runs there.
      load: its load as the rank uses it.
      suspicion: present weight of the suspicion against it.
      estimate: what is believed of it, with the samples and their age.
      wait_s: time until this VM may send it a request; None if unknown.
      usable: whether it may be tried now.
      reason: why it is not tried first; None for the first one.
    """

    endpoint: str
    zone: str
    stage: str | None
    software_version: str
    slots: int
    running_here: int
    tokens_here: int
    load: float
    suspicion: float
    estimate: Mapping[str, Any]
    wait_s: float | None
    usable: bool
    reason: str | None


@dataclasses.dataclass(frozen=True)
class _Stage:
    """Inputs of the explanation of one stage.

    Attributes:
      endpoints: all endpoints of the stage.
      usable: those that take a request now.
      ranked: these in their order.
      zone: zone that requests come from.
      load: load of an endpoint.
      software_version: version that is needed; None for any.
      full_s: returns for how long an engine counts as full yet, in seconds.
    """

    endpoints: Iterable[Endpoint]
    usable: tuple[Candidate, ...]
    ranked: tuple[Endpoint, ...]
    zone: str
    load: Load
    software_version: str | None
    full_s: Callable[[Endpoint], float] = lambda _: 0.0


def explain_plain(
    context: Context, service: str, software_version: str | None
) -> tuple[CandidateExplanation, ...]:
    """Explains the endpoints of a plain service, in their order."""
    load = context.endpoint_capacity.make_plain_load()
    usable = context.state.candidates(
        service, load, software_version=software_version
    )
    return _explain(
        context,
        _Stage(
            _list_endpoints(context, service),
            usable,
            context.endpoint_capacity.rank_plain(usable),
            context.state.zone,
            load,
            software_version,
        ),
    )


def explain_decode(
    context: Context,
    service: str,
    engine: EngineProperties,
    size: GenerationSize,
    software_version: str | None,
) -> tuple[CandidateExplanation, ...]:
    """Explains the engines that decode a generation, in their order."""
    tokens = sum(choose_tokens(engine, size))
    usable = list_decode_candidates(context, service, engine, software_version)
    now_s = context.clock()
    return _explain(
        context,
        _Stage(
            _list_decoders(context, service, usable),
            usable,
            context.endpoint_capacity.rank_decode(usable),
            context.state.zone,
            context.endpoint_capacity.make_decode_load(engine),
            software_version,
            lambda endpoint: context.full_engines.remaining_s(
                endpoint, tokens, now_s
            ),
        ),
    )


def explain_prefill(
    context: Context, service: str, size: GenerationSize, zone: str
) -> tuple[CandidateExplanation, ...]:
    """Explains the engines that prefill a prompt for a decode engine.

    Args:
      context: dependencies.
      service: name of the service.
      size: size of the generation.
      zone: zone of the decode engine.
    """
    load = context.endpoint_capacity.make_prefill_load(size.prompt_tokens)
    usable = context.state.candidates(service, load, Stage.PREFILL)
    return _explain(
        context,
        _Stage(
            _list_endpoints(context, service, Stage.PREFILL),
            relate_to_zone(usable, zone),
            context.endpoint_capacity.rank_prefill(usable, zone),
            zone,
            load,
            None,
        ),
    )


def _list_endpoints(
    context: Context, service: str, stage: Stage | None = None
) -> list[Endpoint]:
    return [
        endpoint
        for endpoint in context.state.list_endpoints()
        if endpoint.service == service and stage in (None, endpoint.stage)
    ]


def _list_decoders(
    context: Context, service: str, usable: tuple[Candidate, ...]
) -> list[Endpoint]:
    """Returns the engines of the kind that would decode, also unusable ones."""
    decoders = _list_endpoints(context, service, Stage.DECODE)
    both = [
        endpoint
        for endpoint in _list_endpoints(context, service)
        if endpoint.stage is None
    ]
    uses_both = any(item.endpoint.stage is None for item in usable)
    return [*decoders, *both] if uses_both or not usable else decoders


def _explain(
    context: Context, stage: _Stage
) -> tuple[CandidateExplanation, ...]:
    by_incarnation = {item.endpoint.incarnation: item for item in stage.usable}
    free = [item for item in stage.ranked if stage.full_s(item) <= 0.0]
    full = [item for item in stage.ranked if stage.full_s(item) > 0.0]
    first = by_incarnation[free[0].incarnation] if free else None
    explained = []
    for endpoint in free:
        candidate = by_incarnation[endpoint.incarnation]
        reason = _compare(context, candidate, first)
        explained.append(_describe(context, stage, endpoint, True, reason))
    for endpoint in full:
        reason = f"full for another {stage.full_s(endpoint):.3f} s"
        explained.append(_describe(context, stage, endpoint, False, reason))
    for endpoint in stage.endpoints:
        if endpoint.incarnation not in by_incarnation:
            reason = _explain_unusable(context, stage, endpoint)
            explained.append(_describe(context, stage, endpoint, False, reason))
    return tuple(explained)


def _compare(
    context: Context, candidate: Candidate, first: Candidate | None
) -> str | None:
    """Returns why a usable endpoint is behind the first one."""
    if first is None or candidate is first:
        return None
    if context.state.conditions.is_leaving(candidate.endpoint):
        return "leaving"
    if candidate.suspicion >= passive_health.SUSPECT_WEIGHT:
        return "suspect"
    if first.local and not candidate.local:
        return "other zone"
    if candidate.load > first.load:
        return "more loaded"
    if candidate.suspicion > first.suspicion:
        return "slightly suspect"
    if candidate.load == first.load:
        return "equal load, not drawn"
    return "not drawn"


def _explain_unusable(
    context: Context, stage: _Stage, endpoint: Endpoint
) -> str:
    """Returns why an endpoint takes no request of this VM."""
    conditions = context.state.conditions
    if endpoint.leaving or conditions.has_left(endpoint):
        return "leaving"
    if stage.software_version not in (None, endpoint.software_version):
        return "other version"
    entry = context.state.endpoint_table().by_id.get(endpoint.id)
    now_s = context.clock()
    if entry is None or not entry.usable_from_s <= now_s < entry.expires_s:
        return "not usable yet, or its entry has expired"
    wait_s = conditions.wait_s(endpoint)
    if math.isinf(wait_s):
        return "limit, whose share is unknown here"
    if wait_s > 0.0:
        paused = conditions.explain_wait(endpoint) == "endpoints paused"
        return f"{'paused' if paused else 'limit'} for another {wait_s:.3f} s"
    return "not needed while others run this stage alone"


def _describe(
    context: Context,
    stage: _Stage,
    endpoint: Endpoint,
    usable: bool,
    reason: str | None,
) -> CandidateExplanation:
    candidate = context.state.describe(endpoint, stage.load)
    running, tokens = context.state.running_work(endpoint)
    wait_s = context.state.conditions.wait_s(endpoint)
    return CandidateExplanation(
        endpoint=endpoint.id,
        zone=endpoint.zone,
        stage=endpoint.stage.value if endpoint.stage else None,
        software_version=endpoint.software_version,
        slots=endpoint.slots,
        running_here=running,
        tokens_here=tokens,
        load=round(candidate.load, 3),
        suspicion=round(candidate.suspicion, 3),
        estimate=context.endpoint_capacity.explain(endpoint),
        wait_s=None if math.isinf(wait_s) else round(wait_s, 3),
        usable=usable,
        reason=reason,
    )


__all__ = [
    "CandidateExplanation",
    "explain_decode",
    "explain_plain",
    "explain_prefill",
]
