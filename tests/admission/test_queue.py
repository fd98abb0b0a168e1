from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from burdockspan.admission.deadline import Forecast
from burdockspan.admission.queue import (
    PriorityShares,
    WaitingCall,
    admit,
    choose_next,
    make_waiting_call,
    record_grant,
    shed,
)
from burdockspan.values.refusal import Execution, Reason
from burdockspan.values.submission import CallKind, Priority, Submission

_URGENT, _PATIENT = Priority.URGENT, Priority.PATIENT


def _make_call(
    name: str,
    priority: Priority = _PATIENT,
    pieces: int = 1,
    arrived_s: float = 0.0,
    latest_start_s: float = 100.0,
) -> WaitingCall:
    return WaitingCall(name, priority, pieces, arrived_s, 200.0, latest_start_s)


def _make_queue(*calls: WaitingCall) -> dict[str, WaitingCall]:
    return {call.request_id: call for call in calls}


def _make_submission(
    priority: Priority = _PATIENT, deadline_s: float = 10.0
) -> Submission:
    return Submission(
        "r", "c", CallKind.COMPLETION, "m", "/", priority, 0.0, deadline_s, 1000
    )


class AdmitTest(unittest.TestCase):
    def test_admit_refuses_calls_that_would_miss_their_deadline(self) -> None:
        forecast = Forecast(urgent_wait_s=1.0, patient_wait_s=14.0)
        self.assertTrue(
            admit({}, _make_submission(_URGENT), forecast, 0.0).is_ok()
        )
        refusal = admit(
            {}, _make_submission(_PATIENT), forecast, 0.0
        ).unwrap_err()
        self.assertIs(refusal.execution, Execution.NOT_RUN)
        self.assertIs(refusal.reason, Reason.OVERLOADED)
        self.assertEqual(refusal.retry_after_s, 4.0)

    def test_admit_gives_no_retry_after_if_deadline_is_too_short(self) -> None:
        # A call whose service time exceeds its deadline fails on every retry.
        forecast = Forecast(prefill_s_per_token=0.02)
        refusal = admit({}, _make_submission(), forecast, 0.0).unwrap_err()
        self.assertIs(refusal.reason, Reason.DEADLINE)
        self.assertIsNone(refusal.retry_after_s)

    def test_full_queue_admits_urgent_in_place_of_patient(self) -> None:
        waiting = _make_queue(_make_call("a"), _make_call("b", arrived_s=1.0))
        self.assertTrue(
            admit(
                waiting, _make_submission(_PATIENT), Forecast(), 0, 2
            ).is_err()
        )
        self.assertTrue(
            admit(waiting, _make_submission(_URGENT), Forecast(), 0, 2).is_ok()
        )
        waiting["u"] = _make_call("u", _URGENT)
        dropped = shed(waiting, Forecast(), 0.0, 2)
        self.assertEqual([call.request_id for call in dropped], ["b"])
        urgent = _make_queue(_make_call("a", _URGENT), _make_call("b", _URGENT))
        self.assertTrue(
            admit(urgent, _make_submission(_URGENT), Forecast(), 0, 2).is_err()
        )

    def test_latest_start_leaves_time_for_the_service(self) -> None:
        forecast = Forecast(prefill_s_per_token=0.001, overhead_s=0.5)
        call = make_waiting_call(_make_submission(), 2, forecast)
        self.assertEqual((call.latest_start_s, call.pieces), (8.5, 2))


class ShedTest(unittest.TestCase):
    def test_shed_drops_largest_then_newest_patient_first(self) -> None:
        calls = _make_queue(
            _make_call("u", _URGENT, latest_start_s=2.0),
            _make_call("old", pieces=4, latest_start_s=5.0),
            _make_call("new", pieces=4, arrived_s=1.0, latest_start_s=5.0),
            _make_call("small", latest_start_s=6.0),
        )
        dropped = shed(calls, Forecast(pieces_per_s=1.0), 0.0)
        self.assertEqual([call.request_id for call in dropped], ["new"])

    def test_shed_drops_an_urgent_call_past_its_latest_start(self) -> None:
        # A call that can no longer be in time must not take memory from others.
        calls = _make_queue(
            _make_call("u", _URGENT, latest_start_s=1.0), _make_call("p")
        )
        dropped = shed(calls, Forecast(), 2.0)
        self.assertEqual([call.request_id for call in dropped], ["u"])


class ChooseTest(unittest.TestCase):
    def test_earliest_latest_start_goes_first_within_a_priority(self) -> None:
        calls = _make_queue(
            _make_call("a", _URGENT, latest_start_s=9.0),
            _make_call("b", _URGENT, latest_start_s=3.0),
            _make_call("late", _URGENT, latest_start_s=1.0),
            _make_call("p", latest_start_s=2.0),
        )
        chosen = choose_next(calls, PriorityShares(), 1.5)
        self.assertEqual(chosen, calls["b"])
        self.assertIsNone(choose_next({}, PriorityShares(), 0.0))

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(st.sampled_from(Priority), min_size=20, max_size=200),
        st.floats(0.05, 0.5),
    )
    def test_no_priority_starves_while_both_wait(
        self, arrivals: list[Priority], share: float
    ) -> None:
        # Guards against urgent calls that starve patient ones, and against
        # several grants to patient calls in a row, which delay urgent ones.
        shares = PriorityShares(patient_share=share)
        waiting: dict[str, WaitingCall] = {}
        since_patient = since_urgent = 0
        for number, priority in enumerate(arrivals):
            for extra in (priority, _URGENT, _PATIENT):
                name = f"{number}-{extra.value}-{len(waiting)}"
                waiting[name] = _make_call(name, extra, arrived_s=number)
            chosen = choose_next(waiting, shares, 0.0)
            assert chosen is not None
            del waiting[chosen.request_id]
            shares = record_grant(shares, chosen, waiting)
            urgent = chosen.priority is _URGENT
            since_patient = since_patient + 1 if urgent else 0
            since_urgent = 0 if urgent else since_urgent + 1
            self.assertLessEqual(since_patient, 1.0 / share)
            self.assertLessEqual(since_urgent, 1)

    def test_credit_does_not_accrue_without_patient_calls(self) -> None:
        # With that credit, later patient calls would delay urgent ones.
        shares = PriorityShares()
        for _ in range(50):
            shares = record_grant(shares, _make_call("u", _URGENT), {})
        self.assertEqual(shares.credit, 0.0)
