"""Kills one entry VM and one decode engine during a run."""

from __future__ import annotations

import functools
from collections.abc import Callable

from bench.attempt_state import Attempt
from bench.cluster import Cluster
from bench.node import EntryNode
from bench.workload import Call

# Time until the other VMs detect the death of an entry VM.
_DEATH_DETECTION_S = 1.2
# Time until the engines release the memory of a dead entry VM's attempts.
_ORPHAN_RELEASE_S = 1.7
OWNER_TIMEOUT_S = 0.05
KILLED_ENTRY = 1
KILLED_DECODE = "d1"


def schedule_faults(
    cluster: Cluster,
    nodes: list[EntryNode],
    killed_entries: set[int],
    duration_s: float,
    on_detected: Callable[[], None],
) -> None:
    """Schedules the kill of an entry VM at 50%, of a decode engine at 60%.

    Args:
      cluster: the run.
      nodes: all entry VMs; a single node stands for all VMs and keeps running.
      killed_entries: receives the index of the killed entry VM.
      duration_s: length of the run.
      on_detected: called when the other VMs detect the death of the entry VM.
    """
    cluster.loop.call_later(
        0.5 * duration_s,
        lambda: _kill_entry(cluster, nodes, killed_entries, on_detected),
    )
    cluster.loop.call_later(
        0.6 * duration_s, lambda: _kill_decode(cluster, nodes)
    )


def _kill_entry(
    cluster: Cluster,
    nodes: list[EntryNode],
    killed_entries: set[int],
    on_detected: Callable[[], None],
) -> None:
    killed_entries.add(KILLED_ENTRY)
    for node in nodes:
        for attempt in list(node.attempts.values()):
            entry = attempt.call.entry
            if attempt.is_current and entry == KILLED_ENTRY:
                _fail_killed_attempt(cluster, node, attempt)
        _lose_queued_calls(cluster, node)
    if len(nodes) > 1:
        _stop_entry_node(cluster, nodes, nodes[KILLED_ENTRY], on_detected)


def _stop_entry_node(
    cluster: Cluster,
    nodes: list[EntryNode],
    node: EntryNode,
    on_detected: Callable[[], None],
) -> None:
    if cluster.variant.sharing in ("owner", "pool_owner"):
        # The node keeps running, because the calls that the killed owner placed
        # for other entry VMs continue on their engines. Calls in its queue are
        # placed by the entry VM at which they arrived.
        def place_locally(call: Call) -> None:
            cluster.loop.call_later(
                OWNER_TIMEOUT_S, lambda: nodes[call.entry].submit(call)
            )

        node.place_elsewhere = place_locally
        for call_id in list(node.waiting):
            del node.waiting[call_id]
            place_locally(node.calls[call_id])
    else:
        node.is_dead = True

    def handle_detection() -> None:
        node.is_known_dead = True
        if cluster.variant.sharing == "pool_owner":
            # Entry VMs report the end of a call to the current owner.
            node.next_owner = nodes[KILLED_ENTRY + 1]
            node.next_owner.become_owner()
        on_detected()

    cluster.loop.call_later(_DEATH_DETECTION_S, handle_detection)


def _lose_queued_calls(cluster: Cluster, node: EntryNode) -> None:
    for call_id in list(node.waiting):
        if node.calls[call_id].entry == KILLED_ENTRY:
            del node.waiting[call_id]
            cluster.outcome_by_id[call_id].lost = True


def _fail_killed_attempt(
    cluster: Cluster, node: EntryNode, attempt: Attempt
) -> None:
    attempt.is_current = False
    cluster.outcome_by_id[attempt.call.call_id].lost = True
    _count_killed_attempt_tokens(cluster, attempt)
    finished = attempt.finished_prefill
    if finished is not None:
        cluster.counters.wasted_tokens += finished.computed_tokens
    name = attempt.decode_engine
    if name is not None:
        cluster.loop.call_later(
            _ORPHAN_RELEASE_S,
            lambda: cluster.decode[name].release(attempt.attempt_id),
        )
        reservations = node.local_view.reservations_by_engine[name]
        reservations.pop(attempt.attempt_id, None)


def _count_killed_attempt_tokens(cluster: Cluster, attempt: Attempt) -> None:
    finished = attempt.finished_prefill
    if finished is not None:
        cluster.counters.killed_attempt_tokens += finished.computed_tokens
    elif attempt.prefill_sent:
        cluster.counters.killed_attempt_tokens += attempt.call.prompt_tokens


def _kill_decode(cluster: Cluster, nodes: list[EntryNode]) -> None:
    attempt_ids = cluster.decode[KILLED_DECODE].kill()
    for node in nodes:
        for attempt_id in attempt_ids:
            attempt = node.attempts.get(attempt_id)
            if attempt is not None and attempt.is_current:
                _count_killed_attempt_tokens(cluster, attempt)
        distance_s = cluster.distance_s(node.entry, KILLED_DECODE)
        cluster.loop.call_later(
            distance_s, functools.partial(node.on_engine_crash, attempt_ids)
        )


__all__ = ["KILLED_ENTRY", "OWNER_TIMEOUT_S", "schedule_faults"]
