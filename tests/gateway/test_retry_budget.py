"""The repeats of all VMs together keep the bound of the deployment."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockspan.gateway import vm_heartbeats
from burdockspan.gateway.retry_budget import RetryBudget
from burdockspan.gateway.settings import RetryBudgetSettings
from burdockspan.platform.store import make_store
from standins.object_store import ObjectStore

_BOUNDS = RetryBudgetSettings(ratio=0.2, slack=58, window_s=10.0)


class TestRetryLedger(unittest.TestCase):
    @given(
        vms=st.integers(1, 40),
        requests=st.lists(st.integers(0, 60), min_size=1, max_size=40),
        now_s=st.floats(0.0, 40.0),
    )
    def test_all_vms_together_keep_the_bound(
        self, vms: int, requests: list[int], now_s: float
    ) -> None:
        """Guards against a fault that every VM answers with a full budget."""
        clock = [0.0]
        spent = 0
        counts = (requests * vms)[:vms]
        ledgers = [RetryBudget(_BOUNDS, lambda: clock[0], vms) for _ in counts]
        clock[0] = now_s
        for ledger, count in zip(ledgers, counts, strict=True):
            for _ in range(count):
                ledger.record_request("app")
            while ledger.try_spend("app"):
                spent += 1
        bound = _BOUNDS.ratio * sum(counts) + _BOUNDS.slack
        self.assertLessEqual(spent, bound)

    def test_budget_returns_with_time(self) -> None:
        """Guards against a budget that a past fault has used up for good."""
        clock = [0.0]
        ledger = RetryBudget(_BOUNDS, lambda: clock[0], 4)
        while ledger.try_spend("app"):
            pass
        clock[0] = 10.1
        self.assertTrue(ledger.try_spend("app"))

    def test_services_do_not_share_a_budget(self) -> None:
        """Guards against a service that fails for the faults of another."""
        ledger = RetryBudget(_BOUNDS, lambda: 20.0, 4)
        while ledger.try_spend("app"):
            pass
        self.assertTrue(ledger.try_spend("llm"))

    def test_unknown_fleet_takes_a_small_share(self) -> None:
        """Guards against full budgets while nobody knows how many VMs live."""
        ledger = RetryBudget(_BOUNDS, lambda: 20.0, vm_heartbeats.UNKNOWN_VMS)
        spent = 0
        while ledger.try_spend("app"):
            spent += 1
        self.assertLessEqual(spent, 2)


class TestMembers(unittest.TestCase):
    def test_measurements_of_a_dead_vm_do_not_count(self) -> None:
        """Guards against a load that counts the callers of a dead VM twice."""
        platform = ObjectStore()
        self.addCleanup(platform.close)
        now_s = [0.0]
        told: list[tuple[int, list[str]]] = []
        member = vm_heartbeats.VmHeartbeats(
            "alive",
            make_store(platform.address, lambda: now_s[0]),
            lambda: now_s[0],
            dict,
            lambda live, fresh: told.append((live, sorted(fresh))),
            lambda event, **fields: None,
        )
        platform.put(vm_heartbeats.KIND, "dead", {"beat": 1})
        for _ in range(3):
            member.send_and_count()
            now_s[0] += vm_heartbeats.HEARTBEAT_INTERVAL_S
        both = (2, ["alive", "dead"])
        self.assertEqual(told, [both, both, (2, ["alive"])])

    def test_silent_vm_counts_until_it_is_surely_gone(self) -> None:
        """Guards against shares that grow while a VM is only cut off."""
        seen = vm_heartbeats.observe_revisions({}, {"a": 1, "b": 1}, 0.0)
        seen = vm_heartbeats.observe_revisions(seen, {"a": 2, "b": 1}, 16.0)
        self.assertEqual(vm_heartbeats.count_live(seen, 16.0), 2)
        seen = vm_heartbeats.observe_revisions(seen, {"a": 3, "b": 1}, 25.0)
        self.assertEqual(vm_heartbeats.count_live(seen, 25.0), 1)

    def test_departed_objects_are_removed_later(self) -> None:
        """Guards against objects that pile up as VMs are replaced."""
        seen = vm_heartbeats.observe_revisions({}, {"old": 1}, 0.0)
        self.assertEqual(vm_heartbeats.list_departed(seen, 100.0), ())
        self.assertEqual(vm_heartbeats.list_departed(seen, 161.0), ("old",))
