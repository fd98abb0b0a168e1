"""Forwards requests to plain services."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Iterator

from result import Err, Ok, Result

from burdockspan.endpoints.failures import EndpointError
from burdockspan.gateway import passive_health
from burdockspan.gateway.attempts import (
    RETRY_AFTER_S,
    Attempts,
    RoutedRequest,
    explain_missing_endpoint,
    log_attempt,
)
from burdockspan.gateway.context import Context
from burdockspan.gateway.messages import Response, TruncatedError
from burdockspan.gateway.ports import AttemptOptions, EndpointResponse
from burdockspan.gateway.ranking import exclude_tried, rank_plain
from burdockspan.gateway.resumption import publish_origin
from burdockspan.gateway.values import Endpoint, RequestKind
from burdockspan.values.placement import Failure

# A response up to this size is read completely before its head is forwarded, so
# that another attempt can replace one that is truncated.
_BUFFER_LIMIT_BYTES = 1024 * 1024
# Share of the objective after which a request that may run more than once goes
# to another endpoint if it has no response. The other endpoint then has time to
# meet the objective.
_HEAD_TIMEOUT_SHARE = 0.6
_MIN_HEAD_TIMEOUT_S = 0.05
# A request waits for an endpoint that is paused or at its limit no longer than
# this share of its objective after its arrival. The endpoint then has time to
# meet the objective.
_MAX_WAIT_SHARE = 0.5


def forward(context: Context, request: RoutedRequest) -> Response:
    """Returns the response of an endpoint, or an error response."""
    attempts = Attempts(context, request)
    last_response: Response | None = None
    while True:
        endpoint = _take_endpoint(
            context, request, attempts
        ) or _wait_for_endpoint(context, request, attempts)
        if endpoint is None or not attempts.try_start():
            break
        outcome = _run_attempt(context, request, attempts, endpoint)
        if isinstance(outcome, Err):
            attempts.record_failure(endpoint, outcome.err_value)
            continue
        attempts.record_run(endpoint)
        last_response = outcome.ok_value
        if 200 <= last_response.status < 300:
            publish_origin(context, request, endpoint)
        if last_response.status < 500 or not request.route.repeatable:
            return last_response
    if last_response is not None:
        return last_response
    reason = "no attempt left"
    retry_after_s = RETRY_AFTER_S
    if endpoint is None:
        reason, retry_after_s = explain_missing_endpoint(
            context, request, attempts
        )
    return attempts.make_error_response(reason, retry_after_s)


def _take_endpoint(
    context: Context, request: RoutedRequest, attempts: Attempts
) -> Endpoint | None:
    """Returns the best untried endpoint, and uses a permit of its limit."""
    candidates = context.state.candidates(
        request.service,
        lambda endpoint, running, _: running / endpoint.slots,
        software_version=request.software_version,
    )
    ranked = rank_plain(candidates, context.random_float)
    untried = exclude_tried(ranked, attempts.tried_incarnations)
    return next(filter(context.state.conditions.try_take, untried), None)


def _wait_for_endpoint(
    context: Context, request: RoutedRequest, attempts: Attempts
) -> Endpoint | None:
    """Returns an endpoint that takes the request within its objective.

    It waits once. If another request takes the endpoint, there is none.
    """
    soonest = context.state.find_soonest(
        request.service, attempts.tried_incarnations, request.software_version
    )
    if soonest is None:
        return None
    waited_s = context.clock() - request.call.arrived_s
    max_wait_s = _MAX_WAIT_SHARE * request.route.objective_s - waited_s
    if not 0.0 < soonest[1] <= max_wait_s:
        return None
    caller_gone = threading.Event()
    request.caller.notify_when_gone(caller_gone.set)
    if caller_gone.wait(soonest[1]):
        return None
    return _take_endpoint(context, request, attempts)


def _run_attempt(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    endpoint: Endpoint,
) -> Result[Response, Failure]:
    head_timeout_s = _choose_head_timeout_s(
        context, request, attempts, endpoint
    )
    log_attempt(context, request, endpoint, wait_s=round(head_timeout_s, 3))
    end_work = context.state.begin_work(endpoint)
    started_s = context.clock()
    try:
        options = AttemptOptions(
            attempts.remaining_s(), head_timeout_s, request.abort
        )
        outcome = context.platform.endpoints.run(
            endpoint, request.call, options
        )
        if isinstance(outcome, Err):
            return outcome
        response = _buffer_response(
            attempts, outcome.ok_value, _choose_buffer_limit(request)
        )
    finally:
        end_work()
    if isinstance(response, Ok):
        _record_outcome(context, endpoint, outcome.ok_value)
        duration_s = context.clock() - started_s
        context.registry.observe("plain_attempt", duration_s)
    return response


def _choose_head_timeout_s(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    endpoint: Endpoint,
) -> float:
    remaining_s = attempts.remaining_s()
    used = {*attempts.tried_incarnations, endpoint.incarnation}
    candidates = context.state.candidates(
        request.service,
        lambda *_: 0.0,
        software_version=request.software_version,
    )
    may_run_again = attempts.run_count + 1 < request.route.max_attempts and any(
        candidate.endpoint.incarnation not in used for candidate in candidates
    )
    if not request.route.repeatable or not may_run_again:
        return remaining_s
    return min(
        remaining_s,
        max(
            _MIN_HEAD_TIMEOUT_S,
            _HEAD_TIMEOUT_SHARE * request.route.objective_s,
        ),
    )


def _record_outcome(
    context: Context, endpoint: Endpoint, response: EndpointResponse
) -> None:
    if response.status >= 500:
        weight = passive_health.FAILED_RESPONSE_WEIGHT
        context.state.record_failure(endpoint, weight)
        context.registry.count("attempt", "failed_answer")
        return
    context.state.record_success(endpoint)
    context.registry.count("attempt", "answered")


def _choose_buffer_limit(request: RoutedRequest) -> int:
    # The events of a stream are forwarded as they arrive.
    return (
        0 if request.route.kind is RequestKind.STREAM else _BUFFER_LIMIT_BYTES
    )


def _buffer_response(
    attempts: Attempts, response: EndpointResponse, limit_bytes: int
) -> Result[Response, Failure]:
    parts = response.iterate(attempts.remaining_s, lambda: None)
    buffered: list[bytes] = []
    size_bytes = 0
    try:
        for part in parts:
            buffered.append(part)
            size_bytes += len(part)
            if size_bytes > limit_bytes:
                rest = _iterate_rest(parts)
                body = itertools.chain(buffered, rest)
                return Ok(
                    Response(
                        response.status, response.headers, body, response.close
                    )
                )
    except EndpointError as error:
        response.close()
        return Err(error.failure)
    response.close()
    return Ok(
        Response(
            response.status,
            _replace_content_length(response, size_bytes),
            buffered,
        )
    )


def _iterate_rest(parts: Iterator[bytes]) -> Iterator[bytes]:
    try:
        yield from parts
    except EndpointError as error:
        raise TruncatedError(error.failure.detail) from error


def _replace_content_length(
    response: EndpointResponse, size_bytes: int
) -> tuple[tuple[str, str], ...]:
    kept = (
        item for item in response.headers if item[0].lower() != "content-length"
    )
    return (*kept, ("Content-Length", str(size_bytes)))


__all__ = ["forward"]
