"""Shutdown of sockets by other threads: aborts and time limits."""

from __future__ import annotations

import contextlib
import math
import socket
import threading

from burdockspan.endpoints.call_timer import TimeLimit
from burdockspan.observe.threads import start_lasting_thread
from burdockspan.values.clock import Clock

_CHECK_INTERVAL_S = 0.1


class AbortHandle:
    """Aborts an attempt by shutting its sockets down from another thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sockets: set[socket.socket] = set()
        self.aborted = False

    def abort(self) -> None:
        """Shuts down the registered sockets, and any that are added later."""
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
        """Removes a socket, which is then not shut down."""
        with self._lock:
            self._sockets.discard(sock)


class MonitoredStream:
    """A stream with an idle timeout and a deadline.

    Attributes:
      sock: its socket.
      limit_s: idle timeout in seconds.
      deadline_s: when it ends at the latest, in monotonic seconds.
      waiting_since_s: when its reader began to wait for data; infinite while
        the reader does something else, such as writing to a slow caller.
      ended_by: the limit that it was shut down by; None before.
    """

    def __init__(
        self,
        sock: socket.socket,
        limit_s: float,
        deadline_s: float = math.inf,
    ) -> None:
        self.sock = sock
        self.limit_s = limit_s
        self.deadline_s = deadline_s
        self.waiting_since_s = math.inf
        self.ended_by: TimeLimit | None = None

    @property
    def expired(self) -> bool:
        """Whether the stream was shut down by one of its limits."""
        return self.ended_by is not None

    def find_exceeded_limit(self, now_s: float) -> TimeLimit | None:
        """Returns the limit that the stream exceeds; None if it keeps both."""
        if now_s > self.deadline_s:
            return TimeLimit.DEADLINE
        if now_s - self.waiting_since_s > self.limit_s:
            return TimeLimit.SILENCE
        return None


class IdleTimeoutMonitor:
    """Shuts down streams that exceed one of their limits.

    A socket timeout costs an additional system call for each read, and a
    stream reads once per token. Instead, one thread checks all streams ten
    times a second; it runs only while there are streams.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._streams: set[MonitoredStream] = set()
        self._running = False
        self._closed = threading.Event()

    def add(self, stream: MonitoredStream) -> None:
        """Monitors a stream until it is removed."""
        with self._lock:
            self._streams.add(stream)
            if self._running:
                return
            # If no thread can be started, the next stream tries again.
            start_lasting_thread(self._run, "stream-limits", self._closed)
            self._running = True

    def remove(self, stream: MonitoredStream) -> None:
        """Stops monitoring a stream."""
        with self._lock:
            self._streams.discard(stream)

    def close(self) -> None:
        """Ends the thread; streams that are added later are not monitored."""
        self._closed.set()

    def _run(self) -> None:
        while not self._closed.wait(_CHECK_INTERVAL_S):
            with self._lock:
                if not self._streams:
                    self._running = False
                    return
                streams = list(self._streams)
                now_s = self._clock()
                for stream in streams:
                    exceeded = stream.find_exceeded_limit(now_s)
                    if exceeded is not None:
                        # `remove` waits for the lock until the shutdown is
                        # done. A removed stream's socket may be back in the
                        # connection pool, where it must not be shut down.
                        stream.ended_by = exceeded
                        self._streams.discard(stream)
                        shut_down(stream.sock)


def shut_down(sock: socket.socket) -> None:
    """Shuts a socket down in both directions."""
    # shutdown() wakes a thread that is blocked in recv(); close() does not.
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


__all__ = ["AbortHandle", "IdleTimeoutMonitor", "MonitoredStream", "shut_down"]
