from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from burdockspan.resilience.breaker import (
    BreakerState,
    Phase,
    allows,
    median_latency_s,
    record,
    record_sent,
)


def _fail(state: BreakerState, times: int, now_s: float) -> BreakerState:
    for _ in range(times):
        state = record(state, False, 0.0, now_s)
    return state


class BreakerTest(unittest.TestCase):
    def test_opens_only_after_consecutive_failures(self) -> None:
        # Single failures among many calls must not block an endpoint.
        state = _fail(BreakerState(), 2, 1.0)
        state = record(state, True, 0.1, 1.0)
        state = _fail(state, 2, 1.0)
        self.assertTrue(allows(state, 1.0))
        state = _fail(state, 1, 1.0)
        self.assertIs(state.phase, Phase.OPEN)
        self.assertFalse(allows(state, 1.5))

    def test_half_open_allows_one_probe(self) -> None:
        state = _fail(BreakerState(), 3, 0.0)
        self.assertTrue(allows(state, 1.0))
        probing = record_sent(state, 1.0)
        self.assertFalse(allows(probing, 1.1))
        # A probe without a result must not block the endpoint for ever.
        self.assertTrue(allows(probing, 11.0))
        reopened = record(probing, False, 0.0, 1.2)
        self.assertFalse(allows(reopened, 3.1))
        self.assertTrue(allows(reopened, 3.2))

    def test_opens_when_slower_than_its_peers(self) -> None:
        # A degraded endpoint may be slow without failing a single call.
        peers = [BreakerState(latency_s=0.1 * n, samples=10) for n in (1, 2)]
        median = median_latency_s(peers)
        self.assertIsNone(median_latency_s([BreakerState(samples=1)]))
        state = BreakerState()
        for _ in range(10):
            state = record(state, True, 1.0, 1.0, median)
        self.assertIs(state.phase, Phase.OPEN)
        slow = record(record_sent(state, 3.0), True, 1.0, 3.0, median)
        self.assertIs(slow.phase, Phase.OPEN)

    def test_stays_closed_when_the_whole_pool_is_slow(self) -> None:
        # Load that slows down all engines must not block the whole pool.
        state = BreakerState()
        for _ in range(50):
            state = record(state, True, 9.0, 1.0, 8.0)
        self.assertIs(state.phase, Phase.CLOSED)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.lists(st.tuples(st.booleans(), st.floats(0, 5)), max_size=60))
    def test_closes_again_after_any_history(
        self, history: list[tuple[bool, float]]
    ) -> None:
        # An endpoint that is healthy again must get calls again.
        state, now_s = BreakerState(), 0.0
        for success, gap_s in history:
            now_s += gap_s
            if allows(state, now_s):
                state = record_sent(state, now_s)
            state = record(state, success, 0.1, now_s, 0.1)
        now_s += 30.0
        self.assertTrue(allows(state, now_s))
        state = record(record_sent(state, now_s), True, 0.1, now_s, 0.1)
        self.assertIs(state.phase, Phase.CLOSED)
