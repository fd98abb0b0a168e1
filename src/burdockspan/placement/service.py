"""Choice of the endpoint of a plain service."""

from __future__ import annotations

from collections.abc import Sequence

from burdockspan.placement.sampling import sample_two
from burdockspan.values.endpoint import EndpointView
from burdockspan.values.randomness import RandomFloat

# Cost of a millisecond of network distance. A call takes tens of milliseconds,
# so a few milliseconds of distance cost less than one more outstanding call.
_COST_PER_MS = 0.05


def choose_service(
    views: Sequence[EndpointView], random_float: RandomFloat
) -> EndpointView | None:
    """Returns the less loaded of two random endpoints below their limit.

    Returns:
      None if every usable endpoint has reached its concurrency limit.
    """
    candidates = [
        view for view in views if view.usable and _is_below_limit(view)
    ]
    return min(sample_two(candidates, random_float), key=_cost, default=None)


def _outstanding(view: EndpointView) -> int:
    return view.running + view.waiting


def _is_below_limit(view: EndpointView) -> bool:
    limit = view.endpoint.concurrency
    return limit == 0 or _outstanding(view) < limit


def _cost(view: EndpointView) -> float:
    limit = max(1, view.endpoint.concurrency)
    return _outstanding(view) / limit + view.distance_ms * _COST_PER_MS


__all__ = ["choose_service"]
