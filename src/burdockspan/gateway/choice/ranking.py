"""Orders candidate endpoints of a request, the best first."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Collection, Iterable

from burdockspan.gateway.endpoints import passive_health
from burdockspan.gateway.values import Endpoint
from burdockspan.placement.sampling import RandomFloat

# In running requests per slot. An endpoint in another zone ranks like a local
# one whose load is higher by this penalty.
OTHER_ZONE_LOAD_PENALTY = 0.15
# In prompt tokens. A prefill of this size takes about 60 ms, at 55 tokens a
# millisecond, which outweighs the transfer of a KV cache between zones.
OTHER_ZONE_TOKENS_PENALTY = 3_000
# In shares of a decode engine's memory.
OTHER_ZONE_MEMORY_PENALTY = 0.3


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An endpoint with the inputs of its rank.

    Attributes:
      endpoint: the endpoint.
      load: its load, in a unit that depends on the kind of request.
      suspicion: present weight of the suspicion against it.
      local: whether it is in the zone of this VM; for a prefill engine, in the
        zone of the decode engine.
    """

    endpoint: Endpoint
    load: float
    suspicion: float
    local: bool


def rank_plain(
    candidates: Iterable[Candidate], random_float: RandomFloat
) -> tuple[Endpoint, ...]:
    """Orders endpoints of a plain service by running requests per slot."""
    return _rank(candidates, OTHER_ZONE_LOAD_PENALTY, random_float)


def rank_prefill(
    candidates: Iterable[Candidate], zone: str, random_float: RandomFloat
) -> tuple[Endpoint, ...]:
    """Orders prefill engines by the prompt tokens that this VM has there.

    Args:
      candidates: the engines.
      zone: zone of the decode engine, which fetches the KV cache.
      random_float: breaks ties.
    """
    return _rank(
        relate_to_zone(candidates, zone),
        OTHER_ZONE_TOKENS_PENALTY,
        random_float,
    )


def relate_to_zone(
    candidates: Iterable[Candidate], zone: str
) -> tuple[Candidate, ...]:
    """Returns the candidates, local if they are in a zone."""
    return tuple(
        candidate
        if candidate.local == (candidate.endpoint.zone == zone)
        else Candidate(
            candidate.endpoint,
            candidate.load,
            candidate.suspicion,
            not candidate.local,
        )
        for candidate in candidates
    )


def rank_decode(
    candidates: Iterable[Candidate], random_float: RandomFloat
) -> tuple[Endpoint, ...]:
    """Orders decode engines by the share of their capacity in use."""
    return _rank(candidates, OTHER_ZONE_MEMORY_PENALTY, random_float)


def exclude_tried(
    endpoints: Iterable[Endpoint], tried: Collection[tuple[str, int]]
) -> list[Endpoint]:
    """Returns the endpoints that no attempt of a request has used."""
    return [
        endpoint for endpoint in endpoints if endpoint.incarnation not in tried
    ]


def _rank(
    candidates: Iterable[Candidate],
    other_zone_penalty: float,
    random_float: RandomFloat,
) -> tuple[Endpoint, ...]:
    def compute_key(candidate: Candidate) -> tuple[bool, float, float]:
        is_suspect = candidate.suspicion >= passive_health.SUSPECT_WEIGHT
        zone_penalty = 0.0 if candidate.local else other_zone_penalty
        suspicion_penalty = candidate.suspicion * other_zone_penalty
        return (
            is_suspect,
            candidate.load + zone_penalty + suspicion_penalty,
            random_float(),
        )

    ranked = sorted(
        (
            (compute_key(candidate), candidate.endpoint)
            for candidate in candidates
        ),
        key=_sort_key,
    )
    return tuple(endpoint for _, endpoint in ranked)


def _sort_key(
    item: tuple[tuple[bool, float, float], Endpoint],
) -> tuple[bool, float, float]:
    return item[0]


Rank = Callable[[Iterable[Candidate], RandomFloat], tuple[Endpoint, ...]]

__all__ = [
    "OTHER_ZONE_LOAD_PENALTY",
    "OTHER_ZONE_MEMORY_PENALTY",
    "OTHER_ZONE_TOKENS_PENALTY",
    "Candidate",
    "Rank",
    "exclude_tried",
    "rank_decode",
    "rank_plain",
    "rank_prefill",
    "relate_to_zone",
]
