"""Bursts that overrun decode memory while prefill engines are idle.

The load is that of the larger deployment of today: nine model engines, four of
which read prompts; a calm second brings nine generations of 5,200 tokens, and
bursts double that for some seconds. Decode memory is full then, while prefill
engines are busy for a quarter of the time.
"""

from __future__ import annotations

import unittest

from burdockspan.gateway import stages
from burdockspan.gateway.stages import Demand, DemandMeter
from burdockspan.gateway.values import Endpoint, Stage

_SPEED = 48_800.0


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
    def test_idle_prefill_engines_decode(self) -> None:
        """Guards against full decode memory beside idle prefill engines."""
        chosen = stages.choose_engines_to_decode(
            _engines(4), Demand(47_000.0, _SPEED)
        )
        self.assertEqual(len(chosen), 2)
        self.assertEqual(chosen[0].zone, "zone-0")

    def test_small_pool_keeps_two_prefill_engines(self) -> None:
        """Guards against prompts that wait behind a single prefill engine."""
        demand = Demand(5.2 * 5_200, _SPEED)
        self.assertEqual(
            stages.choose_engines_to_decode(_engines(2), demand), ()
        )

    def test_busy_prefill_engines_stay(self) -> None:
        """Guards against prompts that queue in the next burst."""
        demand = Demand(80_000.0, _SPEED)
        self.assertEqual(
            stages.choose_engines_to_decode(_engines(3), demand), ()
        )

    def test_large_pool_changes_a_half_at_a_time(self) -> None:
        """Guards against an error of the measurement that empties a pool."""
        chosen = stages.choose_engines_to_decode(
            _engines(24), Demand(1.0, _SPEED)
        )
        self.assertEqual(len(chosen), 12)

    def test_engine_that_replaces_another_is_none_to_give_away(self) -> None:
        """Guards against a release that leaves a single prefill engine."""
        demand = Demand(1.0, _SPEED)
        settled = stages.SettledEngines()
        old, both = _engines(2), _engines(3)
        self.assertEqual(settled.update("llm", old), ())
        for now in (both, old):
            found = settled.update("llm", now)
            self.assertEqual(stages.choose_engines_to_decode(found, demand), ())

    def test_unknown_load_changes_nothing(self) -> None:
        """Guards against orders before there was any traffic."""
        for demand in (Demand(0.0, _SPEED), Demand(47_000.0, 0.0)):
            self.assertEqual(
                stages.choose_engines_to_decode(_engines(4), demand), ()
            )

    def test_vms_without_a_measurement_count_as_average(self) -> None:
        """Guards against restarted VMs that make the load look small."""
        whole = stages.combine_demands([Demand(12_000.0, _SPEED)] * 4)
        partial = stages.combine_demands(
            [Demand(12_000.0, _SPEED)] * 2 + [None, Demand(0.0, 0.0)]
        )
        self.assertEqual(partial, whole)
        few = stages.combine_demands([Demand(12_000.0, _SPEED), None, None])
        self.assertEqual(few.tokens_per_s, 0.0)

    def test_meter_sees_bursts_and_lulls_alike(self) -> None:
        """Guards against a burst that is taken for the usual load."""
        now = [0.0]
        meter = DemandMeter(lambda: now[0])
        self.assertIsNone(meter.measure())
        for second in range(20):
            now[0] = float(second)
            for _ in range(20 if 8 <= second < 12 else 10):
                meter.record_prompt("llm", 5_000)
                meter.record_prefill("llm", 5_000, 0.1)
        demand = (meter.measure() or {})["llm"]
        self.assertAlmostEqual(demand.tokens_per_s, 63_158, delta=3_500)
        self.assertEqual(demand.engine_tokens_per_s, 50_000.0)

    def test_demand_of_another_writer_is_ignored(self) -> None:
        """Guards against objects with unexpected contents."""
        for value in (None, 3, "x", [1]):
            self.assertIsNone(stages.decode_demands(value))
        self.assertEqual(stages.decode_demands({"a": [1], "b": "x"}), {})
        demands = {"llm": Demand(1.5, 2.5)}
        self.assertEqual(
            stages.decode_demands(stages.encode_demands(demands)), demands
        )
