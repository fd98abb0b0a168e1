"""The parts of one run that all entry VMs share, and its tallies."""

from __future__ import annotations

import dataclasses
import random

from bench.fakes import DecodeEngine, PrefillEngine
from bench.loop import Loop
from bench.variants import Variant
from bench.workload import SERVICE, Call, Size
from burdockspan.values.endpoint import Endpoint, Pool


@dataclasses.dataclass
class Outcome:
    """What became of one call; times are as its caller sees them."""

    call: Call
    first_token_s: float | None = None
    last_token_s: float | None = None
    greatest_gap_s: float = 0.0
    done: bool = False
    refused: bool = False
    lost: bool = False


@dataclasses.dataclass
class Tally:
    """Counters of one run."""

    wasted_tokens: int = 0
    held_tokens: int = 0
    retries: int = 0
    reservations: int = 0
    reservations_refused: int = 0
    prefills_refused: int = 0


@dataclasses.dataclass(frozen=True)
class Cluster:
    """Engines, outcomes and counters of one run."""

    loop: Loop
    size: Size
    variant: Variant
    rng: random.Random
    decode: dict[str, DecodeEngine]
    prefill: dict[str, PrefillEngine]
    zone_by_name: dict[str, int]
    outcome_by_id: dict[str, Outcome]
    tally: Tally

    def distance_s(self, entry: int, endpoint: str) -> float:
        """Returns the one-way delay from an entry VM to an endpoint."""
        same = self.size.entries[entry] == self.zone_by_name[endpoint]
        return (0.1 if same else self.size.distance_ms) / 1000

    def entry_distance_s(self, entry: int, other: int) -> float:
        """Returns the one-way delay between two entry VMs."""
        if entry == other:
            return 0.0
        zones = self.size.entries
        same = zones[entry] == zones[other]
        return (0.1 if same else self.size.distance_ms) / 1000

    def pair_distance_s(self, prefill: str, decode: str) -> float:
        """Returns the one-way delay between two engines."""
        same = self.zone_by_name[prefill] == self.zone_by_name[decode]
        return (0.1 if same else self.size.distance_ms) / 1000


def make_cluster(
    size: Size, variant: Variant, calls: tuple[Call, ...], seed: int
) -> Cluster:
    """Returns the engines of `size`, idle."""
    loop = Loop()
    decode = {}
    prefill = {}
    zones = {}
    for number, zone in enumerate(size.decode):
        endpoint = _make_endpoint(f"d{number}", Pool.DECODE, zone)
        decode[endpoint.name] = DecodeEngine(loop, endpoint)
        zones[endpoint.name] = zone
    for number, zone in enumerate(size.prefill):
        endpoint = _make_endpoint(f"p{number}", Pool.PREFILL, zone)
        prefill[endpoint.name] = PrefillEngine(
            loop, endpoint, variant.prefill_slots, seed
        )
        zones[endpoint.name] = zone
    return Cluster(
        loop,
        size,
        variant,
        random.Random(f"run {seed}"),
        decode,
        prefill,
        zones,
        {call.call_id: Outcome(call) for call in calls},
        Tally(),
    )


def _make_endpoint(name: str, pool: Pool, zone: int) -> Endpoint:
    pieces = SERVICE.pieces if pool is Pool.DECODE else 0
    return Endpoint(name, "", SERVICE.name, pool, str(zone), pieces, 4)


__all__ = ["Cluster", "Outcome", "Tally", "make_cluster"]
