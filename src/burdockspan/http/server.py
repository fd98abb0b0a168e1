"""The waitress servers of an entry process."""

from __future__ import annotations

import dataclasses
import re
import socket
import threading
from collections.abc import Callable
from typing import Any

import waitress.channel
import waitress.parser
import waitress.server
import waitress.task
import waitress.wasyncore
from result import Err

from burdockspan.http.application import REQUEST_ID_HEADER, WsgiApplication
from burdockspan.http.claiming import hedge
from burdockspan.http.parsing import check_key, make_too_large
from burdockspan.http.refusals import (
    make_malformed,
    make_refusal_reply,
    make_status_line,
)
from burdockspan.values.ids import make_request_id
from burdockspan.values.refusal import Refusal

_MEBIBYTE = 1024 * 1024
# VMs have no disks: no buffer may spill to a temporary file.
_OVERFLOW_BYTES = 1024 * _MEBIBYTE
# Holds about 10,000 streamed tokens of a slow reader, so that the engine
# finishes at its own pace, and bounds what one caller makes the process hold.
_OUTPUT_LIMIT_BYTES = 2 * _MEBIBYTE
_CONNECTION_LIMIT_COUNT = 20_000
_HEADER_LIMIT_BYTES = 64 * 1024
_POLL_S = 1.0
_ADMIN_THREADS = 4
# The application refuses calls beyond the limit, for which it needs threads
# of its own; in the queue of waitress they would wait unseen.
_SPARE_THREADS = 4
_ADMIN_BODY_LIMIT_BYTES = 64 * 1024
# Idempotency-Key as waitress names it.
_KEY_FIELD = "IDEMPOTENCY_KEY"

# Keep-alive finds a caller that vanished while nothing is sent to it;
# TCP_USER_TIMEOUT does so while data is unacknowledged. Both take 20 s.
CALLER_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 10),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 20_000),
]

# waitress joins repeated headers, which hides a conflict between them.
_SINGLE_HEADERS = (
    "Authorization",
    "Burdockspan-Deadline",
    "Burdockspan-Priority",
    "Content-Length",
    "Idempotency-Key",
)


@dataclasses.dataclass(frozen=True)
class Server:
    """A listening server.

    Attributes:
      address: `ip:port` it listens on.
      run: serves until it is stopped.
      stop_accepting: closes the listening socket; open connections go on.
      busy: whether a call is being handled, or its answer has not been handed
        over to the kernel. A slow reader's answer outlives its request.
      stop: closes all connections, so that `run` returns.
    """

    address: str
    run: Callable[[], None]
    stop_accepting: Callable[[], None]
    busy: Callable[[], bool]
    stop: Callable[[], None]


def make_caller_server(
    application: WsgiApplication,
    address: str,
    threads: int,
    body_limit: Callable[[], int],
) -> Server:
    """Returns the server for callers, listening but not yet serving.

    Args:
      application: WSGI application.
      address: `ip:port` to listen on; port 0 takes a free one.
      threads: most calls that the application serves at a time.
      body_limit: returns the largest body of a call, in bytes.
    """
    return _make_server(
        application, address, threads + _SPARE_THREADS, body_limit
    )


def make_admin_server(application: WsgiApplication, address: str) -> Server:
    """Returns the server for operators, listening but not yet serving."""
    return _make_server(
        application, address, _ADMIN_THREADS, lambda: _ADMIN_BODY_LIMIT_BYTES
    )


def _make_server(
    application: WsgiApplication,
    address: str,
    threads: int,
    body_limit: Callable[[], int],
) -> Server:
    host, _, port = address.rpartition(":")
    sockets: dict[int, Any] = {}
    made: Any = waitress.server.create_server(
        application,
        map=sockets,
        listen=f"{host}:{port}",
        threads=threads,
        ident=None,
        backlog=4096,
        connection_limit=_CONNECTION_LIMIT_COUNT,
        asyncore_use_poll=True,
        # A handler learns that its caller has gone only if the server goes on
        # reading from the connection meanwhile.
        channel_request_lookahead=1,
        inbuf_overflow=_OVERFLOW_BYTES,
        outbuf_overflow=_OVERFLOW_BYTES,
        outbuf_high_watermark=_OUTPUT_LIMIT_BYTES,
        max_request_header_size=_HEADER_LIMIT_BYTES,
        log_socket_errors=False,
    )
    made.adj.socket_options = CALLER_SOCKET_OPTIONS
    made.channel_class = _make_channel_class(body_limit)
    loop = _Loop(made, sockets)
    return Server(
        address=f"{made.effective_host}:{made.effective_port}",
        run=loop.run,
        stop_accepting=lambda: loop.ask(
            lambda: waitress.wasyncore.dispatcher.close(made)
        ),
        busy=lambda: _is_busy(sockets),
        stop=loop.stop,
    )


