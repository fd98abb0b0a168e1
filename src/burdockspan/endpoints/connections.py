"""Connections to endpoints: reuse, time limits, aborts and replacement."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import http.client
import socket
import threading
from collections.abc import Callable, Iterator, Mapping

import urllib3
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.util.wait import wait_for_read

from burdockspan.values.clock import Clock
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import Failure, FailureKind

# A firewall or a restarted host may have dropped an idle connection without a
# FIN; replacing it costs one round trip.
IDLE_LIMIT_S = 5.0
IDLE_LIMIT_COUNT = 32
READ_BYTES = 65_536

_SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 20_000),
]
_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)


@dataclasses.dataclass(frozen=True)
class Call:
    """One HTTP call to an endpoint.

    Attributes:
      endpoint: endpoint to call.
      method: HTTP method.
      path: path and query.
      body: request body; None sends none.
      headers: request headers.
      first_byte_timeout_s: longest wait for the head of the answer.
      silence_s: longest wait between two parts of the answer.
      fresh: whether a new connection must be used and not kept.
      keep_waiting: asked after each `first_byte_timeout_s` without an answer;
        True waits once more.
    """

    endpoint: Endpoint
    method: str
    path: str
    body: bytes | None = None
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    first_byte_timeout_s: float = 10.0
    silence_s: float = 10.0
    fresh: bool = False
    keep_waiting: Callable[[], bool] = lambda: False


class Abort:
    """Sockets of one attempt, which another thread may shut down."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sockets: set[socket.socket] = set()
        self.aborted = False

    def abort(self) -> None:
        """Shuts down the open sockets and refuses new ones."""
        with self._lock:
            self.aborted = True
            for sock in self._sockets:
                _shut_down(sock)

    def add(self, sock: socket.socket) -> None:
        """Registers a socket; shuts it down if the attempt was aborted."""
        with self._lock:
            self._sockets.add(sock)
            if self.aborted:
                _shut_down(sock)

    def remove(self, sock: socket.socket) -> None:
        """Forgets a socket."""
        with self._lock:
            self._sockets.discard(sock)


class Exchange:
    """A call whose answer has begun to arrive."""

    def __init__(
        self,
        connections: Connections,
        call: Call,
        held: _Held,
        response: urllib3.BaseHTTPResponse,
        abort: Abort | None,
    ) -> None:
        self._connections = connections
        self._held = held
        self._abort = abort
        self._complete = False
        self._closed = False
        self._response = response
        self.call = call
        self.status = response.status
        self.headers = response.headers

    def iterate(self) -> Iterator[bytes]:
        """Yields the parts of the body as they arrive.

        Raises:
          EndpointError: the answer broke off, or was silent for too long.
        """
        response = self._response
        try:
            if getattr(response, "chunked", False):
                yield from response.stream(READ_BYTES, decode_content=False)
            else:
                while part := response.read1(READ_BYTES, decode_content=False):
                    yield part
        except _ERRORS as error:
            raise EndpointError(_classify(self.call, error)) from error
        self._complete = True

    def limit_silence(self, silence_s: float) -> None:
        """Changes the longest wait between two parts of the answer."""
        with contextlib.suppress(OSError):
            self._held.sock.settimeout(silence_s)

    def read(self, limit_bytes: int) -> Result[bytes, Failure]:
        """Reads the whole body and closes the exchange."""
        parts: list[bytes] = []
        size = 0
        try:
            for part in self.iterate():
                parts.append(part)
                size += len(part)
                if size > limit_bytes:
                    return Err(
                        make_failure(
                            self.call.endpoint,
                            FailureKind.ENDPOINT_ERROR,
                            f"answer is longer than {limit_bytes} bytes",
                        )
                    )
        except EndpointError as error:
            return Err(error.failure)
        finally:
            self.close()
        return Ok(b"".join(parts))

    def close(self) -> None:
        """Keeps the connection if the answer is complete, else closes it."""
        if self._closed:
            return
        self._closed = True
        if self._abort is not None:
            self._abort.remove(self._held.sock)
        if self._complete and not self.call.fresh:
            self._connections.keep(self.call.endpoint.address, self._held)
        else:
            _shut_down(self._held.sock)
            self._held.connection.close()
            self._response.close()


