"""Chooses what is piggybacked on a datagram of bounded size."""

from __future__ import annotations

import dataclasses
import heapq
from collections.abc import Callable, Iterable, Mapping
from typing import TypeVar

from burdockspan.membership import shared as sharing
from burdockspan.membership import sizes
from burdockspan.membership.table import (
    Members,
    report_send_limit,
    send_limit,
)
from burdockspan.membership.values import (
    AgedReport,
    CrashRecord,
    LeavingStatus,
    Member,
    Message,
    MessageKind,
)

# At this size, two datagrams sent and two received every 200 ms take about
# 20 KB/s, which leaves 9 KB/s of the limit of 29 KB/s to polls and fetches.
TARGET_BYTES = 1_000
# Shares of the remaining space. What one kind of entries does not use is left
# to the next.
_MEMBERS_SHARE = 0.5
_LEAVING_STATUSES_SHARE = 0.15
_CRASH_RECORDS_SHARE = 0.2
# Each datagram repeats the state of this many known members, so that a node
# that has missed an update receives it eventually, even without new updates.
_REPEATED_MEMBERS = 3
# Number of entries of one kind that a datagram is filled from; more would not
# fit.
_CANDIDATES = 32

_K = TypeVar("_K")
_V = TypeVar("_V")


def compose(
    members: Members,
    kind: MessageKind,
    sequence: int,
    now_s: float,
    *,
    recipient: str | None = None,
    target: str | None = None,
    target_address: str | None = None,
) -> tuple[Members, Message]:
    """Returns the state after sending and a message with piggybacked entries.

    Args:
      members: membership state.
      kind: kind of the message.
      sequence: its sequence number.
      now_s: monotonic seconds.
      recipient: VM that the message is sent to, if known. If this node has it
        as suspect, dead or left, the message includes that state, so that the
        recipient can refute it.
      target: VM that is pinged or acknowledged.
      target_address: address of the target, in a ping request.
    """
    message = Message(
        kind,
        sequence,
        members.me,
        members.region,
        members.versions,
        target,
        target_address,
    )
    free_bytes = TARGET_BYTES - sizes.size_of_header(message)
    about_recipient = _recipient_update(members, recipient)
    free_bytes -= sum(map(sizes.size_of_member, about_recipient))
    updates, member_sends = _choose(
        members.member_sends,
        send_limit(members),
        members.by_vm.get,
        sizes.size_of_member,
        int(free_bytes * _MEMBERS_SHARE),
    )
    updates = tuple(
        update for update in updates if update not in about_recipient
    )
    free_bytes -= sum(map(sizes.size_of_member, updates))
    repeated, position = _choose_repeated(
        members, {update.vm for update in updates}
    )
    free_bytes -= sum(map(sizes.size_of_member, repeated))
    leaving_statuses, leaving_sends = _choose_leaving_statuses(
        members, int(free_bytes * _LEAVING_STATUSES_SHARE)
    )
    free_bytes -= sum(map(sizes.size_of_leaving_status, leaving_statuses))
    crash_records, crash_record_sends = _choose_crash_records(
        members, int(free_bytes * _CRASH_RECORDS_SHARE), now_s
    )
    free_bytes -= sum(map(sizes.size_of_crash_record, crash_records))
    reports, report_sends = _choose_reports(members, free_bytes, now_s)
    message = dataclasses.replace(
        message,
        updates=(*about_recipient, *updates, *repeated),
        reports=reports,
        leaving_statuses=leaving_statuses,
        crash_records=crash_records,
    )
    shared = dataclasses.replace(
        members.shared,
        report_sends=report_sends,
        leaving_sends=leaving_sends,
        crash_record_sends=crash_record_sends,
    )
    return dataclasses.replace(
        members,
        member_sends=member_sends,
        repeat_position=position,
        shared=shared,
    ), message


def _recipient_update(
    members: Members, recipient: str | None
) -> tuple[Member, ...]:
    if recipient is None or recipient == members.vm:
        return ()
    known = members.by_vm.get(recipient)
    if known is None or known.state is known.state.ALIVE:
        return ()
    return (known,)


def _choose_leaving_statuses(
    members: Members, free_bytes: int
) -> tuple[tuple[LeavingStatus, ...], Mapping[str, int]]:
    return _choose(
        members.shared.leaving_sends,
        send_limit(members),
        members.shared.leaving_statuses.get,
        sizes.size_of_leaving_status,
        free_bytes,
    )


def _choose_crash_records(
    members: Members, free_bytes: int, now_s: float
) -> tuple[tuple[CrashRecord, ...], Mapping[sharing.CrashKey, int]]:
    expiries = members.shared.expiry_s_by_crash
    return _choose(
        members.shared.crash_record_sends,
        send_limit(members),
        lambda key: (
            sharing.to_crash_record(key, expiries[key], now_s)
            if key in expiries
            else None
        ),
        sizes.size_of_crash_record,
        free_bytes,
    )


def _choose_reports(
    members: Members, free_bytes: int, now_s: float
) -> tuple[tuple[AgedReport, ...], Mapping[str, int]]:
    reports = members.shared.reports
    return _choose(
        members.shared.report_sends,
        report_send_limit(members),
        lambda name: (
            sharing.to_aged_report(reports[name], now_s)
            if name in reports
            else None
        ),
        sizes.size_of_report,
        free_bytes,
    )


def _choose(
    sends: Mapping[_K, int],
    limit: int,
    look_up: Callable[[_K], _V | None],
    size_of: Callable[[_V], int],
    free_bytes: int,
) -> tuple[tuple[_V, ...], Mapping[_K, int]]:
    # Takes the least sent entries first. An entry that has been sent `limit`
    # times is no longer disseminated.
    if not sends:
        return (), sends
    sends_after = dict(sends)
    chosen: list[_V] = []
    for key in _least_sent(sends):
        value = look_up(key)
        if value is None:
            del sends_after[key]
            continue
        size = size_of(value)
        if size > free_bytes:
            continue
        free_bytes -= size
        chosen.append(value)
        # Re-inserted at the end, so that equally often sent entries take turns.
        count = sends_after.pop(key) + 1
        if count < limit:
            sends_after[key] = count
    return tuple(chosen), sends_after


def _least_sent(sends: Mapping[_K, int]) -> Iterable[_K]:
    return heapq.nsmallest(_CANDIDATES, sends, key=sends.__getitem__)


def _choose_repeated(
    members: Members, chosen: set[str]
) -> tuple[tuple[Member, ...], int]:
    repeated: list[Member] = []
    position = members.repeat_position
    for _ in range(min(_REPEATED_MEMBERS, len(members.probe_order))):
        vm = members.probe_order[position % len(members.probe_order)]
        position = (position + 1) % len(members.probe_order)
        member = members.by_vm.get(vm)
        if member is not None and member.live and vm not in chosen:
            repeated.append(member)
    return tuple(repeated), position


__all__ = ["TARGET_BYTES", "compose"]
