"""Forwards requests to plain services."""

from __future__ import annotations

import itertools
import math
import threading
from collections.abc import Iterator

from result import Err, Ok, Result

from burdockspan.endpoints.failures import EndpointError
from burdockspan.gateway.callers.messages import Response, TruncatedError
from burdockspan.gateway.callers.response_buffers import HeldResponse
from burdockspan.gateway.choice.ranking import exclude_tried
from burdockspan.gateway.context import Context
from burdockspan.gateway.endpoints import passive_health
from burdockspan.gateway.fleet.reachability import OUT_OF_REACH
from burdockspan.gateway.ports import AttemptOptions, EndpointResponse
from burdockspan.gateway.requests.attempts import (
    NOT_STARTED,
    RETRY_AFTER_S,
    Attempts,
    RoutedRequest,
    explain_missing_endpoint,
    log_attempt,
    log_silence,
    log_stream_end,
)
from burdockspan.gateway.requests.peer_relay import can_leave, hand_over
from burdockspan.gateway.requests.resumption import (
    publish_origin,
    restrict_to_begun,
)
from burdockspan.gateway.values import Endpoint, RequestKind
from burdockspan.values.placement import Failure

# A response up to this size is read completely before its head is forwarded, so
# that another attempt can replace one that is truncated.
_BUFFER_LIMIT_BYTES = 1024 * 1024
# Share of the objective after which an endpoint without a response counts as
# silent. A request that may run more than once then goes to another one, which
# still has time to meet the objective.
_SILENCE_SHARE = 0.6
_MIN_SILENCE_LIMIT_S = 0.05
# Time after which a request that waits for a silent endpoint looks for another
# one again.
_LOOK_AGAIN_S = 0.1
# A request waits for an endpoint that is paused or at its limit no longer than
# this share of its objective after its arrival. The endpoint then has time to
# meet the objective.
_MAX_WAIT_SHARE = 0.5


def forward(context: Context, request: RoutedRequest) -> Response:
    """Returns the response of an endpoint, or an error response."""
    attempts = Attempts(context, request)
    last_response: Response | None = None
    successor: Endpoint | None = None
    left: Endpoint | None = None
    while True:
        relayed = hand_over(context, request, attempts)
        if relayed is not None:
            return relayed
        restricted = restrict_to_begun(context, request, attempts)
        if isinstance(restricted, Err):
            return restricted.err_value
        request = restricted.ok_value
        if _would_be_lost(context, request, attempts):
            return attempts.make_error_response(OUT_OF_REACH, RETRY_AFTER_S)
        endpoint = (
            successor
            or _take_endpoint(context, request, attempts)
            or _wait_for_endpoint(context, request, attempts)
        )
        if endpoint is None or not attempts.try_start():
            break
        silence = _Silence(context, request, attempts, endpoint)
        outcome = _run_attempt(context, request, attempts, endpoint, silence)
        successor = silence.successor
        if isinstance(outcome, Err):
            attempts.record_failure(endpoint, outcome.err_value)
            if left is not None and outcome.err_value.kind in NOT_STARTED:
                # The endpoint that was left for this one may answer after all.
                attempts.tried_incarnations.discard(left.incarnation)
            left = endpoint if successor is not None else None
            continue
        attempts.record_run(endpoint)
        if last_response is not None:
            last_response.close()
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


def _would_be_lost(
    context: Context, request: RoutedRequest, attempts: Attempts
) -> bool:
    """Returns whether a request would be lost rather than served.

    Other VMs do not reach the service either, and a request that may run only
    once would leave its caller without knowing whether it ran.
    """
    return (
        not request.route.repeatable
        and bool(attempts.asked_peers)
        and context.reachability.loses_calls(request.service)
    )


def _take_endpoint(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    successor_of: Endpoint | None = None,
) -> Endpoint | None:
    """Returns the best untried endpoint, and uses a permit of its limit.

    Args:
      context: dependencies.
      request: the request.
      attempts: its attempts.
      successor_of: endpoint that is left for another one, which must then be
        above suspicion; None if none is left.
    """
    candidates = context.state.candidates(
        request.service,
        context.endpoint_capacity.make_plain_load(),
        software_version=request.software_version,
    )
    tried = attempts.tried_incarnations
    if successor_of is not None:
        tried = {*tried, successor_of.incarnation}
        candidates = tuple(
            candidate
            for candidate in candidates
            if candidate.suspicion < passive_health.SUSPECT_WEIGHT
        )
    ranked = context.endpoint_capacity.rank_plain(candidates)
    untried = exclude_tried(ranked, tried)
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


