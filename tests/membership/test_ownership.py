from __future__ import annotations

import unittest

from burdockspan.membership import ownership

_VMS = tuple(f"entry-{number}" for number in range(10))
_NAMES = tuple(f"endpoint-{number}" for number in range(2000))


class OwnershipTest(unittest.TestCase):
    def test_ownership_is_the_same_for_every_order_of_vms(self) -> None:
        # Otherwise nodes would disagree on the owner of an endpoint or pool.
        for name in _NAMES[:50]:
            order = ownership.rank(name, _VMS)
            self.assertEqual(ownership.rank(name, reversed(_VMS)), order)
            self.assertEqual(ownership.owner_of(name, _VMS), order[0])
        self.assertIsNone(ownership.owner_of("name", ()))

    def test_ownership_moves_only_the_names_of_a_lost_vm(self) -> None:
        # After a death, only the dead VM's endpoints get a new owner.
        for name in _NAMES:
            before = ownership.owner_of(name, _VMS)
            after = ownership.owner_of(name, _VMS[1:])
            if before != _VMS[0]:
                self.assertEqual(after, before)

    def test_ownership_is_evenly_distributed(self) -> None:
        counts = dict.fromkeys(_VMS, 0)
        for name in _NAMES:
            counts[ownership.owner_of(name, _VMS) or ""] += 1
        # The expected count is 200 with a standard deviation of 13.4; the bound
        # is five standard deviations.
        for count in counts.values():
            self.assertAlmostEqual(count, 200, delta=67)

    def test_ownership_gives_a_zone_two_watchers(self) -> None:
        first, second = ownership.watchers("zone", _VMS)
        others = tuple(vm for vm in _VMS if vm != first)
        self.assertIn(second, ownership.watchers("zone", others))
        self.assertEqual(ownership.watchers("zone", _VMS[:1]), _VMS[:1])
