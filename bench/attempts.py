"""Steps of an attempt: reservation, prefill, transfer and decode."""

from __future__ import annotations

import dataclasses

from bench.attempt_state import Attempt, Owner, abandon, forget, later
from bench.cluster import Cluster
from bench.fakes import Prefilled
from bench.knowledge import Sent
from bench.workload import SERVICE
from burdockspan.placement.memory import Reservation
from burdockspan.resilience import breaker
from burdockspan.values.endpoint import LoadReport

_CLIENT_DELAY_S = 0.001
_TRY_AGAIN_S = 0.010
# A reservation during prefill is made this long before its expected end.
_RESERVE_MARGIN_S = 0.030


def start(
    cluster: Cluster, node: Owner, attempt: Attempt, prefill_wait_s: float
) -> None:
    """Starts an attempt with the step order of the variant."""
    if cluster.variant.reserve == "before":
        _reserve(cluster, node, attempt)
        return
    _send_prefill(cluster, node, attempt)
    if cluster.variant.reserve == "during":
        tokens_s = attempt.call.prompt_tokens / SERVICE.prefill_tokens_per_s
        delay_s = max(0.0, prefill_wait_s + tokens_s - _RESERVE_MARGIN_S)
        cluster.loop.after(delay_s, lambda: _reserve(cluster, node, attempt))


def _reserve(cluster: Cluster, node: Owner, attempt: Attempt) -> None:
    if not attempt.current or node.dead:
        return
    if attempt.decode is None:
        view = node.chooser.decode(attempt.call, attempt.refused_by)
        if view is None:
            _no_memory(cluster, node, attempt)
            return
        attempt.decode = view.endpoint.name
    name = attempt.decode
    now_s = cluster.loop.now_s
    states = node.knowledge.breaker_by_name
    states[name] = breaker.record_sent(states[name], now_s)
    row = Reservation(name, attempt.call.pieces)
    node.knowledge.reservations[name][attempt.attempt_id] = row
    cluster.tally.reservations += 1
    fresh = cluster.variant.sharing == "fresh"
    delay_s = 0.0 if fresh else cluster.distance_s(node.entry, name)
    cluster.loop.after(
        delay_s, lambda: _arrive(cluster, node, attempt, name, delay_s)
    )


def _arrive(
    cluster: Cluster, node: Owner, attempt: Attempt, name: str, delay_s: float
) -> None:
    engine = cluster.decode[name]
    granted = False
    if attempt.current and not node.dead and engine.alive:
        granted = engine.reserve(attempt.attempt_id, attempt.call.pieces)
    report = engine.report() if engine.alive else None

    def on_answer() -> None:
        _answer(cluster, node, attempt, granted, report)

    later(cluster, node, attempt, delay_s, on_answer)


def _answer(
    cluster: Cluster,
    node: Owner,
    attempt: Attempt,
    granted: bool,
    report: LoadReport | None,
) -> None:
    known = node.knowledge
    now_s = cluster.loop.now_s
    name = attempt.decode
    assert name is not None
    state = known.breaker_by_name[name]
    known.breaker_by_name[name] = breaker.record(
        state, report is not None, 0.0, now_s
    )
    row = known.reservations[name].pop(attempt.attempt_id)
    if report is not None and (
        not granted or cluster.variant.answers_carry_load
    ):
        known.receive(report)
    if granted:
        # The report in the answer was measured after the reservation.
        known.reservations[name][attempt.attempt_id] = dataclasses.replace(
            row,
            confirmed_s=now_s if report is None else report.measured_s - 1e-9,
        )
        attempt.reserved = True
        if cluster.variant.reserve == "before":
            _send_prefill(cluster, node, attempt)
        _join(cluster, node, attempt)
        return
    cluster.tally.reservations_refused += report is not None
    attempt.decode = None
    attempt.refused_by = (*attempt.refused_by, name)
    _reserve(cluster, node, attempt)


def _no_memory(cluster: Cluster, node: Owner, attempt: Attempt) -> None:
    if cluster.variant.reserve == "before":
        attempt.current = False
        node.on_requeue(attempt)
        return
    made = attempt.prefilled
    now_s = cluster.loop.now_s
    if made is not None and now_s - made.made_s > SERVICE.cache_life_s:
        _fail(cluster, node, attempt)
        return
    attempt.refused_by = ()
    later(
        cluster,
        node,
        attempt,
        _TRY_AGAIN_S,
        lambda: _reserve(cluster, node, attempt),
    )


