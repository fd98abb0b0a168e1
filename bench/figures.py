"""Figures of one run, and their sums over seeds."""

from __future__ import annotations

import dataclasses

from bench.cluster import Cluster, Outcome
from bench.workload import FIRST_TOKEN_TARGET_S, SERVICE
from burdockspan.configuration.document import Policy
from burdockspan.values.submission import Priority

# Calls that arrive before the engines are loaded are not counted.
WARM_UP_S = 15.0
_TOKEN_GAP_TARGET_S = Policy().token_gap_target_s


@dataclasses.dataclass(frozen=True)
class Figures:
    """Figures of one run, or their sums over several runs.

    Attributes:
      calls: calls that arrived after the warm-up.
      good: calls that kept both latency targets.
      good_tokens: output tokens of the calls that kept both latency targets.
      urgent: urgent calls.
      urgent_good: urgent calls that kept both latency targets.
      refused: calls that the router refused.
      late: complete calls that missed a latency target.
      lost: calls that failed with an entry VM or after their first token.
      prefilled_tokens: computed prefill tokens.
      wasted_tokens: computed prefill tokens that no decode engine used.
      held_tokens: prefill tokens of the attempts that a killed entry VM or a
        killed engine ended.
      retries: attempts that followed a failed one.
      reservations: reservations requested.
      reservations_refused: reservations that an engine refused.
      prefills_refused: prefills that an engine refused.
      measured_s: time over which calls were counted.
    """

    calls: int = 0
    good: int = 0
    good_tokens: int = 0
    urgent: int = 0
    urgent_good: int = 0
    refused: int = 0
    late: int = 0
    lost: int = 0
    prefilled_tokens: int = 0
    wasted_tokens: int = 0
    held_tokens: int = 0
    retries: int = 0
    reservations: int = 0
    reservations_refused: int = 0
    prefills_refused: int = 0
    measured_s: float = 0.0

    def __add__(self, other: Figures) -> Figures:
        names = [field.name for field in dataclasses.fields(self)]
        return Figures(
            **{
                name: getattr(self, name) + getattr(other, name)
                for name in names
            }
        )

    @property
    def goodput(self) -> float:
        """Calls per second that kept both latency targets."""
        return self.good / self.measured_s

    @property
    def token_goodput(self) -> float:
        """Output tokens per second of the calls that kept both targets."""
        return self.good_tokens / self.measured_s

    @property
    def urgent_share(self) -> float:
        """Share of urgent calls that kept both latency targets."""
        return self.urgent_good / max(1, self.urgent)

    @property
    def wasted_share(self) -> float:
        """Share of computed prefill tokens that no decode engine used."""
        return self.wasted_tokens / max(1, self.prefilled_tokens)


def compute_figures(cluster: Cluster, duration_s: float) -> Figures:
    """Returns the figures of one finished run."""
    outcomes = [
        outcome
        for outcome in cluster.outcome_by_id.values()
        if outcome.call.arrived_s >= WARM_UP_S
    ]
    good = [outcome for outcome in outcomes if _meets_targets(outcome)]
    counters = cluster.counters
    engines = cluster.prefill.values()
    return Figures(
        calls=len(outcomes),
        good=len(good),
        good_tokens=sum(outcome.call.output_tokens for outcome in good),
        urgent=sum(map(_is_urgent, outcomes)),
        urgent_good=sum(map(_is_urgent, good)),
        refused=sum(outcome.refused for outcome in outcomes),
        late=sum(
            outcome.done and not _meets_targets(outcome) for outcome in outcomes
        ),
        lost=sum(outcome.lost for outcome in outcomes),
        prefilled_tokens=sum(engine.computed_tokens for engine in engines),
        wasted_tokens=counters.wasted_tokens,
        held_tokens=counters.killed_attempt_tokens,
        retries=counters.retries,
        reservations=counters.reservations,
        reservations_refused=counters.reservations_refused,
        prefills_refused=counters.prefills_refused,
        measured_s=duration_s - WARM_UP_S,
    )


def _is_urgent(outcome: Outcome) -> bool:
    return outcome.call.priority is Priority.URGENT


def _meets_targets(outcome: Outcome) -> bool:
    if not outcome.done or outcome.first_token_s is None:
        return False
    first_s = outcome.first_token_s - outcome.call.arrived_s
    return (
        first_s <= FIRST_TOKEN_TARGET_S
        and outcome.max_gap_s <= _TOKEN_GAP_TARGET_S
    )


__all__ = ["Figures", "SERVICE", "WARM_UP_S", "compute_figures"]
