"""Reserves decode memory at an engine before the prompt is prefilled."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable

from result import Err, Ok, Result

from burdockspan.gateway.choice.ranking import Candidate
from burdockspan.gateway.context import Context
from burdockspan.gateway.endpoints import passive_health
from burdockspan.gateway.requests.attempts import MIN_ATTEMPT_S, RoutedRequest
from burdockspan.gateway.state import Incarnation
from burdockspan.gateway.values import (
    Endpoint,
    EngineProperties,
    GenerationSize,
    Stage,
)
from burdockspan.values.placement import Failure, FailureKind

# An engine without enough free memory is skipped for this time, or until a
# generation of this VM has ended there.
_FULL_TTL_S = 0.1
# Limit of reservation requests in one call of `reserve_memory`. Each of them
# opens a connection.
_MAX_RESERVATION_REQUESTS = 4
# Share of the expected output that memory is reserved for. The generations of
# an engine are at different positions of their output, so that together they
# use less memory than all their complete outputs would.
_OUTPUT_SHARE = 0.5
# Memory that must remain free at an engine besides, relative to the expected
# output. Between the ends of two generations, the others grow by one output on
# average. An engine that runs out of memory interrupts its newest generation
# and computes it again.
_HEADROOM_SHARE = 1.0
# Size of the blocks in which engines allocate memory.
_BLOCK_TOKENS = 16


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Decode memory for one generation.

    Attributes:
      endpoint: the decode engine.
      name: name of the reservation at the engine; None if the engine supports
        no reservations.
      tokens: size of the reservation.
      release: records the end of the generation; only the first call has an
        effect.
    """

    endpoint: Endpoint
    name: str | None
    tokens: int
    release: Callable[[], None]


def estimate_tokens(size: GenerationSize) -> int:
    """Returns the expected memory of a generation, in tokens."""
    output = _OUTPUT_SHARE * size.expected_output_tokens
    tokens = size.prompt_tokens + output
    return _BLOCK_TOKENS * math.ceil(tokens / _BLOCK_TOKENS)


def estimate_headroom(size: GenerationSize) -> int:
    """Returns the memory that must remain free at the engine, in tokens."""
    return math.ceil(_HEADROOM_SHARE * size.expected_output_tokens)


def choose_tokens(
    engine: EngineProperties, size: GenerationSize
) -> tuple[int, int]:
    """Returns the tokens to reserve, and those that must remain free."""
    tokens = min(estimate_tokens(size), engine.kv_tokens)
    headroom = min(estimate_headroom(size), engine.kv_tokens - tokens)
    return tokens, headroom


def reserve_memory(
    context: Context,
    request: RoutedRequest,
    engine: EngineProperties,
    size: GenerationSize,
    excluded: set[Incarnation],
    record_silence: Callable[[], None] = lambda: None,
    is_wanted: Callable[[], bool] = lambda: True,
) -> Reservation | None:
    """Reserves memory at the first engine in rank order that grants it.

    Args:
      context: dependencies.
      request: the generation.
      engine: properties of the service's engines.
      size: size of the generation.
      excluded: engines to skip.
      record_silence: called if no engine said whether it has memory.
      is_wanted: returns whether the reservation may still be needed.

    Returns:
      The reservation; None if no engine granted one.
    """
    tokens, headroom = choose_tokens(engine, size)
    ranked = context.endpoint_capacity.rank_decode(
        list_decode_candidates(
            context, request.service, engine, request.software_version
        )
    )
    request_count = 0
    failure_kinds: set[FailureKind] = set()
    for endpoint in ranked:
        if (
            endpoint.incarnation in excluded
            or not is_wanted()
            or request.deadline_s - context.clock() < MIN_ATTEMPT_S
            or request_count >= _MAX_RESERVATION_REQUESTS
        ):
            continue
        if context.full_engines.is_full_for(
            endpoint, tokens + headroom, context.clock()
        ):
            failure_kinds.add(FailureKind.REFUSED)
            continue
        if not context.state.conditions.try_take(endpoint):
            continue
        request_count += 1
        reservation = _reserve_at(
            context, request, engine, endpoint, tokens, headroom
        )
        if isinstance(reservation, Ok):
            return reservation.ok_value
        failure_kinds.add(reservation.err_value.kind)
    if failure_kinds == {FailureKind.UNRESPONSIVE}:
        record_silence()
    return None


def list_decode_candidates(
    context: Context,
    service: str,
    engine: EngineProperties,
    version: str | None,
) -> tuple[Candidate, ...]:
    """Returns the decode engines, or else the engines that run both stages.

    Args:
      context: dependencies.
      service: name of the service.
      engine: properties of its engines.
      version: software version of the engines; None for all.
    """
    state = context.state
    load = context.endpoint_capacity.make_decode_load(engine)
    decode_engines = state.candidates(service, load, Stage.DECODE, version)
    if decode_engines:
        return decode_engines
    candidates = state.candidates(service, load, software_version=version)
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
    headroom: int,
) -> Result[Reservation, Failure]:
    end_work = context.state.begin_work(endpoint, tokens)

    def release() -> None:
        end_work()
        context.full_engines.clear(endpoint)
        context.admission_queues.for_service(request.service).wake()

    if engine.reservation_ttl_s <= 0:
        return Ok(Reservation(endpoint, None, tokens, release))
    if context.state.conditions.rate_limits.limit_per_s(endpoint) is not None:
        # An engine in need receives as few calls as possible.
        headroom = 0
    reserved = _reserve_below_headroom(
        context, request, engine, endpoint, tokens, headroom
    )
    if isinstance(reserved, Ok):
        return Ok(Reservation(endpoint, reserved.ok_value, tokens, release))
    failure = reserved.err_value
    end_work()
    is_full = failure.kind is FailureKind.REFUSED
    if is_full:
        context.full_engines.add(
            endpoint, tokens + headroom, context.clock() + _FULL_TTL_S
        )
    else:
        weight = passive_health.failure_weight(failure.kind)
        context.state.record_failure(endpoint, weight)
    context.registry.count("reservation", failure.kind.value)
    context.log(
        "no room",
        request_id=request.call.request_id,
        endpoint=endpoint.id,
        tokens=tokens,
        kind="full" if is_full else failure.kind.value,
        detail=failure.detail,
    )
    return reserved


def _reserve_below_headroom(
    context: Context,
    request: RoutedRequest,
    engine: EngineProperties,
    endpoint: Endpoint,
    tokens: int,
    headroom: int,
) -> Result[str, Failure]:
    """Reserves memory if the engine has headroom besides.

    A reservation that includes the headroom shows whether the engine has it.
    It is released at once, since the surplus of a reservation stays reserved
    until the generation ends.
    """
    endpoints = context.platform.endpoints

    def reserve(size_tokens: int) -> Result[str, Failure]:
        return endpoints.reserve(
            endpoint,
            size_tokens,
            engine.reservation_ttl_s,
            request.deadline_s - context.clock(),
            lambda: context.state.record_silence(endpoint),
        )

    if headroom > 0:
        probe = reserve(tokens + headroom)
        if isinstance(probe, Err):
            return probe
        endpoints.release_reservation(endpoint, probe.ok_value)
    return reserve(tokens)


__all__ = [
    "Reservation",
    "choose_tokens",
    "estimate_headroom",
    "estimate_tokens",
    "list_decode_candidates",
    "reserve_memory",
]
