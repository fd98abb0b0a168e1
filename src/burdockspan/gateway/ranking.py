"""Orders the endpoints that a request may go to, the best first."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Collection, Iterable

from burdockspan.gateway import passive_health
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
class Candidate:
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
    candidates: Iterable[Candidate], random_float: RandomFloat
) -> tuple[Endpoint, ...]:
    """Orders endpoints of a plain service by running requests per slot."""
    return _rank(candidates, _OTHER_ZONE_LOAD, random_float)


def rank_prefill(
    candidates: Iterable[Candidate], zone: str, random_float: RandomFloat
) -> tuple[Endpoint, ...]:
    """Orders prefill engines by prompt tokens that wait there.

    Args:
      candidates: the engines.
      zone: zone of the decode engine, which fetches the cache.
      random_float: breaks ties.
    """
    here = [
        dataclasses.replace(candidate, local=candidate.endpoint.zone == zone)
        for candidate in candidates
    ]
    return _rank(here, _OTHER_ZONE_TOKENS, random_float)


def rank_decode(
    candidates: Iterable[Candidate], random_float: RandomFloat
) -> tuple[Endpoint, ...]:
    """Orders decode engines by the share of their memory in use."""
    return _rank(candidates, _OTHER_ZONE_MEMORY, random_float)


def exclude_tried(
    endpoints: Iterable[Endpoint], tried: Collection[tuple[str, int]]
) -> list[Endpoint]:
    """Returns the endpoints that a request has not been sent to."""
    return [one for one in endpoints if one.incarnation not in tried]


def _rank(
    candidates: Iterable[Candidate],
    other_zone: float,
    random_float: RandomFloat,
) -> tuple[Endpoint, ...]:
    def key(candidate: Candidate) -> tuple[bool, float, float]:
        suspect = candidate.suspicion >= passive_health.SUSPECT_WEIGHT
        distance = 0.0 if candidate.local else other_zone
        doubt = candidate.suspicion * other_zone
        return suspect, candidate.load + distance + doubt, random_float()

    ranked = sorted(
        ((key(candidate), candidate.endpoint) for candidate in candidates),
        key=_first,
    )
    return tuple(endpoint for _, endpoint in ranked)


def _first(
    item: tuple[tuple[bool, float, float], Endpoint],
) -> tuple[bool, float, float]:
    return item[0]


Rank = Callable[[Iterable[Candidate], RandomFloat], tuple[Endpoint, ...]]

__all__ = [
    "Rank",
    "Candidate",
    "exclude_tried",
    "rank_decode",
    "rank_plain",
    "rank_prefill",
]
