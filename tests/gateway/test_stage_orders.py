"""Orders come from one holder at a time, also through faults of the store."""

from __future__ import annotations

import dataclasses
import unittest
from typing import Any

from result import Err, Ok

from burdockspan.gateway.ports import EndpointClient, EngineLoad, StoreError
from burdockspan.gateway.stage_orders import SEND_WINDOW_S, OrderSender
from burdockspan.gateway.values import Endpoint, Stage
from burdockspan.platform.store import make_store
from standins.object_store import ObjectStore

_LEASE_S = 3.0


def _engine(name: str = "i-1") -> Endpoint:
    return Endpoint(
        name, 1, "llm", "10.0.0.1:80", "zone-a", False, 8, Stage.PREFILL
    )


class TestOrderer(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = ObjectStore()
        self.addCleanup(self.platform.close)
        self.now_s = 100.0
        self.given: list[tuple[str, str, int, int, float]] = []
        self.on_load = lambda: None

    def make(self, vm: str, **store: Any) -> OrderSender:
        def load(_: Endpoint) -> Any:
            self.on_load()
            return Ok(EngineLoad(Stage.PREFILL, False, 7, 0, 0, 0, 1))

        def order(
            engine: Endpoint, _: Stage, holder: str, fence: int, orders: int
        ) -> Any:
            self.given.append((engine.id, holder, fence, orders, self.now_s))
            return Ok(None)

        unused: Any = None
        endpoints = EndpointClient(
            run=unused,
            prefill=unused,
            reserve=unused,
            release_reservation=unused,
            release_cache=unused,
            fetch_load=load,
            order_stage=order,
            is_reachable=unused,
        )
        made = make_store(self.platform.address, lambda: self.now_s)
        return OrderSender(
            vm,
            dataclasses.replace(made, **store),
            endpoints,
            _LEASE_S,
            lambda: self.now_s,
            lambda event, **fields: None,
        )

    def test_two_vms_at_once_are_one_holder(self) -> None:
        """Guards against two holders after a race for the lease."""
        first, second = self.make("vm-1"), self.make("vm-2")
        first.read_lease()
        second.read_lease()
        first.send_orders([_engine()], Stage.DECODE)
        second.send_orders([_engine("i-2")], Stage.DECODE)
        self.assertEqual([one[1] for one in self.given], ["vm-1"])

    def test_holders_do_not_take_turns(self) -> None:
        """Guards against another holder within the lease time."""
        first, second = self.make("vm-1"), self.make("vm-2")
        first.send_orders([_engine()], Stage.DECODE)
        for _ in range(120):
            self.now_s += 0.1
            second.send_orders([_engine("i-2")], Stage.DECODE)
        self.assertEqual([one[1] for one in self.given], ["vm-1", "vm-2"])
        apart_s = self.given[1][4] - self.given[0][4]
        self.assertGreater(apart_s, _LEASE_S + SEND_WINDOW_S)
        self.assertLess(self.given[0][2], self.given[1][2])

    def test_ordered_engine_is_none_to_order_next(self) -> None:
        """Guards against one more order while the first is carried out."""
        first, second = self.make("vm-1"), self.make("vm-2")
        engines = (_engine(), _engine("i-2"))
        first.send_orders(engines[:1], Stage.DECODE)
        for order_sender in (first, second):
            self.assertEqual(order_sender.exclude_ordered(engines), engines[1:])
        self.platform.close()
        self.assertEqual(second.exclude_ordered(engines), ())

    def test_lost_answer_to_the_lease_sends_nothing(self) -> None:
        """Guards against orders under a lease that another VM may hold."""

        def lose(kind: str, name: str, value: Any) -> Any:
            self.platform.put(kind, name, value)
            return Err(StoreError.UNAVAILABLE)

        first = self.make("vm-1", create=lose)
        self.assertEqual(first.send_orders([_engine()], Stage.DECODE), ())
        self.assertEqual(self.given, [])

    def test_freeze_after_the_lease_sends_nothing(self) -> None:
        """Guards against a holder that wakes after its lease ran out."""

        def freeze() -> None:
            self.now_s += 10.0

        self.on_load = freeze
        self.make("vm-1").send_orders([_engine()], Stage.DECODE)
        self.assertEqual(self.given, [])

    def test_engine_is_not_ordered_again_soon(self) -> None:
        """Guards against an order that is carried out late."""
        first, second = self.make("vm-1"), self.make("vm-2")
        first.send_orders([_engine()], Stage.DECODE)
        for _ in range(15):
            self.now_s += 1.0
            first.send_orders([_engine()], Stage.DECODE)
            second.send_orders([_engine()], Stage.DECODE)
        self.assertEqual(len(self.given), 1)
        self.assertEqual(self.given[0][3], 7)

    def test_store_that_is_away_sends_nothing(self) -> None:
        """Guards against orders without a lease."""
        self.platform.status = 503
        self.make("vm-1").send_orders([_engine()], Stage.DECODE)
        self.assertEqual(self.given, [])
