"""waitress servers that buffer in memory only and stop gracefully."""

from __future__ import annotations

import dataclasses
import enum
import math
import select
import socket
import threading
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import waitress.channel
import waitress.server
import waitress.task
import waitress.wasyncore
from absl import logging

from burdockspan.values.clock import Clock, make_monotonic_clock

_MEBIBYTE = 1024 * 1024
# VMs have no disks, so no buffer may overflow to a temporary file.
_BUFFER_OVERFLOW_BYTES = 1024 * _MEBIBYTE
# Buffers about 10,000 streamed tokens for a slow reader, so that the engine
# finishes without waiting for it, and limits the memory for each caller.
_OUTPUT_LIMIT_BYTES = 2 * _MEBIBYTE
_CONNECTION_LIMIT_COUNT = 20_000
HEADER_LIMIT_BYTES = 64 * 1024
_POLL_TIMEOUT_S = 1.0
_CLOSING_POLL_TIMEOUT_S = 0.1
_BACKLOG_COUNT = 4096
INACTIVITY_TIMEOUT_S = 120.0
"""Time without a byte after which a connection outside a call is closed."""

WsgiApplication = Callable[[dict[str, Any], Any], Iterable[bytes]]
RecordStop = Callable[[Sequence[Any], bool], None]

# Keep-alive detects a lost caller while nothing is sent to it; while data is
# unacknowledged, TCP_USER_TIMEOUT does. Both take 20 s.
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
      address: `ip:port` that it listens on.
      run: serves until `stop` is called.
      stop_accepting: closes the listening socket; open connections remain.
      busy: whether a call is in progress, or part of its response is not yet
        written to the socket. The response to a slow reader outlasts its call.
      close_when_idle: makes the server close all connections at a moment when
        none is in use, so that `run` returns. Until then it serves as before.
      close_idle: stops accepting, and closes each connection as soon as it is
        not in use; `run` returns once all are closed.
      has_closed: whether all connections are closed.
      stop: closes all connections, also those in use, so that `run` returns.

    A connection is in use while it carries a call, a part of a request has
    arrived, or a part of a response is not yet written to the socket.
    """

    address: str
    run: Callable[[], None]
    stop_accepting: Callable[[], None]
    busy: Callable[[], bool]
    close_when_idle: Callable[[], None]
    close_idle: Callable[[], None]
    has_closed: Callable[[], bool]
    stop: Callable[[], None]


class Channel(waitress.channel.HTTPChannel):
    """A connection of a caller."""

    @property
    def last_activity(self) -> float:
        """When a byte was last sent or received, in monotonic seconds.

        waitress assigns the time of day, which may step.
        """
        return self._last_activity_s

    @last_activity.setter
    def last_activity(self, _: float) -> None:
        self._last_activity_s: float = self.server.clock()


def has_unread_bytes(channel: Any) -> bool:
    """Returns whether bytes of a caller wait in the connection's socket."""
    flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
    try:
        return bool(channel.socket.recv(1, flags))
    except OSError:
        # Nothing has arrived, or the connection is lost.
        return False


def is_in_use(channel: Any) -> bool:
    """Returns whether a connection must not be closed; see `Server`."""
    return (
        _is_busy(channel)
        or channel.request is not None
        or has_unread_bytes(channel)
    )


