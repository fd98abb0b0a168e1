"""A call to an endpoint on one connection."""

from __future__ import annotations

import dataclasses
import enum
import math
import socket
from collections.abc import Callable, Iterator, Mapping

import urllib3
from result import Err, Ok, Result

from burdockspan.endpoints.call_timer import CallTimer, OnSilence
from burdockspan.endpoints.event_bounds import EventBounds
from burdockspan.endpoints.failures import (
    CALL_ERRORS,
    EndpointError,
    classify_error,
    make_failure,
)
from burdockspan.endpoints.sockets import (
    AbortHandle,
    IdleTimeoutMonitor,
    MonitoredStream,
    shut_down,
)
from burdockspan.endpoints.strict_connection import WholeHeadConnection
from burdockspan.values.clock import Clock
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import Failure, FailureKind

READ_BYTES = 65_536
EVENT_STREAM_TYPE = "text/event-stream"
"""Media type of streams of server-sent events."""


@dataclasses.dataclass(frozen=True)
class Call:
    """An HTTP call to an endpoint.

    Attributes:
      endpoint: endpoint to call.
      method: HTTP method.
      path: path and query.
      body: request body; None for no body.
      headers: request headers.
      first_byte_timeout_s: limit of the endpoint's silence before the head of
        the response is complete.
      idle_timeout_s: limit of its silence afterwards.
      fresh: whether the call must use a new connection, which is closed after
        the response.
      streamed: whether the response has many small parts. Its idle timeout is
        then enforced by an `IdleTimeoutMonitor` instead of the socket.
      on_silence: decides whether a call ends whose endpoint has been silent
        for the limit; not asked during the body of a streamed response.
      time_limit_s: time for the whole call, from before the connection is
        opened to the end of the body.
      expects_events: whether a successful response that names no media type is
        a stream of events.
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
    on_silence: OnSilence = lambda: None
    time_limit_s: float = math.inf
    expects_events: bool = False

    def __str__(self) -> str:
        return f"{self.method} {self.path}"


class Framing(enum.Enum):
    """What marks the end of a response body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


@dataclasses.dataclass(frozen=True)
class ExchangeContext:
    """What all exchanges of the process share.

    Attributes:
      keep_connection: keeps the connection to an address for a later call.
      monitor: enforces the idle timeouts of streams.
      clock: monotonic clock, in seconds.
    """

    keep_connection: Callable[[str, OpenConnection], None]
    monitor: IdleTimeoutMonitor
    clock: Clock


