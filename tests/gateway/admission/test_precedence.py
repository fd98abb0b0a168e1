"""Order of the generations that wait for decode memory at one VM."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from burdockspan.gateway.admission.precedence import (
    UNORDERED,
    Precedence,
    ServiceOrder,
)

_STEP_S = 0.05


def _precedence(
    priority: int = 0, account: str | None = None, tokens: int = 5_200
) -> Precedence:
    return Precedence(True, priority, account, tokens)


class _Vm:
    """A VM where memory for one generation frees in some of the steps."""

    def __init__(self, max_wait_s: float = 0.5) -> None:
        self.now_s = 0.0
        self.order = ServiceOrder(lambda: self.now_s)
        self.max_wait_s = max_wait_s
        self.waiting: list[tuple[float, Precedence]] = []
        self.served: Counter[Precedence] = Counter()
        self.asked: Counter[Precedence] = Counter()

    def step(self, arrivals: list[Precedence], has_memory: bool) -> None:
        self.now_s += _STEP_S
        for precedence in arrivals:
            self.asked[precedence] += 1
            self.waiting.append((self.now_s, precedence))
        if has_memory and self.waiting:
            self._end(
                min(
                    self.waiting,
                    key=lambda item: (self.order.rank(item[1]), item[0]),
                ),
                is_served=True,
            )
        for item in list(self.waiting):
            if self.now_s - item[0] >= self.max_wait_s:
                self._end(item, is_served=False)

    def _end(self, item: tuple[float, Precedence], *, is_served: bool) -> None:
        self.waiting.remove(item)
        self.order.record(item[1], is_served)
        self.served[item[1]] += is_served

    def served_share(self, precedence: Precedence) -> float:
        return self.served[precedence] / self.asked[precedence]

    def average(self) -> float:
        return self.served.total() / self.asked.total()


class PrecedenceTest(unittest.TestCase):
    def test_urgent_ones_pass_a_burst_of_the_least_urgent_kind(self) -> None:
        """Guards against memory that a burst of minor requests takes.

        Load: a burst that triples the least urgent kind, with memory for 0.6 of
        all; the urgent kind alone would find memory.
        """
        chance = random.Random(1)
        urgent, least = _precedence(0), _precedence(2)
        vm = _Vm()
        for _ in range(2_000):
            arrivals = [urgent] * (chance.random() < 0.3)
            arrivals += [least] * (chance.random() < 0.7)
            vm.step(arrivals, chance.random() < 0.6)
        self.assertGreater(vm.served_share(urgent), 0.9)

    def test_no_kind_account_or_size_starves(self) -> None:
        """Guards against groups served less than a quarter of the average.

        Load: the urgent kind alone takes all memory, for one minute.
        """
        rare = {
            "least urgent kind": _precedence(2),
            "largest prompts": _precedence(0, tokens=20_000),
            "smallest account": _precedence(1, "small"),
        }
        usual = _precedence(0, "large")
        for name, precedence in rare.items():
            with self.subTest(name):
                chance = random.Random(2)
                vm = _Vm()
                for _ in range(1_200):
                    arrivals = [usual] * (chance.random() < 0.9)
                    arrivals += [precedence] * (chance.random() < 0.2)
                    vm.step(arrivals, chance.random() < 0.5)
                self.assertGreaterEqual(
                    vm.served_share(precedence), 0.25 * vm.average()
                )

    def test_neighbours_of_a_demanding_account_are_served_as_before(
        self,
    ) -> None:
        """Guards against one account that takes the memory of the others.

        Load: of five equal accounts, one sends eight times its usual while
        memory suffices for the usual load.
        """
        accounts = [_precedence(1, f"a{number}") for number in range(5)]

        def run(factor: int) -> float:
            chance = random.Random(3)
            vm = _Vm()
            for _ in range(4_000):
                arrivals = [
                    account
                    for number, account in enumerate(accounts)
                    for _ in range(factor if number == 0 else 1)
                    if chance.random() < 0.1
                ]
                vm.step(arrivals, chance.random() < 0.6)
            neighbours = accounts[1:]
            return sum(vm.served[item] for item in neighbours) / sum(
                vm.asked[item] for item in neighbours
            )

        self.assertAlmostEqual(run(8), run(1), delta=0.05)

    def test_larger_quota_allows_more_tokens(self) -> None:
        """Guards against large accounts that always wait for small ones."""
        order = ServiceOrder(lambda: 0.0)
        large = Precedence(True, 1, "large", 5_000, weight=1.0)
        small = Precedence(True, 1, "small", 5_000, weight=4.0)
        for _ in range(3):
            order.record(large, True)
        order.record(small, True)
        self.assertLess(order.rank(large), order.rank(small))

    def test_equal_priorities_leave_the_order_to_the_arrival(self) -> None:
        """Guards against a changed order where no order is configured."""
        order = ServiceOrder(lambda: 0.0)
        for _ in range(20):
            order.record(UNORDERED, False)
        self.assertEqual(order.rank(UNORDERED), (False, 0, False, 0.0))


if __name__ == "__main__":
    unittest.main()
