"""Promises P4 to P8 while two things fail together."""

from __future__ import annotations

import signal
import unittest

from standins import launcher
from tests.support.actions import (
    ANSWERED,
    REPLICAS,
    count_runs,
    look_up,
    read_outcome,
    send_order,
)
from tests.support.commands import finish_cli, run_cli, start_cli
from tests.support.fleets import make_plan, read_status, running_fleet
from tests.support.generations import accept, observing
from tests.support.load import complete, count_seen, running_load
from tests.support.streams import Stream

_LIMIT_S = 6.0


class TwoFailuresTest(unittest.TestCase):
    def test_actions_during_an_outage_while_an_entry_vm_is_frozen(
        self,
    ) -> None:
        """Guards against a run without a claim, or twice, in an outage."""
        plan = make_plan(prefill=0, decode=0, services=REPLICAS)
        with running_fleet(plan) as fleet, observing(fleet) as seen:
            frozen, *others = fleet.entries
            self.assertEqual(send_order(frozen, "before").status, 200)
            accept(fleet, 1)
            seen.wait(2, _LIMIT_S)
            frozen.signal(signal.SIGSTOP)
            fleet.platform.fault(down=True)
            for entry in others:
                for key in ("before", "during"):
                    reply = send_order(entry, key)
                    self.assertEqual(read_outcome(reply), "unknown")
                    self.assertIn("retry-after", reply.headers)
            self.assertEqual(count_runs(fleet, "during"), 0)
            frozen.signal(signal.SIGCONT)
            self.assertNotEqual(
                read_outcome(send_order(frozen, "during")), ANSWERED
            )
            fleet.platform.fault(down=False)
            for entry in fleet.entries:
                launcher.wait_until(
                    lambda entry=entry: (
                        read_outcome(send_order(entry, "during")) == ANSWERED
                    ),
                    f"{entry.name} answers after the outage",
                )
                self.assertEqual(look_up(entry, "before")["outcome"], "ran")
            for key in ("before", "during"):
                self.assertEqual(count_runs(fleet, key), 1)

    def test_reads_go_on_during_an_outage_while_an_entry_vm_is_frozen(
        self,
    ) -> None:
        """Guards against a service that needs the platform to go on."""
        with running_fleet(make_plan(token_gap_ms=1)) as fleet:
            frozen, *others = fleet.entries
            frozen.signal(signal.SIGSTOP)
            fleet.platform.fault(down="error")
            with running_load(others) as load:
                load.wait_more(others, 20)
                fleet.processes_by_name["decode-1"].fault(leaving=True)
                launcher.wait_until(
                    lambda: (
                        not any(
                            row["usable"]
                            for entry in others
                            for row in read_status(entry)["endpoints"]
                            if row["vm"] == "decode-1"
                        )
                    ),
                    "no entry VM uses decode-1",
                    3.0,
                )
                before = count_seen(fleet, ["decode-1"])
                load.wait_more(others, 20)
                self.assertEqual(count_seen(fleet, ["decode-1"]), before)
            self.assertEqual(load.problems, [])
            frozen.signal(signal.SIGCONT)
            launcher.wait_until(
                lambda: complete(frozen).status == 200, "it serves again"
            )

    def test_racing_drains_while_an_entry_vm_is_replaced(self) -> None:
        """Guards against a drain that is lost, or reverted by a fresh VM."""
        plan = make_plan(token_gap_ms=10)
        with running_fleet(plan) as fleet, observing(fleet) as seen:
            stream = Stream(fleet.entries[1], "long", 300)
            stream.begin()
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
                ended = finish_cli(command)
                self.assertEqual(ended.returncode, 0, ended.stderr)
            seen.wait(3, _LIMIT_S)
            shown = run_cli(fleet, "config", "show")
            self.assertEqual(shown.returncode, 0, shown.stderr)
            for vm in ("decode-1", "prefill-1"):
                self.assertIn(vm, shown.stdout)
            launcher.wait_until(
                lambda: all(
                    complete(entry).status == 200 for entry in fleet.entries
                ),
                "all entry VMs serve",
            )
            before = count_seen(fleet, ["prefill-1"])
            for entry in fleet.entries:
                self.assertEqual(complete(entry, "another").status, 200)
            self.assertEqual(count_seen(fleet, ["prefill-1"]), before)
            self.assertIsNone(stream.find_fault())
