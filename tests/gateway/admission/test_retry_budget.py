"""The retries of all VMs together stay within the limit of the deployment."""

from __future__ import annotations

import unittest
from collections.abc import Iterable

from hypothesis import given
from hypothesis import strategies as st

from burdockspan.gateway.admission.retry_budget import RetryBudget
from burdockspan.gateway.fleet import vm_heartbeats
from burdockspan.gateway.fleet.vm_heartbeats import VmHeartbeats
from burdockspan.gateway.settings import RetryBudgetSettings
from burdockspan.platform.store import make_store
from burdockspan.values.clock import Clock
from standins.object_store import ObjectStore

_SETTINGS = RetryBudgetSettings(ratio=0.2, slack=58.0, window_s=10.0)


class TestRetryBudget(unittest.TestCase):
    @given(
        vm_count=st.integers(1, 40),
        requests=st.lists(st.integers(0, 60), min_size=1, max_size=40),
        now_s=st.floats(0.0, 40.0),
    )
    def test_all_vms_together_stay_within_the_limit(
        self, vm_count: int, requests: list[int], now_s: float
    ) -> None:
        """Guards against a full budget at each VM."""
        clock = [0.0]
        retries = 0
        request_counts = (requests * vm_count)[:vm_count]
        budgets = [
            RetryBudget(_SETTINGS, lambda: clock[0], vm_count)
            for _ in request_counts
        ]
        clock[0] = now_s
        for budget, count in zip(budgets, request_counts, strict=True):
            for _ in range(count):
                budget.record_request("app")
            while budget.try_spend("app"):
                retries += 1
        limit = _SETTINGS.ratio * sum(request_counts) + _SETTINGS.slack
        self.assertLessEqual(retries, limit)

    def test_budget_is_available_again_after_the_window(self) -> None:
        """Guards against a budget that stays spent after a fault."""
        clock = [0.0]
        budget = RetryBudget(_SETTINGS, lambda: clock[0], 4)
        while budget.try_spend("app"):
            pass
        clock[0] = 10.1
        self.assertTrue(budget.try_spend("app"))

    def test_refund_returns_the_retry_that_was_not_made(self) -> None:
        """Guards against more retries in a window than the budget allows."""
        clock = [0.0]
        settings = RetryBudgetSettings(0.0, 4.0 / 0.85, 10.0)
        budget = RetryBudget(settings, lambda: clock[0], 1)
        clock[0] = 100.0
        early = budget.try_spend("app")
        assert early is not None
        clock[0] = 105.0
        made = sum(bool(budget.try_spend("app")) for _ in range(3))
        budget.refund("app", early)
        clock[0] = 110.5
        while budget.try_spend("app"):
            made += 1
        self.assertLessEqual(made, 4)

    def test_services_have_separate_budgets(self) -> None:
        """Guards against refusals because of faults of another service."""
        budget = RetryBudget(_SETTINGS, lambda: 20.0, 4)
        while budget.try_spend("app"):
            pass
        self.assertTrue(budget.try_spend("llm"))

    def test_uncounted_vms_stay_within_the_limit_in_fleets_of_any_size(
        self,
    ) -> None:
        """Guards against the slack of a guessed fleet, spent by a larger one.

        All VMs have restarted while the store is unavailable.
        """
        for vm_count in (1, 4, 78, 1000):
            with self.subTest(vm_count=vm_count):
                retries = 0
                for _ in range(vm_count):
                    budget = RetryBudget(_SETTINGS, lambda: 20.0)
                    for _ in range(10):
                        budget.record_request("app")
                    while budget.try_spend("app"):
                        retries += 1
                limit = _SETTINGS.ratio * 10 * vm_count + _SETTINGS.slack
                self.assertLessEqual(retries, limit)

    def test_changed_settings_keep_the_spent_retries(self) -> None:
        """Guards against a reload that grants the budget a second time."""
        budget = RetryBudget(_SETTINGS, lambda: 20.0, 1)
        while budget.try_spend("app"):
            pass
        budget.set_settings(
            RetryBudgetSettings(ratio=0.2, slack=50.5, window_s=10.0)
        )
        self.assertFalse(budget.try_spend("app"))