def make_server(
    application: WsgiApplication,
    address: str,
    threads: int,
    channel_class: type[Channel] = Channel,
    housekeeping: Callable[[Sequence[Any]], None] | None = None,
    record_stop: RecordStop = lambda *_: None,
    clock: Clock | None = None,
    **adjustments: Any,
) -> Server:
    """Returns a server, listening but not yet serving.

    Args:
      application: WSGI application.
      address: `ip:port` to listen on; port 0 selects a free one.
      threads: limit of the threads that run the application.
      channel_class: class of the connections of callers.
      housekeeping: called with the open connections in each iteration of the
        event loop, to close idle ones; by default, those without a byte for
        `INACTIVITY_TIMEOUT_S`.
      record_stop: called with connections that a stop has closed, and whether
        they were in use.
      clock: monotonic clock, in seconds; by default, that of the process.
      adjustments: settings of waitress that override those set here.
    """
    host, _, port = address.rpartition(":")
    sockets: dict[int, Any] = {}
    settings: dict[str, Any] = {
        "ident": None,
        "backlog": _BACKLOG_COUNT,
        "connection_limit": _CONNECTION_LIMIT_COUNT,
        "asyncore_use_poll": True,
        # waitress detects a disconnected caller during a call only if it
        # keeps reading from the connection.
        "channel_request_lookahead": 1,
        "inbuf_overflow": _BUFFER_OVERFLOW_BYTES,
        "outbuf_overflow": _BUFFER_OVERFLOW_BYTES,
        "outbuf_high_watermark": _OUTPUT_LIMIT_BYTES,
        "max_request_header_size": HEADER_LIMIT_BYTES,
        "log_socket_errors": False,
        **adjustments,
    }
    server: Any = waitress.server.create_server(
        application,
        map=sockets,
        listen=f"{host}:{port}",
        threads=threads,
        _dispatcher=GrowingTaskDispatcher(threads),
        **settings,
    )
    server.adj.socket_options = CALLER_SOCKET_OPTIONS
    server.channel_class = channel_class
    server.clock = clock or make_monotonic_clock()
    # waitress would close connections by the time of day.
    server.next_channel_cleanup = math.inf
    loop = _EventLoop(
        server,
        sockets,
        housekeeping or _make_housekeeping(server.clock),
        record_stop,
    )
    return Server(
        address=f"{server.effective_host}:{server.effective_port}",
        run=loop.run,
        stop_accepting=lambda: loop.call_soon(
            lambda: waitress.wasyncore.dispatcher.close(server)
        ),
        busy=lambda: any(map(_is_busy, _channels(sockets))),
        close_when_idle=lambda: loop.advance(_Phase.CLOSING_WHEN_IDLE),
        close_idle=lambda: loop.advance(_Phase.CLOSING_IDLE),
        has_closed=lambda: loop.has_closed,
        stop=lambda: loop.advance(_Phase.STOPPED),
    )


def _make_housekeeping(clock: Clock) -> Callable[[Sequence[Any]], None]:
    def close_inactive(channels: Sequence[Any]) -> None:
        now_s = clock()
        for channel in channels:
            if (
                not channel.requests
                and now_s - channel.last_activity > INACTIVITY_TIMEOUT_S
                and not has_unread_bytes(channel)
            ):
                channel.handle_close()

    return close_inactive


def _is_busy(channel: Any) -> bool:
    # A worker thread adds output before it removes the request.
    return bool(channel.requests) or channel.total_outbufs_len > 0


def _has_waiting_connections(server: Any) -> bool:
    """Returns whether connections wait to be accepted."""
    if not server.accepting:
        return False
    pollster = select.poll()
    pollster.register(server.socket, select.POLLIN)
    return bool(pollster.poll(0))


def _channels(sockets: dict[int, Any]) -> list[Any]:
    return [
        channel
        for channel in list(sockets.values())
        if isinstance(channel, waitress.channel.HTTPChannel)
    ]


def send_error_response(
    task: Any, status: str, headers: Iterable[tuple[str, str]], body: bytes
) -> None:
    """Sends an error response to an invalid request and ends its connection."""
    task.status = status
    task.response_headers.extend(headers)
    task.set_close_on_finish()
    task.content_length = len(body)
    task.write(body)


class GrowingTaskDispatcher(waitress.task.ThreadedTaskDispatcher):
    """A task dispatcher that starts its threads when tasks need them.

    waitress starts all threads at once. Hundreds of processes on one machine
    would need tens of thousands of threads, of which few ever run.
    """

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit
        self._last_thread = 0

    def add_task(self, task: Any) -> None:
        """Queues a task, and starts a thread if none is idle."""
        with self.lock:
            self.queue.append(task)
            self.queue_cv.notify()
            count = len(self.threads) - self.stop_count
            idle = count - self.active_count
            if len(self.queue) <= idle or count >= self._limit:
                return
            # Not `set_thread_count`, which takes the lock itself: of two tasks
            # added at the same time, one would get no thread.
            self._last_thread += 1
            self.threads.add(self._last_thread)
            self.active_count += 1
            try:
                self.start_new_thread(self.handler_thread, self._last_thread)
            except RuntimeError as error:
                # The task waits for a thread that is there, or for the next.
                self.threads.discard(self._last_thread)
                self.active_count -= 1
                logging.error("no thread started for a request: %s", error)


