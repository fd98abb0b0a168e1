from __future__ import annotations

import random
import unittest

from burdockspan.node.platform_reader import (
    initial_elapsed_s,
    poll_interval_s,
    read_interval_s,
)

_VM_BYTES = 140
_BUDGET_BYTES_PER_S = 29_000


class ReadIntervalTest(unittest.TestCase):
    def test_long_list_is_read_within_the_budget_of_a_watcher(self) -> None:
        # Read each second, a list of 1,010 VMs cost a watcher 158 KB/s.
        for listed in (100, 1_010, 5_000):
            rate = listed * _VM_BYTES / read_interval_s(True, listed)
            self.assertLess(rate, _BUDGET_BYTES_PER_S / 3)

    def test_short_list_or_failed_read_is_followed_each_second(self) -> None:
        # A longer wait after a failure would delay the list after an outage.
        self.assertEqual(read_interval_s(True, 0), 1.0)
        self.assertEqual(read_interval_s(True, 50), 1.0)


class AskIntervalTest(unittest.TestCase):
    def test_small_zone_asks_within_the_time_of_a_change(self) -> None:
        # P8 leaves 6 s where the watchers alone are cut off from the platform.
        for zone_vms in (1, 2, 4, 10):
            self.assertEqual(poll_interval_s(zone_vms), 3.0)

    def test_questions_of_a_zone_do_not_grow_with_its_vms(self) -> None:
        # 350 VMs that asked every 3 s made as many calls as a watch on each.
        for zone_vms in (50, 100, 350):
            rate = (zone_vms - 2) / poll_interval_s(zone_vms)
            self.assertLessEqual(rate, 8 / 3 + 1e-9)


class FirstWaitTest(unittest.TestCase):
    def test_processes_that_start_together_read_at_different_times(
        self,
    ) -> None:
        # 336 VMs that started together made 459 calls in one second.
        draw = random.Random(1).random
        waits = sorted(initial_elapsed_s(draw) for _ in range(336))
        interval_s = read_interval_s(False, 0)
        within = [
            sum(start <= wait < start + 1.0 for wait in waits)
            for start in range(int(interval_s))
        ]
        self.assertLess(max(within), 336 / interval_s * 3)


if __name__ == "__main__":
    unittest.main()
