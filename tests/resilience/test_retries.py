from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from burdockspan.resilience.retries import earn, make_budget, spend


class RetriesTest(unittest.TestCase):
    def test_exhausted_budget_reports_time_since_last_retry(self) -> None:
        budget = spend(make_budget(0.1, 1), 5.0).unwrap()
        self.assertEqual(
            spend(budget, 7.0).unwrap_err().since_last_retry_s, 2.0
        )

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(st.booleans(), max_size=300),
        st.floats(0.0, 0.5),
        st.integers(0, 20),
    )
    def test_retries_stay_within_ratio_and_burst(
        self, accepted: list[bool], ratio: float, burst: int
    ) -> None:
        # Retries during a fault must not multiply the load.
        budget, calls, retries = make_budget(ratio, burst), 0, 0
        for is_call in accepted:
            if is_call:
                budget, calls = earn(budget), calls + 1
                continue
            outcome = spend(budget, 0.0)
            if outcome.is_ok():
                budget, retries = outcome.unwrap(), retries + 1
            self.assertLessEqual(retries, ratio * calls + burst + 1e-6)
            self.assertTrue(0.0 <= budget.tokens <= burst)
