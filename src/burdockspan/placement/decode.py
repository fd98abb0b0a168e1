"""Choice of the decode engine of a completion."""

from __future__ import annotations

from collections.abc import Sequence

from burdockspan.placement.sampling import RandomFloat, sample_two
from burdockspan.values.endpoint import EndpointView

# One millisecond of distance weighs as much as this share of the memory in
# use, so that a nearer engine wins only among similarly loaded ones.
_LOAD_PER_MS = 0.02


def choose_decode(
    views: Sequence[EndpointView], pieces: int, random_float: RandomFloat
) -> EndpointView | None:
    """Returns the better of two random engines with enough free memory.

    Args:
      views: decode engines of the service.
      pieces: memory that the call needs.
      random_float: source of randomness.

    Returns:
      None if no usable engine is expected to have the memory.
    """
    fitting = [
        view for view in views if view.usable and view.free_pieces >= pieces
    ]
    return min(sample_two(fitting, random_float), key=_cost, default=None)


def _cost(view: EndpointView) -> float:
    total = max(1, view.endpoint.pieces)
    return 1.0 - view.free_pieces / total + view.distance_ms * _LOAD_PER_MS


__all__ = ["choose_decode"]