class _Phase(enum.IntEnum):
    """Phases of an event loop, in their order."""

    SERVING = 0
    CLOSING_WHEN_IDLE = 1
    CLOSING_IDLE = 2
    STOPPED = 3


class _EventLoop:
    """The event loop of a server.

    The loop itself closes connections, so that no request is read between the
    last look at a connection and its close.

    waitress closes the descriptor that wakes its loop while worker threads may
    still write to it; by then its number may belong to another connection.
    This loop closes it after the worker threads have ended.

    Attributes:
      has_closed: whether all connections are closed.
    """

    def __init__(
        self,
        server: Any,
        sockets: dict[int, Any],
        housekeeping: Callable[[Sequence[Any]], None],
        record_stop: RecordStop,
    ) -> None:
        self._server = server
        self._sockets = sockets
        self._housekeeping = housekeeping
        self._record_stop = record_stop
        self._lock = threading.Lock()
        self._phase = _Phase.SERVING
        self._ended = False
        self.has_closed = False

    def run(self) -> None:
        """Serves until the loop is stopped or has closed all connections."""
        while self._phase < _Phase.STOPPED:
            is_serving = self._phase is _Phase.SERVING
            waitress.wasyncore.poll2(
                _POLL_TIMEOUT_S if is_serving else _CLOSING_POLL_TIMEOUT_S,
                self._sockets,
            )
            self._housekeeping(_channels(self._sockets))
            if (
                self._phase is _Phase.CLOSING_WHEN_IDLE
                and not _has_waiting_connections(self._server)
                and not any(map(is_in_use, _channels(self._sockets)))
            ):
                self.advance(_Phase.CLOSING_IDLE)
            if self._phase is _Phase.CLOSING_IDLE:
                self._close_idle()
        self._close_idle_channels()
        cut_off = _channels(self._sockets)
        for channel in cut_off:
            channel.handle_close()
        self._record_stop(cut_off, True)
        waitress.wasyncore.dispatcher.close(self._server)
        self.has_closed = True
        self._server.task_dispatcher.shutdown()
        with self._lock:
            self._ended = True
            if not self._server.task_dispatcher.threads:
                self._server.trigger.close()

    def _close_idle(self) -> None:
        # Closing the listening socket resets the connections that wait there.
        for _ in range(_BACKLOG_COUNT):
            if not _has_waiting_connections(self._server):
                break
            self._server.handle_accept()
        waitress.wasyncore.dispatcher.close(self._server)
        self._close_idle_channels()
        if not _channels(self._sockets):
            self.advance(_Phase.STOPPED)

    def _close_idle_channels(self) -> None:
        closed = []
        for channel in _channels(self._sockets):
            if not is_in_use(channel):
                channel.handle_close()
                closed.append(channel)
        self._record_stop(closed, False)

    def advance(self, phase: _Phase) -> None:
        """Enters a phase, unless the loop has reached it or a later one."""
        with self._lock:
            self._phase = max(self._phase, phase)
        self.call_soon(None)

    def call_soon(self, function: Callable[[], None] | None) -> None:
        """Makes the loop call a function, unless the loop has ended."""
        with self._lock:
            if not self._ended:
                self._server.trigger.pull_trigger(function)


__all__ = [
    "CALLER_SOCKET_OPTIONS",
    "HEADER_LIMIT_BYTES",
    "INACTIVITY_TIMEOUT_S",
    "Channel",
    "GrowingTaskDispatcher",
    "RecordStop",
    "Server",
    "WsgiApplication",
    "has_unread_bytes",
    "is_in_use",
    "make_server",
    "send_error_response",
]
