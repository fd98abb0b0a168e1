"""Demand for prefill engines, as VMs state it on the exchange."""

from __future__ import annotations

import random
import threading
import unittest
from typing import Any

from burdockspan.gateway.choice import stages
from burdockspan.gateway.choice.demand_exchange import (
    DemandExchange,
    Measurements,
)
from burdockspan.gateway.choice.stages import DemandMeter
from burdockspan.gateway.fleet.exchange import Received

_PROMPT_TOKENS = 5_000
_PREFILL_S = 0.1


class _Exchange:
    """The exchange of one VM, which knows all others as peers."""

    def __init__(self, names: list[str], name: str) -> None:
        self._peers = tuple(other for other in names if other != name)
        self.make_value: Any = None
        self.receive: Any = None

    def add_topic(self, _: str, make_value: Any, receive: Any) -> None:
        self.make_value, self.receive = make_value, receive

    def list_peers(self) -> tuple[str, ...]:
        return self._peers

    def interval_s(self) -> float:
        return 1.0


class _Fleet:
    """VMs that receive prompts at random, at a rate of all together."""

    def __init__(self, vm_count: int) -> None:
        self.now_s = 100.0
        self.names = [f"vm-{number}" for number in range(vm_count)]
        self.exchange_by_vm = {
            name: _Exchange(self.names, name) for name in self.names
        }
        self.meter_by_vm = {
            name: DemandMeter(lambda: self.now_s) for name in self.names
        }
        self.demand_by_vm = {
            name: DemandExchange(
                self.exchange_by_vm[name],  # type: ignore[arg-type]
                name,
                self.meter_by_vm[name].measure,
                lambda: self.now_s,
            )
            for name in self.names
        }

    def run(self, duration_s: float, prompts_per_s: float) -> None:
        generator = random.Random(5)
        for _ in range(int(duration_s * 10)):
            self.now_s += 0.1
            for name in self.names:
                if generator.random() < 0.1 * prompts_per_s / len(self.names):
                    meter = self.meter_by_vm[name]
                    meter.record_prompt("llm", _PROMPT_TOKENS)
                    meter.record_prefill("llm", _PROMPT_TOKENS, _PREFILL_S)
        for name in self.names:
            self.state(name)

    def state(self, name: str) -> None:
        value = self.exchange_by_vm[name].make_value()
        if value is not None:
            for other in self.names:
                if other != name:
                    received = Received(name, value, None)
                    self.exchange_by_vm[other].receive(received).unwrap()

    def demand(self, name: str) -> stages.Demand:
        return stages.combine_measurements(
            [
                by_service.get("llm")
                for by_service in self.demand_by_vm[name].list_measurements()
            ]
        )


class DemandExchangeTest(unittest.TestCase):
    def test_large_fleet_knows_its_demand_after_four_seconds(self) -> None:
        """Answers 63 VMs with less than one prompt a second each."""
        fleet = _Fleet(63)
        fleet.run(4.0, prompts_per_s=40.0)
        demand = fleet.demand("vm-7")
        expected = 40.0 * _PROMPT_TOKENS
        self.assertGreater(demand.tokens_per_s, 0.6 * expected)
        self.assertLess(demand.tokens_per_s, 1.6 * expected)

    def test_one_vm_sends_orders(self) -> None:
        """Guards against a lease that many VMs want at the same moment."""
        fleet = _Fleet(24)
        fleet.run(4.0, prompts_per_s=60.0)
        first = [vm for vm in fleet.names if fleet.demand_by_vm[vm].is_first()]
        self.assertEqual(len(first), 1)

    def test_vm_that_says_nothing_is_replaced(self) -> None:
        fleet = _Fleet(8)
        fleet.run(4.0, prompts_per_s=60.0)
        first = next(
            vm for vm in fleet.names if fleet.demand_by_vm[vm].is_first()
        )
        fleet.names.remove(first)
        fleet.run(4.0, prompts_per_s=60.0)
        for vm in fleet.names:
            fleet.demand_by_vm[vm].list_measurements()
        now_first = [
            vm for vm in fleet.names if fleet.demand_by_vm[vm].is_first()
        ]
        self.assertEqual(len(now_first), 1)

    def test_vms_that_state_nothing_count_as_average_ones(self) -> None:
        """Guards against a demand of half a fleet taken for that of all."""
        fleet = _Fleet(8)
        fleet.run(4.0, prompts_per_s=60.0)
        listed = fleet.demand_by_vm["vm-0"].list_measurements()
        silent = _Fleet(8)
        silent.names = silent.names[:4]
        silent.run(4.0, prompts_per_s=30.0)
        self.assertEqual(
            len(silent.demand_by_vm["vm-0"].list_measurements()), len(listed)
        )

    def test_only_the_first_vm_balances(self) -> None:
        fleet = _Fleet(4)
        fleet.run(4.0, prompts_per_s=60.0)
        calls: list[str] = []
        for vm in fleet.names:
            stopped = _StopAfter(2)

            def balance(_: Any, vm: str = vm) -> bool:
                calls.append(vm)
                return False

            fleet.demand_by_vm[vm].run(balance, stopped)
        self.assertEqual(len(set(calls)), 1)
        self.assertEqual(len(calls), 2)

    def test_malformed_statement_is_rejected(self) -> None:
        fleet = _Fleet(2)
        receive = fleet.exchange_by_vm["vm-0"].receive
        self.assertTrue(receive(Received("vm-1", [1], None)).is_err())
        malformed: Measurements = {}
        receive(Received("vm-1", {"llm": ["x"]}, None)).unwrap()
        listed = fleet.demand_by_vm["vm-0"].list_measurements()
        self.assertEqual(listed[1], malformed)


class _StopAfter(threading.Event):
    """An event that is set after some waits."""

    def __init__(self, waits: int) -> None:
        super().__init__()
        self._waits = waits

    def wait(self, _: float | None = None) -> bool:
        self._waits -= 1
        return self._waits < 0


if __name__ == "__main__":
    unittest.main()
