from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from burdockspan.requests import lifecycle, outcome
from burdockspan.requests.lifecycle import RequestRow, State
from burdockspan.values.endpoint import Endpoint, Pool
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import (
    AttemptEvent,
    Failure,
    FailureKind,
    Placement,
)
from burdockspan.values.refusal import Execution, Reason, Refusal
from burdockspan.values.submission import CallKind, Priority, Submission

_DEADLINE_S = 100.0
_REFUSAL = Refusal(503, Execution.NOT_RUN, Reason.OVERLOADED, "full")
_SENT_EVENTS = (AttemptEvent.PREFILL_SENT, AttemptEvent.DISPATCHED)
_NOT_STARTED = (
    FailureKind.FULL,
    FailureKind.LEAVING,
    FailureKind.NOT_CONNECTED,
    FailureKind.REFUSED,
)


def _make_row(kind: CallKind, idempotent: bool = True) -> RequestRow:
    submission = Submission(
        request_id="r",
        client="c",
        kind=kind,
        target="t",
        path="/",
        priority=Priority.URGENT,
        arrived_s=0.0,
        deadline_s=_DEADLINE_S,
        idempotent=idempotent,
    )
    return RequestRow(submission)


def _make_placement(sequence: int) -> Placement:
    return Placement(
        "r",
        AttemptId("vm", 1, sequence),
        pieces=1,
        prefill=Endpoint("p", "127.0.0.1:1", "s", Pool.PREFILL, "z"),
        decode=Endpoint("d", "127.0.0.1:2", "s", Pool.DECODE, "z"),
    )


# "place" starts an attempt, "late" is an event of another attempt.
_STEPS = st.one_of(
    st.just(("place", None)),
    st.tuples(st.just("event"), st.sampled_from(list(AttemptEvent))),
    st.tuples(st.just("fail"), st.sampled_from(list(FailureKind))),
    st.just(("refuse", None)),
    st.just(("cancel", None)),
    st.tuples(st.just("late"), st.sampled_from(list(AttemptEvent))),
)


class LifecycleTest(unittest.TestCase):
    @settings(max_examples=400)
    @given(
        kind=st.sampled_from(list(CallKind)),
        steps=st.lists(_STEPS, max_size=12),
    )
    def test_lifecycle_refusals_are_truthful(
        self, kind: CallKind, steps: list
    ) -> None:
        """Guards against a `not_run` refusal of a call that may have run."""
        row = _make_row(kind)
        may_have_run = False
        sequence = 0
        for name, value in steps:
            before = row
            if name == "place":
                sequence += 1
                result = lifecycle.start_attempt(row, _make_placement(sequence))
            elif name == "event":
                current = row.attempt or AttemptId("vm", 1, 0)
                result = lifecycle.record_event(row, current, value, 0.0)
            elif name == "late":
                stale = AttemptId("vm", 1, sequence + 100)
                result = lifecycle.record_event(row, stale, value, 0.0)
                self.assertTrue(result.is_err())
            elif name == "fail":
                current = row.attempt or AttemptId("vm", 1, 0)
                result = lifecycle.fail_attempt(
                    row, current, Failure(value, "d")
                )
                started = before.last_event not in (None, AttemptEvent.RESERVED)
                refused = (
                    before.last_event in _SENT_EVENTS and value in _NOT_STARTED
                )
                if result.is_ok() and started and not refused:
                    may_have_run = True
            elif name == "refuse":
                result = lifecycle.refuse(row, _REFUSAL)
            else:
                result = lifecycle.cancel(row)
            if result.is_err():
                continue
            self.assertNotIn(before.state, lifecycle.TERMINAL_STATES)
            row = result.ok_value.row
            if row.state in lifecycle.TERMINAL_STATES:
                running = before.attempt is not None
                started = before.last_event not in (None, AttemptEvent.RESERVED)
                may_have_run = may_have_run or (running and started)
                is_not_run = row.execution is Execution.NOT_RUN
                self.assertEqual(is_not_run, not may_have_run)

    def test_lifecycle_rejects_events_of_another_attempt(self) -> None:
        """Guards against relaying the response to an earlier attempt."""
        row = (
            lifecycle.start_attempt(
                _make_row(CallKind.COMPLETION), _make_placement(1)
            )
            .unwrap()
            .row
        )
        failed = (
            lifecycle.fail_attempt(
                row, AttemptId("vm", 1, 1), Failure(FailureKind.FULL, "d")
            )
            .unwrap()
            .row
        )
        again = lifecycle.start_attempt(failed, _make_placement(2)).unwrap().row
        late = lifecycle.record_event(
            again, AttemptId("vm", 1, 1), AttemptEvent.RESERVED, 0.0
        )
        self.assertEqual(late.err(), lifecycle.InvalidTransition.NOT_CURRENT)

    def test_lifecycle_starts_nothing_after_the_deadline(self) -> None:
        """Guards against a paused process that starts an attempt too late."""
        row = (
            lifecycle.start_attempt(
                _make_row(CallKind.SERVICE), _make_placement(1)
            )
            .unwrap()
            .row
        )
        late = lifecycle.record_event(
            row, AttemptId("vm", 1, 1), AttemptEvent.DISPATCHED, _DEADLINE_S
        )
        self.assertEqual(late.err(), lifecycle.InvalidTransition.DEADLINE)

    def test_lifecycle_releases_both_engines_of_a_cancelled_request(
        self,
    ) -> None:
        """Guards against memory that stays reserved without a caller."""
        row = (
            lifecycle.start_attempt(
                _make_row(CallKind.COMPLETION), _make_placement(1)
            )
            .unwrap()
            .row
        )
        transition = lifecycle.cancel(row).unwrap()
        self.assertEqual({r.endpoint for r in transition.releases}, {"p", "d"})
        self.assertEqual(transition.aborted, AttemptId("vm", 1, 1))

    def test_lifecycle_never_retries_a_started_non_idempotent_call(
        self,
    ) -> None:
        """Guards against a second run after a lost response."""
        row = (
            lifecycle.start_attempt(
                _make_row(CallKind.SERVICE, idempotent=False),
                _make_placement(1),
            )
            .unwrap()
            .row
        )
        sent = (
            lifecycle.record_event(
                row, AttemptId("vm", 1, 1), AttemptEvent.DISPATCHED, 0.0
            )
            .unwrap()
            .row
        )
        for kind in FailureKind:
            with self.subTest(kind=kind):
                ran = outcome.execution_after(sent.last_event, kind)
                allowed = lifecycle.may_retry(sent, Failure(kind, "s"), 3)
                self.assertEqual(allowed, ran is Execution.NOT_RUN)

    def test_lifecycle_ends_in_done_after_all_events(self) -> None:
        """Guards against a normal course of events that is rejected."""
        row = (
            lifecycle.start_attempt(
                _make_row(CallKind.COMPLETION), _make_placement(1)
            )
            .unwrap()
            .row
        )
        for event in (
            AttemptEvent.RESERVED,
            AttemptEvent.PREFILL_SENT,
            AttemptEvent.PREFILLED,
            AttemptEvent.TRANSFERRED,
            AttemptEvent.DECODE_SENT,
            AttemptEvent.FIRST_BYTE,
        ):
            row = (
                lifecycle.record_event(row, AttemptId("vm", 1, 1), event, 0.0)
                .unwrap()
                .row
            )
        transition = lifecycle.finish(row, Execution.RAN, 200).unwrap()
        self.assertEqual(transition.row.state, State.DONE)
        self.assertEqual([r.endpoint for r in transition.releases], ["d"])
