from __future__ import annotations

import unittest

from bench.capacity_calls import measure_placement
from bench.capacity_documents import make_vm_list
from bench.node_cost import make_configuration
from burdockspan.object_api.vms import make_fleet


class CapacityTest(unittest.TestCase):
    def test_vm_list_holds_endpoints_of_the_configuration(self) -> None:
        """Guards against the cost of a list of which all VMs are ignored."""
        fleet = make_fleet(make_vm_list(9), make_configuration(1))
        self.assertEqual(fleet.problems, ())
        self.assertEqual(len(fleet.endpoints), 6)

    def test_placement_is_measured_for_placed_submissions_only(self) -> None:
        """Guards against the cost of a refusal in place of a placement."""
        self.assertGreater(measure_placement(20), 0.0)
        with self.assertRaises(RuntimeError):
            measure_placement(0)


if __name__ == "__main__":
    unittest.main()
