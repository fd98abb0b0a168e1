"""One HTTP exchange with the platform, within a time limit."""

from __future__ import annotations

import dataclasses
import enum
import threading
from collections.abc import Callable, Mapping

import urllib3
from result import Err, Ok, Result

from burdockspan.values.clock import Clock

VM_HEADER = "Burdockspan-VM"
_CONNECT_TIMEOUT_S = 0.5
# A connection can fail unnoticed while it is idle. The next call on it would
# wait for its whole time limit.
_IDLE_LIMIT_S = 5.0
_CHUNK_BYTES = 65_536
_RESPONSE_LIMIT_BYTES = 256 * 1024 * 1024
_CONNECTIONS = 16


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


class _Pool:
    """A connection pool that is replaced when it has been idle too long."""

    def __init__(self, address: str, clock: Clock, idle_limit_s: float) -> None:
        self._host, _, self._port = address.rpartition(":")
        self._clock = clock
        self._idle_limit_s = idle_limit_s
        self._lock = threading.Lock()
        self._last_used_s = clock()
        self._pool = self._make()

    def get(self) -> urllib3.HTTPConnectionPool:
        """Returns the pool for a call, a new one after an idle period."""
        now_s = self._clock()
        with self._lock:
            if now_s - self._last_used_s >= self._idle_limit_s:
                # Calls in progress keep their connections. The closed pool
                # closes each connection when it is returned.
                self._pool.close()
                self._pool = self._make()
            self._last_used_s = now_s
            return self._pool

    def _make(self) -> urllib3.HTTPConnectionPool:
        return urllib3.HTTPConnectionPool(
            self._host, int(self._port), maxsize=_CONNECTIONS
        )


def make_transport(
    address: str,
    headers: Mapping[str, str],
    clock: Clock,
    idle_limit_s: float = _IDLE_LIMIT_S,
) -> Transport:
    """Returns a transport to `ip:port`.

    Args:
      address: `ip:port` of the platform.
      headers: sent with each call.
      clock: monotonic clock, in seconds.
      idle_limit_s: time after which an idle connection is not used again; 0
        opens a new connection for each call.
    """
    pool = _Pool(address, clock, idle_limit_s)

    def exchange(request: Request) -> Result[Response, ExchangeFailure]:
        end_s = clock() + request.timeout_s
        try:
            response = _send(pool.get(), headers, request)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.ClosedPoolError,
        ):
            return Err(ExchangeFailure.NOT_SENT)
        except (urllib3.exceptions.HTTPError, OSError):
            return Err(ExchangeFailure.NO_RESPONSE)
        return _receive(response, lambda: clock() > end_s)

    return exchange


def _send(
    pool: urllib3.HTTPConnectionPool,
    headers: Mapping[str, str],
    request: Request,
) -> urllib3.BaseHTTPResponse:
    return pool.urlopen(
        request.method,
        request.path,
        body=request.body,
        headers={**headers, **dict(request.headers)},
        retries=False,
        redirect=False,
        timeout=urllib3.Timeout(
            connect=min(_CONNECT_TIMEOUT_S, request.timeout_s),
            read=request.timeout_s,
        ),
        preload_content=False,
    )


def _receive(
    response: urllib3.BaseHTTPResponse, expired: Callable[[], bool]
) -> Result[Response, ExchangeFailure]:
    chunks = []
    size = 0
    try:
        for chunk in response.stream(_CHUNK_BYTES):
            chunks.append(chunk)
            size += len(chunk)
            if expired() or size > _RESPONSE_LIMIT_BYTES:
                response.close()
                return Err(ExchangeFailure.NO_RESPONSE)
    except (urllib3.exceptions.HTTPError, OSError):
        response.close()
        return Err(ExchangeFailure.NO_RESPONSE)
    response.release_conn()
    return Ok(Response(response.status, b"".join(chunks), response.headers))


__all__ = [
    "VM_HEADER",
    "ExchangeFailure",
    "Request",
    "Response",
    "Transport",
    "make_transport",
]
