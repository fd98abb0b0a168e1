"""Framed thrift over a TCP socket with a deadline for each call."""

from __future__ import annotations

import socket
import time

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException

# Strikes are the longest list; a node holds at most 10,000.
_MAX_ENTRIES = 20_000


class DeadlineSocket(TSocket):
    """Socket whose reads and writes end at one deadline.

    A timeout for each read alone would let a peer that sends a byte at a time
    hold the thread for ever.
    """

    def __init__(self, handle: socket.socket, deadline_s: float) -> None:
        super().__init__()
        self.setHandle(handle)
        self.deadline_s = deadline_s

    def read(self, sz: int) -> bytes:
        """Reads up to `sz` bytes."""
        self._limit()
        data: bytes = super().read(sz)
        return data

    def write(self, buff: bytes) -> None:
        """Writes all bytes; the socket's timeout covers the whole write."""
        self._limit()
        try:
            self.handle.sendall(buff)
        except TimeoutError as error:
            raise _timed_out() from error
        except OSError as error:
            raise TTransportException(message=str(error)) from error

    def _limit(self) -> None:
        remaining_s = self.deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise _timed_out()
        self.handle.settimeout(remaining_s)


def make_protocol(
    channel: DeadlineSocket, max_frame_bytes: int
) -> TCompactProtocolAccelerated:
    """Returns the protocol of a connection, with bounded frames and lists."""
    return TCompactProtocolAccelerated(
        TFramedTransport(channel, max_frame_bytes),
        string_length_limit=max_frame_bytes,
        container_length_limit=_MAX_ENTRIES,
    )


def _timed_out() -> TTransportException:
    return TTransportException(TTransportException.TIMED_OUT, "deadline passed")


__all__ = ["DeadlineSocket", "make_protocol"]
