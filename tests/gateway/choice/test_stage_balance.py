"""Changes of idle prefill engines to decoding.

Guards against bursts that fill the decode memory beside idle prefill engines.
The load is that of a deployment with nine model engines, four of which prefill.
Usually nine generations of 5,200 tokens arrive a second, and bursts double that
for some seconds. Decode memory is full then, while the prefill engines are busy
for a quarter of the time.
"""

from __future__ import annotations

import math
import random
import unittest

from burdockspan.gateway.choice import stages
from burdockspan.gateway.choice.stages import (
    Demand,
    DemandMeter,
    PromptMeasurement,
)
from burdockspan.gateway.values import Endpoint, Stage

_ENGINE_TOKENS_PER_S = 48_800.0
# Share of the prompts that find no decode memory in such a burst.
_SHORTAGE = 0.2


def _engines(count: int) -> list[Endpoint]:
    return [
        Endpoint(
            id=f"i-{number}",
            started_ms=1,
            service="llm",
            address=f"10.0.0.{number}:80",
            zone=f"zone-{number % 3}",
            leaving=False,
            slots=64,
            stage=Stage.PREFILL,
        )
        for number in range(count)
    ]


class TestStageBalance(unittest.TestCase):
    def test_idle_prefill_engines_are_chosen(self) -> None:
        """Guards against full decode memory beside idle prefill engines."""
        chosen = stages.choose_engines_to_decode(
            _engines(4), Demand(47_000.0, _ENGINE_TOKENS_PER_S, _SHORTAGE)
        )
        self.assertEqual(len(chosen), 2)
        self.assertEqual(chosen[0].zone, "zone-0")

    def test_prefill_engines_cover_bursts_while_memory_suffices(self) -> None:
        """Guards against prompts that queue while decode memory is free.

        In a deployment with 78 engines, 14 of 28 prefill engines were changed
        to decoding. Prompts then queued in bursts of single zones: the first
        event of one generation in eleven was late, and decode memory was free.
        """
        demand = Demand(248_000.0, 38_400.0, 0.02)
        chosen = stages.choose_engines_to_decode(_engines(28), demand)
        capacity = (28 - len(chosen)) * demand.engine_tokens_per_s
        self.assertGreater(capacity, 2.5 * demand.tokens_per_s)

    def test_shortage_is_the_share_of_prompts_without_memory(self) -> None:
        """Guards against a shortage that the fleet does not notice."""
        now_s = [0.0]
        meters = [DemandMeter(lambda: now_s[0]) for _ in range(26)]
        for number in range(130):
            meter = meters[number % 26]
            meter.record_prompt("llm", 5_000)
            if number % 10 == 0:
                meter.record_without_memory("llm")
            now_s[0] += 0.05
        demand = stages.combine_measurements(
            [meter.measure().get("llm") for meter in meters]
        )
        self.assertAlmostEqual(demand.shortage, 0.1)
        now_s[0] += 30.0
        for meter in meters:
            self.assertEqual(meter.measure(), {})

    def test_small_pool_keeps_two_prefill_engines(self) -> None:
        """Guards against prompts that queue at a single prefill engine."""
        demand = Demand(5.2 * 5_200, _ENGINE_TOKENS_PER_S)
        self.assertEqual(
            stages.choose_engines_to_decode(_engines(2), demand), ()
        )

    def test_busy_prefill_engines_are_not_chosen(self) -> None:
        """Guards against prompts that queue in the next burst."""
        demand = Demand(80_000.0, _ENGINE_TOKENS_PER_S)
        self.assertEqual(
            stages.choose_engines_to_decode(_engines(3), demand), ()
        )

    def test_at_most_half_of_a_pool_changes_at_a_time(self) -> None:
        """Guards against a measurement error that empties a pool."""
        chosen = stages.choose_engines_to_decode(
            _engines(24), Demand(1.0, _ENGINE_TOKENS_PER_S)
        )
        self.assertEqual(len(chosen), 12)

    def test_replacement_of_an_engine_is_no_surplus(self) -> None:
        """Guards against a rollout that leaves a single prefill engine."""
        demand = Demand(1.0, _ENGINE_TOKENS_PER_S)
        settled_engines = stages.SettledEngines()
        previous, with_new_engine = _engines(2), _engines(3)
        self.assertEqual(settled_engines.update("llm", previous), ())
        for present in (with_new_engine, previous):
            engines = settled_engines.update("llm", present)
            self.assertEqual(
                stages.choose_engines_to_decode(engines, demand), ()
            )

    def test_unknown_demand_changes_nothing(self) -> None:
        """Guards against orders while the load or prefill rate is unknown."""
        for demand in (
            Demand(0.0, _ENGINE_TOKENS_PER_S),
            Demand(47_000.0, 0.0),
        ):
            self.assertEqual(
                stages.choose_engines_to_decode(_engines(4), demand), ()
            )

    def test_vms_without_a_measurement_count_as_average(self) -> None:
        """Guards against restarted VMs that lower the measured demand."""
        measured = PromptMeasurement(120_000, 10.0, 25, 0, _ENGINE_TOKENS_PER_S)
        complete = stages.combine_measurements([measured] * 4)
        self.assertEqual(complete, Demand(48_000.0, _ENGINE_TOKENS_PER_S))
        self.assertEqual(
            stages.combine_measurements([measured, measured, None, None]),
            complete,
        )

    def test_few_measurements_give_no_demand(self) -> None:
        """Guards against orders that a few prompts or VMs decide."""
        few_prompts = PromptMeasurement(20_000, 3.0, 5, 0, _ENGINE_TOKENS_PER_S)
        many_prompts = PromptMeasurement(
            120_000, 9.0, 25, 0, _ENGINE_TOKENS_PER_S
        )
        for measurements in (
            [],
            [None, None],
            [few_prompts] * 4,
            [many_prompts] + [None] * 4,
        ):
            demand = stages.combine_measurements(measurements)
            self.assertEqual(demand.tokens_per_s, 0.0)

    def test_demand_of_a_large_fleet_is_known_within_seconds(self) -> None:
        """Guards against idle prefill engines in a fleet of many VMs.

        Each of the VMs receives less than one prompt a second, so that none of
        them can measure a rate by itself before a burst fills the memory.
        """
        now_s = [0.0]
        for vm_count in (4, 26, 78, 300):
            with self.subTest(vm_count=vm_count):
                now_s[0] = 0.0
                meters = [
                    DemandMeter(lambda: now_s[0]) for _ in range(vm_count)
                ]
                prompt_rate = max(20.0, 0.75 * vm_count)
                random_vms = random.Random(vm_count)
                for number in range(int(4 * prompt_rate)):
                    now_s[0] = number / prompt_rate
                    meter = random_vms.choice(meters)
                    meter.record_prompt("llm", 5_000)
                    meter.record_prefill("llm", 5_000, 0.1)
                now_s[0] = 4.0
                demand = stages.combine_measurements(
                    [meter.measure().get("llm") for meter in meters]
                )
                self.assertAlmostEqual(
                    demand.tokens_per_s / (prompt_rate * 5_000), 1.0, delta=0.3
                )
                self.assertEqual(demand.engine_tokens_per_s, 50_000.0)

    def test_measurement_covers_bursts_and_lulls(self) -> None:
        """Guards against a burst that is mistaken for the usual load."""
        now_s = [0.0]
        meter = DemandMeter(lambda: now_s[0])
        self.assertEqual(meter.measure(), {})
        for second in range(20):
            now_s[0] = float(second)
            for _ in range(20 if 8 <= second < 12 else 10):
                meter.record_prompt("llm", 5_000)
                meter.record_prefill("llm", 5_000, 0.1)
        demand = stages.combine_measurements([meter.measure()["llm"]])
        self.assertAlmostEqual(demand.tokens_per_s, 63_158, delta=3_500)
        self.assertEqual(demand.engine_tokens_per_s, 50_000.0)

    def test_malformed_demand_is_ignored(self) -> None:
        """Guards against a malformed object that stops the measurement."""
        for value in (None, 3, "x", [1]):
            self.assertEqual(stages.decode_measurements(value), {})
        malformed = {"a": [1], "b": "x", "c": [1, 2, 3, 4, math.nan]}
        self.assertEqual(stages.decode_measurements(malformed), {})
        measurements = {"llm": PromptMeasurement(1, 2.5, 3, 2, 4.5)}
        self.assertEqual(
            stages.decode_measurements(
                stages.encode_measurements(measurements)
            ),
            measurements,
        )