def _send_prefill(cluster: Cluster, node: Owner, attempt: Attempt) -> None:
    name, call = attempt.prefill, attempt.call
    sent = Sent(call.prompt_tokens, cluster.loop.now_s)
    node.knowledge.sent[name][attempt.attempt_id] = sent
    node.knowledge.index.add_expected(name, call.blocks)
    delay_s = cluster.distance_s(node.entry, name)
    attempt.prefill_sent = True

    def on_done(made: Prefilled) -> None:
        if not attempt.current or node.dead:
            cluster.tally.wasted_tokens += made.computed_tokens
        else:
            attempt.prefilled = made
        report = made.engine.report()
        cluster.loop.after(delay_s, lambda: on_answer(report))

    def on_answer(report: LoadReport) -> None:
        sent.finished_s = cluster.loop.now_s
        if cluster.variant.answers_carry_load:
            node.knowledge.receive(report)
        if not attempt.current or node.dead:
            return
        if cluster.variant.reserve == "after":
            _reserve(cluster, node, attempt)
        _join(cluster, node, attempt)

    def arrive() -> None:
        engine = cluster.prefill[name]
        if not engine.submit(call, on_done):
            report = engine.report()
            cluster.loop.after(delay_s, lambda: on_refused(report))

    def on_refused(report: LoadReport) -> None:
        cluster.tally.prefills_refused += 1
        node.knowledge.sent[name].pop(attempt.attempt_id, None)
        node.knowledge.receive(report)
        if attempt.current and not node.dead:
            attempt.prefill_sent = False
            _prefill_elsewhere(cluster, node, attempt)

    cluster.loop.after(delay_s, arrive)


def _prefill_elsewhere(cluster: Cluster, node: Owner, attempt: Attempt) -> None:
    view = node.chooser.prefill(attempt.call)
    if view is not None:
        attempt.prefill = view.endpoint.name
        _send_prefill(cluster, node, attempt)
        return
    if cluster.loop.now_s > attempt.latest_prefill_s:
        abandon(cluster, node, attempt)
        node.on_requeue(attempt)
        return
    later(
        cluster,
        node,
        attempt,
        _TRY_AGAIN_S,
        lambda: _prefill_elsewhere(cluster, node, attempt),
    )


def _join(cluster: Cluster, node: Owner, attempt: Attempt) -> None:
    made = attempt.prefilled
    if not attempt.reserved or made is None or attempt.decode is None:
        return
    decode = attempt.decode
    pair_s = 2 * cluster.pair_distance_s(attempt.prefill, decode)
    order_s = cluster.distance_s(node.entry, decode)
    transfer_s = made.engine.transfer(attempt.call)
    node.knowledge.schedule_transfer(attempt.prefill, attempt.call)
    total_s = order_s + pair_s + transfer_s
    end_s = cluster.loop.now_s + total_s
    if end_s - made.made_s > SERVICE.cache_life_s:
        _fail(cluster, node, attempt)
        return
    later(
        cluster,
        node,
        attempt,
        total_s,
        lambda: _decode(cluster, node, attempt, decode),
    )


def _decode(cluster: Cluster, node: Owner, attempt: Attempt, name: str) -> None:
    delay_s = cluster.distance_s(node.entry, name) + _CLIENT_DELAY_S
    outcome = cluster.outcome_by_id[attempt.call.call_id]

    def on_token(last: bool) -> None:
        if node.dead:
            return
        seen_s = cluster.loop.now_s + delay_s
        if outcome.first_token_s is None:
            outcome.first_token_s = seen_s
            attempt.streaming = True
        elif outcome.last_token_s is not None:
            gap_s = seen_s - outcome.last_token_s
            outcome.greatest_gap_s = max(outcome.greatest_gap_s, gap_s)
        outcome.last_token_s = seen_s
        if last:
            outcome.done = True
            later(cluster, node, attempt, delay_s, on_end)

    def on_end() -> None:
        attempt.current = False
        forget(node, attempt, cluster.loop.now_s)
        node.on_ended(attempt)

    cluster.decode[name].start(
        attempt.attempt_id, attempt.call.output_tokens, on_token
    )


def _fail(cluster: Cluster, node: Owner, attempt: Attempt) -> None:
    abandon(cluster, node, attempt)
    node.on_failed(attempt)


__all__ = ["start"]
