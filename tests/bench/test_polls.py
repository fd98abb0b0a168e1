from __future__ import annotations

import unittest

from bench import polls


class PollsTest(unittest.TestCase):
    def test_nodes_receive_reports_of_all_endpoints(self) -> None:
        """Guards against endpoints of a service that does not exist."""
        cost = polls.measure(4, seed=1)
        self.assertGreater(cost.polls_per_s, 0.0)
        self.assertEqual(cost.usable_share, 1.0)


if __name__ == "__main__":
    unittest.main()
