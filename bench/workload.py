"""VMs of the two teams, and calls generated from a seed."""

from __future__ import annotations

import dataclasses
import os
import random

from burdockspan.configuration.document import Service
from burdockspan.placement.memory import pieces_for
from burdockspan.placement.prefix import BLOCK_TOKENS
from burdockspan.values.submission import Priority

FIRST_TOKEN_TARGET_S = 0.5
# A decode step takes 30 ms and 1 ms more for each running call, so that a full
# engine stays below the target of 63 ms between tokens.
STEP_BASE_S = 0.030
STEP_PER_CALL_S = 0.001
_FULL_STEP_S = 0.047
_PREFIX_GROUPS = 60
# A rate below the default makes the links between engines the bottleneck.
_LINK_BYTES_PER_S = float(os.environ.get("BENCH_LINK_BYTES_PER_S", "10e9"))
SERVICE = Service(
    "qalam-models",
    prefill_tokens_per_s=20_000.0,
    token_gap_s=0.05,
    link_bytes_per_s=_LINK_BYTES_PER_S,
)


@dataclasses.dataclass(frozen=True)
class Team:
    """VMs of one team.

    Attributes:
      name: name of the team.
      entries: zone of each entry VM.
      prefill: zone of each prefill engine.
      decode: zone of each decode engine.
      distance_ms: one-way delay between zones.
    """

    name: str
    entries: tuple[int, ...]
    prefill: tuple[int, ...]
    decode: tuple[int, ...]
    distance_ms: float


ATLAS = Team("atlas", (0, 0, 1, 2), (0, 1, 2), (0, 1, 2, 0, 1, 2), 1.5)
RIJKSBUREAU = Team("rijksbureau", (0, 0, 1, 2), (0, 1), (0, 1, 2), 0.5)


@dataclasses.dataclass(frozen=True)
class Call:
    """One call of the workload; times are seconds of the simulated clock.

    Attributes:
      call_id: unique identity.
      entry: index of the entry VM at which it arrives.
      arrived_s: arrival.
      priority: class of the call.
      prompt_tokens: length of the prompt.
      max_tokens: limit of the output.
      output_tokens: actual length of the output.
      blocks: hashes of the prefix blocks that it shares with other calls.
    """

    call_id: str
    entry: int
    arrived_s: float
    priority: Priority
    prompt_tokens: int
    max_tokens: int
    output_tokens: int
    blocks: tuple[int, ...]

    @property
    def pieces(self) -> int:
        """Pieces of decode memory that the call reserves."""
        return pieces_for(
            self.prompt_tokens, self.max_tokens, SERVICE.piece_tokens
        )

    @property
    def deadline_s(self) -> float:
        """Latest end of a call that keeps both latency targets."""
        longest_s = self.max_tokens * SERVICE.token_gap_s
        return self.arrived_s + FIRST_TOKEN_TARGET_S + longest_s


def make_calls(
    team: Team, load: float, seed: int, duration_s: float
) -> tuple[Call, ...]:
    """Returns Poisson arrivals at `load` times the capacity of `team`."""
    rng = random.Random(f"{team.name} {load} {seed}")
    rate = load * capacity_per_s(team)
    calls: list[Call] = []
    now_s = rng.expovariate(rate)
    while now_s < duration_s:
        calls.append(_make_call(rng, len(calls), len(team.entries), now_s))
        now_s += rng.expovariate(rate)
    return tuple(calls)


def capacity_per_s(team: Team) -> float:
    """Returns the calls per second that the smaller pool can serve."""
    rng = random.Random("capacity")
    calls = [_make_call(rng, n, 1, 0.0) for n in range(4000)]
    piece_tokens = sum(call.pieces * call.output_tokens for call in calls)
    decode = len(team.decode) * SERVICE.pieces / (piece_tokens * _FULL_STEP_S)
    prompts = sum(call.prompt_tokens for call in calls)
    prefill = len(team.prefill) * SERVICE.prefill_tokens_per_s / prompts
    return min(decode, prefill) * len(calls)


def _make_call(
    rng: random.Random, number: int, entries: int, now_s: float
) -> Call:
    urgent = rng.random() < 0.5
    own_tokens = rng.randint(100, 800) if urgent else rng.randint(1000, 4000)
    max_tokens = rng.randint(10, 40) if urgent else rng.randint(100, 300)
    # The popularity of prefixes has a long tail, like that of system prompts.
    group = int(_PREFIX_GROUPS * rng.random() ** 3)
    shared = 4 + group % 13
    return Call(
        call_id=f"{number:06d}",
        entry=rng.randrange(entries),
        arrived_s=now_s,
        priority=Priority.URGENT if urgent else Priority.PATIENT,
        prompt_tokens=own_tokens + shared * BLOCK_TOKENS,
        max_tokens=max_tokens,
        output_tokens=int(max_tokens * rng.uniform(0.5, 1.0)),
        blocks=tuple(group * 1000 + index for index in range(shared)),
    )


__all__ = [
    "ATLAS",
    "Call",
    "FIRST_TOKEN_TARGET_S",
    "RIJKSBUREAU",
    "SERVICE",
    "STEP_BASE_S",
    "STEP_PER_CALL_S",
    "Team",
    "capacity_per_s",
    "make_calls",
]
