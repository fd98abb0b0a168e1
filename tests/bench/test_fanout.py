from __future__ import annotations

import unittest

from bench.fanout_run import measure
from bench.fanout_vm import DistributionMethod

_SIZE = 14
_PROMISED_S = 6.0


class FanOutTest(unittest.TestCase):
    def test_same_seed_gives_the_same_figures(self) -> None:
        # Figures of a run that cannot be repeated prove nothing.
        task = (DistributionMethod.FAN_OUT, 7, 3)
        self.assertEqual(measure(task), measure(task))

    def test_zone_that_is_cut_off_hears_of_a_change_from_peers(self) -> None:
        # With a watch per VM it hears nothing until the cut heals.
        fan_out = measure((DistributionMethod.FAN_OUT, _SIZE, 1))
        self.assertLess(max(fan_out.cut_zone_s), _PROMISED_S)
        watch_each = measure((DistributionMethod.WATCH_PER_VM, _SIZE, 1))
        self.assertGreater(max(watch_each.cut_zone_s), _PROMISED_S)

    def test_change_is_in_force_in_time_when_slow_or_after_an_outage(
        self,
    ) -> None:
        # The backoff of the watch must leave time within the 6 s of P8.
        figures = measure((DistributionMethod.FAN_OUT, _SIZE, 2))
        for seconds in (*figures.slow_s, figures.return_s):
            self.assertLess(seconds, _PROMISED_S)


if __name__ == "__main__":
    unittest.main()
