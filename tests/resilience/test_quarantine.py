from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from burdockspan.resilience.quarantine import (
    Strikes,
    Verdict,
    add,
    judge,
    merge,
    prune,
)

_STRIKES = st.dictionaries(
    st.sampled_from("fg"),
    st.dictionaries(
        st.tuples(st.sampled_from("abc"), st.sampled_from("12")),
        st.integers(0, 5).map(float),
    ),
).map(Strikes)


class QuarantineTest(unittest.TestCase):
    def test_verdict_follows_distinct_live_strikes(self) -> None:
        strikes = add(Strikes(), "f", ("e1", "b1"), 10.0)
        strikes = add(strikes, "f", ("e1", "b1"), 12.0)
        self.assertIs(judge(strikes, "f", 5.0), Verdict.SINGLE)
        self.assertIs(judge(strikes, "g", 5.0), Verdict.ALLOW)
        strikes = add(strikes, "f", ("e1", "b2"), 20.0)
        self.assertIs(judge(strikes, "f", 11.0), Verdict.REFUSE)
        self.assertIs(judge(strikes, "f", 12.0), Verdict.SINGLE)
        self.assertIs(judge(strikes, "f", 20.0), Verdict.ALLOW)
        self.assertEqual(prune(strikes, 20.0), Strikes())

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(_STRIKES, _STRIKES, _STRIKES)
    def test_merge_is_a_union(self, a: Strikes, b: Strikes, c: Strikes) -> None:
        # Gossip delivers strikes in any order and more than once.
        self.assertEqual(merge(a, b), merge(b, a))
        self.assertEqual(merge(merge(a, b), c), merge(a, merge(b, c)))
        self.assertEqual(merge(a, a), a)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.lists(st.integers(0, 3), min_size=1, max_size=40))
    def test_one_request_crashes_at_most_two_endpoints_in_sequence(
        self, nodes: list[int]
    ) -> None:
        strikes = [Strikes()] * 4
        crashed = 0
        for number, node in enumerate(nodes):
            if judge(strikes[node], "f", 0.0) is Verdict.REFUSE:
                continue
            crashed += 1
            crash = (f"e{number}", "boot")
            strikes[node] = add(strikes[node], "f", crash, 600.0)
            union = strikes[node]
            strikes = [merge(row, union) for row in strikes]
        self.assertLessEqual(crashed, 2)
