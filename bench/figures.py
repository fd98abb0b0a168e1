"""Figures of one run, and their sums over seeds."""

from __future__ import annotations

import dataclasses

from bench.cluster import Cluster, Outcome
from bench.workload import FIRST_TOKEN_TARGET_S, SERVICE
from burdockspan.configuration.document import Policy
from burdockspan.values.submission import Priority

# Calls that arrive while the engines fill are not counted.
WARM_UP_S = 15.0
_TOKEN_GAP_TARGET_S = Policy().token_gap_target_s


@dataclasses.dataclass(frozen=True)
class Figures:
    """Sums of one run or of several."""

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
        """Output tokens per second of these calls."""
        return self.good_tokens / self.measured_s

    @property
    def urgent_share(self) -> float:
        """Share of urgent calls that kept both latency targets."""
        return self.urgent_good / max(1, self.urgent)

    @property
    def wasted_share(self) -> float:
        """Share of computed prefill tokens that no decode used."""
        return self.wasted_tokens / max(1, self.prefilled_tokens)


def measure(cluster: Cluster, duration_s: float) -> Figures:
    """Returns the figures of one finished run."""
    rows = [
        row
        for row in cluster.outcome_by_id.values()
        if row.call.arrived_s >= WARM_UP_S
    ]
    good = [row for row in rows if _is_good(row)]
    tally = cluster.tally
    engines = cluster.prefill.values()
    return Figures(
        calls=len(rows),
        good=len(good),
        good_tokens=sum(row.call.output_tokens for row in good),
        urgent=sum(map(_is_urgent, rows)),
        urgent_good=sum(map(_is_urgent, good)),
        refused=sum(row.refused for row in rows),
        late=sum(row.done and not _is_good(row) for row in rows),
        lost=sum(row.lost for row in rows),
        prefilled_tokens=sum(engine.computed_tokens for engine in engines),
        wasted_tokens=tally.wasted_tokens,
        held_tokens=tally.held_tokens,
        retries=tally.retries,
        reservations=tally.reservations,
        reservations_refused=tally.reservations_refused,
        prefills_refused=tally.prefills_refused,
        measured_s=duration_s - WARM_UP_S,
    )


def _is_urgent(row: Outcome) -> bool:
    return row.call.priority is Priority.URGENT


def _is_good(row: Outcome) -> bool:
    if not row.done or row.first_token_s is None:
        return False
    first_s = row.first_token_s - row.call.arrived_s
    return (
        first_s <= FIRST_TOKEN_TARGET_S
        and row.greatest_gap_s <= _TOKEN_GAP_TARGET_S
    )


__all__ = ["Figures", "SERVICE", "WARM_UP_S", "measure"]
