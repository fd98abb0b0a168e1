"""All VMs together keep the limit of an account, whatever fails."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from bench.quota_fleet import Fleet, Links, measure_excess
from burdockspan.gateway.accounts import quota_ledger, quota_messages
from burdockspan.gateway.accounts.quota_ledger import QuotaBucket
from burdockspan.gateway.accounts.quota_messages import Loan, Want
from burdockspan.gateway.accounts.quota_shares import QuotaShares
from burdockspan.gateway.accounts.values import Quota, QuotaUnit

_QUOTA = Quota(QuotaUnit.TOKENS, 100.0, 100.0)
_SLACK = 50.0
_CAPACITY = _QUOTA.burst + _SLACK
_OVERAGE = 0.1
_VMS = 6
_LENGTH_S = 30.0
_WINDOW_S = 8.0
_TICK_S = 0.05
# Histories in which each mutation must be found.
_SEEDS = range(12)


class _History:
    """A seeded history of arrivals and faults."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.links = Links(lost=0.05, repeated=0.2, late=0.1)
        self.fleet = Fleet(_VMS, {"a": _QUOTA}, _SLACK, seed, self.links)
        self.most_held = 0.0
        self.most_created = 0.0
        self._units = 0.0
        self._hot = self.draw.randrange(_VMS)

    def run(self) -> None:
        fleet, draw = self.fleet, self.draw
        at_s = 0.0
        while at_s < _LENGTH_S:
            at_s += draw.expovariate(draw.choice((4.0, 20.0)))
            fleet.call_at(at_s, self._arrive)
            if draw.random() < 0.05:
                fleet.call_at(at_s, self._fail)
        for tick in range(int(_LENGTH_S / _TICK_S)):
            fleet.call_at(tick * _TICK_S, self._measure)
        fleet.run(_LENGTH_S)

    def _arrive(self) -> None:
        names = list(self.fleet.vms)
        if self.draw.random() < 0.3:
            self._hot = self.draw.randrange(len(names))
        vm = self.fleet.vms[names[self._hot]]
        if vm.alive:
            self.fleet.request(vm, "a", self.draw.choice((5.0, 40.0)), 0.16)

    def _fail(self) -> None:
        fleet, draw = self.fleet, self.draw
        vm = draw.choice(list(fleet.vms.values()))
        fault = draw.choice(("cut", "heal", "freeze", "kill", "return"))
        if fault == "cut":
            vm.group = draw.randrange(3)
        elif fault == "heal":
            for other in fleet.vms.values():
                other.group = 0
        elif fault == "freeze":
            vm.frozen_until_s = fleet.now_s + draw.uniform(0.1, 4.0)
        elif fault == "kill" and vm.alive:
            fleet.kill(vm)
            fleet.call_at(
                fleet.now_s + draw.uniform(0.0, 1.0),
                lambda: fleet.restart(vm, _VMS),
            )
        elif fault == "return" and fleet.granted["a"]:
            # The request has certainly not run.
            _, units = fleet.granted["a"].pop()
            vm.shares.give_back("a", units, fleet.now_s + vm.boot_s)

    def _measure(self) -> None:
        held = sum(
            vm.shares.held("a", self.fleet.now_s + vm.boot_s)
            for vm in self.fleet.vms.values()
            if vm.alive
        )
        self.most_held = max(self.most_held, held)
        spent = sum(units for _, units in self.fleet.granted["a"])
        units = held + spent + self.fleet.lent_in_flight()
        refill = _QUOTA.rate_per_s * _TICK_S
        self.most_created = max(self.most_created, units - self._units - refill)
        self._units = units

    def excess(self) -> float:
        """Returns the excess over the limit, in windows of any length.

        Units beyond the capacity, or that no refill has created, count as well,
        also if no request has spent them.
        """
        granted = self.fleet.granted["a"]
        spent = measure_excess(granted, _QUOTA.rate_per_s, _CAPACITY)
        return max(spent, self.most_held - _CAPACITY, self.most_created)


def _measure_excess() -> float:
    excess = 0.0
    for seed in _SEEDS:
        history = _History(seed)
        history.run()
        excess = max(excess, history.excess())
    return excess


