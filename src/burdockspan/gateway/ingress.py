"""The server for callers: raw requests in, answers out, byte for byte."""

from __future__ import annotations

import dataclasses
import http
import json
import re
import socket
import struct
import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import waitress.channel
import waitress.parser
import waitress.task
import waitress.utilities

from burdockspan.gateway.values import Limits
from burdockspan.http.listener import Server, make_server
from burdockspan.values.clock import Clock

_RAW_KEY = "burdockspan.raw"
_CLOSE_KEY = "burdockspan.close"
# A stalled body is given up after the same time as an idle connection.
_HOUSEKEEPING_S = 0.25
# Callers reuse a connection until shortly before its idle timeout, so it is
# closed only well after that.
_IDLE_FACTOR = 1.5
# Beyond the operator's limit, so that a smaller limit is applied per request.
_MOST_HEADER_BYTES = 1024 * 1024
_SINGLE_HEADERS = ("Content-Length", "Host", "Transfer-Encoding")
_PROBLEM_TYPE = "application/problem+json"


class TruncatedError(ConnectionError):
    """Ends an answer whose rest cannot be had, so that it looks cut off."""


class Caller:
    """The connection of one request's caller.

    Attributes:
      gone: whether the caller has closed its connection.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listeners: list[Callable[[], None]] = []
        self.gone = False

    def on_gone(self, listener: Callable[[], None]) -> None:
        """Calls a function once the caller has gone, now if it has."""
        with self._lock:
            if not self.gone:
                self._listeners.append(listener)
                return
        listener()

    def leave(self) -> None:
        """Notes that the caller has gone."""
        with self._lock:
            if self.gone:
                return
            self.gone = True
            listeners, self._listeners = self._listeners, []
        for listener in listeners:
            listener()


@dataclasses.dataclass(frozen=True)
class RawRequest:
    """A request as it was received.

    Attributes:
      method: HTTP method.
      target: path and query, not decoded.
      headers: all headers in their order.
      body: whole body, without its transfer coding.
      client: IP address of the caller.
      arrived_s: when its head had been read, monotonic seconds.
      caller: the caller's connection.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    client: str
    arrived_s: float
    caller: Caller


@dataclasses.dataclass(frozen=True)
class Reply:
    """The answer to a request.

    Attributes:
      status: HTTP status.
      headers: headers, none of which concerns only the connection.
      body: its parts; raises `TruncatedError` if the rest cannot be had.
      close: called once the answer has been sent or given up.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterable[bytes]
    close: Callable[[], None] = lambda: None


Handler = Callable[[RawRequest], Reply]


def make_problem(
    status: int, reason: str, detail: str, retry_after_s: float | None = None
) -> Reply:
    """Returns a refusal of this router, RFC 9457."""
    value = {"status": status, "reason": reason, "detail": detail}
    body = json.dumps(value).encode()
    headers = [
        ("Content-Type", _PROBLEM_TYPE),
        ("Content-Length", str(len(body))),
    ]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.2f}"))
    return Reply(status, tuple(headers), (body,))


def make_ingress(
    handle: Handler,
    address: str,
    threads: int,
    limits: Callable[[], Limits],
    closing: Callable[[], bool],
    clock: Clock,
) -> Server:
    """Returns the server for callers, listening but not yet serving.

    Args:
      handle: answers a request; runs in one of the server's threads.
      address: `ip:port` to listen on.
      threads: requests served at a time.
      limits: returns the limits in force.
      closing: whether connections end with their next answer.
      clock: monotonic clock, in seconds.
    """

    def application(
        environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        raw: RawRequest = environ[_RAW_KEY]
        reply = handle(raw)
        if closing():
            environ[_CLOSE_KEY]()
        status = make_status_line(reply.status)
        start_response(status, list(reply.headers))
        return _Body(reply.body, reply.close)

    housekeeper = _Housekeeper(limits, clock)
    return make_server(
        application,
        address,
        threads,
        _make_channel_class(limits, clock),
        max_request_header_size=_MOST_HEADER_BYTES,
        # The headers are passed on as received.
        clear_untrusted_proxy_headers=False,
        housekeeping=housekeeper.check,
    )


def make_status_line(status: int) -> str:
    """Returns a status with its reason phrase."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


class _Body:
    """An answer's body without a length of its own.

    waitress adds a length to a list of one part, which would make the part of
    a broken stream look complete.
    """

    def __init__(
        self, parts: Iterable[bytes], close: Callable[[], None]
    ) -> None:
        self._parts = parts
        self._close = close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._parts)

    def close(self) -> None:
        close_parts = getattr(self._parts, "close", None)
        if close_parts is not None:
            close_parts()
        self._close()


