"""Orders come from one lease holder at a time, also during store faults."""

from __future__ import annotations

import dataclasses
import unittest
from typing import Any

from result import Err, Ok

from burdockspan.gateway.choice.stage_orders import SEND_WINDOW_S, OrderSender
from burdockspan.gateway.ports import EndpointClient, EngineLoad, StoreError
from burdockspan.gateway.values import Endpoint, Stage
from burdockspan.platform.store import make_store
from standins.object_store import ObjectStore

_LEASE_S = 3.0


def make_engine(name: str = "i-1") -> Endpoint:
    return Endpoint(
        name, 1, "llm", "10.0.0.1:80", "zone-a", False, 8, Stage.PREFILL
    )


class OrderSenderCase(unittest.TestCase):
    """Order senders of several VMs that share a store and a clock."""

    stage = Stage.DECODE

    def setUp(self) -> None:
        self.platform = ObjectStore()
        self.addCleanup(self.platform.close)
        self.now_s = 100.0
        self.sent_orders: list[tuple[str, str, int, int, float]] = []
        self.before_load_report = lambda: None

    def make_sender(self, vm: str, **store: Any) -> OrderSender:
        """Returns the sender of one VM, with changed calls to the store."""

        def fetch_load(_: Endpoint) -> Any:
            self.before_load_report()
            return Ok(EngineLoad(Stage.PREFILL, False, 7, 0, 0, 0, 1))

        def order_stage(
            engine: Endpoint,
            _: Stage,
            holder: str,
            fencing_token: int,
            orders: int,
        ) -> Any:
            self.sent_orders.append(
                (engine.id, holder, fencing_token, orders, self.now_s)
            )
            return Ok(None)

        unused: Any = None
        endpoints = EndpointClient(
            run=unused,
            prefill=unused,
            reserve=unused,
            release_reservation=unused,
            release_cache=unused,
            fetch_load=fetch_load,
            order_stage=order_stage,
            is_reachable=unused,
            probe=unused,
        )
        store_client = make_store(self.platform.address, lambda: self.now_s)
        return OrderSender(
            vm,
            dataclasses.replace(store_client, **store),
            endpoints,
            _LEASE_S,
            lambda: self.now_s,
            lambda event, **fields: None,
        )


class TestOrderSender(OrderSenderCase):
    def test_one_of_two_concurrent_vms_gets_the_lease(self) -> None:
        """Guards against two holders after a race for the lease."""
        first_sender, second_sender = (
            self.make_sender("vm-1"),
            self.make_sender("vm-2"),
        )
        first_sender.read_lease()
        second_sender.read_lease()
        first_sender.send_orders([make_engine()], Stage.DECODE)
        second_sender.send_orders([make_engine("i-2")], Stage.DECODE)
        self.assertEqual([order[1] for order in self.sent_orders], ["vm-1"])

    def test_holder_does_not_change_within_the_lease(self) -> None:
        """Guards against orders of two VMs within the lease time."""
        first_sender, second_sender = (
            self.make_sender("vm-1"),
            self.make_sender("vm-2"),
        )
        first_sender.send_orders([make_engine()], Stage.DECODE)
        for _ in range(120):
            self.now_s += 0.1
            second_sender.send_orders([make_engine("i-2")], Stage.DECODE)
        self.assertEqual(
            [order[1] for order in self.sent_orders], ["vm-1", "vm-2"]
        )
        interval_s = self.sent_orders[1][4] - self.sent_orders[0][4]
        self.assertGreater(interval_s, _LEASE_S + SEND_WINDOW_S)
        self.assertLess(self.sent_orders[0][2], self.sent_orders[1][2])

    def test_ordered_engine_is_excluded(self) -> None:
        """Guards against a second order while the first is executed."""
        first_sender, second_sender = (
            self.make_sender("vm-1"),
            self.make_sender("vm-2"),
        )
        engines = (make_engine(), make_engine("i-2"))
        first_sender.send_orders(engines[:1], Stage.DECODE)
        for order_sender in (first_sender, second_sender):
            self.assertEqual(order_sender.exclude_ordered(engines), engines[1:])
        self.platform.close()
        self.assertEqual(second_sender.exclude_ordered(engines), ())

    def test_lease_without_a_response_sends_no_orders(self) -> None:
        """Guards against orders under a lease that another VM may hold."""

        def write_without_response(kind: str, name: str, value: Any) -> Any:
            self.platform.put(kind, name, value)
            return Err(StoreError.UNAVAILABLE)

        first_sender = self.make_sender("vm-1", create=write_without_response)
        self.assertEqual(
            first_sender.send_orders([make_engine()], Stage.DECODE), ()
        )
        self.assertEqual(self.sent_orders, [])

    def test_suspension_after_the_lease_sends_no_orders(self) -> None:
        """Guards against a holder that resumes after its lease has expired."""

        def suspend() -> None:
            self.now_s += 10.0

        self.before_load_report = suspend
        self.make_sender("vm-1").send_orders([make_engine()], Stage.DECODE)
        self.assertEqual(self.sent_orders, [])

    def test_engine_is_not_ordered_again_soon(self) -> None:
        """Guards against a second order while the first may still arrive."""
        first_sender, second_sender = (
            self.make_sender("vm-1"),
            self.make_sender("vm-2"),
        )
        first_sender.send_orders([make_engine()], Stage.DECODE)
        for _ in range(15):
            self.now_s += 1.0
            first_sender.send_orders([make_engine()], Stage.DECODE)
            second_sender.send_orders([make_engine()], Stage.DECODE)
        self.assertEqual(len(self.sent_orders), 1)
        self.assertEqual(self.sent_orders[0][3], 7)

    def test_unavailable_store_sends_no_orders(self) -> None:
        """Guards against orders without a lease."""
        self.platform.status = 503
        self.make_sender("vm-1").send_orders([make_engine()], Stage.DECODE)
        self.assertEqual(self.sent_orders, [])