class TestHistories(unittest.TestCase):
    def test_limit_holds_in_all_histories(self) -> None:
        """Guards against a limit exceeded after cuts, freezes and restarts."""
        self.assertLess(_measure_excess(), 1e-3)

    def test_histories_find_each_mutation(self) -> None:
        """Guards against histories that could not find a fault."""
        lend, borrow = QuotaBucket.lend, QuotaBucket.borrow

        def lend_and_keep(bucket: Any, *arguments: float) -> float:
            lent = lend(bucket, *arguments)
            bucket._holding += lent
            return lent

        def lend_keeping_room(bucket: Any, *arguments: float) -> float:
            before = len(bucket._lent)
            lent = lend(bucket, *arguments)
            while len(bucket._lent) > before:
                bucket._lent.pop()
            return lent

        def borrow_for_long(
            bucket: Any, units: float, ratio: float, asked: float, now: float
        ) -> bool:
            return borrow(bucket, units, ratio, max(asked, now) + 20.0, now)

        def receive_again(shares: Any, vm: str, loan: Any, now: float) -> None:
            shares._seen_loans.clear()
            _BORROW(shares, vm, loan, now)

        mutations: dict[str, tuple[type, str, Callable[..., Any]]] = {
            "units given twice": (QuotaBucket, "lend", lend_and_keep),
            "room not lowered": (QuotaBucket, "lend", lend_keeping_room),
            "end of the loan ignored": (QuotaBucket, "borrow", borrow_for_long),
            "repeated loan counted": (QuotaShares, "_borrow", receive_again),
            "returned twice": (QuotaShares, "give_back", _give_back_twice),
        }
        for name, (owner, method, mutated) in mutations.items():
            with self.subTest(name), mock.patch.object(owner, method, mutated):
                self.assertGreater(_measure_excess(), 1.0)

    def test_vm_that_is_not_counted_yet_stays_within_the_overage(self) -> None:
        """Guards against full shares at more VMs than there are."""
        count = 10
        for seed in range(4):
            fleet = Fleet(count, {"a": _QUOTA}, _SLACK, seed, Links())
            draw = random.Random(seed)
            fleet.call_at(10.0, lambda f=fleet: f.add_vm(count + 1))
            for at in range(0, 300):
                fleet.call_at(
                    at / 10,
                    lambda f=fleet, d=draw: f.request(  # type: ignore[misc]
                        d.choice(list(f.vms.values())), "a", 20.0, 0.16
                    ),
                )
            fleet.run(30.0)
            granted = fleet.granted["a"]
            for end_s, _ in granted:
                spent = sum(
                    units
                    for at_s, units in granted
                    if end_s - _WINDOW_S < at_s <= end_s
                )
                limit = 100.0 * _WINDOW_S + 100.0
                self.assertLessEqual(spent, limit * (1 + _OVERAGE) + _SLACK)


_BORROW = QuotaShares._borrow
_GIVE_BACK = QuotaShares.give_back


def _give_back_twice(
    shares: QuotaShares, account: str, units: float, now_s: float
) -> None:
    _GIVE_BACK(shares, account, units, now_s)
    _GIVE_BACK(shares, account, units, now_s)


