"""Changes of idle prefill engines to decoding.

Guards against bursts that fill the decode memory beside idle prefill engines.
The load is that of a deployment with nine model engines, four of which prefill.
Usually nine generations of 5,200 tokens arrive a second, and bursts double that
for some seconds. Decode memory is full then, while the prefill engines are busy
for a quarter of the time.
"""

from __future__ import annotations

import unittest

from burdockspan.gateway import stages
from burdockspan.gateway.stages import Demand, DemandMeter
from burdockspan.gateway.values import Endpoint, Stage

_ENGINE_TOKENS_PER_S = 48_800.0


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
            _engines(4), Demand(47_000.0, _ENGINE_TOKENS_PER_S)
        )
        self.assertEqual(len(chosen), 2)
        self.assertEqual(chosen[0].zone, "zone-0")

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
        complete = stages.combine_demands(
            [Demand(12_000.0, _ENGINE_TOKENS_PER_S)] * 4
        )
        partial = stages.combine_demands(
            [Demand(12_000.0, _ENGINE_TOKENS_PER_S)] * 2
            + [None, Demand(0.0, 0.0)]
        )
        self.assertEqual(partial, complete)
        single_measurement = stages.combine_demands(
            [Demand(12_000.0, _ENGINE_TOKENS_PER_S), None, None]
        )
        self.assertEqual(single_measurement.tokens_per_s, 0.0)

    def test_measurement_covers_bursts_and_lulls(self) -> None:
        """Guards against a burst that is mistaken for the usual load."""
        now_s = [0.0]
        meter = DemandMeter(lambda: now_s[0])
        self.assertIsNone(meter.measure())
        for second in range(20):
            now_s[0] = float(second)
            for _ in range(20 if 8 <= second < 12 else 10):
                meter.record_prompt("llm", 5_000)
                meter.record_prefill("llm", 5_000, 0.1)
        demand = (meter.measure() or {})["llm"]
        self.assertAlmostEqual(demand.tokens_per_s, 63_158, delta=3_500)
        self.assertEqual(demand.engine_tokens_per_s, 50_000.0)

    def test_malformed_demand_is_ignored(self) -> None:
        """Guards against a malformed object that stops the measurement."""
        for value in (None, 3, "x", [1]):
            self.assertIsNone(stages.decode_demands(value))
        self.assertEqual(stages.decode_demands({"a": [1], "b": "x"}), {})
        demands = {"llm": Demand(1.5, 2.5)}
        self.assertEqual(
            stages.decode_demands(stages.encode_demands(demands)), demands
        )
