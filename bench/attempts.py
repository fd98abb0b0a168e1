"""Steps of an attempt: reservation, prefill, transfer and decode."""

from __future__ import annotations

import dataclasses

from bench.attempt_state import (
    Attempt,
    AttemptNode,
    abandon,
    call_later_if_current,
    record_release,
)
from bench.cluster import Cluster
from bench.local_view import SentPrefill
from bench.simulated_engines import FinishedPrefill
from bench.workload import SERVICE
from burdockspan.placement.memory import Reservation
from burdockspan.resilience import breaker
from burdockspan.values.endpoint import LoadReport

_CALLER_DELAY_S = 0.001
_RETRY_DELAY_S = 0.010
# A variant that reserves during the prefill requests the memory this long
# before the expected end of the prefill.
_RESERVE_MARGIN_S = 0.030


def start_attempt(
    cluster: Cluster,
    node: AttemptNode,
    attempt: Attempt,
    prefill_wait_s: float,
) -> None:
    """Starts an attempt; the variant decides when memory is reserved."""
    if cluster.variant.reserve == "before":
        _reserve(cluster, node, attempt)
        return
    _send_prefill(cluster, node, attempt)
    if cluster.variant.reserve == "during":
        prefill_s = attempt.call.prompt_tokens / SERVICE.prefill_tokens_per_s
        delay_s = max(0.0, prefill_wait_s + prefill_s - _RESERVE_MARGIN_S)
        cluster.loop.call_later(
            delay_s, lambda: _reserve(cluster, node, attempt)
        )


def _reserve(cluster: Cluster, node: AttemptNode, attempt: Attempt) -> None:
    if not attempt.is_current or node.is_dead:
        return
    if attempt.decode_engine is None:
        view = node.chooser.choose_decode_engine(
            attempt.call, attempt.refused_by
        )
        if view is None:
            _handle_no_memory(cluster, node, attempt)
            return
        attempt.decode_engine = view.endpoint.name
    name = attempt.decode_engine
    now_s = cluster.loop.now_s
    breakers = node.local_view.breaker_by_name
    breakers[name] = breaker.record_sent(breakers[name], now_s)
    reservation = Reservation(name, attempt.call.pieces)
    node.local_view.reservations_by_engine[name][attempt.attempt_id] = (
        reservation
    )
    cluster.counters.reservations += 1
    has_exact_views = cluster.variant.sharing == "fresh"
    delay_s = 0.0 if has_exact_views else cluster.distance_s(node.entry, name)
    cluster.loop.call_later(
        delay_s,
        lambda: _deliver_reservation(cluster, node, attempt, name, delay_s),
    )


def _deliver_reservation(
    cluster: Cluster,
    node: AttemptNode,
    attempt: Attempt,
    name: str,
    delay_s: float,
) -> None:
    engine = cluster.decode[name]
    granted = False
    if attempt.is_current and not node.is_dead and engine.is_alive:
        granted = engine.reserve(attempt.attempt_id, attempt.call.pieces)
    report = engine.report() if engine.is_alive else None

    def on_response() -> None:
        _handle_reservation_response(cluster, node, attempt, granted, report)

    call_later_if_current(cluster, node, attempt, delay_s, on_response)


def _handle_reservation_response(
    cluster: Cluster,
    node: AttemptNode,
    attempt: Attempt,
    granted: bool,
    report: LoadReport | None,
) -> None:
    local_view = node.local_view
    now_s = cluster.loop.now_s
    name = attempt.decode_engine
    assert name is not None
    state = local_view.breaker_by_name[name]
    local_view.breaker_by_name[name] = breaker.record(
        state, report is not None, 0.0, now_s
    )
    reservation = local_view.reservations_by_engine[name].pop(
        attempt.attempt_id
    )
    if report is not None and (
        not granted or cluster.variant.responses_carry_load
    ):
        local_view.record_report(report)
    if granted:
        # The load report in the response already counts the reserved memory.
        # The confirmation is dated just before the report, so that the memory
        # is not subtracted twice.
        local_view.reservations_by_engine[name][attempt.attempt_id] = (
            dataclasses.replace(
                reservation,
                confirmed_s=now_s
                if report is None
                else report.measured_s - 1e-9,
            )
        )
        attempt.reserved = True
        if cluster.variant.reserve == "before":
            _send_prefill(cluster, node, attempt)
        _transfer_when_ready(cluster, node, attempt)
        return
    cluster.counters.reservations_refused += report is not None
    attempt.decode_engine = None
    attempt.refused_by = (*attempt.refused_by, name)
    _reserve(cluster, node, attempt)


def _handle_no_memory(
    cluster: Cluster, node: AttemptNode, attempt: Attempt
) -> None:
    if cluster.variant.reserve == "before":
        attempt.is_current = False
        node.on_requeue(attempt)
        return
    finished = attempt.finished_prefill
    now_s = cluster.loop.now_s
    if (
        finished is not None
        and now_s - finished.finished_s > SERVICE.cache_life_s
    ):
        _fail_attempt(cluster, node, attempt)
        return
    attempt.refused_by = ()
    call_later_if_current(
        cluster,
        node,
        attempt,
        _RETRY_DELAY_S,
        lambda: _reserve(cluster, node, attempt),
    )


