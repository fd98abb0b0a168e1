"""Framed thrift over a TCP socket, with a deadline for each call."""

from __future__ import annotations

import socket
import time

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException

# Limits the length of each list in a received message to twice that of the
# longest: a node keeps at most 10,000 crash records.
_MAX_ENTRIES = 20_000


class DeadlineSocket(TSocket):
    """Socket whose reads and writes share one deadline.

    With a timeout for each read, a peer that sends single bytes could occupy
    the thread for ever.
    """

    def __init__(self, handle: socket.socket, deadline_s: float) -> None:
        super().__init__()
        self.setHandle(handle)
        self.deadline_s = deadline_s

    def read(self, sz: int) -> bytes:
        """Reads up to `sz` bytes."""
        self._set_timeout()
        data: bytes = super().read(sz)
        return data

    def write(self, buff: bytes) -> None:
        """Writes all bytes before the deadline."""
        self._set_timeout()
        try:
            self.handle.sendall(buff)
        except TimeoutError as error:
            raise _timed_out() from error
        except OSError as error:
            raise TTransportException(message=str(error)) from error

    def _set_timeout(self) -> None:
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
