"""Guarantee P5 after the platform's store has lost its latest writes."""

from __future__ import annotations

import time
import unittest

from standins import launcher
from tests.support.bookings import (
    ANSWERED,
    SERVICE_OPTIONS,
    count_runs,
    look_up_outcome,
    read_outcome,
    send_booking,
)
from tests.support.fleets import make_plan, running_fleet


def _make_dated_key() -> str:
    """Returns a UUIDv7 of the present time."""
    digits = f"{int(time.time() * 1000):012x}"
    return f"{digits[:8]}-{digits[8:]}-7000-8000-000000000000"


class RestoredPlatformTest(unittest.TestCase):
    def setUp(self) -> None:
        plan = make_plan(prefill=0, decode=0, services=SERVICE_OPTIONS)
        self.fleet = self.enterContext(running_fleet(plan))

    def test_booking_runs_once_although_its_claim_was_lost(self) -> None:
        """Guards against a second run through another entry VM."""
        holder, *others = self.fleet.entries
        keys = ("undated", _make_dated_key())
        self.fleet.platform.call("PUT", "/control/copy")
        for key in keys:
            self.assertEqual(read_outcome(send_booking(holder, key)), ANSWERED)
        self.fleet.platform.call("PUT", "/control/restore")
        for key in keys:
            for entry in others:
                outcome = read_outcome(send_booking(entry, key))
                self.assertIn(outcome, ("unknown", ANSWERED))
                self.assertEqual(count_runs(self.fleet, key), 1)
            # The holder remembers the response, and writes its claim again.
            self.assertEqual(read_outcome(send_booking(holder, key)), ANSWERED)
            launcher.wait_until(
                lambda key=key: (
                    look_up_outcome(others[0], key)["outcome"] == "ran"
                ),
                "the claim is written again",
            )
            self.assertEqual(count_runs(self.fleet, key), 1)

    def test_booking_runs_once_although_its_holder_died_too(self) -> None:
        """Guards against a second run when nobody remembers the first."""
        holder, *others = self.fleet.entries
        keys = ("undated", _make_dated_key())
        self.fleet.platform.call("PUT", "/control/copy")
        for key in keys:
            self.assertEqual(read_outcome(send_booking(holder, key)), ANSWERED)
        holder.kill()
        self.fleet.platform.call("PUT", "/control/restore")
        for key in keys:
            for entry in others:
                outcome = read_outcome(send_booking(entry, key))
                self.assertEqual(outcome, "unknown")
            self.assertEqual(count_runs(self.fleet, key), 1)


if __name__ == "__main__":
    unittest.main()
