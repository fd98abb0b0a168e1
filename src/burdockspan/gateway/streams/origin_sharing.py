"""Shares the origins of streams between the VMs, over UDP.

A caller may resume its stream at any VM. The VM that began a stream sends its
origin to a few others, chosen by rendezvous hashing of the request, before the
first event is forwarded. So the origin outlives the VM.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterable, Mapping

from absl import logging
from result import Err, Ok, Result

from burdockspan.gateway.streams import origin_messages
from burdockspan.gateway.streams.origin_messages import (
    MAX_DATAGRAM_BYTES,
    OriginMessage,
    OriginQuestion,
    OriginStatement,
)
from burdockspan.gateway.streams.stream_origins import Origin, StreamOrigins
from burdockspan.membership import ownership
from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry
from burdockspan.values.address import Address, parse_address

# VMs that keep a copy of an origin, besides the VM that began the stream.
_COPIES = 3
# Time limit of each of the two rounds of questions. Answers take one round trip
# within a region.
_ROUND_TIMEOUT_S = 0.1


class OriginSharing:
    """Sends, receives and asks for the origins of streams.

    Attributes:
      address: `ip:port` of this VM for the other VMs; None if it has no socket.
    """

    def __init__(
        self,
        udp: socket.socket | None,
        origins: StreamOrigins,
        registry: Registry,
    ) -> None:
        self._udp = udp
        self._origins = origins
        self._registry = registry
        self.address = _format_address(udp)
        self._lock = threading.Lock()
        self._address_by_peer: dict[str, Address] = {}
        self._questions_by_request: dict[str, list[_Question]] = {}
        self._closed = False

    def set_peers(self, address_by_peer: Mapping[str, object]) -> None:
        """Sets the addresses of the other VMs; malformed ones are left out."""
        parsed_by_peer = {
            vm: parse_address(text)
            for vm, text in address_by_peer.items()
            if text != self.address
        }
        self._address_by_peer = {
            vm: address
            for vm, address in parsed_by_peer.items()
            if address is not None
        }

    def publish(self, request_id: str, origin: Origin) -> None:
        """Records the origin of a stream, here and at a few other VMs."""
        self._origins.record(request_id, origin)
        self._send(
            OriginStatement(request_id, origin), self._list_owners(request_id)
        )

    def find_here(self, request_id: str) -> Origin | None:
        """Returns the origin of a stream if this VM knows it."""
        return self._origins.find(request_id)

    def find(self, request_id: str) -> Origin | None:
        """Returns the origin of a stream, asking other VMs if necessary.

        The VMs with copies are asked first, then all others. Returns None if
        no VM that answers in time knows the origin.
        """
        return self.ask(request_id)[0]

    def ask(self, request_id: str) -> tuple[Origin | None, bool]:
        """Returns what `find` does, and whether all VMs have answered."""
        origin = self._origins.find(request_id)
        if origin is not None or self.is_disputed(request_id):
            return origin, False
        owners = self._list_owners(request_id)
        everyone = frozenset(self._address_by_peer.values())
        # Datagrams may be lost, so that the owners are asked twice.
        have_answered = False
        for addresses in (owners, everyone):
            origin, have_answered = self._ask(request_id, addresses)
            if self.is_disputed(request_id):
                return None, False
            if origin is not None:
                return origin, False
        return None, have_answered and self._udp is not None

    def is_disputed(self, request_id: str) -> bool:
        """Returns whether this VM has heard of several origins of a stream."""
        return self._origins.is_disputed(request_id)

    def run(self) -> None:
        """Receives messages until the socket is closed."""
        while self._udp is not None and not self._closed:
            try:
                datagram, sender = self._udp.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError as error:
                # The refusal of an earlier datagram, or the end of the socket.
                if not self._closed:
                    logging.warning("no datagram received: %s", error)
                continue
            if not self._closed:
                self.receive(datagram, sender)

    def close(self) -> None:
        """Closes the socket, which ends `run`."""
        self._closed = True
        if self._udp is None:
            return
        try:
            # A thread in `recvfrom` is not woken by `close` alone.
            self._udp.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            # Reported for each unconnected socket, which is woken all the same.
            logging.debug("socket shut down: %s", error)
        self._udp.close()

    def receive(self, datagram: bytes, sender: Address) -> None:
        """Applies a datagram from `sender`, and answers a question."""
        decoded = origin_messages.decode(datagram)
        if isinstance(decoded, Err) or len(datagram) > MAX_DATAGRAM_BYTES:
            self._registry.count("origin_message", "malformed")
            return
        message = decoded.ok_value
        if isinstance(message, OriginQuestion):
            self._registry.count("origin_message", "question")
            origin = self._origins.find(message.request_id)
            answer = OriginStatement(
                message.request_id,
                origin,
                self._origins.is_disputed(message.request_id),
            )
            self._send(answer, (sender,))
            return
        if sender not in self._address_by_peer.values():
            self._registry.count("origin_message", "foreign")
            return
        self._registry.count("origin_message", "statement")
        if message.origin is not None or message.is_disputed:
            self._origins.record(message.request_id, message.origin)
        with self._lock:
            for question in self._questions_by_request.get(
                message.request_id, ()
            ):
                question.receive(sender, message.origin)

    def _list_owners(self, request_id: str) -> frozenset[Address]:
        peers = self._address_by_peer
        ranked = ownership.rank(request_id, peers)
        return frozenset(peers[vm] for vm in ranked[:_COPIES])

    def _ask(
        self, request_id: str, addresses: frozenset[Address]
    ) -> tuple[Origin | None, bool]:
        """Returns the origin, and whether all these VMs have answered."""
        if not addresses:
            return None, True
        question = _Question(addresses)
        with self._lock:
            self._questions_by_request.setdefault(request_id, []).append(
                question
            )
        self._send(OriginQuestion(request_id), addresses)
        have_answered = question.answered.wait(_ROUND_TIMEOUT_S)
        with self._lock:
            questions = self._questions_by_request[request_id]
            questions.remove(question)
            if not questions:
                del self._questions_by_request[request_id]
        return question.origin, have_answered

    def _send(
        self, message: OriginMessage, addresses: Iterable[Address]
    ) -> None:
        if self._udp is None:
            return
        datagram = origin_messages.encode(message)
        for address in addresses:
            try:
                self._udp.sendto(datagram, socket.MSG_DONTWAIT, address)
            except OSError:
                # Like a lost datagram.
                self._registry.count("origin_message", "unsent")


class _Question:
    """A question to some VMs, and their answers so far.

    Attributes:
      answered: set once a VM knows the origin, or none of them does.
      origin: the origin; None if it is unknown.
    """

    def __init__(self, addresses: frozenset[Address]) -> None:
        self._pending = set(addresses)
        self.answered = threading.Event()
        self.origin: Origin | None = None

    def receive(self, sender: Address, origin: Origin | None) -> None:
        """Records the answer of a VM."""
        self._pending.discard(sender)
        self.origin = self.origin or origin
        if self.origin is not None or not self._pending:
            self.answered.set()


def open_origin_sharing(
    address: str | None,
    origins: StreamOrigins,
    registry: Registry,
    log: WriteEvent,
) -> OriginSharing:
    """Returns the sharing of origins, with a UDP socket if it can be bound.

    Without a socket, this VM knows only the streams that it began itself.

    Args:
      address: `ip:port` to bind, where port 0 chooses a free one; None binds no
        socket.
      origins: origins that this VM knows.
      registry: counts the messages.
      log: writes a log event.
    """
    if address is None:
        return OriginSharing(None, origins, registry)
    bound = _bind(address)
    if isinstance(bound, Err):
        log("origins not shared", detail=bound.err_value)
        return OriginSharing(None, origins, registry)
    return OriginSharing(bound.ok_value, origins, registry)


def _bind(address: str) -> Result[socket.socket, str]:
    parsed = parse_address(address)
    if parsed is None:
        return Err(f"{address!r} is not ip:port")
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        udp.bind(parsed)
    except OSError as error:
        udp.close()
        return Err(f"cannot bind UDP {address}: {error}")
    return Ok(udp)


def _format_address(udp: socket.socket | None) -> str | None:
    if udp is None:
        return None
    ip, port = udp.getsockname()
    return f"{ip}:{port}"


__all__ = ["OriginSharing", "open_origin_sharing"]
