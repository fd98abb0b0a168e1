"""UDP transport of the membership protocol."""

from __future__ import annotations

import dataclasses
import select
import socket
import threading
import time
from collections.abc import Callable

from absl import logging
from result import Err, Ok, Result

from burdockspan.membership import wire
from burdockspan.membership.values import Message, Outgoing
from burdockspan.values.clock import Clock

# One byte more than is accepted, so that an oversize datagram is noticed.
_READ_BYTES = wire.MAX_DATAGRAM_BYTES + 1
_CLOSE_TIMEOUT_S = 5.0
_WAIT_S = 0.1
# A receiver that was away for longer was frozen. The ages in datagrams count
# from their arrival, so that those which waited would pass off old load
# reports as new. They are dropped as if they had been lost.
_PAUSE_S = 0.5


@dataclasses.dataclass
class TransportCounts:
    """Counters of one transport; each is written by one thread at a time.

    Attributes:
      sent: datagrams sent.
      sent_bytes: bytes of those, without UDP and IP headers.
      received: datagrams taken in.
      received_bytes: bytes of those.
      rejected: datagrams that did not decode.
      failed: messages that could not be encoded or sent.
      stale: datagrams dropped because they waited while the process was frozen.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    rejected: int = 0
    failed: int = 0
    stale: int = 0


@dataclasses.dataclass(frozen=True)
class Transport:
    """An open UDP socket with its receiver thread.

    Attributes:
      address: `ip:port` that the socket is bound to.
      send: sends a message; failures are counted, since UDP promises nothing.
        To be called from one thread.
      close: closes the socket and waits for the receiver thread.
      counts: counters, to be read only.
    """

    address: str
    send: Callable[[Outgoing], None]
    close: Callable[[], None]
    counts: TransportCounts


def make_transport(
    address: str,
    deliver: Callable[[Message], None],
    clock: Clock = time.monotonic,
) -> Result[Transport, str]:
    """Binds a UDP socket and starts its receiver thread.

    Args:
      address: `ip:port` to bind; port 0 takes a free one.
      deliver: called on the receiver thread with each message.
      clock: monotonic seconds.

    Returns:
      The transport, or why the address could not be bound.
    """
    place = parse_address(address)
    if place is None:
        return Err(f"{address!r} is not ip:port")
    try:
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    except OSError as error:
        return Err(f"no UDP socket: {error}")
    try:
        udp.bind(place)
    except (OSError, OverflowError) as error:
        udp.close()
        return Err(f"cannot bind UDP {address}: {error}")
    counts = TransportCounts()
    closing = threading.Event()
    receiver = threading.Thread(
        target=_receive_all,
        args=(udp, deliver, counts, closing, clock),
        name="membership-receiver",
        daemon=True,
    )
    receiver.start()

    def send(outgoing: Outgoing) -> None:
        if _send(udp, outgoing, counts):
            return
        counts.failed += 1

    def close() -> None:
        closing.set()
        # Wakes the receiver; closing alone leaves it in recvfrom.
        _shut_down(udp)
        receiver.join(_CLOSE_TIMEOUT_S)
        udp.close()

    ip, port = udp.getsockname()
    return Ok(Transport(f"{ip}:{port}", send, close, counts))


def parse_address(address: str) -> tuple[str, int] | None:
    """Returns IP and port of `ip:port`, None if it is malformed."""
    ip, _, port = address.rpartition(":")
    if not ip or not port.isdecimal() or int(port) > 65535:
        return None
    return ip, int(port)


def _send(
    udp: socket.socket, outgoing: Outgoing, counts: TransportCounts
) -> bool:
    place = parse_address(outgoing.address)
    encoded = wire.encode(outgoing.message)
    if place is None or isinstance(encoded, Err):
        return False
    data = encoded.ok_value
    try:
        udp.sendto(data, place)
    except OSError:
        return False
    counts.sent += 1
    counts.sent_bytes += len(data)
    return True


def _receive_all(
    udp: socket.socket,
    deliver: Callable[[Message], None],
    counts: TransportCounts,
    closing: threading.Event,
    clock: Clock,
) -> None:
    udp.settimeout(_WAIT_S)
    waited_since_s = clock()
    while not closing.is_set():
        try:
            data, _ = udp.recvfrom(_READ_BYTES)
        except OSError:
            # On Linux, a refusal of an earlier datagram surfaces here.
            data = None
        if closing.is_set():
            return
        now_s = clock()
        paused = now_s - waited_since_s > _PAUSE_S
        waited_since_s = now_s
        if paused:
            counts.stale += _drop_waiting(udp) + (data is not None)
            continue
        if data is None:
            continue
        counts.received += 1
        counts.received_bytes += len(data)
        decoded = wire.decode(data)
        if isinstance(decoded, Err):
            counts.rejected += 1
            continue
        try:
            deliver(decoded.ok_value)
        except Exception:  # The receiver must outlive a stopped node.
            logging.exception("membership message was not delivered")


def _drop_waiting(udp: socket.socket) -> int:
    """Reads what waits in the socket; returns the number of datagrams."""
    waiting = select.poll()
    waiting.register(udp, select.POLLIN)
    dropped = 0
    while waiting.poll(0):
        try:
            udp.recvfrom(_READ_BYTES)
        except OSError:
            break
        dropped += 1
    return dropped


def _shut_down(udp: socket.socket) -> None:
    try:
        udp.shutdown(socket.SHUT_RDWR)
    except OSError:
        # An unconnected socket reports ENOTCONN, yet wakes its receiver.
        return


__all__ = ["Transport", "TransportCounts", "make_transport", "parse_address"]