class _RequestError(waitress.utilities.Error):
    """An error of a request that could not be read."""

    def __init__(self, code: int, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.reason = http.HTTPStatus(code).phrase


def _make_channel_class(limits: Callable[[], Limits], clock: Clock) -> type:
    class Parser(waitress.parser.HTTPRequestParser):
        """Keeps the head as received and applies the limits in force."""

        header_lines: tuple[tuple[str, str], ...] = ()
        error: Any = None

        def __init__(self, adj: Any) -> None:
            now = limits()
            self.started_s = clock()
            self.arrived_s = self.started_s
            self._header_bytes = now.header_bytes
            adj.max_request_body_size = now.body_bytes + 1
            super().__init__(adj)

        def received(self, data: bytes) -> int:
            consumed = super().received(data)
            too_long = self.header_bytes_received > self._header_bytes
            if too_long and self.error is None:
                self.error = _RequestError(
                    431, f"headers are longer than {self._header_bytes} bytes"
                )
                self.completed = True
            return consumed

        def parse_header(self, header_plus: bytes) -> None:
            self.arrived_s = clock()
            self.header_lines = _read_headers(header_plus)
            super().parse_header(header_plus)

    class Task(waitress.task.WSGITask):
        """Passes the request on as received."""

        environ: Any = None

        def get_environment(self) -> dict[str, Any]:
            held: dict[str, Any] | None = self.environ
            if held is not None:
                return held
            request = self.request
            channel = self.channel
            caller = Caller()
            channel.caller = caller
            if not channel.connected:
                caller.leave()
            made: dict[str, Any] = {
                _RAW_KEY: RawRequest(
                    method=request.command,
                    target=request.request_uri,
                    headers=request.header_lines,
                    body=request.get_body_stream().read(),
                    client=channel.addr[0],
                    arrived_s=request.arrived_s,
                    caller=caller,
                ),
                _CLOSE_KEY: self.set_close_on_finish,
            }
            self.environ = made
            return made

        def execute(self) -> None:
            try:
                super().execute()
            except TruncatedError:
                if not self.chunked_response and self.content_length is None:
                    # Without a length, only a reset shows that the rest of
                    # the body is missing.
                    self.channel.socket.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack("ii", 1, 0),
                    )
                raise

    class Problem(waitress.task.ErrorTask):
        """Answers a request that could not be read."""

        def execute(self) -> None:
            error = self.request.error
            detail = str(error.body) or "request is malformed"
            reply = make_problem(error.code, "malformed", detail)
            self.status = make_status_line(reply.status)
            self.response_headers.extend(reply.headers)
            self.set_close_on_finish()
            body = b"".join(reply.body)
            self.content_length = len(body)
            self.write(body)

    class Channel(waitress.channel.HTTPChannel):
        """A caller's connection."""

        parser_class = Parser
        task_class = Task
        error_task_class = Problem
        caller: Caller | None = None

        def handle_close(self) -> None:
            super().handle_close()
            if self.caller is not None:
                self.caller.leave()

    return Channel


class _Housekeeper:
    """Ends requests that arrive too slowly, and idle connections."""

    def __init__(self, limits: Callable[[], Limits], clock: Clock) -> None:
        self._limits = limits
        self._clock = clock
        self._next_s = 0.0
        self._idle_since_s: dict[int, float] = {}

    def check(self, channels: Iterable[Any]) -> None:
        """Looks at all connections of the server; runs in its loop."""
        now_s = self._clock()
        if now_s < self._next_s:
            return
        self._next_s = now_s + _HOUSEKEEPING_S
        limits = self._limits()
        idle: dict[int, float] = {}
        for channel in channels:
            if channel.requests or channel.total_outbufs_len:
                continue
            if channel.request is not None:
                _check_arrival(channel, limits, now_s)
                continue
            since_s = self._idle_since_s.get(id(channel), now_s)
            idle[id(channel)] = since_s
            if now_s - since_s > _IDLE_FACTOR * limits.idle_timeout_s:
                channel.will_close = True
        self._idle_since_s = idle


def _check_arrival(channel: Any, limits: Limits, now_s: float) -> None:
    request = channel.request
    elapsed_s = now_s - request.started_s
    limit_s = (
        limits.idle_timeout_s
        if request.headers_finished
        else limits.header_timeout_s
    )
    if elapsed_s <= limit_s:
        return
    with channel.requests_lock:
        if channel.requests or channel.request is not request:
            return
        request.error = _RequestError(
            408, f"request was not complete after {limit_s:g} s"
        )
        request.completed = True
        channel.requests.append(request)
        channel.request = None
        channel.server.add_task(channel)


def _read_headers(header_plus: bytes) -> tuple[tuple[str, str], ...]:
    """Returns the headers of a head, and refuses ambiguous ones.

    Raises:
      waitress.parser.ParsingError: a header that delimits the request is
        repeated or conflicts with another one.
    """
    _, _, block = header_plus.partition(b"\r\n")
    if re.search(rb"(?m)^[ \t]", block):
        # Readers of folded lines disagree about them, RFC 9112 section 5.2.
        raise waitress.parser.ParsingError("a header line is folded")
    lines = waitress.parser.get_header_lines(block)
    found = []
    for line in lines:
        name, _, value = line.partition(b":")
        text = value.strip(b" \t").decode("latin-1")
        found.append((name.decode("latin-1"), text))
    for single in _SINGLE_HEADERS:
        count = sum(name.lower() == single.lower() for name, _ in found)
        if count > 1:
            raise waitress.parser.ParsingError(f"{single} is repeated")
    names = {name.lower() for name, _ in found}
    if {"content-length", "transfer-encoding"} <= names:
        raise waitress.parser.ParsingError(
            "Content-Length conflicts with Transfer-Encoding"
        )
    first = header_plus.split(b"\r\n", 1)[0]
    if re.search(rb"[^!-~ ]", first):
        raise waitress.parser.ParsingError(
            "request line has characters outside printable ASCII"
        )
    return tuple(found)


__all__ = [
    "Caller",
    "Handler",
    "RawRequest",
    "Reply",
    "TruncatedError",
    "make_ingress",
    "make_problem",
    "make_status_line",
]
