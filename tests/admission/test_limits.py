from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from burdockspan.admission.limits import (
    make_bucket,
    share_limit,
    spend,
)
from burdockspan.configuration.document import Client


class LimitsTest(unittest.TestCase):
    def test_bucket_refuses_with_the_time_of_the_next_token(self) -> None:
        limit = share_limit(Client("c", "", 8.0, 4), 4)
        bucket = spend(make_bucket(limit, 0.0), limit, 0.0).unwrap()
        refusal = spend(bucket, limit, 0.25).unwrap_err()
        self.assertEqual(refusal.status, 429)
        self.assertEqual(refusal.retry_after_s, 0.25)
        self.assertTrue(spend(bucket, limit, 0.5).is_ok())

    def test_zero_rate_gives_no_retry_after(self) -> None:
        # The bucket is never refilled, so no retry can succeed.
        limit = share_limit(Client("c", "", 0.0, 1), 1)
        bucket = spend(make_bucket(limit, 0.0), limit, 0.0).unwrap()
        self.assertIsNone(spend(bucket, limit, 9.0).unwrap_err().retry_after_s)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(st.floats(0.0, 0.5), min_size=1, max_size=200),
        st.floats(0.1, 50.0),
        st.integers(1, 20),
        st.integers(0, 8),
    )
    def test_bucket_never_passes_rate_and_burst(
        self, gaps: list[float], rate: float, burst: int, vms: int
    ) -> None:
        # Without the bound, one client account could crowd out the others.
        limit = share_limit(Client("c", "", rate, burst), vms)
        bucket, now_s, passed = make_bucket(limit, 0.0), 0.0, 0
        for gap in gaps:
            now_s += gap
            outcome = spend(bucket, limit, now_s)
            if outcome.is_ok():
                bucket, passed = outcome.unwrap(), passed + 1
        allowed = limit.burst + limit.requests_per_s * now_s
        self.assertLessEqual(passed, allowed + 1e-6)
