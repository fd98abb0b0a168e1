"""Waitress servers that keep all buffers in memory and stop cleanly."""

from __future__ import annotations

import dataclasses
import socket
import threading
from collections.abc import Callable, Iterable
from typing import Any

import waitress.channel
import waitress.server
import waitress.wasyncore

_MEBIBYTE = 1024 * 1024
# VMs have no disks: no buffer may spill to a temporary file.
_OVERFLOW_BYTES = 1024 * _MEBIBYTE
# Holds about 10,000 streamed tokens of a slow reader, so that the engine
# finishes at its own pace, and bounds what one caller makes the process hold.
_OUTPUT_LIMIT_BYTES = 2 * _MEBIBYTE
_CONNECTION_LIMIT_COUNT = 20_000
HEADER_LIMIT_BYTES = 64 * 1024
_POLL_S = 1.0

WsgiApplication = Callable[[dict[str, Any], Any], Iterable[bytes]]

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


def make_server(
    application: WsgiApplication,
    address: str,
    threads: int,
    channel_class: type = waitress.channel.HTTPChannel,
    housekeeping: Callable[[Iterable[Any]], None] | None = None,
    **adjustments: Any,
) -> Server:
    """Returns a server, listening but not yet serving.

    Args:
      application: WSGI application.
      address: `ip:port` to listen on; port 0 takes a free one.
      threads: threads that run the application.
      channel_class: class of a caller's connection.
      housekeeping: called with the open connections in each turn of the loop.
      adjustments: settings of waitress that replace the ones used here.
    """
    host, _, port = address.rpartition(":")
    sockets: dict[int, Any] = {}
    settings: dict[str, Any] = {
        "ident": None,
        "backlog": 4096,
        "connection_limit": _CONNECTION_LIMIT_COUNT,
        "asyncore_use_poll": True,
        # A handler learns that its caller has gone only if the server goes on
        # reading from the connection meanwhile.
        "channel_request_lookahead": 1,
        "inbuf_overflow": _OVERFLOW_BYTES,
        "outbuf_overflow": _OVERFLOW_BYTES,
        "outbuf_high_watermark": _OUTPUT_LIMIT_BYTES,
        "max_request_header_size": HEADER_LIMIT_BYTES,
        "log_socket_errors": False,
        **adjustments,
    }
    made: Any = waitress.server.create_server(
        application,
        map=sockets,
        listen=f"{host}:{port}",
        threads=threads,
        **settings,
    )
    made.adj.socket_options = CALLER_SOCKET_OPTIONS
    made.channel_class = channel_class
    loop = _Loop(made, sockets, housekeeping)
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
        for one in _channels(sockets)
    )


def _channels(sockets: dict[int, Any]) -> list[Any]:
    return [
        one
        for one in list(sockets.values())
        if isinstance(one, waitress.channel.HTTPChannel)
    ]


def send_error_response(
    task: Any, status: str, headers: Iterable[tuple[str, str]], body: bytes
) -> None:
    """Answers a request that could not be read, and ends its connection."""
    task.status = status
    task.response_headers.extend(headers)
    task.set_close_on_finish()
    task.content_length = len(body)
    task.write(body)


class _Loop:
    """The loop of a server.

    waitress closes the descriptor that wakes its loop while worker threads
    still write to it, by when the number may name another connection. Here it
    is closed after the workers have ended.
    """

    def __init__(
        self,
        server: Any,
        sockets: dict[int, Any],
        housekeeping: Callable[[Iterable[Any]], None] | None,
    ) -> None:
        self._server = server
        self._sockets = sockets
        self._housekeeping = housekeeping
        self._lock = threading.Lock()
        self._stopping = False
        self._ended = False

    def run(self) -> None:
        """Serves until `stop` is called."""
        while not self._stopping:
            waitress.wasyncore.poll2(_POLL_S, self._sockets)
            if self._housekeeping is not None:
                self._housekeeping(_channels(self._sockets))
        for channel in _channels(self._sockets):
            channel.handle_close()
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


__all__ = [
    "CALLER_SOCKET_OPTIONS",
    "HEADER_LIMIT_BYTES",
    "Server",
    "WsgiApplication",
    "make_server",
    "send_error_response",
]
