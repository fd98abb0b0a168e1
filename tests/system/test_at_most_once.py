"""Guarantee P5: a non-idempotent request runs at most once."""

from __future__ import annotations

import concurrent.futures
import unittest

from standins import launcher
from standins.launcher import Process
from tests.support.bookings import (
    ANSWERED,
    CLAIMS_PATH,
    SERVICE_OPTIONS,
    BackgroundBooking,
    count_runs,
    is_claimed,
    look_up_outcome,
    read_outcome,
    send_booking,
    set_service_faults,
)
from tests.support.fleets import make_plan, running_fleet, wait_until_usable

_ATTEMPTS_PER_KEY = 4
_KEYS = 6
_NO_FAULTS: dict[str, object] = {
    "down": False,
    "slow_s": 0,
    "lose_answers": 0,
    "lose_probability": 0,
    "silent_open": False,
    "truncate": 0,
    "work_s": 0,
    "only_path": None,
}


class AtMostOnceTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        plan = make_plan(prefill=0, decode=0, services=SERVICE_OPTIONS)
        cls.fleet = cls.enterClassContext(running_fleet(plan))

    def setUp(self) -> None:
        self.addCleanup(set_service_faults, self.fleet, **_NO_FAULTS)
        self.addCleanup(self.fleet.platform.set_faults, **_NO_FAULTS)
        # The faults of an earlier test may have opened circuit breakers.
        wait_until_usable(self.fleet)

    def test_booking_with_lost_platform_responses_runs_at_most_once(
        self,
    ) -> None:
        """Guards against a second run after a lost response to a claim."""
        self.fleet.platform.set_faults(
            lose_probability=0.4, only_path=CLAIMS_PATH
        )
        self._check_retries("lost")

    def test_booking_with_slow_platform_runs_at_most_once(self) -> None:
        """Guards against a second run while the claim is being written."""
        self.fleet.platform.set_faults(slow_s=0.15, only_path=CLAIMS_PATH)
        self._check_retries("slow")

    def test_booking_with_platform_outages_runs_at_most_once(self) -> None:
        """Guards against a run without a claim during a platform outage."""
        platform = self.fleet.platform
        for number in range(_KEYS):
            key = f"outage-{number}"
            set_service_faults(self.fleet, work_s=0.3)
            booking = BackgroundBooking(
                lambda key=key: send_booking(self._entry(0), key)
            )
            launcher.wait_until(
                lambda key=key: is_claimed(self.fleet, key),
                "the key is claimed",
            )
            platform.set_faults(down=True if number % 2 else "error")
            outcomes = [
                read_outcome(send_booking(entry, key))
                for entry in self.fleet.entries
            ]
            self.assertEqual(set(outcomes), {"unknown"})
            self.assertEqual(booking.wait(), ANSWERED)
            platform.set_faults(down=False)
            launcher.wait_until(
                lambda key=key: (
                    look_up_outcome(self._entry(1), key)["outcome"] == "ran"
                ),
                "the outcome is recorded after the outage",
            )
            self._check_final_outcome(key, "ran", 1)

    def test_concurrent_copies_through_all_entry_vms_run_once(self) -> None:
        """Guards against a claim with two holders."""
        self.fleet.platform.set_faults(
            lose_probability=0.3, only_path=CLAIMS_PATH
        )
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            for number in range(_KEYS):
                key = f"copies-{number}"
                entries = self.fleet.entries * 2
                responses = pool.map(
                    lambda entry, key=key: send_booking(entry, key), entries
                )
                outcomes = {read_outcome(response) for response in responses}
                runs = count_runs(self.fleet, key)
                self.assertLessEqual(runs, 1)
                if ANSWERED in outcomes:
                    self.assertEqual(runs, 1)

    def test_booking_whose_service_fails_is_unknown_and_runs_once(self) -> None:
        """Guards against a retry of a request that may have run."""
        for fault in ("lose_answers", "truncate"):
            key = f"service-{fault}"
            set_service_faults(self.fleet, **{fault: 1})
            outcome = read_outcome(send_booking(self._entry(0), key))
            self.assertEqual(outcome, "unknown", fault)
            set_service_faults(self.fleet, **_NO_FAULTS)
            self._check_final_outcome(key, "unknown", 1)

    def test_booking_on_an_unresponsive_connection_is_unknown(self) -> None:
        """Guards against a retry, or an endless wait, without a response."""
        set_service_faults(self.fleet, work_s=0.5)
        deadline = {"Burdockspan-Deadline": "3"}
        booking = BackgroundBooking(
            lambda: send_booking(self._entry(0), "silent", headers=deadline)
        )
        launcher.wait_until(
            lambda: count_runs(self.fleet, "silent") == 1,
            "the booking is running",
        )
        set_service_faults(self.fleet, silent_open=True)
        self.assertEqual(booking.wait(), "unknown")
        set_service_faults(self.fleet, **_NO_FAULTS)
        self._check_final_outcome("silent", "unknown", 1)

    def _check_retries(self, name: str) -> None:
        """Sends each key repeatedly, through the entry VMs in turn."""
        for number in range(_KEYS):
            key = f"{name}-{number}"
            answered = False
            for attempt in range(_ATTEMPTS_PER_KEY):
                entry = self._entry(number + attempt)
                outcome = read_outcome(send_booking(entry, key))
                runs = count_runs(self.fleet, key)
                self.assertLessEqual(runs, 1)
                if outcome == "not_run":
                    self.assertEqual(runs, 0)
                if outcome == ANSWERED:
                    self.assertEqual(runs, 1)
                    answered = True
                lookup_outcome = look_up_outcome(entry, key)["outcome"]
                if answered:
                    self.assertIn(lookup_outcome, ("ran", "unknown"))
                if lookup_outcome == "not_run":
                    self.assertEqual(count_runs(self.fleet, key), 0)
            if answered:
                launcher.wait_until(
                    lambda key=key: (
                        look_up_outcome(self._entry(0), key)["outcome"] == "ran"
                    ),
                    "the outcome is recorded",
                )

    def _check_final_outcome(
        self, key: str, lookup_outcome: str, runs: int
    ) -> None:
        """Checks that all entry VMs agree and that a repeat does not run."""
        for entry in self.fleet.entries:
            launcher.wait_until(
                lambda entry=entry: (
                    look_up_outcome(entry, key)["outcome"] == lookup_outcome
                ),
                f"{entry.name} returns {lookup_outcome} for {key}",
            )
            outcome = read_outcome(send_booking(entry, key))
            expected = ANSWERED if lookup_outcome == "ran" else "unknown"
            self.assertEqual(outcome, expected)
        self.assertEqual(count_runs(self.fleet, key), runs)

    def _entry(self, number: int) -> Process:
        entries = self.fleet.entries
        return entries[number % len(entries)]
