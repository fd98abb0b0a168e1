"""Guarantees P4 to P8 with two failures at the same time."""

from __future__ import annotations

import signal
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
from tests.support.commands import finish_cli, run_cli, start_cli
from tests.support.fleets import make_plan, read_status, running_fleet
from tests.support.generations import accept_example, observing_generations
from tests.support.load import complete, count_received, running_load
from tests.support.streams import Stream

_IN_FORCE_LIMIT_S = 6.0
_NO_NEW_WORK_LIMIT_S = 3.0


class CombinedFailuresTest(unittest.TestCase):
    def test_bookings_during_an_outage_while_an_entry_vm_is_frozen(
        self,
    ) -> None:
        """Guards against a booking that runs twice or without a claim."""
        plan = make_plan(prefill=0, decode=0, services=SERVICE_OPTIONS)
        with (
            running_fleet(plan) as fleet,
            observing_generations(fleet) as generations,
        ):
            frozen, *others = fleet.entries
            self.assertEqual(send_booking(frozen, "before").status, 200)
            accept_example(fleet, 1)
            generations.wait(2, _IN_FORCE_LIMIT_S)
            frozen.signal(signal.SIGSTOP)
            fleet.platform.set_faults(down=True)
            for entry in others:
                for key in ("before", "during"):
                    response = send_booking(entry, key)
                    self.assertEqual(read_outcome(response), "unknown")
                    self.assertIn("retry-after", response.headers)
            self.assertEqual(count_runs(fleet, "during"), 0)
            frozen.signal(signal.SIGCONT)
            self.assertNotEqual(
                read_outcome(send_booking(frozen, "during")), ANSWERED
            )
            fleet.platform.set_faults(down=False)
            for entry in fleet.entries:
                launcher.wait_until(
                    lambda entry=entry: (
                        read_outcome(send_booking(entry, "during")) == ANSWERED
                    ),
                    f"{entry.name} serves the booking after the outage",
                )
                self.assertEqual(
                    look_up_outcome(entry, "before")["outcome"], "ran"
                )
            for key in ("before", "during"):
                self.assertEqual(count_runs(fleet, key), 1)

    def test_requests_are_served_during_an_outage_while_an_entry_vm_is_frozen(
        self,
    ) -> None:
        """Guards against an entry VM that needs the platform to serve."""
        with running_fleet(make_plan(token_gap_ms=1)) as fleet:
            frozen, *others = fleet.entries
            frozen.signal(signal.SIGSTOP)
            fleet.platform.set_faults(down="error")
            with running_load(others) as load:
                load.wait_for_responses(others, 20)
                fleet.processes_by_name["decode-1"].set_faults(leaving=True)
                launcher.wait_until(
                    lambda: (
                        not any(
                            endpoint["usable"]
                            for entry in others
                            for endpoint in read_status(entry)["endpoints"]
                            if endpoint["vm"] == "decode-1"
                        )
                    ),
                    "no entry VM uses decode-1",
                    _NO_NEW_WORK_LIMIT_S,
                )
                before = count_received(fleet, ["decode-1"])
                load.wait_for_responses(others, 20)
                self.assertEqual(count_received(fleet, ["decode-1"]), before)
            self.assertEqual(load.problems, [])
            frozen.signal(signal.SIGCONT)
            launcher.wait_until(
                lambda: complete(frozen).status == 200,
                "the resumed entry VM serves again",
            )

    def test_concurrent_drains_while_an_entry_vm_is_restarted(self) -> None:
        """Guards against a drain that is lost or that a restart reverts."""
        plan = make_plan(token_gap_ms=10)
        with (
            running_fleet(plan) as fleet,
            observing_generations(fleet) as generations,
        ):
            stream = Stream(fleet.entries[1], "long", 300)
            stream.read_first_token()
            stream.start_reading()
            commands = [
                start_cli(fleet, "drain", vm, operator=operator)
                for vm, operator in (
                    ("decode-1", "amal"),
                    ("prefill-1", "badr"),
                )
            ]
            fleet.processes_by_name["entry-1"].kill()
            fleet.start_entry("entry-1")
            for command in commands:
                result = finish_cli(command)
                self.assertEqual(result.returncode, 0, result.stderr)
            generations.wait(3, _IN_FORCE_LIMIT_S)
            result = run_cli(fleet, "config", "show")
            self.assertEqual(result.returncode, 0, result.stderr)
            for vm in ("decode-1", "prefill-1"):
                self.assertIn(vm, result.stdout)
            launcher.wait_until(
                lambda: all(
                    complete(entry).status == 200 for entry in fleet.entries
                ),
                "all entry VMs are serving",
            )
            before = count_received(fleet, ["prefill-1"])
            for entry in fleet.entries:
                self.assertEqual(complete(entry, "another").status, 200)
            self.assertEqual(count_received(fleet, ["prefill-1"]), before)
            self.assertIsNone(stream.find_problem())
