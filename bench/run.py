"""One run: entry VMs, reports, cache events and faults on one loop."""

from __future__ import annotations

import dataclasses
import functools

from bench.cluster import Cluster, make_cluster
from bench.faults import KILLED_ENTRY, OWNER_TIMEOUT_S, schedule_faults
from bench.node import EntryNode
from bench.variants import Variant
from bench.workload import Call, Size, make_calls
from burdockspan.values.endpoint import LoadReport

_REPORT_EVERY_S = 0.25
_GOSSIP_DELAY_S = (0.05, 0.4)
_EVENTS_EVERY_S = 0.5
_EVENTS_DELAY_S = (0.1, 0.6)
_DRAIN_S = 40.0


@dataclasses.dataclass(frozen=True)
class RunParameters:
    """What one run is made of."""

    size: Size
    variant: Variant
    load: float
    faults: bool
    seed: int
    duration_s: float


def run(setting: RunParameters) -> Cluster:
    """Runs one setting to its end and returns its outcomes."""
    calls = make_calls(
        setting.size, setting.load, setting.seed, setting.duration_s
    )
    cluster = make_cluster(setting.size, setting.variant, calls, setting.seed)
    sharing = setting.variant.sharing
    count = 1 if sharing == "fresh" else len(setting.size.entries)
    nodes = [EntryNode(cluster, entry) for entry in range(count)]
    _set_budgets(cluster, nodes)
    gone: set[int] = set()
    for call in calls:
        cluster.loop.after(
            call.arrived_s + 0.001,
            functools.partial(_arrive, cluster, nodes, gone, call),
        )
    _schedule_reports(cluster, nodes)
    _schedule_events(cluster, nodes)
    if setting.faults:
        schedule_faults(
            cluster,
            nodes,
            gone,
            setting.duration_s,
            functools.partial(_set_budgets, cluster, nodes),
        )
    cluster.loop.run(setting.duration_s + _DRAIN_S)
    return cluster


def _arrive(
    cluster: Cluster, nodes: list[EntryNode], gone: set[int], call: Call
) -> None:
    entry = call.entry
    while entry in gone:
        entry = (entry + 1) % len(cluster.size.entries)
    sharing = cluster.variant.sharing
    if sharing == "fresh":
        nodes[0].submit(call)
        return
    target = nodes[entry]
    if sharing == "pool_owner":
        target = _pool_owner(nodes, gone)
    elif sharing == "owner":
        target = _choose_owner(cluster, nodes, nodes[entry], call)
    # The request to the owner and its answer are two hops.
    delay_s = 2 * cluster.entry_distance_s(entry, target.entry)
    if target.entry in gone:
        # The owner is dead but not yet known to be: the entry VM places the
        # call itself after a short wait.
        target, delay_s = nodes[entry], OWNER_TIMEOUT_S
    cluster.loop.after(delay_s, lambda: target.submit(call))


def _choose_owner(
    cluster: Cluster, nodes: list[EntryNode], node: EntryNode, call: Call
) -> EntryNode:
    # Views of other nodes' engines lag; the owner's own are exact.
    known = node.knowledge.report_by_name
    names = [
        name
        for name in cluster.decode
        if name in known and known[name].free_pieces >= call.pieces
    ]
    name = cluster.rng.choice(names or list(cluster.decode))
    return _owner(cluster, nodes, name)


def _owner(cluster: Cluster, nodes: list[EntryNode], name: str) -> EntryNode:
    zone = cluster.zone_by_name[name]
    near = [
        node
        for node in nodes
        if not node.retired and cluster.size.entries[node.entry] == zone
    ]
    live = near or [node for node in nodes if not node.retired]
    return live[sum(map(ord, name)) % len(live)]


def _pool_owner(nodes: list[EntryNode], gone: set[int]) -> EntryNode:
    # The entry VM that the faults kill is the owner, which is the worst case.
    first = nodes[KILLED_ENTRY]
    return first if not first.retired else nodes[KILLED_ENTRY + 1]


def _set_budgets(cluster: Cluster, nodes: list[EntryNode]) -> None:
    sharing = cluster.variant.sharing
    live = [node for node in nodes if not node.retired]
    for name, engine in cluster.decode.items():
        for rank, node in enumerate(live):
            budget = None
            if sharing == "divided":
                part = engine.endpoint.pieces // len(live)
                extra = rank < engine.endpoint.pieces % len(live)
                budget = part + extra
            elif sharing == "owner":
                if _owner(cluster, nodes, name) is node:
                    node.knowledge.budget_by_name.pop(name, None)
                else:
                    budget = 0
            if budget is not None:
                node.knowledge.budget_by_name[name] = budget


def _schedule_reports(cluster: Cluster, nodes: list[EntryNode]) -> None:
    def deliver(node: EntryNode, report: LoadReport) -> None:
        node.knowledge.receive(report)
        node.dispatch()

    def measure() -> None:
        alive = [row for row in cluster.decode.values() if row.alive]
        reports = [engine.report() for engine in alive]
        reports += [engine.report() for engine in cluster.prefill.values()]
        for report in reports:
            for node in nodes:
                cluster.loop.after(
                    cluster.rng.uniform(*_GOSSIP_DELAY_S),
                    functools.partial(deliver, node, report),
                )
        cluster.loop.after(_REPORT_EVERY_S, measure)

    measure()


def _schedule_events(cluster: Cluster, nodes: list[EntryNode]) -> None:
    def poll() -> None:
        for name, engine in cluster.prefill.items():
            events, engine.events = tuple(engine.events), []
            for node in nodes:
                cluster.loop.after(
                    cluster.rng.uniform(*_EVENTS_DELAY_S),
                    functools.partial(
                        node.knowledge.index.apply, name, "boot", events
                    ),
                )
        cluster.loop.after(_EVENTS_EVERY_S, poll)

    poll()


__all__ = ["RunParameters", "run"]
