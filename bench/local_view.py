"""What one entry VM knows about the engines."""

from __future__ import annotations

import dataclasses

from bench.cluster import Cluster
from bench.workload import SERVICE, Call
from burdockspan.placement import memory, prefix, transfer
from burdockspan.resilience import breaker
from burdockspan.values.endpoint import EndpointView, LoadReport

# Mean prompt of the workload. It stands for the prefills of other entry VMs,
# because a load report gives only their number.
_MEAN_PROMPT_TOKENS = 2200
_STALE_REPORT_S = 2.0


@dataclasses.dataclass
class SentPrefill:
    """A prefill that this entry VM sent; `finished_s` is None until its end."""

    tokens: int
    sent_s: float
    finished_s: float | None = None


class LocalView:
    """Reports, own reservations, own prefills and circuit breakers by engine.

    With the sharing option "fresh" the view is exact: it reads the simulated
    engines instead of the reports.
    """

    def __init__(self, cluster: Cluster, entry: int) -> None:
        self.entry = entry
        self.report_by_name: dict[str, LoadReport] = {}
        self.memory_budget_by_name: dict[str, int] = {}
        self.reservations_by_engine: dict[
            str, dict[str, memory.Reservation]
        ] = {name: {} for name in cluster.decode}
        self.prefills_by_engine: dict[str, dict[str, SentPrefill]] = {
            name: {} for name in cluster.prefill
        }
        self.breaker_by_name = {
            name: breaker.BreakerState() for name in cluster.zone_by_name
        }
        self.link_by_name = {name: transfer.Link() for name in cluster.prefill}
        self.index = prefix.make_prefix_index()
        self._cluster = cluster
        self._has_exact_views = cluster.variant.sharing == "fresh"

    def record_report(self, report: LoadReport) -> None:
        """Stores a report unless a newer one is known."""
        name = report.endpoint
        current = self.report_by_name.get(name)
        if current is not None and current.measured_s > report.measured_s:
            return
        self.report_by_name[name] = report
        if name in self.reservations_by_engine:
            reservations = self.reservations_by_engine[name]
            self.reservations_by_engine[name] = {
                key: reservation
                for key, reservation in reservations.items()
                if reservation.released_s is None
                or reservation.released_s >= report.measured_s
            }
        else:
            self.prefills_by_engine[name] = {
                key: prefill
                for key, prefill in self.prefills_by_engine[name].items()
                if prefill.finished_s is None
                or prefill.finished_s >= report.measured_s
            }

    def decode_views(self) -> list[EndpointView]:
        """Returns the decode engines as this entry VM sees them now."""
        now_s = self._cluster.loop.now_s
        views = []
        for name, engine in self._cluster.decode.items():
            report = self.report_by_name.get(name)
            age_s = now_s - report.measured_s if report else 0.0
            usable = breaker.allows(self.breaker_by_name[name], now_s)
            views.append(
                EndpointView(
                    engine.endpoint,
                    free_pieces=self._free_pieces(name),
                    running=self.outstanding(name),
                    report_age_s=age_s,
                    distance_ms=self._distance_ms(name),
                    usable=usable and age_s < _STALE_REPORT_S,
                )
            )
        return views

    def prefill_views(self, call: Call) -> list[EndpointView]:
        """Returns the prefill engines as this entry VM sees them now."""
        return [
            EndpointView(
                engine.endpoint,
                running=self._count_prefills(name),
                waiting_tokens=self._waiting_tokens(name),
                distance_ms=self._distance_ms(name),
                cached_tokens=self._cached_tokens(name, call),
            )
            for name, engine in self._cluster.prefill.items()
        ]

    def backlog_bytes(self, view: EndpointView, call: Call) -> float:
        """Returns the link backlog after the prefill; 0 if not considered."""
        if not self._cluster.variant.link_backlog:
            return 0.0
        name = view.endpoint.name
        link = self.link_by_name[name]
        if self._has_exact_views:
            link = self._cluster.prefill[name].link
        tokens = view.waiting_tokens + call.prompt_tokens
        return transfer.expected_backlog_bytes(
            link,
            view.waiting_tokens,
            tokens / SERVICE.prefill_tokens_per_s,
            SERVICE,
            self._cluster.loop.now_s,
        )

    def record_transfer(self, name: str, call: Call) -> None:
        """Records a transfer that this entry VM has requested."""
        self.link_by_name[name] = transfer.enqueue_transfer(
            self.link_by_name[name],
            call.prompt_tokens,
            SERVICE,
            self._cluster.loop.now_s,
        )

    def outstanding(self, name: str) -> int:
        """Returns the number of this entry VM's own calls at an engine."""
        if name in self.prefills_by_engine:
            prefills = self.prefills_by_engine[name].values()
            return sum(prefill.finished_s is None for prefill in prefills)
        reservations = self.reservations_by_engine[name].values()
        return sum(
            reservation.released_s is None for reservation in reservations
        )

    def _free_pieces(self, name: str) -> int:
        engine = self._cluster.decode[name]
        if self._has_exact_views:
            return engine.free_pieces if engine.is_alive else 0
        reservations = self.reservations_by_engine[name].values()
        if name in self.memory_budget_by_name:
            budget = self.memory_budget_by_name[name]
            return budget - sum(
                reservation.pieces
                for reservation in reservations
                if reservation.released_s is None
            )
        return memory.expected_free_pieces(
            engine.endpoint.pieces, self.report_by_name.get(name), reservations
        )

    def _waiting_tokens(self, name: str) -> int:
        if self._has_exact_views:
            return int(self._cluster.prefill[name].waiting_tokens)
        prefills = self.prefills_by_engine[name].values()
        own_tokens = sum(
            prefill.tokens for prefill in prefills if prefill.finished_s is None
        )
        return (
            own_tokens + self._count_other_prefills(name) * _MEAN_PROMPT_TOKENS
        )

    def _count_prefills(self, name: str) -> int:
        if self._has_exact_views:
            return self._cluster.prefill[name].outstanding
        return self.outstanding(name) + self._count_other_prefills(name)

    def _count_other_prefills(self, name: str) -> int:
        report = self.report_by_name.get(name)
        if report is None:
            return 0
        prefills = self.prefills_by_engine[name].values()
        # The report also counts this entry VM's own prefills that were sent
        # before it was measured.
        own_count = sum(
            prefill.sent_s < report.measured_s for prefill in prefills
        )
        return max(0, report.running + report.waiting - own_count)

    def _cached_tokens(self, name: str, call: Call) -> int:
        if self._cluster.variant.prefix == "ignored":
            return 0
        if self._has_exact_views:
            return self._cluster.prefill[name].cached_tokens(call.blocks)
        return prefix.cached_tokens(self.index, name, call.blocks)

    def _distance_ms(self, name: str) -> float:
        return self._cluster.distance_s(self.entry, name) * 1000


__all__ = ["LocalView", "SentPrefill"]
