"""One call to an endpoint on one connection."""

from __future__ import annotations

import dataclasses
import math
import socket
from collections.abc import Callable, Iterator, Mapping

import urllib3
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.util.wait import wait_for_read

from burdockspan.endpoints.failures import (
    ERRORS,
    EndpointError,
    classify_error,
    make_failure,
)
from burdockspan.endpoints.sockets import (
    AbortHandle,
    SilenceWatch,
    Watched,
    shut_down,
)
from burdockspan.values.clock import Clock
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import Failure, FailureKind

READ_BYTES = 65_536


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
      idle_timeout_s: longest wait between two parts of the answer.
      fresh: whether a new connection must be used and not kept.
      streamed: whether the answer has many small parts; its silence is then
        watched instead of timed by the socket.
      keep_waiting: asked after each `first_byte_timeout_s` without an answer;
        True waits once more.
    """

    endpoint: Endpoint
    method: str
    path: str
    body: bytes | None = None
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    first_byte_timeout_s: float = 10.0
    idle_timeout_s: float = 10.0
    fresh: bool = False
    streamed: bool = False
    keep_waiting: Callable[[], bool] = lambda: False

    def __str__(self) -> str:
        return f"{self.method} {self.path}"


@dataclasses.dataclass(frozen=True)
class Keeper:
    """What exchanges share.

    Attributes:
      keep: keeps the connection to an address for a later call.
      watch: limits the silence of streams.
      clock: monotonic clock, in seconds.
    """

    keep: Callable[[str, Held], None]
    watch: SilenceWatch
    clock: Clock


class Exchange:
    """A call whose answer has begun to arrive."""

    def __init__(
        self,
        call: Call,
        held: Held,
        response: urllib3.BaseHTTPResponse,
        abort: AbortHandle | None,
        keeper: Keeper,
    ) -> None:
        self._keeper = keeper
        self._watched = Watched(held.sock, call.idle_timeout_s)
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
        parts = self._iterate_watched if self.call.streamed else self._iterate
        try:
            yield from parts()
        except ERRORS as error:
            failure = classify_error(self.call.endpoint, str(self.call), error)
            if self._watched.expired:
                kind = FailureKind.UNRESPONSIVE
                failure = dataclasses.replace(failure, kind=kind)
            raise EndpointError(failure) from error
        self._complete = True

    def _iterate(self) -> Iterator[bytes]:
        response = self._response
        if getattr(response, "chunked", False):
            yield from response.stream(READ_BYTES, decode_content=False)
            return
        while part := response.read1(READ_BYTES, decode_content=False):
            yield part

    def _iterate_watched(self) -> Iterator[bytes]:
        watched, clock = self._watched, self._keeper.clock
        self._held.sock.settimeout(None)
        self._keeper.watch.add(watched)
        watched.waiting_since_s = clock()
        for part in self._iterate():
            watched.waiting_since_s = math.inf
            yield part
            watched.waiting_since_s = clock()

    def set_idle_timeout(self, idle_timeout_s: float) -> None:
        """Changes the longest wait between two parts of the answer."""
        self._watched.limit_s = idle_timeout_s
        # The socket of an answer that closes its connection is closed with the
        # last byte of the body.
        if not self.call.streamed and self._held.sock.fileno() >= 0:
            self._held.sock.settimeout(idle_timeout_s)

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
        self._keeper.watch.remove(self._watched)
        if self._abort is not None:
            self._abort.remove(self._held.sock)
        if self._reusable():
            self._keeper.keep(self.call.endpoint.address, self._held)
        else:
            discard(self._held)
            self._response.close()

    def _reusable(self) -> bool:
        return (
            self._complete and not self.call.fresh and not self._watched.expired
        )


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


def exchange_head(call: Call, held: Held) -> urllib3.BaseHTTPResponse:
    """Sends a call and returns its answer, whose body is unread.

    Raises:
      Exception: one of ERRORS.
    """
    connection = held.connection
    connection.timeout = call.first_byte_timeout_s
    # The limit of the connection's opening would otherwise bound the sending.
    held.sock.settimeout(call.first_byte_timeout_s)
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
    held.sock.settimeout(call.idle_timeout_s)
    return response


def discard(held: Held, abort: AbortHandle | None = None) -> None:
    """Closes a connection."""
    if abort is not None:
        abort.remove(held.sock)
    shut_down(held.sock)
    held.connection.close()


__all__ = ["Call", "Exchange", "Held", "Keeper", "discard", "exchange_head"]
