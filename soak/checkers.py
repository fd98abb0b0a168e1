"""Checks of the promises, as functions of a recorded history."""

from __future__ import annotations

import bisect
import dataclasses
from collections.abc import Callable, Iterable, Iterator, Sequence

from soak import limits
from soak.accounts import Account
from soak.history import (
    EVENT_GAP_S,
    Arrival,
    History,
    Kind,
    Outcome,
    Request,
    Trouble,
    count_events,
    make_stream,
)

# A connection that closes this soon after a request was sent may have been
# closed before the request was read.
_CROSSING_S = 0.25
# A response may be ended this much before its limit.
_EARLY_END_S = 0.25
# The router ends long responses in the last part of the grace period.
_GRACE_SHARE = 5 / 6
# Work of an endpoint and of the router for one request, without its events.
_WORK_S = 0.5
# Suspicion against a broken endpoint lasts for several half-lives.
_RECOVERY_S = 6.0
# Part of the detail of a refusal in quarantine.
_BLAMED = b"have crashed the endpoints"
_REFUSAL_STATUSES = (408, 421, 429, 503)
_VM_TROUBLES = frozenset((Trouble.DOWN, Trouble.FROZEN, Trouble.CUT))
_NOT_IN_TOUCH = _VM_TROUBLES | {Trouble.STORE, Trouble.STOPPING}


@dataclasses.dataclass(frozen=True)
class Violation:
    """A broken promise.

    Attributes:
      checker: name of the checker.
      detail: what was seen, with its time in seconds.
      request: the request, if one is concerned.
    """

    checker: str
    detail: str
    request: Request | None = None

    def __str__(self) -> str:
        text = f"{self.checker}: {self.detail}"
        if self.request is None:
            return text
        r = self.request
        return (
            f"{text}; {r.id} at {r.vm}.{r.incarnation}, sent {r.sent_s:.2f} s, "
            f"ended {r.ended_s:.2f} s, deadline {r.deadline_s} s, "
            f"{r.outcome.value} {r.status}"
        )


Checker = Callable[[History], Iterable[Violation]]


def find_timeouts_s(history: History, request: Request) -> list[float]:
    """Returns the route's timeouts that may have applied to a request.

    These are the timeout of the newest configuration that must be in force
    when the request is sent, and those of all newer configurations. For a VM
    out of touch, the timeouts of all configurations may apply.
    """
    since_s = request.sent_s - limits.CONFIGURATION_LIMIT_S - limits.STABLE_S
    if history.overlaps(
        _NOT_IN_TOUCH,
        request.vm,
        request.sent_s - 2 * limits.STABLE_S,
        request.sent_s,
    ):
        since_s = 0.0
    return [
        write.timeout_s
        for write in history.configurations_since(since_s)
        if write.acknowledged_s <= request.ended_s + _CROSSING_S
    ] or [0.0]


def find_lost(history: History) -> Iterator[Violation]:
    """Finds requests without a complete answer or refusal in time."""
    for request in history.requests:
        if request.outcome is Outcome.NOT_SENT or history.overlaps(
            _VM_TROUBLES,
            request.vm,
            request.sent_s - _CROSSING_S,
            request.ended_s,
        ):
            continue
        detail = _describe_loss(history, request)
        if detail:
            yield Violation("LOST", detail, request)


def _describe_loss(history: History, request: Request) -> str:
    waited_s = request.ended_s - request.sent_s
    timeouts_s = find_timeouts_s(history, request)
    latest_s = min(request.deadline_s, max(timeouts_s))
    bound_s = latest_s + limits.ANSWER_SLACK_S + limits.BUSY_TOLERANCE_S
    runs = history.runs_by_request.get(request.id, ())
    if _ended_with_grace_period(history, request):
        return ""
    if request.outcome is Outcome.CUT:
        earliest_s = min(request.deadline_s, *timeouts_s) - _EARLY_END_S
        is_broken = any(run.stamp in history.broken_stamps for run in runs)
        if waited_s < earliest_s and not is_broken:
            return f"response cut off after {waited_s:.2f} s"
    elif request.outcome is Outcome.CLOSED:
        if request.id in history.arrivals_by_request:
            return f"closed after {waited_s:.2f} s, reached an endpoint"
        if waited_s > _CROSSING_S:
            return f"closed after {waited_s:.2f} s, reached no endpoint"
    if waited_s > bound_s:
        return f"no complete answer in {waited_s:.2f} s of {latest_s:.2f} s"
    return ""


