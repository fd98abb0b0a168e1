"""P8: a change is in force everywhere within 6 s and never reverts."""

from __future__ import annotations

import json
import signal
import unittest
from collections.abc import Collection, Sequence

from burdockspan.membership.ownership import watchers
from standins import launcher
from tests.support.commands import finish_cli, run_cli, start_cli
from tests.support.fleets import (
    EXAMPLE,
    ZONE,
    make_plan,
    read_status,
    running_fleet,
)
from tests.support.generations import accept_example, observing_generations

_LIMIT_S = 6.0
_CONFIG_PATH = "/objects/config"


def _make_plan() -> launcher.FleetPlan:
    return make_plan(prefill=0, decode=0)


class ConfigurationChangesTest(unittest.TestCase):
    def test_change_reaches_entry_vms_that_are_cut_off_from_the_platform(
        self,
    ) -> None:
        """Guards against a change that only comes from the platform."""
        with (
            running_fleet(_make_plan()) as fleet,
            observing_generations(fleet) as generations,
        ):
            names = tuple(fleet.plan.zone_by_entry_name)
            watching = watchers(ZONE, names)
            others = [name for name in names if name not in watching]
            # The watchers, the others, and all but one that does not watch.
            for base, cut_off in enumerate(
                (watching, others, [*watching, others[0]]), 1
            ):
                _cut_off(fleet, cut_off, set(watching).intersection(cut_off))
                accept_example(fleet, base)
                generations.wait(base + 1, _LIMIT_S)

    def test_two_operators_race_and_exactly_one_wins(self) -> None:
        """Guards against a change that overwrites one nobody compared."""
        with (
            running_fleet(_make_plan()) as fleet,
            observing_generations(fleet) as generations,
        ):
            for base in (1, 2, 3):
                ended = _race(fleet, base)
                codes = sorted(one.returncode for one in ended)
                self.assertEqual(codes, [0, 3], [one.stderr for one in ended])
                generations.wait(base + 1, _LIMIT_S)

    def test_race_with_lost_answers_has_exactly_one_winner(self) -> None:
        """Guards against a lost answer that makes both or nobody win."""
        with (
            running_fleet(_make_plan()) as fleet,
            observing_generations(fleet) as generations,
        ):
            for base in (1, 2):
                fleet.platform.set_faults(
                    lose_answers=1, only_path=_CONFIG_PATH
                )
                ended = _race(fleet, base)
                codes = sorted(one.returncode for one in ended)
                self.assertEqual(codes, [0, 3], [one.stderr for one in ended])
                generations.wait(base + 1, _LIMIT_S)

    def test_accept_command_with_a_lost_answer_tells_the_truth(self) -> None:
        """Guards against a failure reported for a change in force."""
        with (
            running_fleet(_make_plan()) as fleet,
            observing_generations(fleet) as generations,
        ):
            fleet.platform.set_faults(lose_answers=1, only_path=_CONFIG_PATH)
            ended = run_cli(
                fleet, "config", "accept", str(EXAMPLE), "--base", "1", "--json"
            )
            self.assertEqual(ended.returncode, 0, ended.stderr)
            self.assertEqual(json.loads(ended.stdout)["generation"], 2)
            generations.wait(2, _LIMIT_S)
            fleet.platform.set_faults(cut_off=["operator-amal"], lose_answers=0)
            ended = run_cli(
                fleet, "config", "accept", str(EXAMPLE), "--base", "2"
            )
            self.assertEqual(ended.returncode, 4, ended.stderr)
            held = fleet.platform.call("GET", "/objects/config/current").json()
            self.assertEqual(held["value"]["generation"], 2)

    def test_replaced_entry_vm_takes_the_newest_generation_from_peers(
        self,
    ) -> None:
        """Guards against a fresh process that serves without the platform."""
        with (
            running_fleet(_make_plan()) as fleet,
            observing_generations(fleet) as generations,
        ):
            accept_example(fleet, 1)
            accept_example(fleet, 2)
            generations.wait(3, _LIMIT_S)
            fleet.platform.set_faults(down=True)
            for name in ("entry-1", "entry-2", "entry-3", "entry-4"):
                fleet.processes_by_name[name].kill()
                fleet.start_entry(name)
                generations.wait(3, _LIMIT_S, [name])

    def test_replaced_entry_vm_ignores_a_stale_peer(self) -> None:
        """Guards against a reversal to what a resumed process still holds."""
        with (
            running_fleet(_make_plan()) as fleet,
            observing_generations(fleet) as generations,
        ):
            stale, replaced, *others = fleet.plan.zone_by_entry_name
            frozen = fleet.processes_by_name[stale]
            # An open watch's answer, or an offer, would wait in its sockets.
            watching = watchers(ZONE, tuple(fleet.plan.zone_by_entry_name))
            _cut_off(fleet, [stale], {stale}.intersection(watching))
            frozen.signal(signal.SIGSTOP)
            for name in (replaced, *others):
                entry = fleet.processes_by_name[name]
                launcher.wait_until(
                    lambda entry=entry: _find_state(entry, stale) == "dead",
                    f"{name} has declared {stale} dead",
                )
            accept_example(fleet, 1)
            generations.wait(2, _LIMIT_S, [replaced, *others])
            fleet.platform.set_faults(down=True)
            fleet.processes_by_name[replaced].kill()
            fresh = fleet.start_entry(replaced)
            # The answer of the frozen peer, which is older, comes last.
            launcher.wait_until(
                lambda: _count_alive(fresh) >= 1 + len(others),
                "it has heard from the other peers",
            )
            frozen.signal(signal.SIGCONT)
            generations.wait(2, _LIMIT_S)


def _find_state(entry: launcher.Process, name: str) -> str | None:
    members = read_status(entry)["members"]
    return next(
        (member["state"] for member in members if member["vm"] == name), None
    )


def _count_alive(entry: launcher.Process) -> int:
    try:
        members = read_status(entry)["members"]
    except OSError:
        return 0
    return sum(member["state"] == "alive" for member in members)


def _cut_off(
    fleet: launcher.Fleet, names: Sequence[str], watching: Collection[str]
) -> None:
    """Cuts entry VMs off; a watch that was open before ends first."""

    def count(name: str) -> int:
        calls = fleet.platform.call("GET", "/calls").json()["by_caller"]
        return int(calls.get(name, {}).get("watch", 0))

    fleet.platform.set_faults(cut_off=list(names))
    before = {name: count(name) for name in watching}
    launcher.wait_until(
        lambda: all(count(name) > before[name] for name in watching),
        "no watch from before the cut is open",
    )


def _race(fleet: launcher.Fleet, base: int) -> list:
    commands = [
        start_cli(
            fleet,
            *("config", "accept", str(EXAMPLE), "--base", str(base)),
            operator=operator,
        )
        for operator in ("amal", "badr")
    ]
    return [finish_cli(command) for command in commands]