class Exchange:
    """A call whose response headers have arrived.

    Attributes:
      call: the call.
      status: HTTP status of the response.
      headers: headers of the response.
      framing: what marks the end of its body.
      reused: whether the connection has carried an earlier call.
    """

    def __init__(
        self,
        call: Call,
        connection: OpenConnection,
        response: urllib3.BaseHTTPResponse,
        abort: AbortHandle | None,
        context: ExchangeContext,
        timer: CallTimer,
    ) -> None:
        self._context = context
        self._timer = timer
        self._stream = MonitoredStream(
            connection.sock, call.idle_timeout_s, timer.deadline_s
        )
        self._connection = connection
        self._abort = abort
        self._complete = False
        self._closed = False
        self._response = response
        self.call = call
        self.status = response.status
        self.headers = response.headers
        self.framing = _find_framing(response)
        self.reused = connection.idle_since_s is not None

    def iterate(self) -> Iterator[bytes]:
        """Yields the parts of the body as they arrive.

        It ends without an error only if the body is whole.

        Raises:
          EndpointError: the connection was lost, or the idle timeout expired,
            or the body ended too early.
        """
        parts = (
            self._iterate_monitored
            if self.call.streamed
            else self._iterate_timed
        )
        bounds = EventBounds() if self._is_event_stream() else None
        try:
            for part in parts():
                if bounds is not None:
                    bounds.feed(part)
                yield part
            self._check_end(bounds)
        except CALL_ERRORS as error:
            failure = classify_error(
                self.call.endpoint,
                str(self.call),
                error,
                self._stream.ended_by or self._timer.ended_by,
            )
            raise EndpointError(failure) from error
        self._complete = True

    def _is_event_stream(self) -> bool:
        if not 200 <= self.status < 300:
            return False
        media_type = self.headers.get("Content-Type", "").partition(";")[0]
        if not media_type.strip():
            return self.call.expects_events
        return media_type.strip().lower() == EVENT_STREAM_TYPE

    def _check_end(self, bounds: EventBounds | None) -> None:
        """Checks that a body whose last byte has been read is whole.

        Args:
          bounds: boundaries of its events; None if it has none.

        Raises:
          ConnectionError: the body was cut off.
        """
        if self.framing is Framing.CONNECTION:
            # A shutdown by this process looks like the end of the body.
            if self._stream.expired:
                raise ConnectionAbortedError("the call exceeded a limit")
            if self._abort is not None and self._abort.aborted:
                raise ConnectionAbortedError("the call was aborted")
            if bounds is not None and bounds.is_empty:
                raise ConnectionResetError("the stream ended without an event")
        if bounds is not None and bounds.is_inside_event:
            raise ConnectionResetError(
                "the stream ended inside an event, its framing is "
                + self.framing.value
            )

    def _iterate_body(self) -> Iterator[bytes]:
        response = self._response
        if getattr(response, "chunked", False):
            yield from response.stream(READ_BYTES, decode_content=False)
            return
        while part := response.read1(READ_BYTES, decode_content=False):
            yield part

    def _iterate_timed(self) -> Iterator[bytes]:
        self._timer.restart_silence(self._stream.limit_s)
        for part in self._iterate_body():
            yield part
            # The time that the reader took for the part does not count.
            self._timer.restart_silence(self._stream.limit_s)

    def _iterate_monitored(self) -> Iterator[bytes]:
        stream, clock = self._stream, self._context.clock
        # The monitor ends the waits for data.
        self._timer.restart_silence(math.inf)
        self._timer.deadline_s = math.inf
        self._context.monitor.add(stream)
        stream.waiting_since_s = clock()
        for part in self._iterate_body():
            stream.waiting_since_s = math.inf
            yield part
            stream.waiting_since_s = clock()

    def set_idle_timeout(self, idle_timeout_s: float) -> None:
        """Sets the limit of silence before the next part of the body."""
        self._stream.limit_s = idle_timeout_s

    def limit_remaining_time(self, time_limit_s: float) -> None:
        """Ends the call after a time from now, if it would not end before."""
        deadline_s = self._context.clock() + time_limit_s
        self._stream.deadline_s = min(self._stream.deadline_s, deadline_s)
        if not self.call.streamed:
            self._timer.deadline_s = min(self._timer.deadline_s, deadline_s)

    def set_on_silence(self, on_silence: OnSilence) -> None:
        """Changes who decides whether a silent response body ends."""
        self._timer.on_silence = on_silence

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
        """Ends the call and keeps or closes its connection.

        The connection is kept for a later call if the response is complete,
        unless the call required a new connection or its idle timeout expired.
        """
        if self._closed:
            return
        self._closed = True
        self._context.monitor.remove(self._stream)
        if self._abort is not None:
            self._abort.remove(self._connection.sock)
        if self._is_reusable():
            self._context.keep_connection(
                self.call.endpoint.address, self._connection
            )
        else:
            close_connection(self._connection)
            self._response.close()

    def _is_reusable(self) -> bool:
        return (
            self._complete
            and not self.call.fresh
            and self._stream.ended_by is None
        )


@dataclasses.dataclass(frozen=True)
class OpenConnection:
    """An open connection.

    Attributes:
      http_connection: the connection of urllib3.
      sock: its socket. `http_connection.sock` may become None before the
        response has been read.
      opened_s: when it was opened, on the monotonic clock.
      idle_since_s: when its last response ended; None before the first.
    """

    http_connection: WholeHeadConnection
    sock: socket.socket
    opened_s: float
    idle_since_s: float | None = None


def _find_framing(response: urllib3.BaseHTTPResponse) -> Framing:
    if getattr(response, "chunked", False):
        return Framing.CHUNKS
    if getattr(response, "length_remaining", None) is None:
        return Framing.CONNECTION
    return Framing.LENGTH


def send_call(
    call: Call, connection: OpenConnection, timer: CallTimer
) -> urllib3.BaseHTTPResponse:
    """Sends a call and returns its response, whose body is not read yet.

    Args:
      call: the call.
      connection: where to send it.
      timer: time limits of the call.

    Raises:
      Exception: one of CALL_ERRORS.
    """
    http_connection = connection.http_connection
    http_connection.start_call(timer)
    http_connection.request(
        call.method,
        call.path,
        body=call.body,
        headers=call.headers,
        preload_content=False,
        decode_content=False,
    )
    response = http_connection.getresponse()
    timer.restart_silence(call.idle_timeout_s)
    return response


def close_connection(
    connection: OpenConnection, abort: AbortHandle | None = None
) -> None:
    """Closes a connection."""
    if abort is not None:
        abort.remove(connection.sock)
    shut_down(connection.sock)
    connection.http_connection.close()


__all__ = [
    "EVENT_STREAM_TYPE",
    "Call",
    "Exchange",
    "ExchangeContext",
    "Framing",
    "OpenConnection",
    "close_connection",
    "send_call",
]
