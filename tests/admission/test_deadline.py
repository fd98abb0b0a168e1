from __future__ import annotations

import unittest

from burdockspan.admission import deadline
from burdockspan.values.submission import Priority


class DeadlineTest(unittest.TestCase):
    def test_service_time_adds_its_parts(self) -> None:
        forecast = deadline.Forecast(
            overhead_s=0.5,
            prefill_s_per_token=0.25,
            transfer_s_per_token=0.25,
            token_gap_s=2.0,
        )
        self.assertEqual(deadline.service_time_s(forecast, 10, 3), 11.5)

    def test_wait_counts_only_what_exceeds_free_memory(self) -> None:
        forecast = deadline.Forecast(pieces_per_s=2.0, free_pieces=4)
        self.assertEqual(deadline.wait_behind_s(forecast, 4), 0.0)
        self.assertEqual(deadline.wait_behind_s(forecast, 10), 3.0)
        # While its rate is unknown, a new process must admit its first calls.
        self.assertEqual(deadline.wait_behind_s(deadline.Forecast(), 9), 0.0)

    def test_wait_depends_on_the_priority(self) -> None:
        forecast = deadline.Forecast(urgent_wait_s=1.0, patient_wait_s=2.0)
        self.assertEqual(deadline.wait_s(forecast, Priority.URGENT), 1.0)
        self.assertEqual(deadline.wait_s(forecast, Priority.PATIENT), 2.0)

    def test_retry_after_is_bounded(self) -> None:
        # Callers must neither retry before newer load reports have arrived nor
        # be kept away for long by a high estimate.
        for excess_s, retry_s in ((0.01, 1.0), (7.5, 7.5), (900.0, 60.0)):
            self.assertEqual(deadline.retry_after_s(excess_s), retry_s)
