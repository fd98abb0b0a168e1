"""Order between VMs of the generations that wait for decode memory."""

from __future__ import annotations

import json
import random
import unittest
from collections import Counter
from typing import Any

from result import Err

from burdockspan.gateway.admission import fleet_waiting
from burdockspan.gateway.admission.admission_queue import AdmissionQueue
from burdockspan.gateway.admission.fleet_waiting import (
    FleetWaiting,
    HoldBack,
    Statement,
    Waiting,
)
from burdockspan.gateway.admission.precedence import Precedence, ServiceOrder
from burdockspan.gateway.fleet.exchange import Received

_VM_COUNT = 63
_STATUS_STEPS = 10
_STEP_S = 0.1
_URGENT, _LEAST = Precedence(True, 0), Precedence(True, 2)
_ACCOUNTS = [Precedence(True, 1, f"a{number}", 5_200) for number in range(5)]
_MAX_WAIT_S = {
    _URGENT: 0.5,
    _LEAST: 1.0,
    **dict.fromkeys(_ACCOUNTS, 0.5),
}


class _Vm:
    def __init__(self, fleet: _Fleet) -> None:
        self.fleet = fleet
        self.heard = FleetWaiting(fleet.clock, lambda: 1.05, lambda: _VM_COUNT)
        self.order = ServiceOrder(
            fleet.clock, lambda account: self.heard.tokens("llm", account)
        )
        self.hold_back = HoldBack(
            fleet.clock,
            lambda: self.heard.list_waiting("llm"),
            self.heard.hold_back_interval_s,
        )
        self.waiting: list[tuple[float, Precedence]] = []

    def ask(self) -> None:
        """The first generation requests memory."""
        if not self.waiting:
            return
        first = min(
            self.waiting, key=lambda item: (self.order.rank(item[1]), item[0])
        )
        is_starved = self.order.is_starved(first[1])
        if not self.hold_back.may_ask(
            first[1],
            False,
            is_starved,
            self.order.is_priority_starved(first[1]),
            self.order.tokens,
        ):
            return
        self.fleet.polls += 1
        if self.fleet.free:
            self.fleet.free -= 1
            self.end(first, is_served=True)

    def end(self, item: tuple[float, Precedence], *, is_served: bool) -> None:
        self.waiting.remove(item)
        self.order.record(item[1], is_served)
        self.fleet.served[item[1]] += is_served

    def make_statement(self) -> Any:
        waiting = fleet_waiting.group_waiting(
            (
                (precedence, self.fleet.now_s - arrived_s)
                for arrived_s, precedence in self.waiting
            ),
            self.order.tokens,
        )
        return fleet_waiting.encode(
            {"llm": Statement(waiting, self.order.list_own_tokens())}
        )


class _Fleet:
    """VMs that share engines, whose memory frees at a constant rate.

    Attributes:
      delivers: returns whether a statement arrives.
    """

    def __init__(self, seed: int) -> None:
        self.now_s = 10.0
        self.chance = random.Random(seed)
        self.free = self.polls = 0
        self.served: Counter[Precedence] = Counter()
        self.asked: Counter[Precedence] = Counter()
        self.delivers = lambda: True
        self.vms = [_Vm(self) for _ in range(_VM_COUNT)]

    def clock(self) -> float:
        return self.now_s

    def run(
        self, seconds: float, freed_per_s: int, per_s: dict[Precedence, float]
    ) -> None:
        for step in range(int(seconds / _STEP_S)):
            self.now_s += _STEP_S
            for precedence, rate in per_s.items():
                for _ in range(self._draw(rate * _STEP_S)):
                    self.asked[precedence] += 1
                    vm = self.chance.choice(self.vms)
                    vm.waiting.append((self.now_s, precedence))
            for _ in range(int(freed_per_s * _STEP_S)):
                self.free += 1
                self.chance.choice(self.vms).ask()
            for vm in self.chance.sample(self.vms, _VM_COUNT):
                vm.ask()
            for number, vm in enumerate(self.vms):
                if (step + number) % _STATUS_STEPS == 0:
                    self._tell(vm)
                for item in list(vm.waiting):
                    if self.now_s - item[0] >= _MAX_WAIT_S[item[1]]:
                        vm.end(item, is_served=False)

    def _draw(self, mean: float) -> int:
        return int(mean) + (self.chance.random() < mean % 1.0)

    def _tell(self, sender: _Vm) -> None:
        received = Received(
            str(id(sender)), sender.make_statement(), self.now_s - 0.5
        )
        for vm in self.vms:
            if vm is not sender and self.delivers():
                vm.heard.receive(received)

    def served_share(self, precedence: Precedence) -> float:
        return self.served[precedence] / max(1, self.asked[precedence])


