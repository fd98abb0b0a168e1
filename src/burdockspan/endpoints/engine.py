"""Client of the engine protocol."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Callable
from typing import Any
from urllib import parse

from result import Err, Ok, Result

from burdockspan.endpoints import responses
from burdockspan.endpoints.call_timer import OnSilence
from burdockspan.endpoints.connections import Connections
from burdockspan.endpoints.exchange import Call, Exchange
from burdockspan.endpoints.fetch import (
    CONTROL_TIMEOUT_S,
    RESPONSE_LIMIT_BYTES,
    fetch,
    fetch_json,
)
from burdockspan.endpoints.responses import (
    EngineAttempt,
    Health,
    PrefillResult,
    RawResponse,
)
from burdockspan.endpoints.sockets import AbortHandle
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import Failure, FailureKind

ATTEMPT_HEADER = "Burdockspan-Attempt"
_JSON = "application/json"


@dataclasses.dataclass(frozen=True)
class EngineContext:
    """Context of the calls of one attempt to one engine.

    Attributes:
      connections: connections of the process.
      endpoint: the engine.
      attempt: identity of the attempt.
      abort: aborts the calls of the attempt; None if they are not aborted.
      headers: headers of each call, such as `traceparent`.
    """

    connections: Connections
    endpoint: Endpoint
    attempt: AttemptId
    abort: AbortHandle | None = None
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True)
class ResponseTimeouts:
    """Timeouts of a response, as in `exchange.Call`.

    Attributes:
      time_limit_s: time for the whole call.
      first_byte_timeout_s: limit of silence before its head is complete.
      idle_timeout_s: limit of silence in its body.
      streamed: whether it has many small parts.
      on_silence: decides whether a call ends that has exceeded the first limit.
    """

    time_limit_s: float
    first_byte_timeout_s: float
    idle_timeout_s: float
    streamed: bool = False
    on_silence: OnSilence = lambda: None


def reserve(
    context: EngineContext, pieces: int, timeout_s: float
) -> Result[None, Failure]:
    """Reserves KV memory; a refusal fails with kind FULL or LEAVING."""
    body = {"attempt": str(context.attempt), "pieces": pieces}
    return _post_idempotent(
        context,
        "/reservations",
        body,
        timeout_s,
        lambda raw: _expect_reserved(context, raw),
    )


def prefill(
    context: EngineContext, path: str, body: dict[str, Any], timeout_s: float
) -> Result[PrefillResult, Failure]:
    """Runs the prefill of a call.

    The response does not say which prompt its KV cache belongs to, so a delayed
    response to an earlier call could pass for the response to this one. The
    call therefore uses a new connection, which carries no delayed response.
    """
    message = {"attempt": str(context.attempt), "path": path, "body": body}
    response = _post(context, "/prefill", message, timeout_s, fresh=True)
    return response.and_then(
        lambda raw: responses.parse_prefill_result(
            context.endpoint, context.attempt, raw
        )
    )


def import_cache(
    context: EngineContext, source: str, cache: str, timeout_s: float
) -> Result[None, Failure]:
    """Makes a decode engine fetch a KV cache from `source`, an `ip:port`."""
    message = {
        "attempt": str(context.attempt),
        "source": source,
        "cache": cache,
    }
    return _post_idempotent(
        context,
        "/imports",
        message,
        timeout_s,
        lambda raw: _expect_imported(context, raw),
    )


def decode(
    context: EngineContext, path: str, body: bytes, timeouts: ResponseTimeouts
) -> Result[Exchange, Failure]:
    """Starts decoding; the exchange carries the response of the engine.

    The call uses a new connection, which carries no delayed response to an
    earlier call.
    """
    headers = _make_headers(context)
    headers[ATTEMPT_HEADER] = str(context.attempt)
    call = Call(
        context.endpoint,
        "POST",
        path,
        body,
        headers,
        timeouts.first_byte_timeout_s,
        timeouts.idle_timeout_s,
        streamed=timeouts.streamed,
        fresh=True,
        on_silence=timeouts.on_silence,
        time_limit_s=timeouts.time_limit_s,
    )
    return _start_exchange(context, call)


def resume(
    context: EngineContext, after: int, timeouts: ResponseTimeouts
) -> Result[Exchange, Failure]:
    """Resumes a stream after a token index, on a new connection."""
    path = f"/attempts/{_quote(context.attempt)}/stream?after={after}"
    call = Call(
        context.endpoint,
        "GET",
        path,
        None,
        {ATTEMPT_HEADER: str(context.attempt)},
        timeouts.first_byte_timeout_s,
        timeouts.idle_timeout_s,
        fresh=True,
        streamed=True,
        time_limit_s=timeouts.time_limit_s,
    )
    return _start_exchange(context, call)


def cancel(context: EngineContext) -> Result[None, Failure]:
    """Cancels an attempt and releases its reservation at the engine, if any."""
    path = f"/attempts/{_quote(context.attempt)}"
    call = Call(
        context.endpoint,
        "DELETE",
        path,
        first_byte_timeout_s=CONTROL_TIMEOUT_S,
        idle_timeout_s=CONTROL_TIMEOUT_S,
        time_limit_s=CONTROL_TIMEOUT_S,
    )
    return fetch(context.connections, call, context.abort).and_then(
        lambda raw: responses.expect_success(
            context.endpoint, context.attempt, raw, 200
        )
    )


def list_attempts(
    connections: Connections,
    endpoint: Endpoint,
    time_limit_s: float = CONTROL_TIMEOUT_S,
) -> Result[tuple[str, tuple[EngineAttempt, ...]], Failure]:
    """Returns the boot identity and the attempts of an engine."""
    return fetch_json(
        connections, endpoint, "/attempts", time_limit_s
    ).and_then(lambda value: responses.parse_attempts(endpoint, value))


def check_health(
    connections: Connections,
    endpoint: Endpoint,
    timeout_s: float = CONTROL_TIMEOUT_S,
    *,
    fresh: bool = True,
) -> Result[Health, Failure]:
    """Runs the health check of an endpoint.

    Args:
      connections: connections of the process.
      endpoint: the endpoint.
      timeout_s: time for the whole check.
      fresh: whether to use a new connection, which distinguishes a stalled
        connection from an endpoint that is down.
    """
    call = Call(
        endpoint,
        "GET",
        "/health",
        first_byte_timeout_s=timeout_s,
        idle_timeout_s=timeout_s,
        fresh=fresh,
        time_limit_s=timeout_s,
    )
    return (
        fetch(connections, call, None)
        .and_then(lambda raw: responses.expect_object(endpoint, raw, 200))
        .and_then(lambda value: responses.parse_health(endpoint, value))
    )


def _make_headers(context: EngineContext) -> dict[str, str]:
    return {**dict(context.headers), "Content-Type": _JSON}


def _post_idempotent(
    context: EngineContext,
    path: str,
    message: dict[str, Any],
    timeout_s: float,
    check: Callable[[RawResponse], Result[None, Failure]],
) -> Result[None, Failure]:
    """Makes an idempotent call.

    If the response on a reused connection violates the protocol, it may be
    the delayed response to an earlier call. The call is then repeated on a new
    connection, in the time that is left.
    """
    started_s = context.connections.clock()
    response = _post(context, path, message, timeout_s)
    outcome = response.and_then(check)
    if (
        isinstance(response, Ok)
        and response.ok_value.reused
        and isinstance(outcome, Err)
        and outcome.err_value.kind is FailureKind.ENDPOINT_ERROR
    ):
        left_s = timeout_s - (context.connections.clock() - started_s)
        repeated = _post(context, path, message, left_s, fresh=True)
        if (
            isinstance(repeated, Ok)
            or repeated.err_value.kind is not FailureKind.NOT_CONNECTED
        ):
            return repeated.and_then(check)
        # The first call may have run.
    return outcome


def _post(
    context: EngineContext,
    path: str,
    message: dict[str, Any],
    timeout_s: float,
    fresh: bool = False,
) -> Result[RawResponse, Failure]:
    call = Call(
        context.endpoint,
        "POST",
        path,
        json.dumps(message).encode(),
        _make_headers(context),
        timeout_s,
        timeout_s,
        fresh,
        time_limit_s=timeout_s,
    )
    return fetch(context.connections, call, context.abort)


def _start_exchange(
    context: EngineContext, call: Call
) -> Result[Exchange, Failure]:
    started = context.connections.start_exchange(call, context.abort)
    if isinstance(started, Err):
        return started
    exchange = started.ok_value
    if exchange.status != 200:
        body = exchange.read(RESPONSE_LIMIT_BYTES).unwrap_or(b"")
        raw = RawResponse(exchange.status, body)
        return Err(responses.classify_error_response(call.endpoint, raw))
    response_attempt = exchange.headers.get(
        ATTEMPT_HEADER, str(context.attempt)
    )
    if response_attempt != str(context.attempt):
        exchange.close()
        detail = f"answer of attempt {response_attempt}"
        return Err(responses.make_protocol_failure(call.endpoint, detail))
    return Ok(exchange)


def _expect_reserved(
    context: EngineContext, response: RawResponse
) -> Result[None, Failure]:
    # A refused reservation has set no memory aside, whatever its body says.
    kinds = {409: FailureKind.FULL, 503: FailureKind.LEAVING}
    kind = kinds.get(response.status)
    if kind is not None:
        detail = f"reservation refused with {response.status}"
        return Err(Failure(kind, context.endpoint.name, detail))
    return responses.expect_success(
        context.endpoint, context.attempt, response, 201
    )


def _expect_imported(
    context: EngineContext, response: RawResponse
) -> Result[None, Failure]:
    if response.status == 404:
        kind = FailureKind.CACHE_EXPIRED
        detail = "the KV cache has expired"
        return Err(Failure(kind, context.endpoint.name, detail))
    return responses.expect_success(
        context.endpoint, context.attempt, response, 200
    )


def _quote(attempt: AttemptId) -> str:
    return parse.quote(str(attempt), safe=":")


__all__ = [
    "ATTEMPT_HEADER",
    "EngineContext",
    "ResponseTimeouts",
    "cancel",
    "check_health",
    "decode",
    "import_cache",
    "list_attempts",
    "prefill",
    "reserve",
    "resume",
]
