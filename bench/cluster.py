"""State that all entry VMs of one run share, and its counters."""

from __future__ import annotations

import dataclasses
import random

from bench.loop import EventLoop
from bench.simulated_engines import DecodeEngine, PrefillEngine
from bench.variants import Variant
from bench.workload import SERVICE, Call, Team
from burdockspan.values.endpoint import Endpoint, Pool

_SAME_ZONE_DELAY_MS = 0.1


@dataclasses.dataclass
class Outcome:
    """Outcome of one call; times are those at the caller.

    Attributes:
      call: the call of the workload.
      first_token_s: when the first token arrived.
      last_token_s: when the newest token arrived.
      max_gap_s: longest time between two tokens.
      done: whether all tokens arrived.
      refused: whether the router refused the call.
      lost: whether the call failed with its entry VM or after its first token.
    """

    call: Call
    first_token_s: float | None = None
    last_token_s: float | None = None
    max_gap_s: float = 0.0
    done: bool = False
    refused: bool = False
    lost: bool = False


@dataclasses.dataclass
class RunCounters:
    """Counters of one run.

    Attributes:
      wasted_tokens: computed prefill tokens that no decode engine used.
      killed_attempt_tokens: prefill tokens of the attempts that a killed entry
        VM or a killed engine ended.
      retries: attempts that followed a failed one.
      reservations: reservations requested.
      reservations_refused: reservations that an engine refused.
      prefills_refused: prefills that an engine refused.
    """

    wasted_tokens: int = 0
    killed_attempt_tokens: int = 0
    retries: int = 0
    reservations: int = 0
    reservations_refused: int = 0
    prefills_refused: int = 0


@dataclasses.dataclass(frozen=True)
class Cluster:
    """Engines, outcomes and counters of one run.

    Attributes:
      loop: the simulated clock and its events.
      team: the team's VMs and their zones.
      variant: the options under test.
      rng: random source of the run.
      decode: decode engines by name.
      prefill: prefill engines by name.
      zone_by_name: zone of each engine.
      outcome_by_id: outcome of each call.
      counters: counters of the run.
    """

    loop: EventLoop
    team: Team
    variant: Variant
    rng: random.Random
    decode: dict[str, DecodeEngine]
    prefill: dict[str, PrefillEngine]
    zone_by_name: dict[str, int]
    outcome_by_id: dict[str, Outcome]
    counters: RunCounters

    def distance_s(self, entry: int, endpoint: str) -> float:
        """Returns the one-way delay from an entry VM to an endpoint."""
        same_zone = self.team.entries[entry] == self.zone_by_name[endpoint]
        return (
            _SAME_ZONE_DELAY_MS if same_zone else self.team.distance_ms
        ) / 1000

    def entry_distance_s(self, entry: int, other: int) -> float:
        """Returns the one-way delay between two entry VMs."""
        if entry == other:
            return 0.0
        zones = self.team.entries
        same_zone = zones[entry] == zones[other]
        return (
            _SAME_ZONE_DELAY_MS if same_zone else self.team.distance_ms
        ) / 1000

    def engine_distance_s(self, prefill: str, decode: str) -> float:
        """Returns the one-way delay between two engines."""
        same_zone = self.zone_by_name[prefill] == self.zone_by_name[decode]
        return (
            _SAME_ZONE_DELAY_MS if same_zone else self.team.distance_ms
        ) / 1000


def make_cluster(
    team: Team, variant: Variant, calls: tuple[Call, ...], seed: int
) -> Cluster:
    """Returns a cluster of `team` whose engines are idle."""
    loop = EventLoop()
    decode = {}
    prefill = {}
    zones = {}
    for number, zone in enumerate(team.decode):
        endpoint = _make_endpoint(f"d{number}", Pool.DECODE, zone)
        decode[endpoint.name] = DecodeEngine(loop, endpoint)
        zones[endpoint.name] = zone
    for number, zone in enumerate(team.prefill):
        endpoint = _make_endpoint(f"p{number}", Pool.PREFILL, zone)
        prefill[endpoint.name] = PrefillEngine(
            loop, endpoint, variant.max_prefills, seed
        )
        zones[endpoint.name] = zone
    return Cluster(
        loop,
        team,
        variant,
        random.Random(f"run {seed}"),
        decode,
        prefill,
        zones,
        {call.call_id: Outcome(call) for call in calls},
        RunCounters(),
    )


def _make_endpoint(name: str, pool: Pool, zone: int) -> Endpoint:
    pieces = SERVICE.pieces if pool is Pool.DECODE else 0
    return Endpoint(name, "", SERVICE.name, pool, str(zone), pieces, 4)


__all__ = ["Cluster", "Outcome", "RunCounters", "make_cluster"]
