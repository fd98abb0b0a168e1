"""Queue of calls that wait in one entry process for memory of an endpoint."""

from __future__ import annotations

import dataclasses
import heapq
from collections.abc import Iterable, Mapping

from result import Err, Ok, Result

from burdockspan.admission.deadline import (
    Forecast,
    retry_after_s,
    service_time_s,
    wait_behind_s,
    wait_s,
)
from burdockspan.values.refusal import Execution, Reason, Refusal
from burdockspan.values.submission import Priority, Submission

_DEFAULT_QUEUE_LIMIT = 1000


@dataclasses.dataclass(frozen=True)
class WaitingCall:
    """One call in the queue, which is keyed by request id.

    Attributes:
      request_id: identity of the call.
      priority: urgent or patient.
      pieces: pieces of decode memory that it needs; 1 for a service call.
      arrived_s: arrival, monotonic seconds.
      deadline_s: deadline, monotonic seconds.
      latest_start_s: latest grant with which it can meet its deadline.
    """

    request_id: str
    priority: Priority
    pieces: int
    arrived_s: float
    deadline_s: float
    latest_start_s: float


@dataclasses.dataclass(frozen=True)
class PriorityShares:
    """Grants given to each priority so far.

    Attributes:
      urgent: grants to urgent calls.
      patient: grants to patient calls.
      patient_share: minimum share of grants for waiting patient calls.
      credit: share that waiting patient calls have accrued, from 0 to 1. At 1
        the next grant is theirs.
    """

    urgent: int = 0
    patient: int = 0
    patient_share: float = 0.1
    credit: float = 0.0


def make_waiting_call(
    submission: Submission, pieces: int, forecast: Forecast
) -> WaitingCall:
    """Returns the queue entry of an admitted call."""
    needed_s = service_time_s(
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

    An urgent call is admitted to a full queue that contains patient calls;
    `shed` then removes one of them.
    """
    expected_s = wait_s(forecast, submission.priority)
    needed_s = service_time_s(
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

    Urgent calls go first, except that patient calls get their minimum share.
    Within a priority, the call with the earliest latest start goes first.
    """
    urgent = _earliest(waiting, Priority.URGENT, now_s)
    patient = _earliest(waiting, Priority.PATIENT, now_s)
    if urgent is None or patient is None:
        return urgent or patient
    return patient if shares.credit >= 1.0 else urgent


def record_grant(
    shares: PriorityShares,
    granted: WaitingCall,
    waiting: Mapping[str, WaitingCall],
) -> PriorityShares:
    """Returns the shares after a grant.

    Credit accrues only while patient calls wait. Credit from a period without
    them would let later patient calls delay urgent ones.

    Args:
      shares: grants so far.
      granted: the call that was granted.
      waiting: the calls that still wait.
    """
    if granted.priority is Priority.PATIENT:
        return dataclasses.replace(
            shares,
            patient=shares.patient + 1,
            credit=max(0.0, shares.credit - 1.0),
        )
    credit = 0.0
    if any(call.priority is Priority.PATIENT for call in waiting.values()):
        share = shares.patient_share
        credit = min(1.0, shares.credit + share / (1.0 - share))
    return dataclasses.replace(shares, urgent=shares.urgent + 1, credit=credit)


def shed(
    waiting: Mapping[str, WaitingCall],
    forecast: Forecast,
    now_s: float,
    queue_limit: int = _DEFAULT_QUEUE_LIMIT,
) -> tuple[WaitingCall, ...]:
    """Returns the calls to refuse so that the others can start in time.

    The result includes the newest patient calls beyond the queue limit.

    An urgent call is shed only after its own latest start. The patient calls
    are taken in the order of their latest starts, and whenever one would start
    late, the largest so far (of equal ones the newest) is dropped. This is the
    Moore-Hodgson algorithm, which keeps the largest number of calls.
    """
    late = [call for call in waiting.values() if call.latest_start_s < now_s]
    late_ids = {call.request_id for call in late}
    in_time = [call for key, call in waiting.items() if key not in late_ids]
    urgent = [call for call in in_time if call.priority is Priority.URGENT]
    patient = [call for call in in_time if call.priority is Priority.PATIENT]
    pieces_ahead = sum(call.pieces for call in urgent)
    dropped = _drop_patient(patient, forecast, pieces_ahead, now_s)
    excess = len(in_time) - len(dropped) - queue_limit
    return (*late, *dropped, *_drop_over_limit(patient, dropped, excess))


def _drop_patient(
    patient: Iterable[WaitingCall],
    forecast: Forecast,
    pieces_ahead: int,
    now_s: float,
) -> list[WaitingCall]:
    kept: list[tuple[int, float, str, WaitingCall]] = []
    dropped = []
    for call in sorted(patient, key=_start_order):
        pieces_ahead += call.pieces
        heapq.heappush(
            kept, (-call.pieces, -call.arrived_s, call.request_id, call)
        )
        if now_s + wait_behind_s(forecast, pieces_ahead) > call.latest_start_s:
            largest = heapq.heappop(kept)[-1]
            pieces_ahead -= largest.pieces
            dropped.append(largest)
    return dropped


def _drop_over_limit(
    patient: Iterable[WaitingCall], dropped: Iterable[WaitingCall], excess: int
) -> list[WaitingCall]:
    dropped_ids = {call.request_id for call in dropped}
    newest_first = [
        call for call in patient if call.request_id not in dropped_ids
    ]
    newest_first.sort(
        key=lambda call: (-call.arrived_s, -call.pieces, call.request_id)
    )
    return newest_first[: max(0, excess)]


def _earliest(
    waiting: Mapping[str, WaitingCall], priority: Priority, now_s: float
) -> WaitingCall | None:
    calls = (
        call
        for call in waiting.values()
        if call.priority is priority and call.latest_start_s >= now_s
    )
    return min(calls, key=_start_order, default=None)


def _start_order(call: WaitingCall) -> tuple[float, float, str]:
    return call.latest_start_s, call.arrived_s, call.request_id


def _can_displace(
    waiting: Mapping[str, WaitingCall], submission: Submission
) -> bool:
    return submission.priority is Priority.URGENT and any(
        call.priority is Priority.PATIENT for call in waiting.values()
    )


def _refuse_deadline(needed_s: float, left_s: float) -> Refusal:
    return Refusal(
        status=504,
        execution=Execution.NOT_RUN,
        reason=Reason.DEADLINE,
        detail=f"The call needs {needed_s:.2f} s and has {left_s:.2f} s left.",
    )


def _refuse_overloaded(delay_s: float) -> Refusal:
    return Refusal(
        status=503,
        execution=Execution.NOT_RUN,
        reason=Reason.OVERLOADED,
        detail="The expected wait exceeds the deadline of the call.",
        retry_after_s=retry_after_s(delay_s),
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