def _ended_with_grace_period(history: History, request: Request) -> bool:
    """Returns whether a request was still at work when its process ended."""
    return request.outcome is not Outcome.COMPLETE and any(
        window.trouble is Trouble.STOPPING
        and window.subject == request.vm
        and window.start_s + _GRACE_SHARE * limits.GRACE_S
        <= request.ended_s
        <= window.end_s + _CROSSING_S
        for window in history.windows
    )


def find_untrue_promises(history: History) -> Iterator[Violation]:
    """Finds requests that ran twice, or were refused and ran nevertheless."""
    for request in history.requests:
        runs = history.runs_by_request.get(request.id, ())
        if request.kind.is_repeatable or not runs:
            continue
        if len(runs) > 1:
            endpoints = ", ".join(run.endpoint for run in runs)
            yield Violation("TWICE", f"ran at {endpoints}", request)
        if request.status in _REFUSAL_STATUSES:
            after_s = runs[0].started_s - request.ended_s
            yield Violation("REFUSED", f"ran {after_s:+.2f} s later", request)


def find_mixed(history: History) -> Iterator[Violation]:
    """Finds successes that are not the endpoint's response."""
    for request in history.requests:
        if not 200 <= request.status < 300:
            continue
        runs = history.runs_by_request.get(request.id, ())
        run = next((r for r in runs if r.stamp == request.stamp), None)
        if run is None:
            yield Violation("MIXED", "response of no run of it", request)
        elif not request.kind.is_stream and not _is_part(
            request.body,
            run.body,
            request.outcome is Outcome.COMPLETE,
            run.stamp in history.broken_stamps,
        ):
            detail = f"{len(request.body)} of {len(run.body)} bytes, or others"
            yield Violation("MIXED", detail, request)


def find_disorder(history: History) -> Iterator[Violation]:
    """Finds streams with missing, repeated or foreign events."""
    for request in history.requests:
        if not request.kind.is_stream or not 200 <= request.status < 300:
            continue
        runs = history.runs_by_request.get(request.id, ())
        is_broken = any(run.stamp in history.broken_stamps for run in runs)
        whole = make_stream(request.id)
        is_complete = request.outcome is Outcome.COMPLETE
        if not _is_part(request.body, whole, is_complete, is_broken):
            yield Violation("ORDER", f"ends {request.body[-60:]!r}", request)


def _is_part(
    body: bytes, whole: bytes, is_complete: bool, is_broken: bool
) -> bool:
    """Returns whether a body is what an endpoint has sent.

    Args:
      body: the received part.
      whole: the whole body of the endpoint.
      is_complete: whether the response ended as complete.
      is_broken: whether the endpoint sent other bytes after a part of it.
    """
    if is_complete:
        return body == whole
    return is_broken or whole.startswith(body)


def find_costly_silence(history: History) -> Iterator[Violation]:
    """Finds answers that a silence of sound endpoints alone has cost."""
    slowest = max((run.slowness for run in history.runs), default=1.0)
    for request in history.requests:
        silent_s = _sum_silence_s(history, request)
        if not silent_s or request.kind is Kind.PROBE:
            continue
        failed = request.outcome is not Outcome.COMPLETE or (
            request.status >= 500 and request.stamp is None
        )
        needed_s = silent_s + _WORK_S
        if request.kind.is_stream:
            needed_s += count_events(request.id) * EVENT_GAP_S * slowest
        time_s = min(request.deadline_s, *find_timeouts_s(history, request))
        is_owed = needed_s <= time_s and _holds_key(history, request)
        if failed and is_owed and _is_sound(history, request):
            yield Violation(
                "SILENCE",
                f"{request.outcome.value} {request.status} after "
                f"{request.ended_s - request.sent_s:.2f} s of {time_s:.2f} s, "
                f"endpoints silent for {silent_s:.2f} s",
                request,
            )


