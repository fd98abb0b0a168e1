"""Guarantee P6: a leaving endpoint receives no new work after 3 s."""

from __future__ import annotations

import concurrent.futures
import signal
import time
import unittest
from collections.abc import Sequence

from burdockspan.membership.ownership import owner_of
from standins import launcher
from standins.launcher import Fleet, Process
from tests.support.commands import run_cli
from tests.support.fleets import make_plan, read_status, running_fleet
from tests.support.load import complete, count_received, running_load

_LEAVING = ("prefill-1", "decode-1", "service-1")
_NO_NEW_WORK_LIMIT_S = 3.0
_DRAIN_NO_NEW_WORK_LIMIT_S = 6.0
_VM_LIST_LAG_S = 10.0
_REQUESTS_PER_ENTRY = 10


class LeavingEndpointsTest(unittest.TestCase):
    def test_leaving_endpoints_get_no_new_work_while_the_list_lags(
        self,
    ) -> None:
        """Guards against VMs that learn of leaving only from the VM list."""
        with running_fleet(_make_plan()) as fleet:
            self._check_leaving(fleet, fleet.entries)

    def test_leaving_endpoints_get_no_new_work_without_the_platform(
        self,
    ) -> None:
        """Guards against VMs that learn of leaving only from the platform."""
        with running_fleet(_make_plan()) as fleet:
            fleet.platform.set_faults(down=True)
            self._check_leaving(fleet, fleet.entries)

    def test_leaving_endpoints_get_no_new_work_while_an_owner_is_frozen(
        self,
    ) -> None:
        """Guards against load reports that stop with the endpoint owner."""
        with running_fleet(_make_plan()) as fleet:
            owner = _find_owner(fleet, "decode-1")
            others = [entry for entry in fleet.entries if entry is not owner]
            owner.signal(signal.SIGSTOP)
            self._check_leaving(fleet, others)

    def test_entry_vm_that_was_frozen_sends_no_work_to_leaving_endpoints(
        self,
    ) -> None:
        """Guards against stale reports that a resumed VM takes as current."""
        with running_fleet(_make_plan()) as fleet:
            owner = _find_owner(fleet, "decode-1")
            others = [entry for entry in fleet.entries if entry is not owner]
            owner.signal(signal.SIGSTOP)
            with concurrent.futures.ThreadPoolExecutor(30) as pool:
                self._check_leaving(fleet, others)
                before = count_received(fleet, _LEAVING)
                calls = [
                    pool.submit(complete, owner, f"{number} " * 40)
                    for number in range(30)
                ]
                owner.signal(signal.SIGCONT)
                statuses = {call.result().status for call in calls}
            self.assertLessEqual(statuses, {200, 503})
            launcher.wait_until(
                lambda: complete(owner).status == 200,
                "the resumed entry VM serves again",
            )
            self.assertEqual(count_received(fleet, _LEAVING), before)

    def test_drained_endpoints_get_no_new_work_after_six_seconds(self) -> None:
        """Guards against a drain that VMs cut off from the platform ignore."""
        with running_fleet(_make_plan()) as fleet:
            fleet.platform.set_faults(cut_off=["entry-1", "entry-3"])
            with running_load(fleet.entries) as load:
                load.wait_for_responses(fleet.entries, _REQUESTS_PER_ENTRY)
                result = run_cli(fleet, "drain", *_LEAVING)
                accepted_s = time.monotonic()
                self.assertEqual(result.returncode, 0, result.stderr)
                _sleep_until(accepted_s + _DRAIN_NO_NEW_WORK_LIMIT_S)
                before = count_received(fleet, _LEAVING)
                load.wait_for_responses(fleet.entries, _REQUESTS_PER_ENTRY)
                self.assertEqual(count_received(fleet, _LEAVING), before)
            self.assertEqual(load.problems, [])

    def _check_leaving(self, fleet: Fleet, entries: Sequence[Process]) -> None:
        fleet.platform.set_faults(vm_list_lag_s=_VM_LIST_LAG_S)
        with running_load(entries) as load:
            load.wait_for_responses(entries, _REQUESTS_PER_ENTRY)
            launcher.wait_until(
                lambda: all(count_received(fleet, _LEAVING).values()),
                "each endpoint has received requests",
            )
            for name in _LEAVING:
                fleet.processes_by_name[name].set_faults(leaving=True)
            leaving_since_s = time.monotonic()
            fleet.set_vm_list(frozenset(_LEAVING))
            _sleep_until(leaving_since_s + _NO_NEW_WORK_LIMIT_S)
            before = count_received(fleet, _LEAVING)
            load.wait_for_responses(entries, _REQUESTS_PER_ENTRY)
            self.assertEqual(count_received(fleet, _LEAVING), before)
            versions = {
                read_status(entry)["vm_list_version"] for entry in entries
            }
            self.assertEqual(len(versions), 1)
        self.assertEqual(load.problems, [])


def _make_plan() -> launcher.FleetPlan:
    return make_plan(services=((), ()), token_gap_ms=1)


def _find_owner(fleet: Fleet, endpoint: str) -> Process:
    owner = owner_of(endpoint, tuple(fleet.plan.zone_by_entry_name))
    assert owner is not None
    return fleet.processes_by_name[owner]


def _sleep_until(end_s: float) -> None:
    launcher.wait_until(lambda: time.monotonic() >= end_s, "the limit passed")
