"""Connections of callers, as waitress classes.

They keep the heads of requests as received, apply the operator's limits, and
detect that a caller has closed its connection.
"""

from __future__ import annotations

import copy
import http
import math
import re
import socket
import struct
from collections.abc import Callable
from typing import Any

import waitress.parser
import waitress.task
import waitress.utilities

from burdockspan.gateway.callers.messages import (
    CallerConnection,
    RawRequest,
    TruncatedError,
    make_problem,
    make_status_line,
)
from burdockspan.gateway.callers.response_buffers import (
    SHORTAGE_UNREAD_S,
    ResponseBuffers,
    limit_output,
)
from burdockspan.gateway.values import RequestLimits
from burdockspan.http.listener import Channel, send_error_response
from burdockspan.values.clock import Clock

RAW_KEY = "burdockspan.raw"
"""Key of the raw request in a WSGI environment."""
CLOSE_KEY = "burdockspan.close"
"""Key of the function that closes the connection after the response."""

_LINE_END = b"\r\n"
_UNREPEATABLE_HEADERS = ("Content-Length", "Host", "Transfer-Encoding")


class RequestError(waitress.utilities.Error):
    """An error of a request that cannot be parsed."""

    def __init__(self, code: int, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.reason = http.HTTPStatus(code).phrase


def make_channel_class(
    limits: Callable[[], RequestLimits],
    clock: Clock,
    buffers: ResponseBuffers,
) -> type[Channel]:
    """Returns the class of the connections of one server.

    Args:
      limits: returns the limits in force.
      clock: monotonic clock, in seconds.
      buffers: counts and limits the responses that wait for their readers.
    """

    class RequestParser(waitress.parser.HTTPRequestParser):
        """Keeps the head as received, and applies the limits in force."""

        header_lines: tuple[tuple[str, str], ...] = ()
        error: Any = None

        def __init__(self, adj: Any) -> None:
            current_limits = limits()
            self.started_s = clock()
            self.arrived_s = self.started_s
            self._header_bytes = current_limits.header_bytes
            # A copy, since the limits in force may change while other requests
            # are read.
            own_adj = copy.copy(adj)
            own_adj.max_request_body_size = current_limits.body_bytes + 1
            super().__init__(own_adj)

        def received(self, data: bytes) -> int:
            consumed = super().received(data)
            too_long = self.header_bytes_received > self._header_bytes
            if too_long and self.error is None:
                self.error = RequestError(
                    431, f"headers are longer than {self._header_bytes} bytes"
                )
                self.completed = True
            return consumed

        def parse_header(self, header_plus: bytes) -> None:
            self.arrived_s = clock()
            self.header_lines = _read_headers(header_plus)
            super().parse_header(header_plus)

    class RequestTask(waitress.task.WSGITask):
        """Passes the raw request to the application in the environment."""

        environ: Any = None

        def get_environment(self) -> dict[str, Any]:
            cached: dict[str, Any] | None = self.environ
            if cached is not None:
                return cached
            request = self.request
            channel = self.channel
            caller = CallerConnection()
            channel.caller = caller
            if not channel.connected:
                caller.record_gone()
            environ: dict[str, Any] = {
                RAW_KEY: RawRequest(
                    method=request.command,
                    target=request.request_uri,
                    headers=request.header_lines,
                    body=request.get_body_stream().read(),
                    client=channel.addr[0],
                    arrived_s=request.arrived_s,
                    caller=caller,
                ),
                CLOSE_KEY: self.set_close_on_finish,
            }
            self.environ = environ
            return environ

        def build_response_header(self) -> bytes:
            """Returns the head, with the idle timeout if the caller may stay.

            The version of the request and the framing of the body decide in
            the base class whether the connection closes.
            """
            head: bytes = super().build_response_header()
            timeout_s = limits().idle_timeout_s
            self.channel.stated_idle_limit_s = timeout_s
            if self.close_on_finish or timeout_s < 1.0:
                return head
            keep_alive = f"Keep-Alive: timeout={math.floor(timeout_s)}"
            return head.removesuffix(_LINE_END) + (
                keep_alive.encode() + 2 * _LINE_END
            )

        def execute(self) -> None:
            try:
                super().execute()
            except TruncatedError:
                if not self.chunked_response and self.content_length is None:
                    # The end of the connection would delimit the body. Only
                    # a reset shows the caller that the body is truncated.
                    _reset_on_close(self.channel.socket)
                raise

    class ErrorResponseTask(waitress.task.ErrorTask):
        """Sends the error response for a request that cannot be parsed."""

        def execute(self) -> None:
            error = self.request.error
            detail = str(error.body) or "request is malformed"
            response = make_problem(error.code, "malformed", detail)
            status = make_status_line(response.status)
            send_error_response(
                self, status, response.headers, b"".join(response.body)
            )

    class CallerChannel(Channel):
        """A caller's connection.

        Attributes:
          idle_since_s: when the last answer was written to the socket, or the
            connection was accepted, in monotonic seconds.
          idle_limit_s: the idle timeout that was in force then.
          stated_idle_limit_s: the idle timeout when the head of the last
            answer was written.
        """

        parser_class = RequestParser
        task_class = RequestTask
        error_task_class = ErrorResponseTask
        caller: CallerConnection | None = None
        _held_bytes = 0
        # When the connection began to hold bytes.
        _held_since_s = 0.0

        def __init__(
            self,
            server: Any,
            sock: Any,
            addr: Any,
            adj: Any,
            **options: Any,
        ) -> None:
            self.idle_since_s = clock()
            self.idle_limit_s = limits().idle_timeout_s
            self.stated_idle_limit_s = self.idle_limit_s
            adj = limit_output(adj, buffers)
            super().__init__(server, sock, addr, adj, **options)

        @property
        def total_outbufs_len(self) -> int:
            """Bytes of responses that wait for the reader."""
            return self._held_bytes

        @total_outbufs_len.setter
        def total_outbufs_len(self, held_bytes: int) -> None:
            if not self._held_bytes:
                self._held_since_s = clock()
            buffers.change(held_bytes - self._held_bytes)
            self._held_bytes = held_bytes

        def is_stalled(self) -> bool:
            """Returns whether the reader keeps memory that others need."""
            since_s = max(self.last_activity, self._held_since_s)
            return (
                buffers.is_short
                and self._held_bytes > 0
                and clock() - since_s > SHORTAGE_UNREAD_S
            )

        def paused_since_s(self) -> float | None:
            """Returns since when a worker may wait for the reader.

            Returns None unless it waits because memory is short.
            """
            limit_bytes = buffers.connection_limit_bytes()
            if (
                not buffers.is_short
                or not self.requests
                or self._held_bytes <= limit_bytes
            ):
                return None
            return self._held_since_s

        def cut_off(self) -> None:
            """Resets the connection, so that the response is not complete."""
            _reset_on_close(self.socket)
            self.handle_close()

        def wake_writer(self) -> None:
            """Lets a worker go on whose limit has risen."""
            if self.requests and self.outbuf_lock.acquire(False):
                try:
                    self.outbuf_lock.notify()
                finally:
                    self.outbuf_lock.release()

        def _flush_some(self, do_close: bool = True) -> bool:
            has_sent: bool = super()._flush_some(do_close)
            if has_sent and not self.total_outbufs_len:
                self.idle_since_s = clock()
                self.idle_limit_s = max(
                    self.stated_idle_limit_s, limits().idle_timeout_s
                )
            return has_sent

        def handle_close(self) -> None:
            super().handle_close()
            if self.caller is not None:
                self.caller.record_gone()

    return CallerChannel


def _reset_on_close(sock: Any) -> None:
    """Makes the close of a socket a reset."""
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )


