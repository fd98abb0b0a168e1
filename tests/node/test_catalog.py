from __future__ import annotations

import unittest

from burdockspan.configuration.document import Configuration, Distance
from burdockspan.node.catalog import is_same_region, make_catalog


class RegionTest(unittest.TestCase):
    def test_zones_without_a_delay_between_them_are_in_two_regions(
        self,
    ) -> None:
        """Guards against calls to endpoints of another region."""
        catalog = make_catalog(
            Configuration(1, "t", distances=(Distance("a", "b", 1.5),))
        )
        self.assertTrue(is_same_region(catalog, "a", "b"))
        self.assertTrue(is_same_region(catalog, "b", "a"))
        self.assertTrue(is_same_region(catalog, "c", "c"))
        self.assertFalse(is_same_region(catalog, "a", "c"))

    def test_configuration_without_delays_has_one_region(self) -> None:
        """Guards against unused endpoints of other zones."""
        catalog = make_catalog(Configuration(1, "t"))
        self.assertTrue(is_same_region(catalog, "a", "b"))