def _send_prefill(
    cluster: Cluster, node: AttemptNode, attempt: Attempt
) -> None:
    name, call = attempt.prefill_engine, attempt.call
    sent = SentPrefill(call.prompt_tokens, cluster.loop.now_s)
    node.local_view.prefills_by_engine[name][attempt.attempt_id] = sent
    node.local_view.index.add_expected(name, call.blocks)
    delay_s = cluster.distance_s(node.entry, name)
    attempt.prefill_sent = True

    def on_done(finished: FinishedPrefill) -> None:
        if not attempt.is_current or node.is_dead:
            cluster.counters.wasted_tokens += finished.computed_tokens
        else:
            attempt.finished_prefill = finished
        report = finished.engine.report()
        cluster.loop.call_later(delay_s, lambda: on_response(report))

    def on_response(report: LoadReport) -> None:
        sent.finished_s = cluster.loop.now_s
        if cluster.variant.responses_carry_load:
            node.local_view.record_report(report)
        if not attempt.is_current or node.is_dead:
            return
        if cluster.variant.reserve == "after":
            _reserve(cluster, node, attempt)
        _transfer_when_ready(cluster, node, attempt)

    def arrive() -> None:
        engine = cluster.prefill[name]
        if not engine.submit(call, on_done):
            report = engine.report()
            cluster.loop.call_later(delay_s, lambda: on_refused(report))

    def on_refused(report: LoadReport) -> None:
        cluster.counters.prefills_refused += 1
        node.local_view.prefills_by_engine[name].pop(attempt.attempt_id, None)
        node.local_view.record_report(report)
        if attempt.is_current and not node.is_dead:
            attempt.prefill_sent = False
            _retry_prefill(cluster, node, attempt)

    cluster.loop.call_later(delay_s, arrive)


def _retry_prefill(
    cluster: Cluster, node: AttemptNode, attempt: Attempt
) -> None:
    view = node.chooser.choose_prefill_engine(attempt.call)
    if view is not None:
        attempt.prefill_engine = view.endpoint.name
        _send_prefill(cluster, node, attempt)
        return
    if cluster.loop.now_s > attempt.latest_prefill_s:
        abandon(cluster, node, attempt)
        node.on_requeue(attempt)
        return
    call_later_if_current(
        cluster,
        node,
        attempt,
        _RETRY_DELAY_S,
        lambda: _retry_prefill(cluster, node, attempt),
    )


def _transfer_when_ready(
    cluster: Cluster, node: AttemptNode, attempt: Attempt
) -> None:
    finished = attempt.finished_prefill
    if (
        not attempt.reserved
        or finished is None
        or attempt.decode_engine is None
    ):
        return
    decode = attempt.decode_engine
    round_trip_s = 2 * cluster.engine_distance_s(attempt.prefill_engine, decode)
    request_s = cluster.distance_s(node.entry, decode)
    transfer_s = finished.engine.enqueue_transfer(attempt.call)
    node.local_view.record_transfer(attempt.prefill_engine, attempt.call)
    total_s = request_s + round_trip_s + transfer_s
    end_s = cluster.loop.now_s + total_s
    if end_s - finished.finished_s > SERVICE.cache_life_s:
        _fail_attempt(cluster, node, attempt)
        return
    call_later_if_current(
        cluster,
        node,
        attempt,
        total_s,
        lambda: _start_decode(cluster, node, attempt, decode),
    )


def _start_decode(
    cluster: Cluster, node: AttemptNode, attempt: Attempt, name: str
) -> None:
    delay_s = cluster.distance_s(node.entry, name) + _CALLER_DELAY_S
    outcome = cluster.outcome_by_id[attempt.call.call_id]

    def on_token(last: bool) -> None:
        if node.is_dead:
            return
        received_s = cluster.loop.now_s + delay_s
        if outcome.first_token_s is None:
            outcome.first_token_s = received_s
            attempt.streaming = True
        elif outcome.last_token_s is not None:
            gap_s = received_s - outcome.last_token_s
            outcome.max_gap_s = max(outcome.max_gap_s, gap_s)
        outcome.last_token_s = received_s
        if last:
            outcome.done = True
            call_later_if_current(cluster, node, attempt, delay_s, on_end)

    def on_end() -> None:
        attempt.is_current = False
        record_release(node, attempt, cluster.loop.now_s)
        node.on_ended(attempt)

    cluster.decode[name].start(
        attempt.attempt_id, attempt.call.output_tokens, on_token
    )


def _fail_attempt(
    cluster: Cluster, node: AttemptNode, attempt: Attempt
) -> None:
    abandon(cluster, node, attempt)
    node.on_failed(attempt)


__all__ = ["start_attempt"]
