"""Calls whose complete response is read at once."""

from __future__ import annotations

from typing import Any

from result import Err, Result

from burdockspan.endpoints import responses
from burdockspan.endpoints.connections import Connections
from burdockspan.endpoints.exchange import Call
from burdockspan.endpoints.responses import RawResponse
from burdockspan.endpoints.sockets import AbortHandle
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import Failure

RESPONSE_LIMIT_BYTES = 16 * 1024 * 1024
# Time for a whole control call, such as a load report.
CONTROL_TIMEOUT_S = 2.0


def fetch(
    connections: Connections, call: Call, abort: AbortHandle | None
) -> Result[RawResponse, Failure]:
    """Makes a call and returns its complete response."""
    started = connections.start_exchange(call, abort)
    if isinstance(started, Err):
        return started
    exchange = started.ok_value
    return exchange.read(RESPONSE_LIMIT_BYTES).map(
        lambda body: RawResponse(exchange.status, body, exchange.reused)
    )


def fetch_json(
    connections: Connections,
    endpoint: Endpoint,
    path: str,
    time_limit_s: float = CONTROL_TIMEOUT_S,
) -> Result[dict[str, Any], Failure]:
    """Fetches the JSON object at a path of an endpoint."""
    call = Call(
        endpoint,
        "GET",
        path,
        first_byte_timeout_s=time_limit_s,
        idle_timeout_s=time_limit_s,
        time_limit_s=time_limit_s,
    )
    return fetch(connections, call, None).and_then(
        lambda raw: responses.expect_object(endpoint, raw, 200)
    )


__all__ = [
    "CONTROL_TIMEOUT_S",
    "RESPONSE_LIMIT_BYTES",
    "fetch",
    "fetch_json",
]
