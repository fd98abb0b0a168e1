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

_U, _P = Priority.URGENT, Priority.PATIENT


def _row(
    name: str,
    priority: Priority = _P,
    pieces: int = 1,
    arrived_s: float = 0.0,
    latest_start_s: float = 100.0,
) -> WaitingCall:
    return WaitingCall(name, priority, pieces, arrived_s, 200.0, latest_start_s)


def _table(*rows: WaitingCall) -> dict[str, WaitingCall]:
    return {row.request_id: row for row in rows}


def _call(priority: Priority = _P, deadline_s: float = 10.0) -> Submission:
    return Submission(
        "r", "c", CallKind.COMPLETION, "m", "/", priority, 0.0, deadline_s, 1000
    )


class AdmitTest(unittest.TestCase):
    def test_admit_refuses_what_cannot_end_in_time(self) -> None:
        forecast = Forecast(urgent_wait_s=1.0, patient_wait_s=14.0)
        self.assertTrue(admit({}, _call(_U), forecast, 0.0).is_ok())
        refusal = admit({}, _call(_P), forecast, 0.0).unwrap_err()
        self.assertIs(refusal.execution, Execution.NOT_RUN)
        self.assertIs(refusal.reason, Reason.OVERLOADED)
        self.assertEqual(refusal.retry_after_s, 4.0)

    def test_admit_gives_no_retry_after_where_it_cannot_help(self) -> None:
        # A call that needs longer than its deadline fails on every retry.
        forecast = Forecast(prefill_s_per_token=0.02)
        refusal = admit({}, _call(), forecast, 0.0).unwrap_err()
        self.assertIs(refusal.reason, Reason.DEADLINE)
        self.assertIsNone(refusal.retry_after_s)

    def test_full_queue_admits_urgent_in_place_of_patient(self) -> None:
        waiting = _table(_row("a"), _row("b", arrived_s=1.0))
        self.assertTrue(admit(waiting, _call(_P), Forecast(), 0, 2).is_err())
        self.assertTrue(admit(waiting, _call(_U), Forecast(), 0, 2).is_ok())
        waiting["u"] = _row("u", _U)
        dropped = shed(waiting, Forecast(), 0.0, 2)
        self.assertEqual([row.request_id for row in dropped], ["b"])
        urgent = _table(_row("a", _U), _row("b", _U))
        self.assertTrue(admit(urgent, _call(_U), Forecast(), 0, 2).is_err())

    def test_latest_start_leaves_room_for_the_service_time(self) -> None:
        forecast = Forecast(prefill_s_per_token=0.001, overhead_s=0.5)
        row = make_waiting_call(_call(), 2, forecast)
        self.assertEqual((row.latest_start_s, row.pieces), (8.5, 2))


class ShedTest(unittest.TestCase):
    def test_shed_drops_largest_then_newest_patient_first(self) -> None:
        rows = _table(
            _row("u", _U, latest_start_s=2.0),
            _row("old", pieces=4, latest_start_s=5.0),
            _row("new", pieces=4, arrived_s=1.0, latest_start_s=5.0),
            _row("small", latest_start_s=6.0),
        )
        dropped = shed(rows, Forecast(pieces_per_s=1.0), 0.0)
        self.assertEqual([row.request_id for row in dropped], ["new"])

    def test_shed_drops_late_calls_of_both_classes(self) -> None:
        rows = _table(_row("u", _U, latest_start_s=1.0), _row("p"))
        dropped = shed(rows, Forecast(), 2.0)
        self.assertEqual([row.request_id for row in dropped], ["u"])


class ChooseTest(unittest.TestCase):
    def test_least_time_left_goes_first_within_a_class(self) -> None:
        rows = _table(
            _row("a", _U, latest_start_s=9.0),
            _row("b", _U, latest_start_s=3.0),
            _row("late", _U, latest_start_s=1.0),
            _row("p", latest_start_s=2.0),
        )
        chosen = choose_next(rows, PriorityShares(), 1.5)
        self.assertEqual(chosen, rows["b"])
        self.assertIsNone(choose_next({}, PriorityShares(), 0.0))

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(st.sampled_from(Priority), min_size=20, max_size=200),
        st.floats(0.05, 0.5),
    )
    def test_no_class_starves_while_both_wait(
        self, arrivals: list[Priority], share: float
    ) -> None:
        # Guards against urgent work starving patient work, and against old
        # patient-only grants blocking urgent work later.
        shares = PriorityShares(patient_share=share)
        waiting: dict[str, WaitingCall] = {}
        since_patient = since_urgent = 0
        for number, priority in enumerate(arrivals):
            for extra in (priority, _U, _P):
                name = f"{number}-{extra.value}-{len(waiting)}"
                waiting[name] = _row(name, extra, arrived_s=number)
            chosen = choose_next(waiting, shares, 0.0)
            assert chosen is not None
            del waiting[chosen.request_id]
            shares = record_grant(shares, chosen, waiting)
            urgent = chosen.priority is _U
            since_patient = since_patient + 1 if urgent else 0
            since_urgent = 0 if urgent else since_urgent + 1
            self.assertLessEqual(since_patient, 1.0 / share)
            self.assertLessEqual(since_urgent, 1)

    def test_credit_does_not_accrue_without_patient_work(self) -> None:
        shares = PriorityShares()
        for _ in range(50):
            shares = record_grant(shares, _row("u", _U), {})
        self.assertEqual(shares.credit, 0.0)