class _Silence:
    """Decides whether an attempt at a silent endpoint is given up.

    It is given up only once everything that the next attempt needs is held: a
    run of the route, a retry of the budget, and an endpoint that takes it.

    Attributes:
      successor: endpoint of the next attempt; None if none is held.
    """

    def __init__(
        self,
        context: Context,
        request: RoutedRequest,
        attempts: Attempts,
        endpoint: Endpoint,
    ) -> None:
        self._context = context
        self._request = request
        self._attempts = attempts
        self._endpoint = endpoint
        self._started_s = context.clock()
        self._has_waited = False
        self.successor: Endpoint | None = None

    def decide(self) -> float | None:
        """Returns the time to wait on, in seconds; None to give up."""
        self._context.reachability.record_silence(self._endpoint)
        attempts = self._attempts
        if not self._request.route.repeatable:
            return math.inf
        reason = attempts.explain_no_run(runs_in_progress=1)
        if reason is not None:
            self._record_wait(reason)
            return math.inf
        # The call in progress and the next one.
        if not attempts.try_pay(calls=2):
            self._record_wait("retry budget")
            return _LOOK_AGAIN_S
        self.successor = _take_endpoint(
            self._context, self._request, attempts, self._endpoint
        )
        if self.successor is None:
            attempts.refund(calls=1)
            if can_leave(self._context, self._request, attempts):
                self._log(True, OUT_OF_REACH)
                return None
            self._record_wait("no endpoint")
            return _LOOK_AGAIN_S
        self._log(True, "held " + self.successor.id)
        return None

    def _record_wait(self, reason: str) -> None:
        if self._has_waited:
            return
        self._has_waited = True
        self._context.state.record_silence(self._endpoint)
        self._log(False, reason)

    def _log(self, moves: bool, reason: str) -> None:
        silent_s = self._context.clock() - self._started_s
        log_silence(
            self._context,
            self._request,
            self._endpoint,
            silent_s,
            moves,
            reason,
        )


def _run_attempt(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    endpoint: Endpoint,
    silence: _Silence,
) -> Result[Response, Failure]:
    silence_limit_s = _choose_silence_limit_s(request)
    wait_s = min(silence_limit_s, attempts.remaining_s())
    log_attempt(context, request, endpoint, wait_s=round(wait_s, 3))
    ahead = 0.0
    if context.endpoint_capacity.learns_plain:
        running = context.state.running_work(endpoint)
        work = context.endpoint_capacity.work_ahead(endpoint, *running)
        ahead = work.requests
    end_work = context.state.begin_work(endpoint)
    started_s = context.clock()
    try:
        options = AttemptOptions(
            attempts.remaining_s(),
            silence_limit_s,
            request.abort,
            on_silence=silence.decide,
            expects_events=request.route.kind is RequestKind.STREAM,
        )
        outcome = context.platform.endpoints.run(
            endpoint, request.call, options
        )
        if isinstance(outcome, Err):
            return outcome
        response = _buffer_response(
            context, request, endpoint, outcome.ok_value
        )
    finally:
        end_work()
    if isinstance(response, Ok):
        _record_outcome(context, endpoint, outcome.ok_value)
        if request.route.kind is not RequestKind.STREAM:
            context.crash_records.record_answer(request.call)
        duration_s = context.clock() - started_s
        context.registry.observe("plain_attempt", duration_s)
        if 200 <= outcome.ok_value.status < 300 and (
            request.route.kind is not RequestKind.STREAM
        ):
            context.endpoint_capacity.record_plain(endpoint, ahead, duration_s)
    return response


def _choose_silence_limit_s(request: RoutedRequest) -> float:
    return max(_MIN_SILENCE_LIMIT_S, _SILENCE_SHARE * request.route.objective_s)


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


def _iterate_response(
    context: Context,
    request: RoutedRequest,
    endpoint: Endpoint,
    response: EndpointResponse,
) -> Iterator[bytes]:
    yield from response.iterate(lambda: math.inf, lambda: None)
    if request.route.kind is RequestKind.STREAM:
        log_stream_end(context, request, endpoint, response)


def _buffer_response(
    context: Context,
    request: RoutedRequest,
    endpoint: Endpoint,
    response: EndpointResponse,
) -> Result[Response, Failure]:
    parts = _iterate_response(context, request, endpoint, response)
    buffers = context.response_buffers
    limit_bytes = _choose_buffer_limit(request)
    held = HeldResponse(buffers)

    def close() -> None:
        held.release()
        response.close()

    # Joined, since the server writes each part by itself: a body may have many
    # parts of a few bytes.
    buffered = bytearray()
    try:
        for part in parts:
            buffered += part
            held.add(len(part))
            if len(buffered) > buffers.whole_response_limit_bytes(limit_bytes):
                rest = _iterate_rest(parts)
                body = itertools.chain([bytes(buffered)], rest)
                return Ok(
                    Response(response.status, response.headers, body, close)
                )
    except EndpointError as error:
        close()
        return Err(error.failure)
    response.close()
    return Ok(
        Response(
            response.status,
            _replace_content_length(response, len(buffered)),
            [bytes(buffered)],
            held.release,
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
