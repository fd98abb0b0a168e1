"""Guarantee P8: a change is in force everywhere within 6 s.

No entry VM returns to an older generation.
"""

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

_IN_FORCE_LIMIT_S = 6.0
_CONFIG_PATH = "/objects/config"
_EXIT_LOST_RACE = 3
_EXIT_UNREACHABLE = 4


def _make_plan() -> launcher.FleetPlan:
    return make_plan(prefill=0, decode=0)


class ConfigurationChangesTest(unittest.TestCase):
    def test_change_reaches_entry_vms_that_are_cut_off_from_the_platform(
        self,
    ) -> None:
        """Guards against a change that only arrives from the platform."""
        with (
            running_fleet(_make_plan()) as fleet,
            observing_generations(fleet) as generations,
        ):
            names = tuple(fleet.plan.zone_by_entry_name)
            watching_names = watchers(ZONE, names)
            others = [name for name in names if name not in watching_names]
            # Cuts off the watchers, then the others, then the watchers and one
            # of the others.
            for base_generation, cut_off in enumerate(
                (watching_names, others, [*watching_names, others[0]]), 1
            ):
                _cut_off(
                    fleet, cut_off, set(watching_names).intersection(cut_off)
                )
                accept_example(fleet, base_generation)
                generations.wait(base_generation + 1, _IN_FORCE_LIMIT_S)

    def test_two_operators_race_and_exactly_one_wins(self) -> None:
        """Guards against a change that overwrites one that was not reviewed."""
        with (
            running_fleet(_make_plan()) as fleet,
            observing_generations(fleet) as generations,
        ):
            for base_generation in (1, 2, 3):
                results = _accept_concurrently(fleet, base_generation)
                codes = sorted(result.returncode for result in results)
                self.assertEqual(
                    codes,
                    [0, _EXIT_LOST_RACE],
                    [result.stderr for result in results],
                )
                generations.wait(base_generation + 1, _IN_FORCE_LIMIT_S)

    def test_race_with_lost_responses_has_exactly_one_winner(self) -> None:
        """Guards against a lost response that makes both or neither win."""
        with (
            running_fleet(_make_plan()) as fleet,
            observing_generations(fleet) as generations,
        ):
            for base_generation in (1, 2):
                fleet.platform.set_faults(
                    lose_answers=1, only_path=_CONFIG_PATH
                )
                results = _accept_concurrently(fleet, base_generation)
                codes = sorted(result.returncode for result in results)
                self.assertEqual(
                    codes,
                    [0, _EXIT_LOST_RACE],
                    [result.stderr for result in results],
                )
                generations.wait(base_generation + 1, _IN_FORCE_LIMIT_S)

    def test_accept_command_with_a_lost_response_reports_the_outcome(
        self,
    ) -> None:
        """Guards against a failure that is reported for a change in force."""
        with (
            running_fleet(_make_plan()) as fleet,
            observing_generations(fleet) as generations,
        ):
            fleet.platform.set_faults(lose_answers=1, only_path=_CONFIG_PATH)
            result = run_cli(
                fleet, "config", "accept", str(EXAMPLE), "--base", "1", "--json"
            )
            self.assertEqual(result.returncode, 0, result.stderr)
            self.assertEqual(json.loads(result.stdout)["generation"], 2)
            generations.wait(2, _IN_FORCE_LIMIT_S)
            fleet.platform.set_faults(cut_off=["operator-amal"], lose_answers=0)
            result = run_cli(
                fleet, "config", "accept", str(EXAMPLE), "--base", "2"
            )
            self.assertEqual(
                result.returncode, _EXIT_UNREACHABLE, result.stderr
            )
            stored = fleet.platform.call(
                "GET", "/objects/config/current"
            ).json()
            self.assertEqual(stored["value"]["generation"], 2)

    def test_restarted_entry_vm_gets_the_newest_generation_from_peers(
        self,
    ) -> None:
        """Guards against a restarted VM that needs the platform to serve."""
        with (
            running_fleet(_make_plan()) as fleet,
            observing_generations(fleet) as generations,
        ):
            accept_example(fleet, 1)
            accept_example(fleet, 2)
            generations.wait(3, _IN_FORCE_LIMIT_S)
            fleet.platform.set_faults(down=True)
            for name in ("entry-1", "entry-2", "entry-3", "entry-4"):
                fleet.processes_by_name[name].kill()
                fleet.start_entry(name)
                generations.wait(3, _IN_FORCE_LIMIT_S, [name])

    def test_restarted_entry_vm_ignores_a_stale_peer(self) -> None:
        """Guards against a rollback to the generation of a resumed VM."""
        with (
            running_fleet(_make_plan()) as fleet,
            observing_generations(fleet) as generations,
        ):
            stale, replaced, *others = fleet.plan.zone_by_entry_name
            frozen = fleet.processes_by_name[stale]
            # The response to an open watch, or an offer of a peer, would wait
            # in the socket buffers of the frozen VM and give it the newer
            # generation when it resumes. So its watch ends before the freeze,
            # and its peers declare it dead before the change.
            watching_names = watchers(
                ZONE, tuple(fleet.plan.zone_by_entry_name)
            )
            _cut_off(fleet, [stale], {stale}.intersection(watching_names))
            frozen.signal(signal.SIGSTOP)
            for name in (replaced, *others):
                entry = fleet.processes_by_name[name]
                launcher.wait_until(
                    lambda entry=entry: _find_state(entry, stale) == "dead",
                    f"{name} has declared {stale} dead",
                )
            accept_example(fleet, 1)
            generations.wait(2, _IN_FORCE_LIMIT_S, [replaced, *others])
            fleet.platform.set_faults(down=True)
            fleet.processes_by_name[replaced].kill()
            restarted = fleet.start_entry(replaced)
            # The frozen peer, whose generation is older, responds last.
            launcher.wait_until(
                lambda: _count_alive(restarted) >= 1 + len(others),
                "the other peers are alive in its member list",
            )
            frozen.signal(signal.SIGCONT)
            generations.wait(2, _IN_FORCE_LIMIT_S)


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
    fleet: launcher.Fleet, names: Sequence[str], watching_names: Collection[str]
) -> None:
    """Cuts entry VMs off from the platform; waits for open watches to end."""

    def count_watch_calls(name: str) -> int:
        """Returns the number of watch calls of an entry VM so far."""
        calls = fleet.platform.call("GET", "/calls").json()["by_caller"]
        return int(calls.get(name, {}).get("watch", 0))

    fleet.platform.set_faults(cut_off=list(names))
    # An entry VM has one watch at a time: its next watch call, which the cut
    # holds back, shows that the watch from before the cut has ended.
    before = {name: count_watch_calls(name) for name in watching_names}
    launcher.wait_until(
        lambda: all(
            count_watch_calls(name) > before[name] for name in watching_names
        ),
        "no watch from before the cut is open",
    )


def _accept_concurrently(fleet: launcher.Fleet, base_generation: int) -> list:
    commands = [
        start_cli(
            fleet,
            *("config", "accept", str(EXAMPLE), "--base", str(base_generation)),
            operator=operator,
        )
        for operator in ("amal", "badr")
    ]
    return [finish_cli(command) for command in commands]