def _read_headers(header_plus: bytes) -> tuple[tuple[str, str], ...]:
    """Parses the headers of a request head, and rejects ambiguous ones.

    Raises:
      waitress.parser.ParsingError: a header is folded, a header that routes or
        delimits the request is repeated, two headers delimit the body
        differently, or the request line is not printable ASCII.
    """
    _, _, header_block = header_plus.partition(b"\r\n")
    if re.search(rb"(?m)^[ \t]", header_block):
        # Parsers treat folded lines differently, RFC 9112 section 5.2.
        raise waitress.parser.ParsingError("a header line is folded")
    lines = waitress.parser.get_header_lines(header_block)
    headers = []
    for line in lines:
        name, _, value = line.partition(b":")
        text = value.strip(b" \t").decode("latin-1")
        headers.append((name.decode("latin-1"), text))
    for header in _UNREPEATABLE_HEADERS:
        count = sum(name.lower() == header.lower() for name, _ in headers)
        if count > 1:
            raise waitress.parser.ParsingError(f"{header} is repeated")
    names = {name.lower() for name, _ in headers}
    if {"content-length", "transfer-encoding"} <= names:
        raise waitress.parser.ParsingError(
            "Content-Length conflicts with Transfer-Encoding"
        )
    request_line = header_plus.split(b"\r\n", 1)[0]
    if re.search(rb"[^!-~ ]", request_line):
        raise waitress.parser.ParsingError(
            "request line has characters outside printable ASCII"
        )
    return tuple(headers)


__all__ = ["CLOSE_KEY", "RAW_KEY", "RequestError", "make_channel_class"]
