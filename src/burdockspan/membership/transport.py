"""UDP transport of the membership protocol."""

from __future__ import annotations

import dataclasses
import re
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

# One byte more than the limit, so that an oversize datagram is detected.
_READ_BYTES = wire.MAX_DATAGRAM_BYTES + 1
_CLOSE_TIMEOUT_S = 5.0
_RECEIVE_TIMEOUT_S = 0.1
# After a longer interval between reads, the process must have been frozen. The
# datagrams that waited in the socket are dropped like lost ones: ages in a
# datagram count from its arrival, so stale load reports would appear new.
_FREEZE_S = 0.5
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")
_MAX_PORT = 65_535


@dataclasses.dataclass
class TransportCounts:
    """Counters of one transport; each is written by one thread at a time.

    Attributes:
      sent: datagrams sent.
      sent_bytes: bytes of those, without UDP and IP headers.
      received: datagrams received and not dropped as stale.
      received_bytes: bytes of those.
      rejected: datagrams that could not be decoded.
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
      send: sends a message. Failures are only counted, since UDP delivery is
        not guaranteed anyway. To be called from one thread.
      close: closes the socket and waits for the receiver thread.
      counts: counters; not to be changed.
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
      address: `ip:port` to bind; port 0 chooses a free one.
      deliver: called on the receiver thread with each message.
      clock: monotonic seconds.

    Returns:
      The transport, or why the address could not be bound.
    """
    ip_and_port = parse_address(address)
    if ip_and_port is None:
        return Err(f"{address!r} is not ip:port")
    try:
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    except OSError as error:
        return Err(f"cannot create a UDP socket: {error}")
    try:
        udp.bind(ip_and_port)
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
        # Wakes the receiver, which would stay blocked in recvfrom if the socket
        # was only closed.
        _shut_down(udp)
        receiver.join(_CLOSE_TIMEOUT_S)
        udp.close()

    ip, port = udp.getsockname()
    return Ok(Transport(f"{ip}:{port}", send, close, counts))


def parse_address(address: str) -> tuple[str, int] | None:
    """Returns the IP and port of `ip:port`, None if it is malformed."""
    ip, _, port = address.rpartition(":")
    if not ip or not _PORT_PATTERN.fullmatch(port) or int(port) > _MAX_PORT:
        return None
    return ip, int(port)


def _send(
    udp: socket.socket, outgoing: Outgoing, counts: TransportCounts
) -> bool:
    ip_and_port = parse_address(outgoing.address)
    encoded = wire.encode(outgoing.message)
    if ip_and_port is None or isinstance(encoded, Err):
        return False
    data = encoded.ok_value
    try:
        udp.sendto(data, ip_and_port)
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
    udp.settimeout(_RECEIVE_TIMEOUT_S)
    last_read_s = clock()
    while not closing.is_set():
        try:
            data, _ = udp.recvfrom(_READ_BYTES)
        except OSError:
            # A timeout, or on Linux the ICMP refusal of an earlier datagram.
            data = None
        if closing.is_set():
            return
        now_s = clock()
        was_frozen = now_s - last_read_s > _FREEZE_S
        last_read_s = now_s
        if was_frozen:
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
        except Exception:  # The node may have stopped; the receiver goes on.
            logging.exception("membership message was not delivered")


def _drop_waiting(udp: socket.socket) -> int:
    """Discards the datagrams waiting in the socket; returns their number."""
    poller = select.poll()
    poller.register(udp, select.POLLIN)
    dropped = 0
    while poller.poll(0):
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
        # An unconnected socket reports ENOTCONN but still wakes its receiver.
        return


__all__ = ["Transport", "TransportCounts", "make_transport", "parse_address"]