def _sum_silence_s(history: History, request: Request) -> float:
    """Returns how long endpoints are silent within the time of a request.

    Silences that overlap count once for each endpoint, since a request may meet
    them one after the other.
    """
    end_s = request.sent_s + request.deadline_s
    return sum(
        max(0.0, min(end_s, window.end_s) - max(request.sent_s, window.start_s))
        for window in history.windows
        if window.trouble is Trouble.SILENT
        and window.subject == request.kind.service
        and window.start_s <= request.ended_s
    )


def _is_sound(history: History, request: Request) -> bool:
    """Returns whether nothing but silence was wrong around a request."""
    start_s = request.sent_s - _RECOVERY_S
    return not history.overlaps(
        _NOT_IN_TOUCH | {Trouble.CUT_OFF}, request.vm, start_s, request.ended_s
    ) and not history.overlaps(
        frozenset((Trouble.BROKEN,)),
        request.kind.service,
        start_s,
        request.ended_s,
    )


def find_excess_retries(history: History) -> Iterator[Violation]:
    """Finds windows in which all VMs together exceed the retry budget."""
    for service in sorted({arrival.service for arrival in history.arrivals}):
        sent_s = sorted(
            request.sent_s
            for request in history.requests
            if request.kind.service == service
        )
        extra_s = _list_extra_arrivals_s(history, service)
        for index, start_s in enumerate(extra_s):
            end_s = start_s + limits.RETRY_WINDOW_S
            extra = bisect.bisect_right(extra_s, end_s) - index
            requests = max(
                _count_between(sent_s, start_s - shift_s, end_s - shift_s)
                for shift_s in (
                    0.0,
                    limits.RETRY_WINDOW_S / 2,
                    limits.RETRY_WINDOW_S,
                )
            )
            allowed = limits.RETRY_RATIO * requests + limits.RETRY_SLACK
            if extra > allowed:
                yield Violation(
                    "BUDGET",
                    f"{service}: {extra} retries from {start_s:.2f} s on, "
                    f"{allowed:.1f} allowed for {requests} requests",
                )
                break


def _list_extra_arrivals_s(history: History, service: str) -> list[float]:
    """Returns the times of the arrivals that are retries."""
    extra_s = []
    for arrivals in history.arrivals_by_request.values():
        ordered = sorted(arrivals, key=lambda arrival: arrival.at_s)
        first_prefill = next((a for a in ordered if a.is_prefill), None)
        counted = [
            arrival.at_s
            for arrival in ordered
            if arrival.service == service and arrival is not first_prefill
        ]
        extra_s += counted[1:]
    return sorted(extra_s)


def _count_between(times: Sequence[float], start: float, end: float) -> int:
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, start)


def find_drain(history: History) -> Iterator[Violation]:
    """Finds requests that reached an endpoint after its drain time."""
    for request in history.requests:
        for arrival in history.arrivals_by_request.get(request.id, ()):
            draining_s = history.draining_s_by_endpoint.get(arrival.endpoint)
            if draining_s is None or arrival.misdirected:
                continue
            late_s = request.sent_s - draining_s - limits.DRAIN_LIMIT_S
            if late_s > 0 and not history.overlaps(
                _NOT_IN_TOUCH,
                request.vm,
                draining_s - limits.STABLE_S,
                arrival.at_s,
            ):
                detail = f"{arrival.endpoint}, sent {late_s:.2f} s too late"
                yield Violation("DRAIN", detail, request)