class EndpointError(Exception):
    """Carries a failure out of an iteration over an answer."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


@dataclasses.dataclass(frozen=True)
class _Held:
    connection: HTTPConnection
    sock: socket.socket
    opened_s: float
    idle_since_s: float = 0.0


class Connections:
    """Idle connections by address of the endpoint."""

    def __init__(self, clock: Clock, connect_timeout_s: float) -> None:
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self._lock = threading.Lock()
        self._idle_by_address: dict[str, collections.deque[_Held]] = {}
        self._oldest_by_address: dict[str, float] = {}

    def start(
        self, call: Call, abort: Abort | None = None
    ) -> Result[Exchange, Failure]:
        """Sends a call and waits for the head of its answer.

        Returns:
          The exchange, which the caller must close, or the failure. Only
          `NOT_CONNECTED` says that no byte was sent.
        """
        opened = self._take(call)
        if isinstance(opened, Err):
            return opened
        held = opened.ok_value
        if abort is not None:
            abort.add(held.sock)
            if abort.aborted:
                _discard(held, abort)
                return Err(_not_connected(call, "the attempt was aborted"))
        try:
            response = _exchange(call, held)
        except _ERRORS as error:
            _discard(held, abort)
            return Err(_classify(call, error))
        return Ok(Exchange(self, call, held, response, abort))

    def keep(self, address: str, held: _Held) -> None:
        """Keeps a connection for a later call."""
        if held.connection.sock is None:
            _discard(held, None)
            return
        now = self._clock()
        kept = dataclasses.replace(held, idle_since_s=now)
        with self._lock:
            idle = self._idle_by_address.setdefault(
                address, collections.deque()
            )
            idle.append(kept)
            surplus = []
            while idle and (
                len(idle) > IDLE_LIMIT_COUNT
                or now - idle[0].idle_since_s > IDLE_LIMIT_S
            ):
                surplus.append(idle.popleft())
        for old in surplus:
            _discard(old, None)

    def close_older(self, address: str) -> None:
        """Closes idle connections and keeps none that is now in use."""
        with self._lock:
            self._oldest_by_address[address] = self._clock()
            idle = self._idle_by_address.pop(address, collections.deque())
        for held in idle:
            _discard(held, None)

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            addresses = list(self._idle_by_address)
        for address in addresses:
            self.close_older(address)

    def _take(self, call: Call) -> Result[_Held, Failure]:
        if not call.fresh:
            while (held := self._pop(call.endpoint.address)) is not None:
                if self._usable(call.endpoint.address, held):
                    return Ok(held)
                _discard(held, None)
        return self._open(call)

    def _pop(self, address: str) -> _Held | None:
        with self._lock:
            idle = self._idle_by_address.get(address)
            return idle.pop() if idle else None

    def _usable(self, address: str, held: _Held) -> bool:
        oldest_s = self._oldest_by_address.get(address)
        if oldest_s is not None and held.opened_s <= oldest_s:
            return False
        if self._clock() - held.idle_since_s > IDLE_LIMIT_S:
            return False
        # A readable idle connection was closed by the peer or carries bytes
        # that belong to no call of ours.
        return held.connection.is_connected

    def _open(self, call: Call) -> Result[_Held, Failure]:
        host, _, port = call.endpoint.address.rpartition(":")
        connection = HTTPConnection(
            host,
            int(port),
            timeout=self._connect_timeout_s,
            socket_options=_SOCKET_OPTIONS,
        )
        opened_s = self._clock()
        try:
            connection.connect()
        except _ERRORS as error:
            connection.close()
            return Err(_not_connected(call, str(error)))
        if connection.sock is None:
            return Err(_not_connected(call, "no socket"))
        return Ok(_Held(connection, connection.sock, opened_s))


def make_connections(clock: Clock, connect_timeout_s: float) -> Connections:
    """Returns connections of a process, none open yet."""
    return Connections(clock, connect_timeout_s)


def make_failure(endpoint: Endpoint, kind: FailureKind, detail: str) -> Failure:
    """Returns a failure at an endpoint."""
    return Failure(kind, endpoint.name, detail)


def _exchange(call: Call, held: _Held) -> urllib3.BaseHTTPResponse:
    connection = held.connection
    connection.timeout = call.first_byte_timeout_s
    connection.request(
        call.method,
        call.path,
        body=call.body,
        headers=call.headers,
        preload_content=False,
        decode_content=False,
    )
    while not wait_for_read(held.sock, call.first_byte_timeout_s):
        if not call.keep_waiting():
            raise TimeoutError("no answer in time")
    response = connection.getresponse()
    held.sock.settimeout(call.silence_s)
    return response


def _classify(call: Call, error: Exception) -> Failure:
    silent = (TimeoutError, urllib3.exceptions.TimeoutError)
    kind = FailureKind.CONNECTION_LOST
    if isinstance(error, silent):
        kind = FailureKind.SILENT
    detail = f"{call.method} {call.path}: {type(error).__name__}: {error}"
    return make_failure(call.endpoint, kind, detail)


def _not_connected(call: Call, detail: str) -> Failure:
    return make_failure(call.endpoint, FailureKind.NOT_CONNECTED, detail)


def _discard(held: _Held, abort: Abort | None) -> None:
    if abort is not None:
        abort.remove(held.sock)
    _shut_down(held.sock)
    held.connection.close()


def _shut_down(sock: socket.socket) -> None:
    # Shutting down wakes a thread blocked in recv; closing does not.
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


__all__ = [
    "IDLE_LIMIT_S",
    "Abort",
    "Call",
    "Connections",
    "EndpointError",
    "Exchange",
    "make_connections",
    "make_failure",
]
