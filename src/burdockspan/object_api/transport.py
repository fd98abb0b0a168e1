"""One HTTP exchange with the platform, within a time limit."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable, Mapping

from result import Err, Result

from burdockspan.endpoints.connections import make_connections
from burdockspan.endpoints.exchange import Call
from burdockspan.values.clock import Clock
from burdockspan.values.endpoint import Endpoint, Pool
from burdockspan.values.placement import FailureKind

VM_HEADER = "Burdockspan-VM"
_CONNECT_TIMEOUT_S = 0.5
_RESPONSE_LIMIT_BYTES = 256 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class Request:
    """One HTTP request; `timeout_s` bounds the whole exchange."""

    method: str
    path: str
    timeout_s: float
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete HTTP response."""

    status: int
    body: bytes
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


class ExchangeFailure(enum.Enum):
    """Why there is no complete response."""

    NOT_SENT = "not_sent"
    NO_RESPONSE = "no_answer"


Transport = Callable[[Request], Result[Response, ExchangeFailure]]
"""Performs one exchange, without retries."""


def make_transport(
    address: str,
    headers: Mapping[str, str],
    clock: Clock,
    *,
    keeps_connections: bool = True,
) -> Transport:
    """Returns a transport to `ip:port`.

    Args:
      address: `ip:port` of the platform.
      headers: sent with each call.
      clock: monotonic clock, in seconds.
      keeps_connections: whether later calls use a connection again; otherwise
        each call opens a new one.
    """
    connections = make_connections(clock, lambda: _CONNECT_TIMEOUT_S)
    platform = Endpoint("platform", address, "", Pool.SERVICE, "")

    def exchange(request: Request) -> Result[Response, ExchangeFailure]:
        call = Call(
            platform,
            request.method,
            request.path,
            request.body,
            {**headers, **dict(request.headers)},
            first_byte_timeout_s=request.timeout_s,
            idle_timeout_s=request.timeout_s,
            # A write on an idle connection that the platform has closed may
            # have been sent, and is never repeated.
            fresh=request.method == "DELETE" or not keeps_connections,
            time_limit_s=request.timeout_s,
        )
        started = connections.start_exchange(call)
        if isinstance(started, Err):
            not_sent = started.err_value.kind is FailureKind.NOT_CONNECTED
            return Err(
                ExchangeFailure.NOT_SENT
                if not_sent
                else ExchangeFailure.NO_RESPONSE
            )
        received = started.ok_value
        return (
            received.read(_RESPONSE_LIMIT_BYTES)
            .map(lambda body: Response(received.status, body, received.headers))
            .map_err(lambda failure: ExchangeFailure.NO_RESPONSE)
        )

    return exchange


__all__ = [
    "VM_HEADER",
    "ExchangeFailure",
    "Request",
    "Response",
    "Transport",
    "make_transport",
]
