"""Exchanges what the VMs know, over UDP.

Each VM sends its state on each topic to all other VMs, as often as a limit of
datagrams allows, and single messages in between. Datagrams may be lost, late,
repeated, or wait in a buffer while their receiver is suspended. So each of them
echoes the latest one of its receiver: it was sent after that one, on the
receiver's own clock.
"""

from __future__ import annotations

import dataclasses
import random
import socket
import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from absl import logging
from result import Err, Result

from burdockspan.gateway.fleet import exchange_messages
from burdockspan.gateway.fleet.exchange_messages import (
    MAX_DATAGRAM_BYTES,
    Moment,
)
from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry
from burdockspan.values.address import Address, parse_address
from burdockspan.values.clock import Clock

# Shortest interval between two statuses of a VM.
_MIN_INTERVAL_S = 0.5
# Limit of the statuses that a VM sends, and so receives, each second. The
# interval of a larger fleet is longer.
_MAX_STATUSES_PER_S = 60.0
_MAX_RUN = 2**53
# A VM without a recent heartbeat may have been restarted, or only be cut off
# from the store, so that its address is kept for this time.
_KEPT_S = 30.0
_FAILURE_LOG_INTERVAL_S = 5


@dataclasses.dataclass(frozen=True)
class Received:
    """What a VM says on a topic.

    Attributes:
      vm: name of the sender.
      value: a JSON value.
      sent_after_s: a time that is certainly before the datagram was sent and,
        in a status, before its value was made, in seconds of this VM's boot
        clock; None if there is no proof, since the sender has not received a
        datagram of this process yet.
    """

    vm: str
    value: Any
    sent_after_s: float | None


Receive = Callable[[Received], Result[None, str]]
"""Applies what a VM says; the error text describes a malformed value."""
MakeValue = Callable[[], Any]
"""Returns a JSON value of at most 1,000 bytes; None if there is nothing."""


