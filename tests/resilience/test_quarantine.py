from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from burdockspan.resilience.quarantine import (
    CrashRecords,
    Decision,
    add,
    decide,
    merge,
    prune,
)

_CRASH_RECORDS = st.dictionaries(
    st.sampled_from("fg"),
    st.dictionaries(
        st.tuples(st.sampled_from("abc"), st.sampled_from("12")),
        st.integers(0, 5).map(float),
    ),
).map(CrashRecords)


class QuarantineTest(unittest.TestCase):
    def test_decision_counts_distinct_unexpired_crashes(self) -> None:
        # Two reports of one crash must not count as two crashes.
        crash_records = add(CrashRecords(), "f", ("e1", "b1"), 10.0)
        crash_records = add(crash_records, "f", ("e1", "b1"), 12.0)
        self.assertIs(decide(crash_records, "f", 5.0), Decision.SINGLE)
        self.assertIs(decide(crash_records, "g", 5.0), Decision.ALLOW)
        crash_records = add(crash_records, "f", ("e1", "b2"), 20.0)
        self.assertIs(decide(crash_records, "f", 11.0), Decision.REFUSE)
        self.assertIs(decide(crash_records, "f", 12.0), Decision.SINGLE)
        self.assertIs(decide(crash_records, "f", 20.0), Decision.ALLOW)
        self.assertEqual(prune(crash_records, 20.0), CrashRecords())

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(_CRASH_RECORDS, _CRASH_RECORDS, _CRASH_RECORDS)
    def test_merge_is_a_union(
        self, a: CrashRecords, b: CrashRecords, c: CrashRecords
    ) -> None:
        # Gossip delivers crash records in any order and repeatedly.
        self.assertEqual(merge(a, b), merge(b, a))
        self.assertEqual(merge(merge(a, b), c), merge(a, merge(b, c)))
        self.assertEqual(merge(a, a), a)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.lists(st.integers(0, 3), min_size=1, max_size=40))
    def test_one_request_crashes_at_most_two_endpoints_in_sequence(
        self, nodes: list[int]
    ) -> None:
        # Guards against a request that crashes one endpoint after another. Each
        # node shares its crash records before the next attempt.
        crash_records = [CrashRecords()] * 4
        crashed = 0
        for number, node in enumerate(nodes):
            if decide(crash_records[node], "f", 0.0) is Decision.REFUSE:
                continue
            crashed += 1
            crash = (f"e{number}", "boot")
            crash_records[node] = add(crash_records[node], "f", crash, 600.0)
            updated = crash_records[node]
            crash_records = [merge(known, updated) for known in crash_records]
        self.assertLessEqual(crashed, 2)
