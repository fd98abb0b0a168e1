"""Choice of what to piggyback on a datagram of bounded size."""

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

# Two datagrams sent and two received every 200 ms stay near 20 KB/s at this
# size, which leaves room for polls and fetches within 29 KB/s.
TARGET_BYTES = 1_000
# Shares of the room for entries; what is left over goes to the next kind.
_MEMBERS_SHARE = 0.5
_LEAVING_STATUSES_SHARE = 0.15
_CRASH_RECORDS_SHARE = 0.2
# Known members repeated in each datagram, so that a node that missed an update
# hears of it in the end even without further changes.
_FILL_MEMBERS = 3
# Entries of one kind considered for a datagram; more would never fit.
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
    """Returns a message with piggybacked entries, and the table after it.

    Args:
      members: the table.
      kind: kind of the message.
      sequence: its sequence number.
      now_s: monotonic clock.
      recipient: VM that it goes to, if known. It is told what is believed of
        it unless that is that it is alive.
      target: VM that is pinged or acknowledged.
      target_address: where to ping the target, in a ping request.
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
    room = TARGET_BYTES - sizes.size_of_header(message)
    first = _about_recipient(members, recipient)
    room -= sum(map(sizes.size_of_member, first))
    updates, member_sends = _pick(
        members.member_sends,
        send_limit(members),
        members.by_vm.get,
        sizes.size_of_member,
        int(room * _MEMBERS_SHARE),
    )
    updates = tuple(update for update in updates if update not in first)
    room -= sum(map(sizes.size_of_member, updates))
    filled, position = _fill(members, {update.vm for update in updates})
    room -= sum(map(sizes.size_of_member, filled))
    leaving_statuses, leaving_sends = _pick_leaving_statuses(
        members, int(room * _LEAVING_STATUSES_SHARE)
    )
    room -= sum(map(sizes.size_of_leaving_status, leaving_statuses))
    crash_records, crash_record_sends = _pick_crash_records(
        members, int(room * _CRASH_RECORDS_SHARE), now_s
    )
    room -= sum(map(sizes.size_of_crash_record, crash_records))
    reports, report_sends = _pick_reports(members, room, now_s)
    message = dataclasses.replace(
        message,
        updates=(*first, *updates, *filled),
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
        members, member_sends=member_sends, fill=position, shared=shared
    ), message


def _about_recipient(
    members: Members, recipient: str | None
) -> tuple[Member, ...]:
    if recipient is None or recipient == members.vm:
        return ()
    held = members.by_vm.get(recipient)
    if held is None or held.state is held.state.ALIVE:
        return ()
    return (held,)


def _pick_leaving_statuses(
    members: Members, room: int
) -> tuple[tuple[LeavingStatus, ...], Mapping[str, int]]:
    return _pick(
        members.shared.leaving_sends,
        send_limit(members),
        members.shared.leaving_statuses.get,
        sizes.size_of_leaving_status,
        room,
    )


def _pick_crash_records(
    members: Members, room: int, now_s: float
) -> tuple[tuple[CrashRecord, ...], Mapping[sharing.CrashKey, int]]:
    held = members.shared.crash_records
    return _pick(
        members.shared.crash_record_sends,
        send_limit(members),
        lambda key: (
            sharing.to_crash_record(key, held[key], now_s)
            if key in held
            else None
        ),
        sizes.size_of_crash_record,
        room,
    )


def _pick_reports(
    members: Members, room: int, now_s: float
) -> tuple[tuple[AgedReport, ...], Mapping[str, int]]:
    held = members.shared.reports
    return _pick(
        members.shared.report_sends,
        report_send_limit(members),
        lambda name: (
            sharing.to_aged_report(held[name], now_s) if name in held else None
        ),
        sizes.size_of_report,
        room,
    )


def _pick(
    sends: Mapping[_K, int],
    limit: int,
    look_up: Callable[[_K], _V | None],
    size_of: Callable[[_V], int],
    room: int,
) -> tuple[tuple[_V, ...], Mapping[_K, int]]:
    # Entries sent least often go first; one sent `limit` times is dropped.
    if not sends:
        return (), sends
    after = dict(sends)
    picked: list[_V] = []
    for key in _least_sent(sends):
        value = look_up(key)
        if value is None:
            del after[key]
            continue
        size = size_of(value)
        if size > room:
            continue
        room -= size
        picked.append(value)
        # Moves to the end, so that entries sent equally often take turns.
        count = after.pop(key) + 1
        if count < limit:
            after[key] = count
    return tuple(picked), after


def _least_sent(sends: Mapping[_K, int]) -> Iterable[_K]:
    return heapq.nsmallest(_CANDIDATES, sends, key=sends.__getitem__)


def _fill(members: Members, chosen: set[str]) -> tuple[tuple[Member, ...], int]:
    filled: list[Member] = []
    position = members.fill
    for _ in range(min(_FILL_MEMBERS, len(members.order))):
        vm = members.order[position % len(members.order)]
        position = (position + 1) % len(members.order)
        member = members.by_vm.get(vm)
        if member is not None and member.live and vm not in chosen:
            filled.append(member)
    return tuple(filled), position


__all__ = ["TARGET_BYTES", "compose"]
