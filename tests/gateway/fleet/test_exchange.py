"""Exchange of statuses between VMs."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from typing import Any

from result import Ok, Result

from burdockspan.gateway.fleet import exchange_messages
from burdockspan.gateway.fleet.exchange import Exchange, Received
from burdockspan.gateway.fleet.exchange_messages import Envelope, Moment
from burdockspan.observe.registry import make_registry


class _Wire:
    """Records the datagrams of a VM."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.sent: list[tuple[bytes, tuple[str, int]]] = []

    def getsockname(self) -> tuple[str, int]:
        return self.address

    def sendto(self, datagram: bytes, _: int, address: tuple[str, int]) -> None:
        self.sent.append((datagram, address))


class _Vm:
    """A VM with an exchange, and what it received on the topic `load`."""

    def __init__(self, name: str, number: int, value: Any = None) -> None:
        self.now_s = 100.0 * number
        self.wire = _Wire((f"10.0.0.{number}", 7000))
        self.registry = make_registry()
        self.exchange = Exchange(
            self.wire,  # type: ignore[arg-type]
            name,
            lambda: self.now_s,
            self.registry,
        )
        self.received: list[Received] = []
        self._value = value
        self.on_made: Callable[[], None] = lambda: None
        self.exchange.add_topic("load", self.make_value, self._receive)

    def make_value(self) -> Any:
        self.on_made()
        return self._value

    def _receive(self, received: Received) -> Result[None, str]:
        self.received.append(received)
        return Ok(None)


def _connect(*vms: _Vm) -> None:
    addresses = {f"vm-{i}": vm.exchange.address for i, vm in enumerate(vms, 1)}
    for vm in vms:
        vm.exchange.set_peers(addresses)


def _deliver(sender: _Vm, receiver: _Vm) -> None:
    for datagram, address in sender.wire.sent:
        if address == receiver.wire.address:
            receiver.exchange.receive(datagram, sender.wire.address)
    sender.wire.sent.clear()


class ExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.first = _Vm("vm-1", 1, {"x": 1})
        self.second = _Vm("vm-2", 2, {"x": 2})
        _connect(self.first, self.second)

    def test_failing_topic_does_not_stop_the_others(self) -> None:
        """Guards against a fault of one topic that ends a thread of all."""

        def fail(*_: object) -> Any:
            raise ZeroDivisionError

        exchange = self.first.exchange
        exchange._make_value_by_topic = {
            "a": fail,
            "bad": lambda: 1,
            **exchange._make_value_by_topic,
            "z": fail,
        }
        self.second.exchange._receive_by_topic["bad"] = fail
        with self.assertLogs("absl", "ERROR") as logs:
            self.first.exchange.send_status()
            _deliver(self.first, self.second)
        self.assertIn("ZeroDivisionError", logs.output[0])
        self.assertEqual([r.value for r in self.second.received], [{"x": 1}])
        metrics = self.first.registry.render().decode()
        self.assertIn('event="exchange",outcome="failed_a"', metrics)
        self.assertIn('event="exchange",outcome="failed_z"', metrics)
        metrics = self.second.registry.render().decode()
        self.assertIn('event="exchange",outcome="failed_bad"', metrics)

    def test_first_datagram_proves_no_time(self) -> None:
        self.first.exchange.send_status()
        _deliver(self.first, self.second)
        self.assertEqual(
            self.second.received, [Received("vm-1", {"x": 1}, None)]
        )

    def test_late_datagram_keeps_the_time_of_its_echo(self) -> None:
        """Guards against counting a datagram as new when it is read."""
        self.second.exchange.send_status()
        _deliver(self.second, self.first)
        self.first.exchange.send_status()
        self.second.now_s += 60.0
        _deliver(self.first, self.second)
        self.assertEqual(self.second.received[0].sent_after_s, 200.0)

    def test_value_made_before_a_suspension_is_not_proved_newer(self) -> None:
        """Guards against a VM that is suspended while it sends.

        Its values have ages, which the time of the suspension must not shorten.
        """
        for send in (
            self.first.exchange.send_status,
            lambda: self.first.exchange.send_to_all(
                ("vm-2",), "load", self.first.make_value
            ),
        ):
            with self.subTest(send=send):
                self.second.received.clear()
                made_s = self.second.now_s
                self.second.exchange.send_status()
                _deliver(self.second, self.first)

                def suspend() -> None:
                    self.second.now_s += 10.0
                    self.second.exchange.send_status()
                    _deliver(self.second, self.first)

                self.first.on_made = suspend
                send()
                self.first.on_made = lambda: None
                _deliver(self.first, self.second)
                self.assertEqual(self.second.received[0].sent_after_s, made_s)

    def test_echo_of_an_earlier_process_proves_no_time(self) -> None:
        self.second.exchange.send_status()
        _deliver(self.second, self.first)
        restarted = _Vm("vm-2", 2)
        _connect(self.first, restarted)
        self.first.exchange.send_status()
        _deliver(self.first, restarted)
        self.assertIsNone(restarted.received[0].sent_after_s)

    def test_datagram_from_an_unknown_address_is_ignored(self) -> None:
        self.first.exchange.send_status()
        datagram, _ = self.first.wire.sent[0]
        self.second.exchange.receive(datagram, ("10.0.0.9", 7000))
        self.assertEqual(self.second.received, [])

    def test_vm_without_a_heartbeat_stays_a_peer_for_a_while(self) -> None:
        """Guards against losing a VM that is cut off from the store only."""
        self.first.exchange.set_peers({})
        self.assertEqual(self.first.exchange.list_peers(), ("vm-2",))
        self.first.now_s += 30.0
        self.first.exchange.set_peers({})
        self.assertEqual(self.first.exchange.list_peers(), ())

    def test_message_reaches_one_vm(self) -> None:
        self.first.exchange.send("vm-2", "load", [1, 2])
        _deliver(self.first, self.second)
        self.assertEqual(self.second.received[0].value, [1, 2])

    def test_statuses_are_limited_in_a_large_fleet(self) -> None:
        """Guards against traffic that grows with the square of the fleet."""
        addresses = {
            f"vm-{i}": f"10.1.{i // 250}.{i % 250}:1" for i in range(300)
        }
        self.first.exchange.set_peers(addresses)
        per_s = 299 / self.first.exchange.interval_s()
        self.assertLessEqual(per_s, 60.0)

    def test_vms_that_left_take_no_memory(self) -> None:
        """Guards against growth with each VM that was replaced."""
        exchange = self.first.exchange
        for number in range(100):
            exchange.set_peers({f"vm-x{number}": "10.0.0.9:1"})
            self.first.now_s += 31.0
        exchange.set_peers({})
        self.assertLessEqual(len(exchange._listed_s_by_vm), 1)

    def test_malformed_datagrams_are_ignored(self) -> None:
        for datagram in (
            b"",
            b"\xff",
            b"[]",
            b"[" * 1400,
            b'{"vm":"vm-1","sent":[1],"topics":{}}',
            b'{"vm":"vm-1","sent":[1,2],"topics":[]}',
            b'{"vm":1,"sent":[1,2],"topics":{}}',
            b'{"vm":"vm-1","sent":[1,-2],"topics":{}}',
            b"x" * 2000,
        ):
            with self.subTest(datagram=datagram[:40]):
                self.second.exchange.receive(datagram, self.first.wire.address)
        self.assertEqual(self.second.received, [])

    def test_long_statuses_are_divided(self) -> None:
        topics = [
            exchange_messages.encode_topic(f"t{i}", "x" * 500) for i in range(3)
        ]
        packed, rest = exchange_messages.pack(topics)
        self.assertEqual((len(packed), len(rest)), (2, 1))
        datagram = exchange_messages.encode(
            "v" * 128, Moment(2**53, 2**50), Moment(2**53, 2**50), packed
        )
        self.assertLessEqual(
            len(datagram), exchange_messages.MAX_DATAGRAM_BYTES
        )
        decoded = exchange_messages.decode(datagram)
        self.assertIsInstance(decoded.ok(), Envelope)


if __name__ == "__main__":
    unittest.main()
