"""Kills one entry VM and one decode engine during a run."""

from __future__ import annotations

import functools
from collections.abc import Callable

from bench.attempt_state import Attempt
from bench.cluster import Cluster
from bench.node import EntryNode
from bench.workload import Call

# Time until a dead entry VM is noticed and its attempts are cancelled.
_DEATH_NOTICED_S = 1.2
_SWEPT_S = 1.7
OWNER_TIMEOUT_S = 0.05
KILLED_ENTRY = 1
KILLED_DECODE = "d1"


def schedule_faults(
    cluster: Cluster,
    nodes: list[EntryNode],
    gone: set[int],
    duration_s: float,
    on_retired: Callable[[], None],
) -> None:
    """Kills the entry VM halfway and the engine a tenth later.

    Args:
      cluster: the run.
      nodes: all entry VMs; a single one stands for all and goes on.
      gone: receives the index of the killed entry VM.
      duration_s: length of the run.
      on_retired: called when the entry VM is known to be dead.
    """
    cluster.loop.after(
        0.5 * duration_s, lambda: _kill_entry(cluster, nodes, gone, on_retired)
    )
    cluster.loop.after(0.6 * duration_s, lambda: _kill_decode(cluster, nodes))


def _kill_entry(
    cluster: Cluster,
    nodes: list[EntryNode],
    gone: set[int],
    on_retired: Callable[[], None],
) -> None:
    gone.add(KILLED_ENTRY)
    for node in nodes:
        for attempt in list(node.attempts.values()):
            owner = attempt.call.entry
            if attempt.current and owner == KILLED_ENTRY:
                _lose(cluster, node, attempt)
        _drop_waiting(cluster, node)
    if len(nodes) > 1:
        _stop_node(cluster, nodes, nodes[KILLED_ENTRY], on_retired)


def _stop_node(
    cluster: Cluster,
    nodes: list[EntryNode],
    node: EntryNode,
    on_retired: Callable[[], None],
) -> None:
    if cluster.variant.sharing in ("owner", "pool_owner"):
        # Calls that it had placed for other entry VMs run there and go on;
        # calls that waited in it are placed by their own entry VM.
        def place_locally(call: Call) -> None:
            cluster.loop.after(
                OWNER_TIMEOUT_S, lambda: nodes[call.entry].submit(call)
            )

        node.successor = place_locally
        for call_id in list(node.waiting):
            del node.waiting[call_id]
            place_locally(node.calls[call_id])
    else:
        node.dead = True

    def notice() -> None:
        node.retired = True
        if cluster.variant.sharing == "pool_owner":
            # Entry VMs tell the owner of the day when a call has ended.
            node.heir = nodes[KILLED_ENTRY + 1]
            node.heir.take_over()
        on_retired()

    cluster.loop.after(_DEATH_NOTICED_S, notice)


def _drop_waiting(cluster: Cluster, node: EntryNode) -> None:
    for call_id in list(node.waiting):
        if node.calls[call_id].entry == KILLED_ENTRY:
            del node.waiting[call_id]
            cluster.outcome_by_id[call_id].lost = True


def _lose(cluster: Cluster, node: EntryNode, attempt: Attempt) -> None:
    attempt.current = False
    cluster.outcome_by_id[attempt.call.call_id].lost = True
    _hold(cluster, attempt)
    made = attempt.prefilled
    if made is not None:
        cluster.tally.wasted_tokens += made.computed_tokens
    name = attempt.decode
    if name is not None:
        cluster.loop.after(
            _SWEPT_S,
            lambda: cluster.decode[name].release(attempt.attempt_id),
        )
        rows = node.knowledge.reservations[name]
        rows.pop(attempt.attempt_id, None)


def _hold(cluster: Cluster, attempt: Attempt) -> None:
    made = attempt.prefilled
    if made is not None:
        cluster.tally.held_tokens += made.computed_tokens
    elif attempt.prefill_sent:
        cluster.tally.held_tokens += attempt.call.prompt_tokens


def _kill_decode(cluster: Cluster, nodes: list[EntryNode]) -> None:
    lost = cluster.decode[KILLED_DECODE].kill()
    for node in nodes:
        for attempt_id in lost:
            attempt = node.attempts.get(attempt_id)
            if attempt is not None and attempt.current:
                _hold(cluster, attempt)
        distance_s = cluster.distance_s(node.entry, KILLED_DECODE)
        cluster.loop.after(
            distance_s, functools.partial(node.on_engine_lost, lost)
        )


__all__ = ["KILLED_ENTRY", "OWNER_TIMEOUT_S", "schedule_faults"]
