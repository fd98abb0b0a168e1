from __future__ import annotations

import unittest

from burdockspan.placement.memory import (
    Reservation,
    expected_free_pieces,
    pieces_for,
)
from burdockspan.values.endpoint import LoadReport

_REPORT = LoadReport("d1", "boot", False, 20, 8, 12, 0, measured_s=10.0)


class MemoryTest(unittest.TestCase):
    def test_pieces_round_up(self) -> None:
        # Rounding down would let the output outgrow its reservation.
        for tokens, pieces in ((0, 1), (4000, 1), (4001, 2), (12000, 3)):
            self.assertEqual(pieces_for(tokens, 0, 4000), pieces)
        self.assertEqual(pieces_for(3900, 101, 4000), 2)

    def test_expected_free_counts_each_reservation_once(self) -> None:
        # Counting a reservation that the report includes would leave memory
        # unused; missing one that it does not include would overcommit.
        cases = {
            "pending": (Reservation("d1", 3), 5),
            "confirmed after": (Reservation("d1", 3, 10.5), 5),
            "confirmed before": (Reservation("d1", 3, 9.0), 8),
            "released after": (Reservation("d1", 3, 9.0, 10.5), 11),
            "released before": (Reservation("d1", 3, 8.0, 9.0), 8),
            "both after": (Reservation("d1", 3, 10.2, 10.5), 8),
        }
        for name, (reservation, free) in cases.items():
            with self.subTest(name):
                self.assertEqual(
                    expected_free_pieces(20, _REPORT, [reservation]), free
                )

    def test_expected_free_stays_in_range(self) -> None:
        reservations = [Reservation("d1", 30)]
        self.assertEqual(expected_free_pieces(20, _REPORT, reservations), 0)
        reservations = [Reservation("d1", 30, 1.0, 11.0)]
        self.assertEqual(expected_free_pieces(20, _REPORT, reservations), 20)

    def test_expected_free_without_report_uses_capacity(self) -> None:
        # Before its first report, an engine must neither be idle nor be granted
        # more than its memory.
        reservations = [Reservation("d1", 4, 1.0)]
        self.assertEqual(expected_free_pieces(20, None, reservations), 16)
