"""Decode memory in pieces, and what is expected to be free of it."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from burdockspan.values.endpoint import LoadReport


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Memory that this node asked a decode engine for.

    Attributes:
      endpoint: name of the engine.
      pieces: pieces asked for.
      confirmed_s: when the engine's answer arrived; None while it is pending.
      released_s: when this node sent the release; None while it is held.
    """

    endpoint: str
    pieces: int
    confirmed_s: float | None = None
    released_s: float | None = None


def pieces_for(prompt_tokens: int, max_tokens: int, piece_tokens: int) -> int:
    """Returns the pieces that a prompt and its longest answer need."""
    return max(1, -(-(prompt_tokens + max_tokens) // piece_tokens))


def expected_free_pieces(
    capacity: int,
    report: LoadReport | None,
    reservations: Iterable[Reservation],
) -> int:
    """Corrects a lagging report by this node's own later reservations.

    A reservation counts as missing from the report unless it was confirmed
    before the measurement, and a release counts only if it was sent after the
    measurement. Both round towards less free memory.

    Args:
      capacity: pieces of the endpoint, used while there is no report.
      report: newest report of the endpoint.
      reservations: this node's reservations at that endpoint, including those
        released since the report.
    """
    free = capacity if report is None else report.free_pieces
    total = capacity if report is None else report.pieces
    measured_s = float("-inf") if report is None else report.measured_s
    for row in reservations:
        free += _change_since(row, measured_s)
    return min(total, max(0, free))


def _change_since(row: Reservation, measured_s: float) -> int:
    included = row.confirmed_s is not None and row.confirmed_s < measured_s
    if row.released_s is None:
        return 0 if included else -row.pieces
    return row.pieces if included and row.released_s >= measured_s else 0


__all__ = ["Reservation", "expected_free_pieces", "pieces_for"]
