"""One entry VM: queue, admission and dispatch by the product's functions."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from bench import attempts
from bench.attempt_state import Attempt, abandon
from bench.choices import Chooser
from bench.cluster import Cluster
from bench.knowledge import Knowledge
from bench.workload import SERVICE, Call
from burdockspan.admission import forecast as forecasts
from burdockspan.admission import queue
from burdockspan.admission.deadline import Forecast
from burdockspan.configuration.document import Policy
from burdockspan.resilience import retries
from burdockspan.values.submission import CallKind, Priority, Submission

_POLICY = Policy()
# Calls that are passed over, because they do not fit, before dispatch gives
# up until the next event.
_PASSED_OVER = 8
_TICK_S = 0.05


class EntryNode:
    """Queue and attempts of one entry VM."""

    def __init__(self, cluster: Cluster, entry: int) -> None:
        self.entry = entry
        self.dead = False
        self.retired = False
        self.heir: EntryNode | None = None
        self.successor: Callable[[Call], None] | None = None
        self.knowledge = Knowledge(cluster, entry)
        self.chooser = Chooser(
            cluster.variant, self.knowledge, cluster.rng.random
        )
        self.waiting: dict[str, queue.WaitingCall] = {}
        self.calls: dict[str, Call] = {}
        self.attempts: dict[str, Attempt] = {}
        self._cluster = cluster
        self._shares = queue.PriorityShares(patient_share=_POLICY.patient_share)
        self._budget = retries.make_budget(
            _POLICY.retry_ratio, _POLICY.retry_burst
        )
        self._released = forecasts.Rate()
        self._urgent = forecasts.Rate()
        self._sequence = itertools.count(1)
        self._tick()

    def submit(self, call: Call) -> None:
        """Admits or refuses a call."""
        now_s = self._cluster.loop.now_s
        if call.priority is Priority.URGENT:
            self._urgent = forecasts.record_amount(
                self._urgent, call.pieces, now_s
            )
        submission = _submission(call)
        forecast = self._forecast()
        if self._cluster.variant.admission:
            verdict = queue.admit(self.waiting, submission, forecast, now_s)
            if verdict.is_err():
                self._refuse(call.call_id)
                return
        self._budget = retries.earn(self._budget)
        self.calls[call.call_id] = call
        self.waiting[call.call_id] = queue.make_waiting_call(
            submission, call.pieces, forecast
        )
        self.dispatch()

    def dispatch(self) -> None:
        """Grants waiting calls while they can be placed."""
        if self.dead:
            return
        self._shed()
        passed: dict[str, queue.WaitingCall] = {}
        while len(passed) < _PASSED_OVER:
            row = self._choose_next()
            if row is None:
                break
            del self.waiting[row.request_id]
            if self._start(self.calls[row.request_id], row.latest_start_s):
                self._shares = queue.record_grant(
                    self._shares, row, self.waiting
                )
            else:
                passed[row.request_id] = row
        self.waiting.update(passed)

    def on_requeue(self, attempt: Attempt) -> None:
        """Queues the call of a refused reservation again."""
        call = attempt.call
        self.attempts.pop(attempt.attempt_id, None)
        if self.successor is not None:
            self.successor(call)
            return
        self.waiting[call.call_id] = queue.make_waiting_call(
            _submission(call), call.pieces, self._forecast()
        )
        self.dispatch()

    def on_failed(self, attempt: Attempt) -> None:
        """Retries a call within the budget."""
        call = attempt.call
        self.attempts.pop(attempt.attempt_id, None)
        outcome = self._cluster.outcome_by_id[call.call_id]
        if outcome.first_token_s is not None:
            outcome.lost = True
            return
        spent = retries.spend(self._budget, self._cluster.loop.now_s)
        if spent.is_err():
            self._refuse(call.call_id)
            return
        self._budget = spent.unwrap()
        self._cluster.tally.retries += 1
        self.on_requeue(attempt)

    def on_ended(self, attempt: Attempt) -> None:
        """Counts the memory that a finished call gives back."""
        now_s = self._cluster.loop.now_s
        self.attempts.pop(attempt.attempt_id, None)
        if self.heir is not None:
            self.heir.note_released(attempt.call)
            return
        self._released = forecasts.record_amount(
            self._released, attempt.call.pieces, now_s
        )
        self.dispatch()

    def note_released(self, call: Call) -> None:
        """Counts memory of a call that another owner had granted."""
        self._released = forecasts.record_amount(
            self._released, call.pieces, self._cluster.loop.now_s
        )
        self.dispatch()

    def take_over(self) -> None:
        """Becomes the owner of the pool; its rates start anew."""
        now_s = self._cluster.loop.now_s
        self._released = forecasts.Rate(started_s=now_s, updated_s=now_s)
        self._urgent = forecasts.Rate(started_s=now_s, updated_s=now_s)

    def on_engine_lost(self, lost: tuple[str, ...]) -> None:
        """Fails the attempts that a dead decode engine held."""
        if self.dead:
            return
        for attempt_id in lost:
            attempt = self.attempts.get(attempt_id)
            if attempt is not None and attempt.current:
                abandon(self._cluster, self, attempt)
                self.on_failed(attempt)

    def _tick(self) -> None:
        self.dispatch()
        self._cluster.loop.after(_TICK_S, self._tick)

    def _shed(self) -> None:
        if not self._cluster.variant.admission:
            return
        now_s = self._cluster.loop.now_s
        # Plain first in, first out only drops what is late by itself.
        plain = self._cluster.variant.order == "fifo"
        forecast = Forecast() if plain else self._forecast()
        for row in queue.shed(self.waiting, forecast, now_s):
            del self.waiting[row.request_id]
            self._refuse(row.request_id)

    def _choose_next(self) -> queue.WaitingCall | None:
        order = self._cluster.variant.order
        rows = self.waiting
        if order == "fifo":
            return min(
                rows.values(), key=lambda row: row.arrived_s, default=None
            )
        shares = queue.PriorityShares() if order == "strict" else self._shares
        now_s = self._cluster.loop.now_s
        return queue.choose_next(rows, shares, now_s)

    def _start(self, call: Call, latest_prefill_s: float) -> bool:
        variant = self._cluster.variant
        decode = self.chooser.decode(call)
        if decode is None and variant.ahead is None:
            return False
        slack_s = latest_prefill_s - self._cluster.loop.now_s
        prefill = self.chooser.prefill(call, slack_s)
        if prefill is None:
            return False
        wait_s = prefill.waiting_tokens / SERVICE.prefill_tokens_per_s
        if variant.ahead is not None and not self._fits_ahead(call, wait_s):
            return False
        attempt = Attempt(
            f"{self.entry}:1:{next(self._sequence)}",
            call,
            prefill.endpoint.name,
            latest_prefill_s,
            decode.endpoint.name
            if decode is not None and variant.reserve == "before"
            else None,
        )
        self.attempts[attempt.attempt_id] = attempt
        attempts.start(self._cluster, self, attempt, wait_s)
        return True

    def _fits_ahead(self, call: Call, wait_s: float) -> bool:
        now_s = self._cluster.loop.now_s
        views = self.knowledge.decode_views()
        free = sum(max(0, view.free_pieces) for view in views if view.usable)
        coming = sum(
            attempt.call.pieces
            for attempt in self.attempts.values()
            if attempt.current and not attempt.reserved
        )
        prefill_s = call.prompt_tokens / SERVICE.prefill_tokens_per_s
        per_s = forecasts.rate_per_s(self._released, now_s)
        expected = per_s * (wait_s + prefill_s)
        ahead = self._cluster.variant.ahead or 0.0
        return free - coming + ahead * expected >= call.pieces

    def _forecast(self) -> Forecast:
        now_s = self._cluster.loop.now_s
        views = self.knowledge.decode_views()
        supply = forecasts.Supply(
            sum(max(0, view.free_pieces) for view in views if view.usable),
            forecasts.rate_per_s(self._released, now_s),
            forecasts.rate_per_s(self._urgent, now_s),
            overhead_s=6 * self._cluster.size.distance_ms / 1000,
        )
        return forecasts.make_forecast(
            self.waiting, SERVICE, supply, _POLICY.patient_share
        )

    def _refuse(self, call_id: str) -> None:
        self._cluster.outcome_by_id[call_id].refused = True


def _submission(call: Call) -> Submission:
    return Submission(
        call.call_id,
        "client",
        CallKind.COMPLETION,
        SERVICE.name,
        "/v1/completions",
        call.priority,
        call.arrived_s,
        call.deadline_s,
        call.prompt_tokens,
        call.max_tokens,
        call.blocks,
    )


__all__ = ["EntryNode"]
