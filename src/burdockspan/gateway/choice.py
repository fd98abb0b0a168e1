"""Orders the endpoints that a request may go to, the best first."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Collection, Iterable

from burdockspan.gateway import evidence
from burdockspan.gateway.values import Endpoint
from burdockspan.placement.sampling import RandomFloat

# Load of a slot that outweighs the way to another zone.
_OTHER_ZONE_LOAD = 0.15
# Prompt tokens whose reading outweighs the transfer between zones: about
# 60 ms of an engine that reads 55 tokens a millisecond.
_OTHER_ZONE_TOKENS = 3_000
# Share of a decode engine's memory that outweighs the way to another zone.
_OTHER_ZONE_MEMORY = 0.3


@dataclasses.dataclass(frozen=True)
class View:
    """An endpoint as a choice sees it.

    Attributes:
      endpoint: the endpoint.
      load: load in the measure of the choice; less is better.
      suspicion: weight of the evidence against it.
      local: whether it is in the zone of this VM.
    """

    endpoint: Endpoint
    load: float
    suspicion: float
    local: bool


def rank_plain(
    views: Iterable[View], random_float: RandomFloat
) -> tuple[Endpoint, ...]:
    """Orders endpoints of a plain service by running requests per slot."""
    return _rank(views, _OTHER_ZONE_LOAD, random_float)


def rank_prefill(
    views: Iterable[View], zone: str, random_float: RandomFloat
) -> tuple[Endpoint, ...]:
    """Orders prefill engines by prompt tokens that wait there.

    Args:
      views: the engines.
      zone: zone of the decode engine, which fetches the cache.
      random_float: breaks ties.
    """
    here = [
        dataclasses.replace(view, local=view.endpoint.zone == zone)
        for view in views
    ]
    return _rank(here, _OTHER_ZONE_TOKENS, random_float)


def rank_decode(
    views: Iterable[View], random_float: RandomFloat
) -> tuple[Endpoint, ...]:
    """Orders decode engines by the share of their memory in use."""
    return _rank(views, _OTHER_ZONE_MEMORY, random_float)


def exclude(
    endpoints: Iterable[Endpoint], tried: Collection[tuple[str, int]]
) -> list[Endpoint]:
    """Returns the endpoints that a request has not been sent to."""
    return [one for one in endpoints if one.incarnation not in tried]


def _rank(
    views: Iterable[View], other_zone: float, random_float: RandomFloat
) -> tuple[Endpoint, ...]:
    def key(view: View) -> tuple[bool, float, float]:
        suspect = view.suspicion >= evidence.SUSPECT_WEIGHT
        distance = 0.0 if view.local else other_zone
        doubt = view.suspicion * other_zone
        return suspect, view.load + distance + doubt, random_float()

    ranked = sorted(((key(view), view.endpoint) for view in views), key=_first)
    return tuple(endpoint for _, endpoint in ranked)


def _first(
    item: tuple[tuple[bool, float, float], Endpoint],
) -> tuple[bool, float, float]:
    return item[0]


Rank = Callable[[Iterable[View], RandomFloat], tuple[Endpoint, ...]]

__all__ = [
    "Rank",
    "View",
    "exclude",
    "rank_decode",
    "rank_plain",
    "rank_prefill",
]
