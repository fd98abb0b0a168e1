"""Schedules of the soak."""

from __future__ import annotations

import unittest

from soak.schedule import Action, make_schedule

_SECONDS = 60.0
_SEEDS = range(20)
_ALL_OPTIONS = (True,) * 4


class ScheduleTest(unittest.TestCase):
    def test_seed_repeats_its_schedule(self) -> None:
        """Guards against failures that their seed does not play again."""
        for seed in _SEEDS:
            self.assertEqual(
                make_schedule(seed, _SECONDS), make_schedule(seed, _SECONDS)
            )
        self.assertNotEqual(
            make_schedule(1, _SECONDS), make_schedule(2, _SECONDS)
        )

    def test_seed_keeps_its_faults_beside_those_of_streams(self) -> None:
        """Guards against seeds that no longer play what once failed."""
        for seed in _SEEDS:
            usual = make_schedule(seed, _SECONDS)
            more = make_schedule(seed, _SECONDS, *_ALL_OPTIONS)
            self.assertEqual(
                [fault for fault in more if fault in usual], [*usual]
            )

    def test_some_seed_plays_each_fault(self) -> None:
        """Guards against faults that are never played."""
        played = {
            fault.action
            for seed in _SEEDS
            for fault in make_schedule(seed, _SECONDS, *_ALL_OPTIONS)
        }
        self.assertEqual(played, set(Action))


if __name__ == "__main__":
    unittest.main()
