from __future__ import annotations

import unittest

from burdockspan.configuration.document import Configuration, Distance
from burdockspan.node.catalog import is_same_region, make_catalog


class RegionTest(unittest.TestCase):
    def test_region_ends_where_no_delay_is_known(self) -> None:
        """Guards against calls to endpoints of another region as if near."""
        catalog = make_catalog(
            Configuration(1, "t", distances=(Distance("a", "b", 1.5),))
        )
        self.assertTrue(is_same_region(catalog, "a", "b"))
        self.assertTrue(is_same_region(catalog, "b", "a"))
        self.assertTrue(is_same_region(catalog, "c", "c"))
        self.assertFalse(is_same_region(catalog, "a", "c"))

    def test_zones_without_any_delay_are_one_region(self) -> None:
        catalog = make_catalog(Configuration(1, "t"))
        self.assertTrue(is_same_region(catalog, "a", "b"))
