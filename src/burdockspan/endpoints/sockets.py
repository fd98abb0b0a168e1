"""Sockets that another thread may shut down."""

from __future__ import annotations

import contextlib
import math
import socket
import threading

from burdockspan.values.clock import Clock

_CHECK_INTERVAL_S = 0.1


class AbortHandle:
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


class Watched:
    """A stream whose silence is limited.

    Attributes:
      waiting_since_s: when its reader began to wait; infinite while the
        reader does something else, such as waiting for a slow caller.
      expired: whether the stream was shut down for its silence.
    """

    def __init__(self, sock: socket.socket, limit_s: float) -> None:
        self.sock = sock
        self.limit_s = limit_s
        self.waiting_since_s = math.inf
        self.expired = False


class SilenceWatch:
    """Shuts down streams that are silent for too long.

    A socket with a time limit costs one more system call for each read, which
    a stream makes for every token. One thread that looks at all streams ten
    times a second replaces it; it runs only while there are streams.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._streams: set[Watched] = set()
        self._running = False
        self._closed = threading.Event()

    def add(self, stream: Watched) -> None:
        """Watches a stream until it is removed."""
        with self._lock:
            self._streams.add(stream)
            if self._running:
                return
            self._running = True
        threading.Thread(target=self._run, daemon=True).start()

    def remove(self, stream: Watched) -> None:
        """Stops watching a stream."""
        with self._lock:
            self._streams.discard(stream)

    def close(self) -> None:
        """Ends the thread; later streams are not watched."""
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
                    if now_s - stream.waiting_since_s > stream.limit_s:
                        # Under the lock, so that a removed stream's socket is
                        # not shut down after it went back to the pool.
                        stream.expired = True
                        self._streams.discard(stream)
                        shut_down(stream.sock)


def shut_down(sock: socket.socket) -> None:
    """Shuts a connection down in both directions."""
    # Shutting down wakes a thread blocked in recv; closing does not.
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


__all__ = ["AbortHandle", "SilenceWatch", "Watched", "shut_down"]
