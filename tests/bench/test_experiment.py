from __future__ import annotations

import unittest

from bench.experiment import run_and_measure
from bench.figures import Figures
from bench.run import RunParameters
from bench.variants import CHOSEN, Variant
from bench.workload import RIJKSBUREAU


def _run(variant: Variant, faults: bool, load: float = 1.0) -> Figures:
    return run_and_measure(
        RunParameters(RIJKSBUREAU, variant, load, faults, 1, 30.0)
    )


class ExperimentTest(unittest.TestCase):
    def test_same_seed_gives_the_same_figures(self) -> None:
        """Guards against randomness that the seed does not determine."""
        self.assertEqual(_run(CHOSEN, True), _run(CHOSEN, True))

    def test_chosen_policy_wastes_no_prefill_without_faults(self) -> None:
        """Guards against unused prefills and late urgent calls in overload."""
        figures = _run(CHOSEN, False, 2.0)
        self.assertLessEqual(figures.wasted_share, 0.01)
        self.assertGreaterEqual(figures.urgent_share, 0.95)

    def test_killed_vms_waste_at_most_the_tokens_of_their_attempts(
        self,
    ) -> None:
        """Guards against failures that waste the prefills of other VMs."""
        figures = _run(CHOSEN, True)
        self.assertGreater(figures.held_tokens, 0)
        self.assertLessEqual(figures.wasted_tokens, figures.held_tokens)