def _is_busy(sockets: dict[int, Any]) -> bool:
    return any(
        bool(one.requests) or one.total_outbufs_len > 0
        for one in list(sockets.values())
        if isinstance(one, waitress.channel.HTTPChannel)
    )


class _Loop:
    """The loop of a server.

    waitress closes the descriptor that wakes its loop while worker threads
    still write to it, by when the number may name another connection. Here it
    is closed after the workers have ended.
    """

    def __init__(self, server: Any, sockets: dict[int, Any]) -> None:
        self._server = server
        self._sockets = sockets
        self._lock = threading.Lock()
        self._stopping = False
        self._ended = False

    def run(self) -> None:
        """Serves until `stop` is called."""
        while not self._stopping:
            waitress.wasyncore.poll2(_POLL_S, self._sockets)
        for one in list(self._sockets.values()):
            if isinstance(one, waitress.channel.HTTPChannel):
                one.handle_close()
        waitress.wasyncore.dispatcher.close(self._server)
        self._server.task_dispatcher.shutdown()
        with self._lock:
            self._ended = True
            if not self._server.task_dispatcher.threads:
                self._server.trigger.close()

    def stop(self) -> None:
        """Makes `run` return."""
        self._stopping = True
        self.ask(None)

    def ask(self, thunk: Callable[[], None] | None) -> None:
        """Has the loop call a function; without effect once it has ended."""
        with self._lock:
            if not self._ended:
                self._server.trigger.pull_trigger(thunk)


def _make_channel_class(body_limit: Callable[[], int]) -> type:
    class Parser(waitress.parser.HTTPRequestParser):
        """Finds conflicting headers and applies the limit in force."""

        def __init__(self, adj: Any) -> None:
            # The application refuses bodies over the limit; beyond twice the
            # limit they are not read at all.
            adj.max_request_body_size = 2 * body_limit() + 1
            super().__init__(adj)

        def parse_header(self, header_plus: bytes) -> None:
            _check_headers(header_plus)
            super().parse_header(header_plus)

    class Problem(waitress.task.ErrorTask):
        """Answers a request that could not be parsed."""

        def execute(self) -> None:
            refusal = _judge(self.request.error, body_limit())
            if refusal.status == 413 and _KEY_FIELD in self.request.headers:
                # The key may have run before a change lowered the limit.
                refusal = hedge(refusal)
            request_id = make_request_id()
            reply = make_refusal_reply(refusal, request_id)
            self.status = make_status_line(reply.status)
            self.response_headers.extend(reply.headers)
            self.response_headers.append((REQUEST_ID_HEADER, request_id))
            self.set_close_on_finish()
            body = b"".join(reply.body)
            self.content_length = len(body)
            self.write(body)

    class Channel(waitress.channel.HTTPChannel):
        """A caller's connection."""

        parser_class = Parser
        error_task_class = Problem

    return Channel


def _check_headers(header: bytes) -> None:
    for name in _SINGLE_HEADERS:
        pattern = rb"(?im)^" + name.encode() + rb"[ \t]*:([^\r\n]*)"
        values = re.findall(pattern, header)
        if len(values) > 1:
            raise waitress.parser.ParsingError(f"{name} is repeated")
        if values and name == "Idempotency-Key":
            # waitress refuses control characters without naming the header.
            checked = check_key(values[0].strip(b" \t").decode("latin-1"))
            if isinstance(checked, Err):
                raise waitress.parser.ParsingError(checked.err_value)
    length = re.search(rb"(?im)^content-length[ \t]*:", header)
    if length and re.search(rb"(?im)^transfer-encoding[ \t]*:", header):
        raise waitress.parser.ParsingError(
            "Content-Length conflicts with Transfer-Encoding"
        )


def _judge(error: Any, body_limit_bytes: int) -> Refusal:
    if isinstance(error.body, Refusal):
        return error.body
    if error.code == 413:
        return make_too_large(body_limit_bytes)
    if error.code == 431:
        limit = f"{_HEADER_LIMIT_BYTES} bytes"
        detail = f"headers are longer than {limit}"
        return make_malformed("headers", detail, limit, 431)
    detail = str(error.body) or "request is malformed"
    field = next(
        (name for name in _SINGLE_HEADERS if name in detail), "headers"
    )
    return make_malformed(field, detail, None, error.code)


__all__ = [
    "CALLER_SOCKET_OPTIONS",
    "Server",
    "make_admin_server",
    "make_caller_server",
]
