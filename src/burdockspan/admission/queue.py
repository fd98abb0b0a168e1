"""Calls that wait in one entry process for endpoint memory."""

from __future__ import annotations

import dataclasses
import heapq
from collections.abc import Iterable, Mapping

from result import Err, Ok, Result

from burdockspan.admission.deadline import (
    Forecast,
    retry_after_s,
    service_s,
    wait_behind_s,
    wait_s,
)
from burdockspan.values.refusal import Execution, Reason, Refusal
from burdockspan.values.submission import Priority, Submission

_DEFAULT_QUEUE_LIMIT = 1000


@dataclasses.dataclass(frozen=True)
class WaitingCall:
    """One waiting call; the table is keyed by its request id.

    Attributes:
      request_id: the call.
      priority: its class.
      pieces: decode memory that it needs; 1 for a service call.
      arrived_s: arrival, monotonic seconds.
      deadline_s: latest useful end, monotonic seconds.
      latest_start_s: latest grant with which it ends by its deadline.
    """

    request_id: str
    priority: Priority
    pieces: int
    arrived_s: float
    deadline_s: float
    latest_start_s: float


@dataclasses.dataclass(frozen=True)
class PriorityShares:
    """Grants given to each class so far.

    Attributes:
      urgent: urgent grants.
      patient: patient grants.
      patient_share: least share of the grants that waiting patient calls get.
      credit: part of a grant that waiting patient calls are owed, 0 to 1.
    """

    urgent: int = 0
    patient: int = 0
    patient_share: float = 0.1
    credit: float = 0.0


def make_waiting_call(
    submission: Submission, pieces: int, forecast: Forecast
) -> WaitingCall:
    """Returns the row of an admitted call."""
    needed_s = service_s(
        forecast, submission.prompt_tokens, submission.max_tokens
    )
    return WaitingCall(
        request_id=submission.request_id,
        priority=submission.priority,
        pieces=pieces,
        arrived_s=submission.arrived_s,
        deadline_s=submission.deadline_s,
        latest_start_s=submission.deadline_s - needed_s,
    )


def admit(
    waiting: Mapping[str, WaitingCall],
    submission: Submission,
    forecast: Forecast,
    now_s: float,
    queue_limit: int = _DEFAULT_QUEUE_LIMIT,
) -> Result[None, Refusal]:
    """Admits a call or refuses it at once.

    An urgent call is admitted to a full queue if patient calls wait in it;
    `shed` then removes one of them.
    """
    expected_s = wait_s(forecast, submission.priority)
    needed_s = service_s(
        forecast, submission.prompt_tokens, submission.max_tokens
    )
    if now_s + needed_s > submission.deadline_s:
        return Err(_refuse_deadline(needed_s, submission.deadline_s - now_s))
    excess_s = now_s + expected_s + needed_s - submission.deadline_s
    if excess_s > 0:
        return Err(_refuse_overloaded(excess_s))
    if len(waiting) >= queue_limit and not _can_displace(waiting, submission):
        return Err(_refuse_overloaded(expected_s))
    return Ok(None)


def choose_next(
    waiting: Mapping[str, WaitingCall], shares: PriorityShares, now_s: float
) -> WaitingCall | None:
    """Returns the call to grant next, None if none can meet its deadline.

    Urgent calls go first, except that patient calls get their share. Within a
    class, the call with the least time left to start goes first.
    """
    urgent = _first(waiting, Priority.URGENT, now_s)
    patient = _first(waiting, Priority.PATIENT, now_s)
    if urgent is None or patient is None:
        return urgent or patient
    return patient if shares.credit >= 1.0 else urgent


