from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from burdockspan.placement.decode import choose_decode
from burdockspan.placement.memory import Reservation, expected_free_pieces
from burdockspan.values.endpoint import LoadReport, Pool
from tests.support.views import make_random_float, make_view


class MemoryPropertiesTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=80, deadline=None)
    @given(
        st.lists(st.integers(0, 20), min_size=1, max_size=6),
        st.lists(st.integers(1, 6), max_size=60),
        st.integers(0, 1000),
    )
    def test_grants_never_exceed_what_was_reported_free(
        self, free: list[int], wanted: list[int], seed: int
    ) -> None:
        # Without the correction, many calls would be granted the same free
        # memory before the engine's next report.
        random_float = make_random_float(seed)
        granted: dict[str, list[Reservation]] = {}
        reports = {
            str(n): LoadReport(str(n), "b", False, 20, pieces, 0, 0, 1.0)
            for n, pieces in enumerate(free)
        }
        for number, pieces in enumerate(wanted):
            views = [
                make_view(
                    name,
                    Pool.DECODE,
                    free_pieces=expected_free_pieces(
                        20, report, granted.get(name, [])
                    ),
                )
                for name, report in reports.items()
            ]
            view = choose_decode(views, pieces, random_float)
            if view is None:
                continue
            confirmed_s = None if number % 2 else 1.0 + number
            reservation = Reservation(view.endpoint.name, pieces, confirmed_s)
            granted.setdefault(reservation.endpoint, []).append(reservation)
        for name, reservations in granted.items():
            total = sum(reservation.pieces for reservation in reservations)
            self.assertLessEqual(total, reports[name].free_pieces)
