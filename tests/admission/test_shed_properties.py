from __future__ import annotations

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from burdockspan.admission.deadline import Forecast, wait_behind_s
from burdockspan.admission.queue import (
    PriorityShares,
    WaitingCall,
    choose_next,
    shed,
)
from burdockspan.values.submission import Priority

_CALLS = st.lists(
    st.tuples(st.integers(1, 4), st.integers(0, 12)), min_size=1, max_size=6
)


def _make_queue(calls: list[tuple[int, int]]) -> dict[str, WaitingCall]:
    return {
        str(number): WaitingCall(
            str(number), Priority.PATIENT, pieces, 0.0, 99.0, float(slack)
        )
        for number, (pieces, slack) in enumerate(calls)
    }


def _all_in_time(calls: tuple[WaitingCall, ...], forecast: Forecast) -> bool:
    pieces_ahead = 0
    for call in sorted(calls, key=lambda call: call.latest_start_s):
        pieces_ahead += call.pieces
        if wait_behind_s(forecast, pieces_ahead) > call.latest_start_s:
            return False
    return True


class ShedPropertiesTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(_CALLS, st.integers(0, 4))
    def test_shed_keeps_the_most_calls_that_can_be_in_time(
        self, calls: list[tuple[int, int]], free: int
    ) -> None:
        # Refusing more calls than necessary would cost goodput in overload.
        forecast = Forecast(pieces_per_s=1.0, free_pieces=free)
        waiting = _make_queue(calls)
        dropped = {call.request_id for call in shed(waiting, forecast, 0.0)}
        kept = tuple(
            call for key, call in waiting.items() if key not in dropped
        )
        self.assertTrue(_all_in_time(kept, forecast))
        larger = itertools.combinations(waiting.values(), len(kept) + 1)
        self.assertFalse(any(_all_in_time(part, forecast) for part in larger))

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(_CALLS, st.floats(0.0, 13.0))
    def test_no_call_waits_past_its_latest_start(
        self, calls: list[tuple[int, int]], now_s: float
    ) -> None:
        # A call that is neither granted nor refused would hang its caller.
        waiting = _make_queue(calls)
        for call in shed(waiting, Forecast(), now_s):
            del waiting[call.request_id]
        self.assertTrue(
            all(call.latest_start_s >= now_s for call in waiting.values())
        )
        chosen = choose_next(waiting, PriorityShares(), now_s)
        self.assertEqual(chosen is None, not waiting)
