"""Guarantee P5: at most one run although the holder of the claim fails."""

from __future__ import annotations

import signal
import unittest

from standins import launcher
from standins.launcher import Process
from tests.support.bookings import (
    ANSWERED,
    CLAIMS_PATH,
    SERVICE_OPTIONS,
    BackgroundBooking,
    count_runs,
    look_up_outcome,
    read_outcome,
    send_booking,
    set_service_faults,
)
from tests.support.fleets import make_plan, running_fleet


class HolderTest(unittest.TestCase):
    """Kills or freezes the entry VM that holds a claim."""

    def test_holder_killed_before_dispatch_leaves_the_key_unknown(self) -> None:
        """Guards against a takeover of the claim of a dead holder."""
        with running_fleet(_make_plan()) as fleet:
            holder = fleet.entries[0]
            booking = _claim_slowly(fleet, holder, "killed-early")
            holder.kill()
            fleet.platform.set_faults(slow_s=0)
            self.assertEqual(booking.wait(), "reset")
            self._check_blocked(fleet, holder, "killed-early", 0)

    def test_holder_killed_while_the_booking_runs_does_not_repeat_it(
        self,
    ) -> None:
        """Guards against a second run by a retry through another entry VM."""
        with running_fleet(_make_plan()) as fleet:
            set_service_faults(fleet, work_s=1.0)
            holder = fleet.entries[0]
            booking = BackgroundBooking(
                lambda: send_booking(holder, "killed-late")
            )
            launcher.wait_until(
                lambda: count_runs(fleet, "killed-late") == 1,
                "the booking is running",
            )
            holder.kill()
            self.assertEqual(booking.wait(), "reset")
            self._check_blocked(fleet, holder, "killed-late", 1)

    def test_holder_frozen_before_dispatch_runs_the_booking_at_most_once(
        self,
    ) -> None:
        """Guards against a second run by a holder that resumes late."""
        with running_fleet(_make_plan()) as fleet:
            holder, *others = fleet.entries
            booking = _claim_slowly(fleet, holder, "frozen")
            holder.signal(signal.SIGSTOP)
            fleet.platform.set_faults(slow_s=0)
            for entry in others:
                response = send_booking(entry, "frozen")
                self.assertEqual(
                    read_outcome(response), "unknown", response.body
                )
                self.assertIn("retry-after", response.headers)
            launcher.wait_until(
                lambda: (
                    launcher.call(
                        others[0].admin_address, "GET", "/admin/status"
                    ).json()["members"][0]["state"]
                    == "dead"
                ),
                "the frozen holder is declared dead",
            )
            holder.signal(signal.SIGCONT)
            booking_outcome = booking.wait()
            runs = count_runs(fleet, "frozen")
            self.assertEqual(runs, {ANSWERED: 1, "not_run": 0}[booking_outcome])
            outcome = "ran" if runs else "not_run"
            for entry in fleet.entries:
                launcher.wait_until(
                    lambda entry=entry: (
                        look_up_outcome(entry, "frozen").get("outcome")
                        == outcome
                    ),
                    f"{entry.name} returns the actual outcome",
                )
            launcher.wait_until(
                lambda: (
                    read_outcome(send_booking(others[1], "frozen")) == ANSWERED
                ),
                "a repeat is answered eventually",
            )
            self.assertEqual(count_runs(fleet, "frozen"), 1)

    def _check_blocked(
        self, fleet: launcher.Fleet, holder: Process, key: str, runs: int
    ) -> None:
        others = [entry for entry in fleet.entries if entry is not holder]
        for entry in others:
            self.assertEqual(look_up_outcome(entry, key)["outcome"], "unknown")
            response = send_booking(entry, key)
            self.assertEqual(response.status, 409, response.body)
            self.assertEqual(read_outcome(response), "unknown")
            self.assertIn("retry-after", response.headers)
        self.assertEqual(count_runs(fleet, key), runs)


def _make_plan() -> launcher.FleetPlan:
    return make_plan(prefill=0, decode=0, services=SERVICE_OPTIONS)


def _claim_slowly(
    fleet: launcher.Fleet, holder: Process, key: str
) -> BackgroundBooking:
    """Sends a booking; returns while its claim is stored but not confirmed.

    The platform delays its response to the write of the claim.
    """
    fleet.platform.set_faults(
        slow_s=0.7, only_path=f"{CLAIMS_PATH}/booking-site", lose_answers=0
    )
    booking = BackgroundBooking(lambda: send_booking(holder, key))
    launcher.wait_until(
        lambda: any(
            claim["value"]["state"] == "held"
            for claim in fleet.platform.call("GET", CLAIMS_PATH).json()[
                "objects"
            ]
        ),
        "the claim is written",
    )
    return booking
