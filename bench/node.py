"""One entry VM: queue, admission and dispatch with the product's functions."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from bench import attempts
from bench.attempt_state import Attempt, abandon
from bench.choices import Chooser
from bench.cluster import Cluster
from bench.local_view import LocalView
from bench.workload import SERVICE, Call
from burdockspan.admission import forecast as forecasts
from burdockspan.admission import queue
from burdockspan.admission.deadline import Forecast
from burdockspan.configuration.document import Policy
from burdockspan.resilience import retries
from burdockspan.values.submission import CallKind, Priority, Submission

_POLICY = Policy()
# Dispatch stops until the next event once this many calls did not fit.
_MAX_SKIPPED_CALLS = 8
# Reservation and prefill take two one-way delays each, the request for the
# decode and the first token one each.
_DELAYS_TO_FIRST_TOKEN = 6
_TICK_INTERVAL_S = 0.05


class EntryNode:
    """Queue and attempts of one entry VM.

    Attributes:
      entry: index of the entry VM.
      is_dead: whether the VM was killed.
      is_known_dead: whether the other VMs have detected its death.
      next_owner: owner of the pool after the death of this one is detected;
        None before it.
      place_elsewhere: places a call that this owner would queue again after
        its death; None before it.
      local_view: what the VM knows about the engines.
      chooser: chooses engines for a call.
      waiting: queued calls by identity.
      calls: all calls by identity.
      attempts: attempts in progress by identity.
    """

    def __init__(self, cluster: Cluster, entry: int) -> None:
        self.entry = entry
        self.is_dead = False
        self.is_known_dead = False
        self.next_owner: EntryNode | None = None
        self.place_elsewhere: Callable[[Call], None] | None = None
        self.local_view = LocalView(cluster, entry)
        self.chooser = Chooser(
            cluster.variant, self.local_view, cluster.rng.random
        )
        self.waiting: dict[str, queue.WaitingCall] = {}
        self.calls: dict[str, Call] = {}
        self.attempts: dict[str, Attempt] = {}
        self._cluster = cluster
        self._shares = queue.PriorityShares(patient_share=_POLICY.patient_share)
        self._retry_budget = retries.make_budget(
            _POLICY.retry_ratio, _POLICY.retry_burst
        )
        self._release_rate = forecasts.Rate()
        self._urgent_rate = forecasts.Rate()
        self._sequence = itertools.count(1)
        self._tick()

    def submit(self, call: Call) -> None:
        """Admits or refuses a call."""
        now_s = self._cluster.loop.now_s
        if call.priority is Priority.URGENT:
            self._urgent_rate = forecasts.record_amount(
                self._urgent_rate, call.pieces, now_s
            )
        submission = _make_submission(call)
        forecast = self._forecast()
        if self._cluster.variant.admission:
            admission = queue.admit(self.waiting, submission, forecast, now_s)
            if admission.is_err():
                self._refuse(call.call_id)
                return
        self._retry_budget = retries.earn(self._retry_budget)
        self.calls[call.call_id] = call
        self.waiting[call.call_id] = queue.make_waiting_call(
            submission, call.pieces, forecast
        )
        self.dispatch()

    def dispatch(self) -> None:
        """Starts queued calls while engines can take them."""
        if self.is_dead:
            return
        self._shed_waiting()
        skipped: dict[str, queue.WaitingCall] = {}
        while len(skipped) < _MAX_SKIPPED_CALLS:
            waiting_call = self._choose_next()
            if waiting_call is None:
                break
            del self.waiting[waiting_call.request_id]
            if self._start_attempt(
                self.calls[waiting_call.request_id], waiting_call.latest_start_s
            ):
                self._shares = queue.record_grant(
                    self._shares, waiting_call, self.waiting
                )
            else:
                skipped[waiting_call.request_id] = waiting_call
        self.waiting.update(skipped)

    def on_requeue(self, attempt: Attempt) -> None:
        """Puts the call of an ended attempt back into the queue."""
        call = attempt.call
        self.attempts.pop(attempt.attempt_id, None)
        if self.place_elsewhere is not None:
            self.place_elsewhere(call)
            return
        self.waiting[call.call_id] = queue.make_waiting_call(
            _make_submission(call), call.pieces, self._forecast()
        )
        self.dispatch()

    def on_failed(self, attempt: Attempt) -> None:
        """Retries a call within the retry budget."""
        call = attempt.call
        self.attempts.pop(attempt.attempt_id, None)
        outcome = self._cluster.outcome_by_id[call.call_id]
        if outcome.first_token_s is not None:
            outcome.lost = True
            return
        spent = retries.spend(self._retry_budget, self._cluster.loop.now_s)
        if spent.is_err():
            self._refuse(call.call_id)
            return
        self._retry_budget = spent.unwrap()
        self._cluster.counters.retries += 1
        self.on_requeue(attempt)

    def on_ended(self, attempt: Attempt) -> None:
        """Counts the memory that a finished call releases."""
        now_s = self._cluster.loop.now_s
        self.attempts.pop(attempt.attempt_id, None)
        if self.next_owner is not None:
            self.next_owner.record_released_memory(attempt.call)
            return
        self._release_rate = forecasts.record_amount(
            self._release_rate, attempt.call.pieces, now_s
        )
        self.dispatch()

    def record_released_memory(self, call: Call) -> None:
        """Counts the released memory of a call that an earlier owner placed."""
        self._release_rate = forecasts.record_amount(
            self._release_rate, call.pieces, self._cluster.loop.now_s
        )
        self.dispatch()

    def become_owner(self) -> None:
        """Takes over the ownership of the pool; the rates start at zero."""
        now_s = self._cluster.loop.now_s
        self._release_rate = forecasts.Rate(started_s=now_s, updated_s=now_s)
        self._urgent_rate = forecasts.Rate(started_s=now_s, updated_s=now_s)

    def on_engine_crash(self, attempt_ids: tuple[str, ...]) -> None:
        """Fails the attempts that ran on a crashed decode engine."""
        if self.is_dead:
            return
        for attempt_id in attempt_ids:
            attempt = self.attempts.get(attempt_id)
            if attempt is not None and attempt.is_current:
                abandon(self._cluster, self, attempt)
                self.on_failed(attempt)

    def _tick(self) -> None:
        self.dispatch()
        self._cluster.loop.call_later(_TICK_INTERVAL_S, self._tick)

    def _shed_waiting(self) -> None:
        if not self._cluster.variant.admission:
            return
        now_s = self._cluster.loop.now_s
        # A plain FIFO queue sheds only calls that are late by themselves, not
        # those that the calls before them will delay.
        plain_fifo = self._cluster.variant.queue_order == "fifo"
        forecast = Forecast() if plain_fifo else self._forecast()
        for waiting_call in queue.shed(self.waiting, forecast, now_s):
            del self.waiting[waiting_call.request_id]
            self._refuse(waiting_call.request_id)

    def _choose_next(self) -> queue.WaitingCall | None:
        order = self._cluster.variant.queue_order
        waiting_calls = self.waiting
        if order == "fifo":
            return min(
                waiting_calls.values(),
                key=lambda waiting_call: waiting_call.arrived_s,
                default=None,
            )
        shares = queue.PriorityShares() if order == "strict" else self._shares
        now_s = self._cluster.loop.now_s
        return queue.choose_next(waiting_calls, shares, now_s)

    def _start_attempt(self, call: Call, latest_prefill_s: float) -> bool:
        variant = self._cluster.variant
        decode = self.chooser.choose_decode_engine(call)
        if decode is None and variant.expected_release_share is None:
            return False
        slack_s = latest_prefill_s - self._cluster.loop.now_s
        prefill = self.chooser.choose_prefill_engine(call, slack_s)
        if prefill is None:
            return False
        wait_s = prefill.waiting_tokens / SERVICE.prefill_tokens_per_s
        if (
            variant.expected_release_share is not None
            and not self._fits_expected_memory(call, wait_s)
        ):
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
        attempts.start_attempt(self._cluster, self, attempt, wait_s)
        return True

    def _fits_expected_memory(self, call: Call, wait_s: float) -> bool:
        now_s = self._cluster.loop.now_s
        views = self.local_view.decode_views()
        free_pieces = sum(
            max(0, view.free_pieces) for view in views if view.usable
        )
        pending_pieces = sum(
            attempt.call.pieces
            for attempt in self.attempts.values()
            if attempt.is_current and not attempt.reserved
        )
        prefill_s = call.prompt_tokens / SERVICE.prefill_tokens_per_s
        released_per_s = forecasts.rate_per_s(self._release_rate, now_s)
        expected_pieces = released_per_s * (wait_s + prefill_s)
        share = self._cluster.variant.expected_release_share or 0.0
        return (
            free_pieces - pending_pieces + share * expected_pieces
            >= call.pieces
        )

    def _forecast(self) -> Forecast:
        now_s = self._cluster.loop.now_s
        views = self.local_view.decode_views()
        supply = forecasts.Supply(
            sum(max(0, view.free_pieces) for view in views if view.usable),
            forecasts.rate_per_s(self._release_rate, now_s),
            forecasts.rate_per_s(self._urgent_rate, now_s),
            overhead_s=_DELAYS_TO_FIRST_TOKEN
            * self._cluster.team.distance_ms
            / 1000,
        )
        return forecasts.make_forecast(
            self.waiting, SERVICE, supply, _POLICY.patient_share
        )

    def _refuse(self, call_id: str) -> None:
        self._cluster.outcome_by_id[call_id].refused = True


def _make_submission(call: Call) -> Submission:
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
