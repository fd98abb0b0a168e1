"""Orders candidates by load, so that many VMs do not choose the same one.

All VMs know about the same statements, which are up to a second old. If each
took the least loaded endpoint, all would until the next statements arrive. So
each draws two candidates, weighted by free capacity, and takes the less loaded.
If that one is in another zone, a local one that costs no more takes its place.
"""

from __future__ import annotations

import bisect
import dataclasses
import itertools
from collections.abc import Callable, Iterable, Sequence

from burdockspan.gateway.choice.ranking import Candidate
from burdockspan.gateway.endpoints import passive_health
from burdockspan.gateway.values import Endpoint
from burdockspan.placement.sampling import RandomFloat

_MIN_WEIGHT = 1e-9
# An endpoint in another zone is drawn this often relative to a local one.
_OTHER_ZONE_WEIGHT = 0.25


@dataclasses.dataclass(frozen=True)
class LoadScale:
    """How loads of a kind of work compare.

    Attributes:
      other_zone_penalty: load by which an endpoint in another zone ranks like a
        higher loaded local one.
      spread: load at which an endpoint is drawn half as often as without load.
    """

    other_zone_penalty: float
    spread: float


def rank_by_capacity(
    candidates: Iterable[Candidate],
    scale: LoadScale,
    capacity: Callable[[Endpoint], float],
    random_float: RandomFloat,
) -> tuple[Endpoint, ...]:
    """Orders candidates: one of two random ones, then the others by load.

    Args:
      candidates: the endpoints, with loads in relation to their capacity.
      scale: how the loads compare.
      capacity: returns an endpoint's capacity, relative to the median.
      random_float: returns uniform floats in [0, 1).
    """
    costs = [
        (
            candidate.suspicion >= passive_health.SUSPECT_WEIGHT,
            _compute_cost(candidate, scale),
            random_float(),
            candidate,
        )
        for candidate in candidates
    ]
    costs.sort(key=lambda item: item[:3])
    trusted = [item for item in costs if not item[0]]
    if len(trusted) < 2:
        return tuple(item[3].endpoint for item in costs)
    weights = [
        capacity(candidate.endpoint)
        * (1.0 if candidate.local else _OTHER_ZONE_WEIGHT)
        / (1.0 + max(0.0, candidate.load) / scale.spread)
        for _, _, _, candidate in trusted
    ]
    first = _draw(weights, random_float)
    weights[first] = 0.0
    second = _draw(weights, random_float)
    # The list is sorted, so that the lower index has the lower cost.
    index = min(first, second)
    if not trusted[index][3].local:
        # Work leaves a zone only for an endpoint that is better.
        local = [
            weight if item[3].local else 0.0
            for item, weight in zip(trusted[:index], weights, strict=False)
        ]
        if any(local):
            index = _draw(local, random_float)
    chosen = trusted[index]
    rest = (item for item in costs if item is not chosen)
    return (chosen[3].endpoint, *(item[3].endpoint for item in rest))


def _compute_cost(candidate: Candidate, scale: LoadScale) -> float:
    penalty = 0.0 if candidate.local else scale.other_zone_penalty
    suspicion_penalty = candidate.suspicion * scale.other_zone_penalty
    return candidate.load + penalty + suspicion_penalty


def _draw(weights: Sequence[float], random_float: RandomFloat) -> int:
    totals = tuple(
        itertools.accumulate(
            max(_MIN_WEIGHT, weight) if weight else 0.0 for weight in weights
        )
    )
    index = bisect.bisect_right(totals, random_float() * totals[-1])
    return min(index, len(totals) - 1)


__all__ = ["LoadScale", "rank_by_capacity"]