def find_rollbacks(history: History) -> Iterator[Violation]:
    """Finds processes that went back to an older configuration.

    Each version has a route that no other version has. A process that has
    served it must not serve that of an older version later, nor deny it before
    a newer version has been written.
    """
    served_by_process: dict[tuple[str, int], list[Request]] = {}
    for probe in sorted(history.requests, key=lambda request: request.ended_s):
        if probe.kind is not Kind.PROBE or probe.incarnation is None:
            continue
        process = (probe.vm, probe.incarnation)
        served = served_by_process.setdefault(process, [])
        before = [r.version for r in served if r.ended_s < probe.sent_s]
        newest = max(before, default=0)
        if (probe.status == 200 and probe.version < newest) or (
            probe.status == 404
            and probe.version == newest
            and not _is_replaced(history, probe)
        ):
            detail = f"status {probe.status} of version {probe.version} "
            yield Violation("CONFIG", f"{detail} after {newest}", probe)
        if probe.status == 200:
            served.append(probe)


def _is_replaced(history: History, probe: Request) -> bool:
    return any(
        write.version > probe.version
        and write.acknowledged_s <= probe.ended_s + _CROSSING_S
        for write in history.configurations
    )


def find_crashing_parts(history: History) -> Iterator[Violation]:
    """Finds parts that reach engines though they have crashed five."""
    for part in sorted({crash.part for crash in history.part_crashes}):
        crashes_s = sorted(
            crash.at_s for crash in history.part_crashes if crash.part == part
        )
        if len(crashes_s) < limits.PART_CRASHES:
            continue
        known_s = crashes_s[limits.PART_CRASHES - 1] + limits.STABLE_S
        late = [
            request
            for request in history.requests
            if request.part == part
            and any(
                arrival.at_s > known_s
                and not history.overlaps(
                    _NOT_IN_TOUCH,
                    request.vm,
                    arrival.at_s - limits.STABLE_S,
                    arrival.at_s,
                )
                for arrival in history.arrivals_by_request.get(request.id, ())
            )
        ]
        if len(late) > limits.PART_REQUESTS:
            detail = (
                f"{len(late)} requests with {part} after {known_s:.2f} s, "
                f"{len(crashes_s)} crashes"
            )
            yield Violation("PART", detail, late[limits.PART_REQUESTS])


def find_blamed(history: History) -> Iterator[Violation]:
    """Finds sound requests that are refused as if they crashed engines."""
    for request in history.requests:
        if not request.part and _BLAMED in request.body:
            yield Violation("BLAMED", "sound, but refused", request)


def find_unserved(history: History) -> Iterator[Violation]:
    """Finds partitions in which the VMs that are cut off serve far less.

    Of the requests from `STABLE_S` after the begin of a partition, a VM that is
    cut off must serve two thirds of the share of the others, unless few fail.
    """
    for window in history.windows:
        if window.trouble is not Trouble.CUT_OFF:
            continue
        calm = [
            request
            for request in history.requests
            if request.kind is not Kind.PROBE
            and not _may_be_denied(history, request)
            and window.start_s + limits.STABLE_S < request.sent_s
            and request.sent_s < window.end_s
            and not history.overlaps(
                _VM_TROUBLES | {Trouble.STOPPING},
                request.vm,
                request.sent_s - limits.STABLE_S,
                request.ended_s,
            )
        ]
        cut_off = [r for r in calm if r.vm == window.subject]
        others = [
            r
            for r in calm
            if not history.overlaps(
                frozenset((Trouble.CUT_OFF,)),
                r.vm,
                r.sent_s - limits.STABLE_S,
                r.ended_s,
            )
        ]
        served, served_others = _count_served(cut_off), _count_served(others)
        failed = len(cut_off) - served
        if (
            served * len(others) * 3 < served_others * len(cut_off) * 2
            and failed > limits.FAILED_FIRST + len(cut_off) / 50
        ):
            yield Violation(
                "CUT_OFF",
                f"{window.subject}, cut off from {window.start_s:.2f} s to "
                f"{window.end_s:.2f} s, served {served} of {len(cut_off)}, "
                f"the others {served_others} of {len(others)}",
            )


def _count_served(requests: Sequence[Request]) -> int:
    return sum(
        request.outcome is Outcome.COMPLETE and 200 <= request.status < 300
        for request in requests
    )