def _start_fleet(
    platform: ObjectStore, vm_count: int, clock: Clock
) -> tuple[list[RetryBudget], list[VmHeartbeats]]:
    """Returns the budgets and the heartbeats of VMs that have just started."""
    store = make_store(platform.address, clock)
    budgets = [RetryBudget(_SETTINGS, clock) for _ in range(vm_count)]
    heartbeats = [
        VmHeartbeats(
            f"vm-{number}",
            store,
            clock,
            dict,
            lambda live, values: None,
            lambda event, **fields: None,
            on_settled_count=budget.set_vm_count,
        )
        for number, budget in enumerate(budgets)
    ]
    return budgets, heartbeats


def _spend_all(budgets: Iterable[RetryBudget]) -> int:
    spent = 0
    for budget in budgets:
        while budget.try_spend("app"):
            spent += 1
    return spent


class TestStartOfAllVms(unittest.TestCase):
    def test_retries_before_the_second_heartbeat_keep_the_limit(self) -> None:
        """Guards against shares of a number of VMs that still grows.

        Each VM that starts lists only those that started before it. 78 VMs
        granted 168 retries of a slack of 100 in this way.
        """
        for vm_count in (4, 78, 300):
            with self.subTest(vm_count=vm_count):
                platform = ObjectStore()
                self.addCleanup(platform.close)
                now_s = [100.0]
                budgets, fleet = _start_fleet(
                    platform, vm_count, lambda now_s=now_s: now_s[0]
                )
                spent = 0
                for heartbeats, budget in zip(fleet, budgets, strict=True):
                    heartbeats.send_and_count()
                    spent += _spend_all([budget])
                    now_s[0] += 0.3 / vm_count
                self.assertLessEqual(spent, _SETTINGS.slack)
                now_s[0] += vm_heartbeats.HEARTBEAT_INTERVAL_S
                for heartbeats in fleet:
                    heartbeats.send_and_count()
                spent += _spend_all(budgets)
                self.assertLessEqual(spent, _SETTINGS.slack)
                # A share of the slack below one retry grants none.
                if vm_count == 4:
                    self.assertGreater(spent, 0)

    def test_restarted_vm_has_its_share_after_the_first_list(self) -> None:
        """Guards against a VM without retries after each of its restarts."""
        platform = ObjectStore()
        self.addCleanup(platform.close)
        for number in range(4):
            platform.put(vm_heartbeats.KIND, f"vm-{number}", {"beat": 7})
        budgets, fleet = _start_fleet(platform, 4, lambda: 100.0)
        fleet[0].send_and_count()
        self.assertGreater(_spend_all(budgets[:1]), 0)


class TestVmHeartbeats(unittest.TestCase):
    def test_measurements_of_a_failed_vm_are_ignored(self) -> None:
        """Guards against counting the requests of a failed VM twice."""
        platform = ObjectStore()
        self.addCleanup(platform.close)
        now_s = [0.0]
        counted: list[tuple[int, list[str]]] = []
        heartbeats = vm_heartbeats.VmHeartbeats(
            "alive",
            make_store(platform.address, lambda: now_s[0]),
            lambda: now_s[0],
            dict,
            lambda live_count, values: counted.append(
                (live_count, sorted(values))
            ),
            lambda event, **fields: None,
        )
        platform.put(vm_heartbeats.KIND, "dead", {"beat": 1})
        for _ in range(3):
            heartbeats.send_and_count()
            now_s[0] += vm_heartbeats.HEARTBEAT_INTERVAL_S
        both_live = (2, ["alive", "dead"])
        self.assertEqual(counted, [both_live, both_live, (2, ["alive"])])

    def test_vm_is_live_until_the_failure_timeout(self) -> None:
        """Guards against larger shares while a VM is only partitioned."""
        observed = vm_heartbeats.observe_revisions({}, {"a": 1, "b": 1}, 0.0)
        observed = vm_heartbeats.observe_revisions(
            observed, {"a": 2, "b": 1}, 16.0
        )
        self.assertEqual(vm_heartbeats.list_live(observed, 16.0), ("a", "b"))
        observed = vm_heartbeats.observe_revisions(
            observed, {"a": 3, "b": 1}, 25.0
        )
        self.assertEqual(vm_heartbeats.list_live(observed, 25.0), ("a",))

    def test_objects_of_failed_vms_are_removed(self) -> None:
        """Guards against objects that accumulate as VMs are replaced."""
        observed = vm_heartbeats.observe_revisions({}, {"old": 1}, 0.0)
        self.assertEqual(vm_heartbeats.list_removable(observed, 100.0), ())
        self.assertEqual(
            vm_heartbeats.list_removable(observed, 161.0), ("old",)
        )
