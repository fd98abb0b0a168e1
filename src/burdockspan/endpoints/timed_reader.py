"""Reading of responses within the time limits of their calls."""

from __future__ import annotations

import http.client
import io
import socket
from typing import Any

from burdockspan.endpoints.call_timer import CallTimer

# Limit of the lines that follow each other without a part of a body: interim
# responses and headers, or trailers. An endpoint could send them without end.
_LINES_LIMIT_BYTES = 256 * 1024


class _TimedSocketReader(io.RawIOBase):
    """Reads from a socket; each wait is bounded by the timer of the call."""

    def __init__(
        self, sock: socket.socket, file: io.BufferedIOBase, timer: CallTimer
    ) -> None:
        super().__init__()
        self._sock = sock
        # Keeps the socket open until the response has been read.
        self._file = file
        self._timer = timer

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        def receive(limit_s: float | None) -> int:
            self._sock.settimeout(limit_s)
            return self._sock.recv_into(buffer)

        return self._timer.wait_for_data(receive)

    def close(self) -> None:
        super().close()
        self._file.close()


class _LimitedReader(io.BufferedReader):
    """A buffered reader of whole lines, of which few follow each other."""

    def __init__(self, raw: io.RawIOBase) -> None:
        super().__init__(raw)
        self._lines_bytes = 0

    def readline(self, size: int | None = -1, /) -> bytes:
        left = _LINES_LIMIT_BYTES - self._lines_bytes + 1
        limited = size is None or size < 0 or size > left
        limit = left if limited else size
        line = super().readline(limit)
        if line and len(line) != limit and not line.endswith(b"\n"):
            # The start of a line may look like another valid one.
            raise http.client.IncompleteRead(line)
        self._lines_bytes += len(line)
        if self._lines_bytes > _LINES_LIMIT_BYTES:
            raise http.client.HTTPException(
                f"more than {_LINES_LIMIT_BYTES} bytes of lines"
            )
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        self._lines_bytes = 0
        return super().read(size)

    def read1(self, size: int = -1, /) -> bytes:
        self._lines_bytes = 0
        return super().read1(size)

    def readinto(self, buffer: Any, /) -> int:
        self._lines_bytes = 0
        return super().readinto(buffer)


def make_timed_reader(
    sock: socket.socket, file: io.BufferedIOBase, timer: CallTimer
) -> io.BufferedReader:
    """Returns a reader of a response.

    Args:
      sock: socket to read from.
      file: file object of the socket, which the reader closes.
      timer: time limits of the call.
    """
    return _LimitedReader(_TimedSocketReader(sock, file, timer))


__all__ = ["make_timed_reader"]
