"""KV memory of decode engines: reservations and expected free memory.

Memory is counted in pieces. A piece holds the KV cache of a fixed number of
tokens, which the configuration sets.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from burdockspan.values.endpoint import LoadReport


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Memory that this node has requested at a decode engine.

    Attributes:
      endpoint: name of the engine.
      pieces: requested number of pieces.
      confirmed_s: when the engine's response arrived; None while the request
        is pending.
      released_s: when this node sent the release; None while the memory is
        reserved.
    """

    endpoint: str
    pieces: int
    confirmed_s: float | None = None
    released_s: float | None = None


def pieces_for(prompt_tokens: int, max_tokens: int, piece_tokens: int) -> int:
    """Returns the pieces needed for a prompt and `max_tokens` of output."""
    return max(1, -(-(prompt_tokens + max_tokens) // piece_tokens))


def expected_free_pieces(
    capacity: int,
    report: LoadReport | None,
    reservations: Iterable[Reservation],
) -> int:
    """Returns the free memory of an engine, as far as this node can know.

    The newest load report lags behind. It is corrected by the reservations and
    releases of this node that it does not include yet. It is taken to include a
    reservation only if the engine's confirmation arrived before the
    measurement, and a release only if it was sent before the measurement. In
    case of doubt the result is too low rather than too high.

    Args:
      capacity: pieces of the engine, used while there is no report.
      report: newest load report of the engine.
      reservations: this node's reservations at that engine, including those
        released since the report.
    """
    free = capacity if report is None else report.free_pieces
    total = capacity if report is None else report.pieces
    measured_s = float("-inf") if report is None else report.measured_s
    for reservation in reservations:
        free += _change_since_report(reservation, measured_s)
    return min(total, max(0, free))


def _change_since_report(reservation: Reservation, measured_s: float) -> int:
    included = (
        reservation.confirmed_s is not None
        and reservation.confirmed_s < measured_s
    )
    if reservation.released_s is None:
        return 0 if included else -reservation.pieces
    return (
        reservation.pieces
        if included and reservation.released_s >= measured_s
        else 0
    )


__all__ = ["Reservation", "expected_free_pieces", "pieces_for"]
