"""Guarantee P4: a request refused as `not_run` did not run."""

from __future__ import annotations

import threading
import time
import unittest
import uuid

from standins import launcher
from tests.support.bookings import (
    ANSWERED,
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

_NO_PLATFORM_FAULTS: dict[str, object] = {
    "down": False,
    "slow_s": 0,
    "lose_answers": 0,
    "lose_probability": 0,
    "only_path": None,
}
_NO_SERVICE_FAULTS: dict[str, object] = {
    "full": False,
    "leaving": False,
    "slow_s": 0,
    "only_path": None,
}
_DAY_S = 86_400.0
# An entry VM limits its rate of platform writes; each retry needs three.
_RETRY_INTERVAL_S = 0.2


class NotRunTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        plan = make_plan(prefill=0, decode=0, services=SERVICE_OPTIONS)
        cls.fleet = cls.enterClassContext(running_fleet(plan))

    def setUp(self) -> None:
        self.addCleanup(set_service_faults, self.fleet, **_NO_SERVICE_FAULTS)
        self.addCleanup(self.fleet.platform.set_faults, **_NO_PLATFORM_FAULTS)
        # The faults of an earlier test may have opened circuit breakers.
        wait_until_usable(self.fleet)

    def test_refusal_while_the_platform_is_down_is_unknown(
        self,
    ) -> None:
        """Guards against `not_run` for a key whose claim cannot be read."""
        entries = self.fleet.entries
        self.assertEqual(send_booking(entries[0], "ran-before").status, 200)
        for down in (True, "error"):
            self.fleet.platform.set_faults(down=down)
            for entry in entries:
                response = send_booking(entry, "ran-before")
                self.assertEqual(
                    read_outcome(response), "unknown", response.body
                )
                self.assertIn("retry-after", response.headers)
                self.assertEqual(
                    look_up_outcome(entry, "ran-before")["status"], 503
                )
        self.fleet.platform.set_faults(down=False)
        self.assertEqual(count_runs(self.fleet, "ran-before"), 1)
        for entry in entries:
            self.assertEqual(
                look_up_outcome(entry, "ran-before")["outcome"], "ran"
            )
            response = send_booking(entry, "ran-before")
            self.assertEqual(response.headers["idempotency-replayed"], "true")
        self.assertEqual(count_runs(self.fleet, "ran-before"), 1)

    def test_key_refused_as_not_run_runs_once_when_sent_again(self) -> None:
        """Guards against a claim that blocks a key that never ran."""
        for fault in ("full", "leaving"):
            for number, entry in enumerate(self.fleet.entries):
                key = f"refused-{fault}-{number}"
                set_service_faults(self.fleet, **{fault: True})
                self._send_until(entry, key, "not_run")
                self.assertEqual(count_runs(self.fleet, key), 0)
                other = self.fleet.entries[number - 1]
                self.assertEqual(
                    look_up_outcome(other, key)["outcome"], "not_run"
                )
                self._clear_service_fault(fault)
                self._send_until(other, key, ANSWERED)
                self.assertEqual(count_runs(self.fleet, key), 1)
                self.assertEqual(look_up_outcome(entry, key)["outcome"], "ran")

    def test_given_up_claim_that_cannot_be_written_is_written_later(
        self,
    ) -> None:
        """Guards against `not_run` for a key that stays blocked forever."""
        entry, other = self.fleet.entries[:2]
        platform = self.fleet.platform
        set_service_faults(
            self.fleet, full=True, slow_s=0.5, only_path="/bookings"
        )
        booking = BackgroundBooking(lambda: send_booking(entry, "given-up"))
        launcher.wait_until(
            lambda: is_claimed(self.fleet, "given-up"), "the key is claimed"
        )
        platform.set_faults(down=True)
        self.assertEqual(booking.wait(), "not_run")
        self.assertEqual(
            look_up_outcome(other, "given-up")["outcome"], "unknown"
        )
        set_service_faults(self.fleet, full=False, slow_s=0)
        self.assertEqual(count_runs(self.fleet, "given-up"), 0)
        platform.set_faults(down=False)
        launcher.wait_until(
            lambda: look_up_outcome(other, "given-up")["outcome"] == "not_run",
            "the claim is given up",
        )
        self._send_until(other, "given-up", ANSWERED)
        self.assertEqual(count_runs(self.fleet, "given-up"), 1)

    def test_refusal_before_the_claim_is_unknown_for_a_key(self) -> None:
        """Guards against `not_run` for an invalid repeat of a key that ran."""
        entry = self.fleet.entries[0]
        self.assertEqual(send_booking(entry, "bad-headers").status, 200)
        for headers in (
            {"Burdockspan-Deadline": "soon"},
            {"Burdockspan-Priority": "highest"},
            {"Authorization": "Bearer of-another-day"},
        ):
            response = send_booking(entry, "bad-headers", headers=headers)
            self.assertGreaterEqual(response.status, 400)
            self.assertEqual(read_outcome(response), "unknown", response.body)
        response = send_booking(
            entry, "bad-headers", path="/services/hajz-app/removed"
        )
        self.assertEqual(read_outcome(response), "unknown", response.body)

    def test_reused_and_misdated_keys_are_refused_with_the_right_outcome(
        self,
    ) -> None:
        """Guards against a wrong outcome for another body or a misdated key."""
        now_s = time.time()
        for number, entry in enumerate(self.fleet.entries):
            key = f"two-bodies-{number}"
            self.assertEqual(send_booking(entry, key).status, 200)
            for other in self.fleet.entries:
                response = send_booking(other, key, {"hall": 2})
                self.assertEqual(response.status, 422)
                self.assertEqual(read_outcome(response), "not_run")
            self.assertEqual(count_runs(self.fleet, key), 1)
            expired = _make_dated_key(now_s - 8 * _DAY_S)
            response = send_booking(entry, expired)
            self.assertEqual(response.status, 422)
            self.assertEqual(read_outcome(response), "unknown")
            too_early = _make_dated_key(now_s + 600.0)
            response = send_booking(entry, too_early)
            self.assertEqual(response.status, 400)
            self.assertEqual(read_outcome(response), "not_run")
            valid = _make_dated_key(now_s - _DAY_S + number)
            self.assertEqual(send_booking(entry, valid).status, 200)
            runs = [
                count_runs(self.fleet, dated_key)
                for dated_key in (expired, too_early, valid)
            ]
            self.assertEqual(runs, [0, 0, 1])

    def test_burst_of_repeats_after_a_run_is_never_not_run(self) -> None:
        """Guards against `not_run` when platform calls reach their limit."""
        entry = self.fleet.entries[-1]
        self.assertEqual(send_booking(entry, "burst").status, 200)
        outcomes = {
            read_outcome(send_booking(entry, "burst")) for _ in range(120)
        }
        self.assertLessEqual(outcomes, {ANSWERED, "unknown"})
        self.assertEqual(count_runs(self.fleet, "burst"), 1)

    def _send_until(
        self, entry: launcher.Process, key: str, expected: str
    ) -> None:
        """Repeats a booking until an outcome; fails for `not_run` if it ran."""
        timer = threading.Event()

        def is_expected() -> bool:
            timer.wait(_RETRY_INTERVAL_S)
            outcome = read_outcome(send_booking(entry, key))
            if outcome == "not_run":
                self.assertEqual(count_runs(self.fleet, key), 0)
            return outcome == expected

        launcher.wait_until(is_expected, f"{key}: {expected}")

    def _clear_service_fault(self, fault: str) -> None:
        set_service_faults(self.fleet, **{fault: False})
        if fault != "leaving":
            return
        # An endpoint that reported that it is leaving gets no work until it
        # restarts.
        for plan in self.fleet.plan.endpoints:
            self.fleet.processes_by_name[plan.name].kill()
            self.fleet.start_endpoint(plan)
        self.fleet.set_vm_list()


def _make_dated_key(created_s: float) -> str:
    """Returns a UUID of version 7, which starts with its creation time."""
    milliseconds = int(created_s * 1000.0)
    number = milliseconds << 80 | 0x7 << 76 | 0x8 << 60 | milliseconds % 999
    return str(uuid.UUID(int=number))
