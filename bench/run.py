"""One run: entry VMs, reports, cache events and faults on one event loop."""

from __future__ import annotations

import dataclasses
import functools

from bench.cluster import Cluster, make_cluster
from bench.faults import KILLED_ENTRY, OWNER_TIMEOUT_S, schedule_faults
from bench.node import EntryNode
from bench.variants import Variant
from bench.workload import Call, Team, make_calls
from burdockspan.values.endpoint import LoadReport

_CALLER_DELAY_S = 0.001
_REPORT_INTERVAL_S = 0.25
_GOSSIP_DELAY_RANGE_S = (0.05, 0.4)
_CACHE_EVENTS_INTERVAL_S = 0.5
_CACHE_EVENTS_DELAY_RANGE_S = (0.1, 0.6)
# Simulated time after the last arrival, so that the last calls can end.
_COMPLETION_S = 40.0


@dataclasses.dataclass(frozen=True)
class RunParameters:
    """Parameters of one run.

    Attributes:
      team: the team's VMs and their zones.
      variant: the options under test.
      load: arrival rate as a multiple of the capacity.
      faults: whether an entry VM and an engine are killed.
      seed: seed of the random sources.
      duration_s: time during which calls arrive.
    """

    team: Team
    variant: Variant
    load: float
    faults: bool
    seed: int
    duration_s: float


def run(parameters: RunParameters) -> Cluster:
    """Simulates one run to its end and returns its cluster."""
    calls = make_calls(
        parameters.team, parameters.load, parameters.seed, parameters.duration_s
    )
    cluster = make_cluster(
        parameters.team, parameters.variant, calls, parameters.seed
    )
    sharing = parameters.variant.sharing
    # With the sharing option "fresh" one node stands for all entry VMs.
    node_count = 1 if sharing == "fresh" else len(parameters.team.entries)
    nodes = [EntryNode(cluster, entry) for entry in range(node_count)]
    _set_memory_budgets(cluster, nodes)
    killed_entries: set[int] = set()
    for call in calls:
        cluster.loop.call_later(
            call.arrived_s + _CALLER_DELAY_S,
            functools.partial(
                _submit_call, cluster, nodes, killed_entries, call
            ),
        )
    _schedule_reports(cluster, nodes)
    _schedule_cache_events(cluster, nodes)
    if parameters.faults:
        schedule_faults(
            cluster,
            nodes,
            killed_entries,
            parameters.duration_s,
            functools.partial(_set_memory_budgets, cluster, nodes),
        )
    cluster.loop.run_until(parameters.duration_s + _COMPLETION_S)
    return cluster


def _submit_call(
    cluster: Cluster,
    nodes: list[EntryNode],
    killed_entries: set[int],
    call: Call,
) -> None:
    entry = call.entry
    while entry in killed_entries:
        entry = (entry + 1) % len(cluster.team.entries)
    sharing = cluster.variant.sharing
    if sharing == "fresh":
        nodes[0].submit(call)
        return
    target = nodes[entry]
    if sharing == "pool_owner":
        target = _find_pool_owner(nodes, killed_entries)
    elif sharing == "owner":
        target = _choose_engine_owner(cluster, nodes, nodes[entry], call)
    # The request to the owner and the response take one delay each.
    delay_s = 2 * cluster.entry_distance_s(entry, target.entry)
    if target.entry in killed_entries:
        # The death of the owner is not yet detected. The entry VM places the
        # call itself after a timeout.
        target, delay_s = nodes[entry], OWNER_TIMEOUT_S
    cluster.loop.call_later(delay_s, lambda: target.submit(call))


def _choose_engine_owner(
    cluster: Cluster, nodes: list[EntryNode], node: EntryNode, call: Call
) -> EntryNode:
    # The entry VM chooses by reports, which lag behind. The owner that it
    # chooses knows its engine exactly.
    reports = node.local_view.report_by_name
    names = [
        name
        for name in cluster.decode
        if name in reports and reports[name].free_pieces >= call.pieces
    ]
    name = cluster.rng.choice(names or list(cluster.decode))
    return _find_engine_owner(cluster, nodes, name)


def _find_engine_owner(
    cluster: Cluster, nodes: list[EntryNode], name: str
) -> EntryNode:
    zone = cluster.zone_by_name[name]
    in_zone = [
        node
        for node in nodes
        if not node.is_known_dead and cluster.team.entries[node.entry] == zone
    ]
    live = in_zone or [node for node in nodes if not node.is_known_dead]
    # Unlike hash(), the sum of the characters is the same in every process.
    return live[sum(map(ord, name)) % len(live)]


def _find_pool_owner(
    nodes: list[EntryNode], killed_entries: set[int]
) -> EntryNode:
    # The first owner is the entry VM that a run with faults kills, which is the
    # worst case.
    first_owner = nodes[KILLED_ENTRY]
    return (
        first_owner
        if not first_owner.is_known_dead
        else nodes[KILLED_ENTRY + 1]
    )


def _set_memory_budgets(cluster: Cluster, nodes: list[EntryNode]) -> None:
    sharing = cluster.variant.sharing
    live = [node for node in nodes if not node.is_known_dead]
    for name, engine in cluster.decode.items():
        for rank, node in enumerate(live):
            budget = None
            if sharing == "divided":
                base = engine.endpoint.pieces // len(live)
                extra = rank < engine.endpoint.pieces % len(live)
                budget = base + extra
            elif sharing == "owner":
                if _find_engine_owner(cluster, nodes, name) is node:
                    node.local_view.memory_budget_by_name.pop(name, None)
                else:
                    budget = 0
            if budget is not None:
                node.local_view.memory_budget_by_name[name] = budget


def _schedule_reports(cluster: Cluster, nodes: list[EntryNode]) -> None:
    def deliver(node: EntryNode, report: LoadReport) -> None:
        node.local_view.record_report(report)
        node.dispatch()

    def send_reports() -> None:
        live_engines = [
            engine for engine in cluster.decode.values() if engine.is_alive
        ]
        reports = [engine.report() for engine in live_engines]
        reports += [engine.report() for engine in cluster.prefill.values()]
        for report in reports:
            for node in nodes:
                cluster.loop.call_later(
                    cluster.rng.uniform(*_GOSSIP_DELAY_RANGE_S),
                    functools.partial(deliver, node, report),
                )
        cluster.loop.call_later(_REPORT_INTERVAL_S, send_reports)

    send_reports()


def _schedule_cache_events(cluster: Cluster, nodes: list[EntryNode]) -> None:
    def poll() -> None:
        for name, engine in cluster.prefill.items():
            events, engine.cache_events = tuple(engine.cache_events), []
            for node in nodes:
                cluster.loop.call_later(
                    cluster.rng.uniform(*_CACHE_EVENTS_DELAY_RANGE_S),
                    functools.partial(
                        node.local_view.index.apply, name, "boot", events
                    ),
                )
        cluster.loop.call_later(_CACHE_EVENTS_INTERVAL_S, poll)

    poll()


__all__ = ["RunParameters", "run"]