class Exchange:
    """Sends and receives statuses and messages of the VMs.

    Attributes:
      address: `ip:port` of this VM for the other VMs; None if it has no socket.
    """

    def __init__(
        self,
        udp: socket.socket | None,
        vm: str,
        boot_clock: Clock,
        registry: Registry,
    ) -> None:
        self._udp = udp
        self._vm = vm
        self._boot_clock = boot_clock
        self._registry = registry
        self._run = random.SystemRandom().randrange(_MAX_RUN)
        self._lock = threading.Lock()
        self._address_by_vm: dict[str, Address] = {}
        self._listed_s_by_vm: dict[str, float] = {}
        self._latest_by_vm: dict[str, Moment] = {}
        self._make_value_by_topic: dict[str, MakeValue] = {}
        self._receive_by_topic: dict[str, Receive] = {}
        self._closed = False
        self.address = _format_address(udp)

    def add_topic(
        self, topic: str, make_value: MakeValue, receive: Receive
    ) -> None:
        """Adds a topic to the statuses of this VM.

        Args:
          topic: unique name.
          make_value: called once for each status.
          receive: called for each value of another VM, in the thread of `run`.
        """
        self._make_value_by_topic[topic] = make_value
        self._receive_by_topic[topic] = receive

    def set_peers(self, address_by_vm: Mapping[str, object]) -> None:
        """Sets the addresses of the other VMs; malformed ones are left out.

        A VM that is no longer among them is kept for a while.
        """
        now_s = self._boot_clock()
        parsed_by_vm = {
            vm: parse_address(text)
            for vm, text in address_by_vm.items()
            if vm != self._vm
        }
        with self._lock:
            kept = {
                vm: address
                for vm, address in self._address_by_vm.items()
                if now_s - self._listed_s_by_vm[vm] < _KEPT_S
            }
            listed = {
                vm: address
                for vm, address in parsed_by_vm.items()
                if address is not None
            }
            self._listed_s_by_vm |= dict.fromkeys(listed, now_s)
            self._address_by_vm = {**kept, **listed}
            for vm in self._listed_s_by_vm.keys() - self._address_by_vm.keys():
                del self._listed_s_by_vm[vm]
            for vm in self._latest_by_vm.keys() - self._address_by_vm.keys():
                del self._latest_by_vm[vm]

    def list_peers(self) -> tuple[str, ...]:
        """Returns the names of the other VMs."""
        return tuple(self._address_by_vm)

    def interval_s(self) -> float:
        """Returns the time between two statuses of this VM."""
        return max(
            _MIN_INTERVAL_S, len(self._address_by_vm) / _MAX_STATUSES_PER_S
        )

    def send(self, vm: str, topic: str, value: Any) -> None:
        """Sends a message on a topic to one VM; it may get lost."""
        address = self._address_by_vm.get(vm)
        if address is not None:
            encoded = exchange_messages.encode_topic(topic, value)
            echo = self._latest_by_vm.get(vm)
            self._send_topics(vm, address, echo, (encoded,))

    def send_to_all(
        self, vms: Iterable[str], topic: str, make_value: MakeValue
    ) -> None:
        """Sends one value on a topic to several VMs; it may get lost.

        What the datagrams prove of their time holds for the value as well.
        """
        echo_by_vm = self._list_echoes()
        encoded = exchange_messages.encode_topic(topic, make_value())
        for vm in vms:
            address = self._address_by_vm.get(vm)
            if address is not None:
                echo = echo_by_vm.get(vm)
                self._send_topics(vm, address, echo, (encoded,))

    def _list_echoes(self) -> dict[str, Moment]:
        """Returns the echoes of values that are made after this call.

        This VM may be suspended between making a value and sending it. Echoes
        of datagrams that arrive meanwhile would prove the value newer than it
        is.
        """
        with self._lock:
            return dict(self._latest_by_vm)

    def send_status(self) -> None:
        """Sends the present values of all topics to all other VMs."""
        echo_by_vm = self._list_echoes()
        topics = []
        for topic, make_value in self._make_value_by_topic.items():
            # A fault of one topic must not end the thread of all.
            try:
                value = make_value()
                if value is not None:
                    topics.append(exchange_messages.encode_topic(topic, value))
            except Exception:
                self._report_failure(topic)
        remaining = tuple(topics)
        while remaining:
            packed, rest = exchange_messages.pack(remaining)
            if not packed:
                self._registry.count("exchange", "too_long")
                return
            for vm, address in list(self._address_by_vm.items()):
                self._send_topics(vm, address, echo_by_vm.get(vm), packed)
            remaining = rest

    def _report_failure(self, topic: str) -> None:
        """Reports the exception being handled."""
        self._registry.count("exchange", f"failed_{topic}")
        logging.log_every_n_seconds(
            logging.ERROR,
            "exchange topic %s failed",
            _FAILURE_LOG_INTERVAL_S,
            topic,
            exc_info=True,
        )

    def _send_topics(
        self,
        vm: str,
        address: Address,
        echo: Moment | None,
        topics: tuple[str, ...],
    ) -> None:
        if self._udp is None or self._closed:
            return
        datagram = exchange_messages.encode(self._vm, self._now(), echo, topics)
        try:
            self._udp.sendto(datagram, socket.MSG_DONTWAIT, address)
        except OSError:
            # Like a lost datagram.
            self._registry.count("exchange", "unsent")

    def receive(self, datagram: bytes, sender: Address) -> None:
        """Applies a datagram from `sender`."""
        decoded = exchange_messages.decode(datagram)
        if isinstance(decoded, Err):
            self._registry.count("exchange", "malformed")
            return
        envelope = decoded.ok_value
        if self._address_by_vm.get(envelope.vm) != sender:
            self._registry.count("exchange", "foreign")
            return
        self._registry.count("exchange", "received")
        self._record_latest(envelope.vm, envelope.sent)
        sent_after_s = None
        if envelope.echo is not None and envelope.echo.run == self._run:
            sent_after_s = envelope.echo.boot_ms / 1000.0
        for topic, value in envelope.value_by_topic.items():
            receive = self._receive_by_topic.get(topic)
            if receive is None:
                continue
            try:
                applied = receive(Received(envelope.vm, value, sent_after_s))
            except Exception:
                self._report_failure(topic)
                continue
            if isinstance(applied, Err):
                self._registry.count("exchange", f"malformed_{topic}")

    def _record_latest(self, vm: str, sent: Moment) -> None:
        with self._lock:
            latest = self._latest_by_vm.get(vm)
            is_newer = latest is None or latest.run != sent.run
            if is_newer or (latest and latest.boot_ms < sent.boot_ms):
                self._latest_by_vm[vm] = sent

    def _now(self) -> Moment:
        return Moment(self._run, int(self._boot_clock() * 1000))

    def run_receiver(self) -> None:
        """Receives datagrams until the socket is closed."""
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

    def run_sender(self, stopped: threading.Event) -> None:
        """Sends a status in each interval until `stopped` is set."""
        while self._udp is not None and not stopped.wait(self.interval_s()):
            self.send_status()

    def close(self) -> None:
        """Closes the socket, which ends `run_receiver`."""
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


def open_exchange(
    address: str | None,
    vm: str,
    boot_clock: Clock,
    registry: Registry,
    log: WriteEvent,
) -> Exchange:
    """Returns the exchange, with a UDP socket if it can be bound.

    Args:
      address: `ip:port` to bind, where port 0 chooses a free one; None binds no
        socket.
      vm: name of this VM.
      boot_clock: clock that includes time suspended, in seconds.
      registry: counts the messages.
      log: writes a log event.
    """
    parsed = parse_address(address)
    if parsed is None:
        return Exchange(None, vm, boot_clock, registry)
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        udp.bind(parsed)
    except OSError as error:
        udp.close()
        log("exchange not open", address=address, detail=str(error))
        return Exchange(None, vm, boot_clock, registry)
    return Exchange(udp, vm, boot_clock, registry)


def _format_address(udp: socket.socket | None) -> str | None:
    if udp is None:
        return None
    ip, port = udp.getsockname()
    return f"{ip}:{port}"


__all__ = ["Exchange", "MakeValue", "Receive", "Received", "open_exchange"]
