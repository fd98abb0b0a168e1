"""Choice of the decode engine for a completion."""

from __future__ import annotations

from collections.abc import Sequence

from burdockspan.placement.sampling import sample_two
from burdockspan.values.endpoint import EndpointView
from burdockspan.values.randomness import RandomFloat

# A millisecond of network distance costs as much as 2 % more of the engine's
# memory in use, so distance decides only between similarly loaded engines.
_COST_PER_MS = 0.02


def choose_decode(
    views: Sequence[EndpointView], pieces: int, random_float: RandomFloat
) -> EndpointView | None:
    """Returns the better of two random engines with enough free memory.

    Args:
      views: decode engines of the service.
      pieces: pieces of KV memory that the call needs.
      random_float: source of randomness.

    Returns:
      The view with the lower cost, or None if no usable engine is expected to
      have enough free memory.
    """
    candidates = [
        view for view in views if view.usable and view.free_pieces >= pieces
    ]
    return min(sample_two(candidates, random_float), key=_cost, default=None)


def _cost(view: EndpointView) -> float:
    total = max(1, view.endpoint.pieces)
    return 1.0 - view.free_pieces / total + view.distance_ms * _COST_PER_MS


__all__ = ["choose_decode"]
