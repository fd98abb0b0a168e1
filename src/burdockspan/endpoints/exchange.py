"""One call to an endpoint on one connection."""

from __future__ import annotations

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

from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import Failure, FailureKind

READ_BYTES = 65_536

ERRORS = (
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
                shut_down(sock)

    def add(self, sock: socket.socket) -> None:
        """Registers a socket; shuts it down if the attempt was aborted."""
        with self._lock:
            self._sockets.add(sock)
            if self.aborted:
                shut_down(sock)

    def remove(self, sock: socket.socket) -> None:
        """Forgets a socket."""
        with self._lock:
            self._sockets.discard(sock)


class Exchange:
    """A call whose answer has begun to arrive."""

    def __init__(
        self,
        call: Call,
        held: Held,
        response: urllib3.BaseHTTPResponse,
        abort: Abort | None,
        keep: Callable[[str, Held], None],
    ) -> None:
        self._keep = keep
        self._held = held
        self._abort = abort
        self._complete = False
        self._closed = False
        self._response = response
        self.call = call
        self.status = response.status
        self.headers = response.headers
        self.reused = held.idle_since_s is not None

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
        except ERRORS as error:
            raise EndpointError(classify_error(self.call, error)) from error
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
            self._keep(self.call.endpoint.address, self._held)
        else:
            discard(self._held)
            self._response.close()


class EndpointError(Exception):
    """Carries a failure out of an iteration over an answer."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


@dataclasses.dataclass(frozen=True)
class Held:
    """An open connection.

    Attributes:
      connection: the connection.
      sock: its socket, which outlives `connection.sock` during an answer.
      opened_s: when it was opened, on the monotonic clock.
      idle_since_s: when its last answer ended; None before the first.
    """

    connection: HTTPConnection
    sock: socket.socket
    opened_s: float
    idle_since_s: float | None = None


def make_failure(endpoint: Endpoint, kind: FailureKind, detail: str) -> Failure:
    """Returns a failure at an endpoint."""
    return Failure(kind, endpoint.name, detail)


def exchange_head(call: Call, held: Held) -> urllib3.BaseHTTPResponse:
    """Sends a call and returns its answer, whose body is unread.

    Raises:
      Exception: one of ERRORS.
    """
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


def classify_error(call: Call, error: Exception) -> Failure:
    """Returns the failure of a call of which a byte may have been sent."""
    silent = (TimeoutError, urllib3.exceptions.TimeoutError)
    kind = FailureKind.CONNECTION_LOST
    if isinstance(error, silent):
        kind = FailureKind.SILENT
    detail = f"{call.method} {call.path}: {type(error).__name__}: {error}"
    return make_failure(call.endpoint, kind, detail)


def make_not_connected(call: Call, detail: str) -> Failure:
    """Returns the failure of a call of which no byte was sent."""
    return make_failure(call.endpoint, FailureKind.NOT_CONNECTED, detail)


def discard(held: Held, abort: Abort | None = None) -> None:
    """Closes a connection."""
    if abort is not None:
        abort.remove(held.sock)
    shut_down(held.sock)
    held.connection.close()


def shut_down(sock: socket.socket) -> None:
    """Shuts a connection down in both directions."""
    # Shutting down wakes a thread blocked in recv; closing does not.
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


__all__ = [
    "ERRORS",
    "Abort",
    "Call",
    "EndpointError",
    "Exchange",
    "Held",
    "classify_error",
    "discard",
    "exchange_head",
    "make_failure",
    "make_not_connected",
    "shut_down",
]