def record_grant(
    shares: PriorityShares,
    granted: WaitingCall,
    waiting: Mapping[str, WaitingCall],
) -> PriorityShares:
    """Returns the shares after a grant.

    Credit accrues only while patient calls wait, so that a past without them
    does not delay urgent calls later.

    Args:
      shares: grants so far.
      granted: the call that has been granted.
      waiting: the calls that still wait.
    """
    if granted.priority is Priority.PATIENT:
        return dataclasses.replace(
            shares,
            patient=shares.patient + 1,
            credit=max(0.0, shares.credit - 1.0),
        )
    credit = 0.0
    if any(row.priority is Priority.PATIENT for row in waiting.values()):
        share = shares.patient_share
        credit = min(1.0, shares.credit + share / (1.0 - share))
    return dataclasses.replace(shares, urgent=shares.urgent + 1, credit=credit)


def shed(
    waiting: Mapping[str, WaitingCall],
    forecast: Forecast,
    now_s: float,
    queue_limit: int = _DEFAULT_QUEUE_LIMIT,
) -> tuple[WaitingCall, ...]:
    """Returns the calls to refuse, because not all can meet their deadlines.

    Urgent calls are shed only if they are late by themselves. Of the patient
    calls, the largest and among these the newest is dropped whenever the next
    one would be late (Moore and Hodgson's rule, which keeps the most calls).
    """
    late = [row for row in waiting.values() if row.latest_start_s < now_s]
    late_ids = {row.request_id for row in late}
    rest = [row for key, row in waiting.items() if key not in late_ids]
    urgent = [row for row in rest if row.priority is Priority.URGENT]
    patient = [row for row in rest if row.priority is Priority.PATIENT]
    ahead = sum(row.pieces for row in urgent)
    dropped = _drop_patient(patient, forecast, ahead, now_s)
    over = len(rest) - len(dropped) - queue_limit
    return (*late, *dropped, *_drop_over_limit(patient, dropped, over))


def _drop_patient(
    patient: Iterable[WaitingCall], forecast: Forecast, ahead: int, now_s: float
) -> list[WaitingCall]:
    kept: list[tuple[int, float, str, WaitingCall]] = []
    dropped = []
    for row in sorted(patient, key=_urgency):
        ahead += row.pieces
        heapq.heappush(kept, (-row.pieces, -row.arrived_s, row.request_id, row))
        if now_s + wait_behind_s(forecast, ahead) > row.latest_start_s:
            largest = heapq.heappop(kept)[-1]
            ahead -= largest.pieces
            dropped.append(largest)
    return dropped


def _drop_over_limit(
    patient: Iterable[WaitingCall], dropped: Iterable[WaitingCall], over: int
) -> list[WaitingCall]:
    gone = {row.request_id for row in dropped}
    kept = [row for row in patient if row.request_id not in gone]
    kept.sort(key=lambda row: (-row.arrived_s, -row.pieces, row.request_id))
    return kept[: max(0, over)]


def _first(
    waiting: Mapping[str, WaitingCall], priority: Priority, now_s: float
) -> WaitingCall | None:
    rows = (
        row
        for row in waiting.values()
        if row.priority is priority and row.latest_start_s >= now_s
    )
    return min(rows, key=_urgency, default=None)


def _urgency(row: WaitingCall) -> tuple[float, float, str]:
    return row.latest_start_s, row.arrived_s, row.request_id


def _can_displace(
    waiting: Mapping[str, WaitingCall], submission: Submission
) -> bool:
    return submission.priority is Priority.URGENT and any(
        row.priority is Priority.PATIENT for row in waiting.values()
    )


def _refuse_deadline(needed_s: float, left_s: float) -> Refusal:
    return Refusal(
        status=504,
        execution=Execution.NOT_RUN,
        reason=Reason.DEADLINE,
        detail=f"The call needs {needed_s:.2f} s and has {left_s:.2f} s left.",
    )


def _refuse_overloaded(excess_s: float) -> Refusal:
    return Refusal(
        status=503,
        execution=Execution.NOT_RUN,
        reason=Reason.OVERLOADED,
        detail="The expected wait exceeds the deadline of the call.",
        retry_after_s=retry_after_s(excess_s),
    )


__all__ = [
    "PriorityShares",
    "WaitingCall",
    "admit",
    "choose_next",
    "record_grant",
    "make_waiting_call",
    "shed",
]
