"""Takes decode memory at an engine before a prompt is read."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable

from result import Ok

from burdockspan.gateway import passive_health
from burdockspan.gateway.attempts import RoutedRequest
from burdockspan.gateway.context import Context
from burdockspan.gateway.ranking import Candidate, rank_decode
from burdockspan.gateway.state import Incarnation
from burdockspan.gateway.values import (
    Endpoint,
    EngineProperties,
    GenerationSize,
    Stage,
)
from burdockspan.values.placement import FailureKind

# An engine that had no room is asked again after this time, or once a run of
# this VM has ended there.
_FULL_S = 0.1
# Engines asked for room in one go; each costs a connection.
_MOST_ASKED = 4
# Generations of one engine are at different places of their answers, so that
# together they hold less than the whole of them at any time. A generation that
# finds no memory for its next token makes another one start anew.
_OUTPUT_SHARE = 0.8
# Engines allocate memory in blocks of so many tokens.
_BLOCK_TOKENS = 16


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Memory for one generation.

    Attributes:
      endpoint: engine that will decode.
      name: names the memory at the engine; None if engines take no
        reservations.
      tokens: tokens that it is for.
      release: notes the end of the generation, once.
    """

    endpoint: Endpoint
    name: str | None
    tokens: int
    release: Callable[[], None]


def estimate_tokens(size: GenerationSize) -> int:
    """Returns the memory that a generation is expected to take."""
    output = _OUTPUT_SHARE * size.expected_output_tokens
    tokens = size.prompt_tokens + output
    return _BLOCK_TOKENS * math.ceil(tokens / _BLOCK_TOKENS)


def reserve_memory(
    context: Context,
    request: RoutedRequest,
    engine: EngineProperties,
    size: GenerationSize,
    avoided: set[Incarnation],
) -> Reservation | None:
    """Reserves memory at the best engine that has room, None without one."""
    tokens = min(estimate_tokens(size), engine.kv_tokens)
    ranked = rank_decode(_views(context, request, engine), context.random_float)
    asked = 0
    for endpoint in ranked:
        if endpoint.incarnation in avoided or asked >= _MOST_ASKED:
            continue
        if context.full_engines.is_full_for(endpoint, tokens, context.clock()):
            continue
        asked += 1
        reservation = _reserve_at(context, request, engine, endpoint, tokens)
        if reservation is not None:
            return reservation
    return None


def _views(
    context: Context, request: RoutedRequest, engine: EngineProperties
) -> tuple[Candidate, ...]:
    def load(_: Endpoint, running: int, tokens: int) -> float:
        return max(tokens / engine.kv_tokens, running / engine.slots)

    state = context.state
    staged = state.candidates(request.service, load, Stage.DECODE)
    if staged:
        return staged
    candidates = state.candidates(request.service, load)
    return tuple(
        candidate
        for candidate in candidates
        if candidate.endpoint.stage is None
    )


def _reserve_at(
    context: Context,
    request: RoutedRequest,
    engine: EngineProperties,
    endpoint: Endpoint,
    tokens: int,
) -> Reservation | None:
    end = context.state.begin_work(endpoint, tokens)

    def release() -> None:
        end()
        context.full_engines.clear(endpoint)
        context.admission_queues.for_service(request.service).wake()

    if engine.reservation_ttl_s <= 0:
        return Reservation(endpoint, None, tokens, release)
    reserved = context.platform.endpoints.reserve(
        endpoint, tokens, engine.reservation_ttl_s
    )
    if isinstance(reserved, Ok):
        return Reservation(endpoint, reserved.ok_value, tokens, release)
    failure = reserved.err_value
    end()
    full = failure.kind is FailureKind.REFUSED
    if full:
        context.full_engines.add(endpoint, tokens, context.clock() + _FULL_S)
    else:
        weight = passive_health.failure_weight(failure.kind)
        context.state.record_failure(endpoint, weight)
    context.registry.count("reservation", failure.kind.value)
    context.log(
        "no room",
        request_id=request.call.request_id,
        endpoint=endpoint.id,
        tokens=tokens,
        kind="full" if full else failure.kind.value,
        detail=failure.detail,
    )
    return None


__all__ = ["Reservation", "estimate_tokens", "reserve_memory"]
