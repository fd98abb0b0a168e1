from __future__ import annotations

import unittest

from burdockspan.admission.forecast import (
    Rate,
    Supply,
    make_forecast,
    rate_per_s,
    record_amount,
)
from burdockspan.admission.queue import WaitingCall
from burdockspan.configuration.document import Service
from burdockspan.values.submission import Priority


class ForecastTest(unittest.TestCase):
    def test_rate_converges_and_decays(self) -> None:
        rate = Rate()
        for step in range(600):
            rate = record_amount(rate, 2.0, step * 0.1)
        self.assertAlmostEqual(rate_per_s(rate, 60.0), 20.0, delta=0.5)
        self.assertLess(rate_per_s(rate, 120.0), 0.01)

    def test_young_rate_is_scaled_up(self) -> None:
        # Otherwise a node that has just become the owner of a pool would
        # expect long waits and refuse calls that it could serve.
        rate = Rate(updated_s=10.0, started_s=10.0)
        for step in range(1, 11):
            rate = record_amount(rate, 2.0, 10.0 + step * 0.1)
        self.assertAlmostEqual(rate_per_s(rate, 11.0), 20.0, delta=2.0)

    def test_patient_waits_behind_urgent_and_keeps_its_share(self) -> None:
        waiting = {
            "u": WaitingCall("u", Priority.URGENT, 3, 0.0, 9.0, 9.0),
            "p": WaitingCall("p", Priority.PATIENT, 2, 0.0, 9.0, 9.0),
        }
        forecast = make_forecast(
            waiting, Service("s"), Supply(0, 10.0, 20.0, 0.0), 0.1
        )
        self.assertAlmostEqual(forecast.urgent_wait_s, 0.4)
        # Urgent calls arrive faster than memory is released, so patient calls
        # get only their guaranteed tenth.
        self.assertAlmostEqual(forecast.patient_wait_s, 6.0)