class TestShares(unittest.TestCase):
    def make(self, peers: list[str], count: int | None = 1) -> QuotaShares:
        shares = QuotaShares(7, _SLACK, lambda: peers, lambda: 0.0)
        shares.set_quotas({"a": _QUOTA}, 0.0)
        if count is not None:
            shares.set_vm_count(count, 0.0)
        return shares

    def test_new_process_has_its_refill_only(self) -> None:
        """Guards against a fresh burst after a restart of all VMs.

        Half of its room may still be lent by its last run.
        """
        shares = self.make([])
        held = [shares.held("a", at_s) for at_s in (0.0, 0.5, 1.0, 1.2, 1.4)]
        for found, expected in zip(
            held, (0.0, 50.0, 75.0, 75.0, 95.0), strict=True
        ):
            self.assertAlmostEqual(found, expected)

    def test_uncounted_vm_gets_no_refill(self) -> None:
        """Guards against shares of a fleet whose size is unknown."""
        self.assertEqual(self.make([], None).held("a", 60.0), 0.0)

    def test_requests_are_served_in_their_order(self) -> None:
        """Guards against large requests that small ones overtake for ever."""
        shares = self.make([])
        shares.request("a", shares.held("a", 5.0), 0.0, 5.0)
        large = shares.request("a", 20.0, 0.3, 5.0)
        small = shares.request("a", 5.0, 0.3, 5.0)
        shares.advance(5.15)
        self.assertEqual((large.taken, small.taken), (None, None))
        shares.advance(5.25)
        self.assertEqual((large.taken, small.taken), (True, True))

    def test_small_requests_pass_a_large_one_within_limits(self) -> None:
        """Guards against either size keeping the other waiting for long."""
        shares = self.make([])
        shares.request("a", shares.held("a", 5.0) - 20.0, 0.0, 5.0)
        large = shares.request("a", 40.0, 0.3, 5.0)
        small = [shares.request("a", 4.0, 0.3, 5.0) for _ in range(6)]
        self.assertEqual([ticket.taken for ticket in small[:5]], [True] * 5)
        self.assertEqual((large.taken, small[5].taken), (None, False))

    def test_refusal_tells_when_units_are_there(self) -> None:
        """Guards against callers that come back too early, or too late."""
        shares = self.make([])
        shares.request("a", shares.held("a", 5.0), 0.0, 5.0)
        refused = shares.request("a", 80.0, 0.1, 5.0)
        self.assertIs(refused.taken, False)
        again_s = 5.0 + refused.retry_after_s
        self.assertAlmostEqual(refused.retry_after_s, 0.8)
        self.assertTrue(shares.request("a", 80.0, 0.0, again_s).taken)

    def test_lower_limit_drops_what_is_held(self) -> None:
        """Guards against a burst of the old limit under the new one."""
        shares = self.make([])
        lower = Quota(QuotaUnit.TOKENS, 10.0, 10.0)
        self.assertEqual(shares.held("a", 60.0), _CAPACITY)
        shares.set_quotas({"a": lower}, 60.0)
        self.assertEqual(shares.held("a", 60.0), 10.0 + _SLACK)

    def test_removed_account_is_forgotten(self) -> None:
        """Guards against requests that wait for a limit that has gone."""
        shares = self.make(["vm-2"])
        ticket = shares.request("a", 40.0, 0.3, 1.0)
        shares.set_quotas({}, 1.0)
        self.assertEqual((ticket.taken, shares.accounts), (True, ()))

    def test_statement_of_a_peer_lowers_the_share(self) -> None:
        """Guards against too large a share at a VM cut off from the store."""
        shares = self.make(["vm-2"])
        shares.receive("vm-2", quota_messages.CountStatement(10), 50.0)
        self.assertEqual(shares.held("a", 50.0), _CAPACITY / 10)
        shares.set_vm_count(1, 70.0)
        self.assertGreater(shares.held("a", 80.0), _CAPACITY / 2)

    def test_lender_with_an_older_request_keeps_its_units(self) -> None:
        """Guards against VMs that take the units of each other in turn."""
        shares = self.make(["vm-2"])
        shares.request("a", shares.held("a", 5.0), 0.0, 5.0)
        shares.request("a", 40.0, 0.3, 5.0)
        id_ = quota_messages.make_id("a")
        younger = Want(9, 1, {id_: 10.0}, {id_: 0}, {id_: 50})
        self.assertEqual(shares.receive("vm-2", younger, 5.2), [])
        older = Want(9, 2, {id_: 10.0}, {id_: 0}, {id_: 500})
        ((vm, loan),) = shares.receive("vm-2", older, 5.2)
        self.assertEqual(vm, "vm-2")
        assert isinstance(loan, Loan)
        self.assertEqual(loan.units_by_id, {id_: 10.0})

    def test_late_loan_is_ignored(self) -> None:
        """Guards against room that its lender has taken back."""
        bucket = QuotaBucket(_QUOTA, _SLACK, 1, 0.0)
        ended_s = 5.0 + quota_ledger.LOAN_S
        self.assertFalse(bucket.borrow(10.0, 1.0, 5.0, ended_s))

    def test_malformed_messages_are_rejected(self) -> None:
        """Guards against an exchange that a bad datagram ends."""
        for value in (
            None,
            {"vms": 0},
            {"vms": True},
            {"want": [1], "units": {}, "room": {}, "waited": {}},
            {"want": [1, 2], "units": {"x": -1}, "room": {}, "waited": {}},
            {"want": [1, 2], "units": {"x" * 99: 1}, "room": {}},
            {"loan": "x", "want": [1, 2], "units": {}, "room": {}},
        ):
            self.assertTrue(quota_messages.decode(value).is_err(), value)


if __name__ == "__main__":
    unittest.main()
