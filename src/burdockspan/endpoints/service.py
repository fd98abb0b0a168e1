"""Calls of plain services."""

from __future__ import annotations

import dataclasses

from result import Err, Ok, Result

from burdockspan.endpoints.connections import Connections
from burdockspan.endpoints.engine import ATTEMPT_HEADER
from burdockspan.endpoints.exchange import Call, Exchange
from burdockspan.endpoints.responses import (
    RawResponse,
    classify_refusal,
    make_protocol_failure,
)
from burdockspan.endpoints.sockets import AbortHandle
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import Failure

# A refusal is a short JSON body; a longer body comes from the application.
_REFUSAL_LIMIT_BYTES = 65_536
_MAX_LENGTH_DIGITS = 18


@dataclasses.dataclass(frozen=True)
class ServiceResponse:
    """A response of a plain service whose body may be incomplete so far.

    Attributes:
      exchange: the open exchange, which must be closed.
      body: the complete body if it was read to check for a refusal, else
        None.
    """

    exchange: Exchange
    body: bytes | None = None


def call_service(
    connections: Connections, call: Call, attempt: AttemptId, abort: AbortHandle
) -> Result[ServiceResponse, Failure]:
    """Calls a plain service.

    Returns:
      The response, or the failure. `responses.may_have_run` tells whether the
      service may have started the call.
    """
    headers = {**call.headers, ATTEMPT_HEADER: str(attempt)}
    call_with_attempt = dataclasses.replace(call, headers=headers)
    started = connections.start_exchange(call_with_attempt, abort)
    if isinstance(started, Err):
        return started
    exchange = started.ok_value
    response_attempt = exchange.headers.get(ATTEMPT_HEADER, str(attempt))
    if response_attempt != str(attempt):
        exchange.close()
        detail = f"answer of attempt {response_attempt}"
        return Err(make_protocol_failure(call.endpoint, detail))
    if exchange.status in (409, 429, 503):
        return _read_refusal(call, exchange)
    return Ok(ServiceResponse(exchange))


def _read_refusal(
    call: Call, exchange: Exchange
) -> Result[ServiceResponse, Failure]:
    length = exchange.headers.get("Content-Length", "")
    # An int of any number of digits could not be made.
    is_long = len(length) > _MAX_LENGTH_DIGITS
    if length.isdecimal() and (is_long or int(length) > _REFUSAL_LIMIT_BYTES):
        return Ok(ServiceResponse(exchange))
    body = exchange.read(_REFUSAL_LIMIT_BYTES)
    if isinstance(body, Err):
        return body
    raw = RawResponse(exchange.status, body.ok_value)
    refusal = classify_refusal(call.endpoint, raw)
    if refusal is not None:
        return Err(refusal)
    return Ok(ServiceResponse(exchange, body.ok_value))


__all__ = ["ServiceResponse", "call_service"]
