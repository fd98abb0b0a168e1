"""Estimates of endpoints, from samples on a test clock."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable

from burdockspan.gateway.endpoints.capacity_estimates import (
    CapacitySamples,
    Estimate,
    Sample,
)

_KEYS = (1, 2, 3)
_SLOTS = 8


class TestCapacityEstimates(unittest.TestCase):
    def setUp(self) -> None:
        self.samples = CapacitySamples()
        self.samples.set_present(_KEYS, 0.0)
        self.random = random.Random(7)

    def add(
        self,
        begin_s: float,
        end_s: float,
        pace_by_key: dict[int, Callable[[float], float]],
        per_s: int = 8,
        noise_share: float = 0.15,
    ) -> None:
        """Adds answers of which a share takes 2.5 times as long."""
        for step in range(int(begin_s * per_s), int(end_s * per_s)):
            for key, pace in pace_by_key.items():
                noise = 2.5 if self.random.random() < noise_share else 1.0
                load = self.random.random()
                self.samples.add(
                    key, Sample(pace(load) * noise, load), step / per_s
                )

    def estimate(self, key: int, now_s: float) -> Estimate:
        return self.samples.estimate_group(_KEYS, now_s)[key]

    def test_speeds_are_found_under_noise(self) -> None:
        """Speeds 0.6, 1.0 and 1.6; 15 in 100 answers 2.5 times slower."""
        self.add(
            0.0,
            5.0,
            {
                key: lambda _, speed=speed: 0.02 / speed
                for key, speed in zip(_KEYS, (0.6, 1.0, 1.6), strict=True)
            },
        )
        self.assertAlmostEqual(self.estimate(1, 5.0).speed, 0.6, delta=0.1)
        self.assertEqual(self.estimate(2, 5.0).speed, 1.0)
        self.assertAlmostEqual(self.estimate(3, 5.0).speed, 1.6, delta=0.15)

    def test_noise_alone_moves_no_estimate(self) -> None:
        """Three equal endpoints for a minute, 15 in 100 answers slower."""
        moved = 0
        for end_s in range(1, 61):
            self.add(end_s - 1.0, end_s, dict.fromkeys(_KEYS, lambda _: 0.02))
            moved += sum(
                self.estimate(key, float(end_s)).speed != 1.0 for key in _KEYS
            )
        self.assertEqual(moved, 0)

    def test_slowdown_at_half_the_places_is_a_knee(self) -> None:
        """One endpoint answers twice as slowly from half of its places."""
        self.add(
            0.0,
            5.0,
            {
                1: lambda load: 0.06 if load < 0.5 else 0.12,
                2: lambda _: 0.06,
                3: lambda _: 0.06,
            },
        )
        self.assertEqual(self.estimate(1, 5.0).knee, 0.5)
        self.assertEqual(self.estimate(1, 5.0).speed, 1.0)
        self.assertEqual(self.estimate(2, 5.0).knee, 1.0)

    def test_halved_speed_is_followed_and_its_return(self) -> None:
        """A speed that halves at 5 s and comes back at 12 s."""
        usual = dict.fromkeys(_KEYS, lambda _: 0.02)
        halved = {**usual, 1: lambda _: 0.04}
        self.add(0.0, 5.0, usual)
        self.add(5.0, 8.0, halved)
        self.assertLess(self.estimate(1, 8.0).speed, 0.7)
        self.add(8.0, 12.0, halved)
        self.add(12.0, 15.0, usual)
        self.assertEqual(self.estimate(1, 15.0).speed, 1.0)

    def test_work_without_a_duration_is_left_out(self) -> None:
        """Guards against a division by the median of paces of 0."""
        self.add(0.0, 5.0, dict.fromkeys(_KEYS, lambda load: float(load > 0.3)))
        self.assertGreater(self.estimate(1, 5.0).speed, 0.0)

    def test_copy_is_not_changed_by_later_samples(self) -> None:
        """Guards against estimates that block, or race with, new samples."""
        self.add(0.0, 5.0, dict.fromkeys(_KEYS, lambda _: 0.02))
        copied = self.samples.copy()
        before = copied.estimate_group(_KEYS, 8.0)
        self.add(5.0, 8.0, {1: lambda _: 0.09})
        self.assertEqual(copied.estimate_group(_KEYS, 8.0), before)
        self.assertNotEqual(self.estimate(1, 8.0), before[1])

    def test_new_endpoint_begins_at_the_median_and_ramps(self) -> None:
        """An endpoint restarts as another incarnation beside a fast one."""
        self.add(
            0.0, 5.0, {1: lambda _: 0.01, 2: lambda _: 0.02, 3: lambda _: 0.02}
        )
        self.samples.set_present((1, 2, 4), 5.0)
        ramps = [
            self.samples.estimate_group((1, 2, 4), now_s)[4]
            for now_s in (5.0, 7.0, 9.0)
        ]
        self.assertEqual([estimate.speed for estimate in ramps], [1.0] * 3)
        self.assertEqual([estimate.ramp for estimate in ramps], [0.5, 0.75, 1])

    def test_estimate_returns_to_the_median_without_samples(self) -> None:
        """No sample for 10 s, as while nobody chooses a slow endpoint."""
        self.add(
            0.0, 5.0, {1: lambda _: 0.04, 2: lambda _: 0.02, 3: lambda _: 0.02}
        )
        speeds = [self.estimate(1, now_s).speed for now_s in (5.0, 10.0, 15.0)]
        self.assertEqual(speeds, sorted(speeds))
        self.assertLess(speeds[0], 0.6)
        self.assertEqual(speeds[2], 1.0)
        self.assertEqual(self.estimate(1, 15.0).confidence, 0.0)
