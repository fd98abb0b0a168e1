"""What one entry VM believes of the endpoints."""

from __future__ import annotations

import dataclasses

from bench.cluster import Cluster
from bench.workload import SERVICE, Call
from burdockspan.placement import memory, prefix, transfer
from burdockspan.resilience import breaker
from burdockspan.values.endpoint import EndpointView, LoadReport

# Mean prompt of the workload, for the prefills of other entry VMs, of which
# a report gives only the number.
_MEAN_PROMPT_TOKENS = 2200
_STALE_REPORT_S = 2.0


@dataclasses.dataclass
class Sent:
    """A prefill that this entry VM sent."""

    tokens: int
    sent_s: float
    finished_s: float | None = None


class Knowledge:
    """Reports, own reservations, own prefills, and breakers by endpoint."""

    def __init__(self, cluster: Cluster, entry: int) -> None:
        self.entry = entry
        self.report_by_name: dict[str, LoadReport] = {}
        self.budget_by_name: dict[str, int] = {}
        self.reservations: dict[str, dict[str, memory.Reservation]] = {
            name: {} for name in cluster.decode
        }
        self.sent: dict[str, dict[str, Sent]] = {
            name: {} for name in cluster.prefill
        }
        self.breaker_by_name = {
            name: breaker.BreakerState() for name in cluster.zone_by_name
        }
        self.link_by_name = {name: transfer.Link() for name in cluster.prefill}
        self.index = prefix.make_prefix_index()
        self._cluster = cluster
        self._fresh = cluster.variant.sharing == "fresh"

    def receive(self, report: LoadReport) -> None:
        """Keeps a report unless a newer one is known."""
        name = report.endpoint
        known = self.report_by_name.get(name)
        if known is not None and known.measured_s > report.measured_s:
            return
        self.report_by_name[name] = report
        if name in self.reservations:
            rows = self.reservations[name]
            self.reservations[name] = {
                key: row
                for key, row in rows.items()
                if row.released_s is None or row.released_s >= report.measured_s
            }
        else:
            self.sent[name] = {
                key: row
                for key, row in self.sent[name].items()
                if row.finished_s is None or row.finished_s >= report.measured_s
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
                running=self._prefills(name),
                waiting_tokens=self._waiting_tokens(name),
                distance_ms=self._distance_ms(name),
                cached_tokens=self._cached_tokens(name, call),
            )
            for name, engine in self._cluster.prefill.items()
        ]

    def backlog_bytes(self, view: EndpointView, call: Call) -> float:
        """Returns the backlog of an engine's link after the call's prefill."""
        if not self._cluster.variant.links:
            return 0.0
        name = view.endpoint.name
        link = self.link_by_name[name]
        if self._fresh:
            link = self._cluster.prefill[name].link
        tokens = view.waiting_tokens + call.prompt_tokens
        return transfer.expected_backlog_bytes(
            link,
            view.waiting_tokens,
            tokens / SERVICE.prefill_tokens_per_s,
            SERVICE,
            self._cluster.loop.now_s,
        )

    def schedule_transfer(self, name: str, call: Call) -> None:
        """Notes a transfer that this entry VM has ordered."""
        self.link_by_name[name] = transfer.enqueue_transfer(
            self.link_by_name[name],
            call.prompt_tokens,
            SERVICE,
            self._cluster.loop.now_s,
        )

    def outstanding(self, name: str) -> int:
        """Returns this entry VM's own calls at the endpoint."""
        if name in self.sent:
            rows = self.sent[name].values()
            return sum(row.finished_s is None for row in rows)
        held = self.reservations[name].values()
        return sum(row.released_s is None for row in held)

    def _free_pieces(self, name: str) -> int:
        engine = self._cluster.decode[name]
        if self._fresh:
            return engine.free_pieces if engine.alive else 0
        rows = self.reservations[name].values()
        if name in self.budget_by_name:
            budget = self.budget_by_name[name]
            return budget - sum(
                row.pieces for row in rows if row.released_s is None
            )
        return memory.expected_free_pieces(
            engine.endpoint.pieces, self.report_by_name.get(name), rows
        )

    def _waiting_tokens(self, name: str) -> int:
        if self._fresh:
            return int(self._cluster.prefill[name].waiting_tokens)
        rows = self.sent[name].values()
        own = sum(row.tokens for row in rows if row.finished_s is None)
        return own + self._others(name) * _MEAN_PROMPT_TOKENS

    def _prefills(self, name: str) -> int:
        if self._fresh:
            return self._cluster.prefill[name].outstanding
        return self.outstanding(name) + self._others(name)

    def _others(self, name: str) -> int:
        report = self.report_by_name.get(name)
        if report is None:
            return 0
        rows = self.sent[name].values()
        included = sum(row.sent_s < report.measured_s for row in rows)
        return max(0, report.running + report.waiting - included)

    def _cached_tokens(self, name: str, call: Call) -> int:
        if self._cluster.variant.prefix == "ignored":
            return 0
        if self._fresh:
            return self._cluster.prefill[name].cached_tokens(call.blocks)
        return prefix.cached_tokens(self.index, name, call.blocks)

    def _distance_ms(self, name: str) -> float:
        return self._cluster.distance_s(self.entry, name) * 1000


__all__ = ["Knowledge", "Sent"]
