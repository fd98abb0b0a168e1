"""Forwards requests to plain services."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from result import Err, Ok, Result

from burdockspan.endpoints.failures import EndpointError
from burdockspan.gateway import passive_health
from burdockspan.gateway.attempts import (
    RETRY_AFTER_S,
    Attempts,
    RoutedRequest,
    log_attempt,
)
from burdockspan.gateway.context import Context
from burdockspan.gateway.messages import Response, TruncatedError
from burdockspan.gateway.ports import AttemptOptions, EndpointResponse
from burdockspan.gateway.ranking import exclude_tried, rank_plain
from burdockspan.gateway.values import Endpoint, RequestKind
from burdockspan.values.placement import Failure

# An answer up to this size is read whole before its head is passed on, so that
# one that breaks off can still be replaced.
_WHOLE_ANSWER_BYTES = 1024 * 1024
# Share of the objective after which an idempotent request that has no answer
# yet goes to another endpoint, with time left to meet the objective there.
_PATIENCE_SHARE = 0.6


def forward(context: Context, request: RoutedRequest) -> Response:
    """Returns the answer of an endpoint, or why there is none."""
    attempts = Attempts(context, request)
    answered: Response | None = None
    while True:
        endpoint = _choose(context, request, attempts)
        if endpoint is None or not attempts.try_start():
            break
        outcome = _attempt(context, request, attempts, endpoint)
        if isinstance(outcome, Err):
            attempts.record_failure(endpoint, outcome.err_value)
            continue
        attempts.record_run(endpoint)
        answered = outcome.ok_value
        if answered.status < 500 or not request.route.repeatable:
            return answered
    if answered is not None:
        return answered
    reason = "no endpoint" if endpoint is None else "no attempt left"
    return attempts.make_refusal(reason, RETRY_AFTER_S)


def _choose(
    context: Context, request: RoutedRequest, attempts: Attempts
) -> Endpoint | None:
    candidates = context.state.candidates(
        request.service, lambda one, running, _: running / one.slots
    )
    ranked = rank_plain(candidates, context.random_float)
    fresh = exclude_tried(ranked, attempts.tried)
    return fresh[0] if fresh else None


def _attempt(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    endpoint: Endpoint,
) -> Result[Response, Failure]:
    wait_s = _first_wait_s(context, request, attempts)
    log_attempt(context, request, endpoint, wait_s=round(wait_s, 3))
    end = context.state.begin_work(endpoint)
    started_s = context.clock()
    try:
        options = AttemptOptions(attempts.remaining_s(), wait_s, request.abort)
        ran = context.platform.endpoints.run(endpoint, request.call, options)
        if isinstance(ran, Err):
            return ran
        response = _read_answer(attempts, ran.ok_value, _held_bytes(request))
    finally:
        end()
    if isinstance(response, Ok):
        _judge(context, endpoint, ran.ok_value)
        taken_s = context.clock() - started_s
        context.registry.observe("plain_attempt", taken_s)
    return response


def _first_wait_s(
    context: Context, request: RoutedRequest, attempts: Attempts
) -> float:
    remaining_s = attempts.remaining_s()
    candidates = context.state.candidates(request.service, lambda *_: 0.0)
    others = len(candidates) - len(attempts.tried) - 1
    may_repeat = attempts.runs + 1 < request.route.max_attempts and others > 0
    if not request.route.repeatable or not may_repeat:
        return remaining_s
    return min(
        remaining_s, max(0.05, _PATIENCE_SHARE * request.route.objective_s)
    )


def _judge(
    context: Context, endpoint: Endpoint, answer: EndpointResponse
) -> None:
    if answer.status >= 500:
        weight = passive_health.FAILED_RESPONSE_WEIGHT
        context.state.record_failure(endpoint, weight)
        context.registry.count("attempt", "failed_answer")
        return
    context.state.record_success(endpoint)
    context.registry.count("attempt", "answered")


def _held_bytes(request: RoutedRequest) -> int:
    # The events of a stream are passed on as they arrive.
    return (
        0 if request.route.kind is RequestKind.STREAM else _WHOLE_ANSWER_BYTES
    )


def _read_answer(
    attempts: Attempts, answer: EndpointResponse, held_bytes: int
) -> Result[Response, Failure]:
    parts = answer.iterate(attempts.remaining_s)
    held: list[bytes] = []
    size = 0
    try:
        for part in parts:
            held.append(part)
            size += len(part)
            if size > held_bytes:
                rest = _iterate_rest(parts)
                body = itertools.chain(held, rest)
                return Ok(
                    Response(answer.status, answer.headers, body, answer.close)
                )
    except EndpointError as error:
        answer.close()
        return Err(error.failure)
    answer.close()
    return Ok(Response(answer.status, _with_length(answer, size), held))


def _iterate_rest(parts: Iterator[bytes]) -> Iterator[bytes]:
    try:
        yield from parts
    except EndpointError as error:
        raise TruncatedError(error.failure.detail) from error


def _with_length(
    answer: EndpointResponse, size: int
) -> tuple[tuple[str, str], ...]:
    kept = (
        item for item in answer.headers if item[0].lower() != "content-length"
    )
    return (*kept, ("Content-Length", str(size)))


__all__ = ["forward"]