def _may_be_denied(history: History, request: Request) -> bool:
    """Returns whether a key or a quota may deny a request.

    A VM that does not reach the store must refuse all keys after the limit.
    """
    life = history.life_by_key.get(request.key)
    is_limited = life is not None and life.account.rate_per_s > 0.0
    is_alone = history.overlaps(
        frozenset((Trouble.STORE,)),
        request.vm,
        request.sent_s - limits.STABLE_S,
        request.ended_s,
    )
    return not _holds_key(history, request) or (
        bool(history.life_by_key) and (is_limited or is_alone)
    )


def _holds_key(history: History, request: Request) -> bool:
    """Returns whether a request needs no key, or certainly has a held one."""
    life = history.life_by_key.get(request.key)
    if life is None:
        return not history.life_by_key
    known_s = life.added_s + limits.CONFIGURATION_LIMIT_S
    return known_s <= request.sent_s and request.ended_s <= life.removed_s


def find_misused_keys(history: History) -> Iterator[Violation]:
    """Finds calls of endpoints that no valid key allows, or that show one."""
    for request in history.requests:
        for arrival in history.arrivals_by_request.get(request.id, ()):
            detail = _describe_misuse(history, request, arrival)
            if detail:
                yield Violation(
                    "KEY", f"{detail} at {arrival.endpoint}", request
                )


def _describe_misuse(
    history: History, request: Request, arrival: Arrival
) -> str:
    if arrival.has_authorization:
        return "Authorization header"
    if arrival.misdirected or not history.life_by_key:
        return ""
    life = history.life_by_key.get(request.key)
    if life is None:
        return "unknown key" if request.key else "no key"
    if arrival.account != life.account.name:
        return f"account {arrival.account} instead of {life.account.name}"
    late_s = request.sent_s - life.removed_s - limits.REMOVED_KEY_LIMIT_S
    return f"removed key, sent {late_s:.2f} s too late" if late_s > 0 else ""


def find_excess_units(history: History) -> Iterator[Violation]:
    """Finds windows in which accounts exceed their quotas.

    A request counts in the windows in which it is both sent and first run. All
    VMs count together, and so do all their processes.
    """
    accounts = {
        life.account.name: life.account for life in history.life_by_key.values()
    }
    for account in accounts.values():
        used = _list_used_units(history, account)
        allowed = (
            account.rate_per_s * limits.QUOTA_WINDOW_S + account.burst
        ) * (1 + limits.QUOTA_OVERAGE) + limits.QUOTA_SLACK
        for index, (start_s, _, _) in enumerate(used):
            end_s = start_s + limits.QUOTA_WINDOW_S
            units = sum(
                units for _, run_s, units in used[index:] if run_s <= end_s
            )
            if account.rate_per_s and units > allowed:
                yield Violation(
                    "QUOTA",
                    f"{account.name}: {units} units from {start_s:.2f} s on, "
                    f"{allowed:.1f} allowed",
                )
                break


def _list_used_units(
    history: History, account: Account
) -> list[tuple[float, float, int]]:
    """Returns the time of sending, first run and units of its requests."""
    return sorted(
        (
            request.sent_s,
            min(run.started_s for run in runs),
            account.count_units(request.kind.is_stream),
        )
        for request in history.requests
        if (runs := history.runs_by_request.get(request.id))
        and (life := history.life_by_key.get(request.key))
        and life.account.name == account.name
    )


CHECKERS: tuple[Checker, ...] = (
    find_lost,
    find_untrue_promises,
    find_mixed,
    find_disorder,
    find_costly_silence,
    find_excess_retries,
    find_drain,
    find_rollbacks,
    find_crashing_parts,
    find_blamed,
    find_unserved,
    find_misused_keys,
    find_excess_units,
)


def check(history: History) -> list[Violation]:
    """Returns what all checkers find."""
    return [violation for checker in CHECKERS for violation in checker(history)]


__all__ = ["CHECKERS", "Checker", "Violation", "check", "find_timeouts_s"]