class FleetTest(unittest.TestCase):
    def test_urgent_ones_pass_a_burst_of_the_least_urgent_kind(self) -> None:
        """Guards against memory that goes to whoever is near it.

        Load: 63 VMs, ten seconds of 30 urgent and 120 of the least urgent
        generations a second; memory for 60 a second frees at random VMs.
        """
        fleet = _Fleet(1)
        fleet.run(10.0, 60, {_URGENT: 30.0, _LEAST: 120.0})
        average = fleet.served.total() / fleet.asked.total()
        self.assertGreater(fleet.served_share(_URGENT), 0.95)
        self.assertGreaterEqual(fleet.served_share(_LEAST), 0.25 * average)

    def test_held_back_vms_request_memory_seldom(self) -> None:
        """Guards against VMs that poll engines for what others will take."""
        load = {_URGENT: 30.0, _LEAST: 120.0}
        told, alone = _Fleet(2), _Fleet(2)
        alone.delivers = lambda: False
        told.run(10.0, 60, load)
        alone.run(10.0, 60, load)
        self.assertLess(told.polls, 0.5 * alone.polls)

    def test_lost_statements_leave_each_vm_to_its_own_order(self) -> None:
        """Guards against VMs that hold back for what they no longer know.

        Failure: no statement arrives for five seconds while urgent generations
        wait; then only the least urgent kind arrives.
        """
        fleet = _Fleet(3)
        fleet.run(3.0, 60, {_URGENT: 90.0, _LEAST: 60.0})
        fleet.delivers = lambda: False
        fleet.run(2.0, 60, {})
        fleet.asked.clear()
        fleet.served.clear()
        fleet.run(3.0, 60, {_LEAST: 50.0})
        self.assertGreater(fleet.served_share(_LEAST), 0.95)

    def test_neighbours_of_a_demanding_account_are_served_as_before(
        self,
    ) -> None:
        """Guards against memory that one account takes at each VM in turn.

        Load: 63 VMs; of five accounts that send 10 generations a second, one
        sends eight times as many; memory for 60 a second.
        """
        neighbours = _ACCOUNTS[1:]

        def run(factor: int) -> float:
            fleet = _Fleet(4)
            per_s = dict.fromkeys(neighbours, 10.0)
            fleet.run(15.0, 60, {**per_s, _ACCOUNTS[0]: 10.0 * factor})
            return sum(fleet.served[item] for item in neighbours) / sum(
                fleet.asked[item] for item in neighbours
            )

        self.assertAlmostEqual(run(8), run(1), delta=0.05)


class LateTest(unittest.TestCase):
    def test_late_one_is_refused_at_once_while_urgent_ones_wait(self) -> None:
        """Guards against late generations that wait for others' memory.

        Load: an urgent generation waits at another VM; two that can no longer
        meet their objective arrive here.
        """
        hold_back = HoldBack(
            lambda: 10.0, lambda: (Waiting(0, 1, 0.1),), lambda _: 0.5
        )
        queue = AdmissionQueue(lambda: 10.0, hold_back)
        asked = []

        def wait() -> bool | None:
            return queue.wait(
                is_late=True,
                arrived_s=9.0,
                give_up_s=1_000.0,
                try_reserve=lambda: asked.append(1),
                has_gone=lambda: len(asked) > 1,
                precedence=_URGENT,
            )

        self.assertTrue(hold_back.may_ask(_LEAST, False, False))
        self.assertIsNone(wait())
        self.assertEqual(asked, [])


class StatementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        self.fleet = FleetWaiting(lambda: self.now_s, lambda: 0.5, lambda: 2)

    def _receive(self, value: Any, sent_after_s: float | None) -> Any:
        return self.fleet.receive(Received("vm-2", value, sent_after_s))

    def test_statement_without_recent_proof_counts_as_none(self) -> None:
        """Guards against datagrams that a suspended VM reads when it wakes."""
        for sent_after_s in (None, 90.0):
            self._receive({"llm": [[[0, 1, 0.2, None]], {}]}, sent_after_s)
            self.assertIsNone(self.fleet.most_urgent("llm"))

    def test_statement_lapses_and_is_replaced(self) -> None:
        self._receive(
            {"llm": [[[0, 1, 0.2, None], [2, 4, 0.9, "a"]], {"a": 7}]}, 99.5
        )
        self.assertEqual(self.fleet.most_urgent("llm"), 0)
        self.assertIsNone(self.fleet.most_urgent("other"))
        self._receive({"llm": [[[2, 4, 0.9, None]], {}]}, 99.5)
        self.assertEqual(self.fleet.most_urgent("llm"), 2)
        self.now_s += 1.6
        self.assertIsNone(self.fleet.most_urgent("llm"))

    def test_few_that_wait_elsewhere_hold_back_little(self) -> None:
        """Guards against one generation for which all VMs leave memory."""
        fleet = FleetWaiting(lambda: 0.0, lambda: 0.5, lambda: 24)
        self.assertLess(fleet.hold_back_interval_s(1), 0.25)
        self.assertEqual(fleet.hold_back_interval_s(3), 0.5)

    def test_statement_fits_into_a_datagram(self) -> None:
        """Guards against statements that keep other topics from being sent."""
        waiting = tuple(Waiting(i, 999, 9.99, "f" * 8) for i in range(10))
        tokens = {f"{i:08x}": 9_999_999 for i in range(8)}
        statement = Statement(waiting, tokens)
        value = fleet_waiting.encode({f"s{i}": statement for i in range(20)})
        self.assertLess(len(json.dumps(value)), 1_000)
        self.assertIn("s0", value)

    def test_malformed_statements_are_errors(self) -> None:
        for value in (
            None,
            [],
            {"llm": 1},
            {"llm": [[[0, 1]], {}]},
            {"llm": [[[0, "1", 0.2, None]], {}]},
            {"llm": [[[0, 1, 0.2, 5]], {}]},
            {"llm": [[[True, 1, 0.2, None]], {}]},
            {"llm": [[[float("nan"), 1, 0.2, None]], {}]},
            {"llm": [[], {"a": -1}]},
            {"llm": [[], {"a": 1.5}]},
        ):
            with self.subTest(value=value):
                self.assertIsInstance(self._receive(value, 99.5), Err)


if __name__ == "__main__":
    unittest.main()
