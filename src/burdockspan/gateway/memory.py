"""Takes decode memory at an engine before a prompt is read."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable

from result import Ok

from burdockspan.gateway import evidence
from burdockspan.gateway.attempts import Job
from burdockspan.gateway.choice import View, rank_decode
from burdockspan.gateway.context import Context
from burdockspan.gateway.tables import Incarnation
from burdockspan.gateway.values import Endpoint, Engine, Prompt, Stage
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
class Room:
    """Memory for one generation.

    Attributes:
      endpoint: engine that will decode.
      reservation: names the memory at the engine; None if engines take no
        reservations.
      tokens: tokens that it is for.
      release: notes the end of the generation, once.
    """

    endpoint: Endpoint
    reservation: str | None
    tokens: int
    release: Callable[[], None]


def needed_tokens(prompt: Prompt) -> int:
    """Returns the memory that a generation is expected to take."""
    output = _OUTPUT_SHARE * prompt.expected_output_tokens
    tokens = prompt.tokens + output
    return _BLOCK_TOKENS * math.ceil(tokens / _BLOCK_TOKENS)


def take_room(
    context: Context,
    job: Job,
    engine: Engine,
    prompt: Prompt,
    avoided: set[Incarnation],
) -> Room | None:
    """Reserves memory at the best engine that has room, None without one."""
    tokens = min(needed_tokens(prompt), engine.kv_tokens)
    ranked = rank_decode(_views(context, job, engine), context.random_float)
    asked = 0
    for endpoint in ranked:
        if endpoint.incarnation in avoided or asked >= _MOST_ASKED:
            continue
        if context.full.covers(endpoint, tokens, context.clock()):
            continue
        asked += 1
        room = _ask(context, job, engine, endpoint, tokens)
        if room is not None:
            return room
    return None


def _views(context: Context, job: Job, engine: Engine) -> tuple[View, ...]:
    def load(_: Endpoint, running: int, tokens: int) -> float:
        return max(tokens / engine.kv_tokens, running / engine.slots)

    tables = context.tables
    staged = tables.views(job.service, load, Stage.DECODE)
    if staged:
        return staged
    views = tables.views(job.service, load)
    return tuple(view for view in views if view.endpoint.stage is None)


def _ask(
    context: Context,
    job: Job,
    engine: Engine,
    endpoint: Endpoint,
    tokens: int,
) -> Room | None:
    end = context.tables.begin(endpoint, tokens)

    def release() -> None:
        end()
        context.full.clear(endpoint)
        context.lines.of(job.service).notify()

    if engine.reservation_s <= 0:
        return Room(endpoint, None, tokens, release)
    reserved = context.platform.endpoints.reserve(
        endpoint, tokens, engine.reservation_s
    )
    if isinstance(reserved, Ok):
        return Room(endpoint, reserved.ok_value, tokens, release)
    failure = reserved.err_value
    end()
    full = failure.kind is FailureKind.REFUSED
    if full:
        context.full.add(endpoint, tokens, context.clock() + _FULL_S)
    else:
        weight = evidence.weight_of(failure.kind)
        context.tables.note_failure(endpoint, weight)
    context.registry.count("reservation", failure.kind.value)
    context.log(
        "no room",
        request_id=job.call.request_id,
        endpoint=endpoint.id,
        tokens=tokens,
        kind="full" if full else failure.kind.value,
        detail=failure.detail,
    )
    return None


__all__ = ["Room", "needed_tokens", "take_room"]
