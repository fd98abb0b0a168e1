"""Random choice of members to probe and to send to; sequence numbers."""

from __future__ import annotations

import dataclasses

from burdockspan.membership import shared
from burdockspan.membership.table import GONE_RETENTION_S, Members
from burdockspan.membership.values import Member
from burdockspan.values.randomness import RandomFloat


def next_member(
    members: Members, now_s: float, random_float: RandomFloat
) -> tuple[Members, Member | None]:
    """Returns the new state and the live member to probe next, or None.

    Starts a new round of probes after the last member of the probe order.
    """
    members = _shuffle_new_members(members, random_float)
    for _ in range(len(members.probe_order) + 1):
        if members.probe_position >= len(members.probe_order):
            members = _start_round(members, now_s, random_float)
            if not members.probe_order:
                return members, None
        vm = members.probe_order[members.probe_position]
        members = dataclasses.replace(
            members, probe_position=members.probe_position + 1
        )
        member = members.by_vm.get(vm)
        if member is not None and member.live:
            return members, member
    return members, None


def sample_live(
    members: Members,
    count: int,
    exclude: frozenset[str],
    random_float: RandomFloat,
) -> tuple[Member, ...]:
    """Returns up to `count` random live members, in constant time.

    The number of draws is limited, so that there may be fewer members in the
    result although more are live.
    """
    chosen: dict[str, Member] = {}
    for _ in range(4 * count):
        if len(chosen) == count or not members.probe_order:
            break
        vm = members.probe_order[
            random_index(random_float, len(members.probe_order))
        ]
        member = members.by_vm.get(vm)
        if member is not None and member.live and vm not in exclude:
            chosen[vm] = member
    return tuple(chosen.values())


def next_sequence(members: Members) -> tuple[Members, int]:
    """Returns the new state and an unused sequence number of this process."""
    sequence = members.sequence + 1
    return dataclasses.replace(members, sequence=sequence), sequence


def random_index(random_float: RandomFloat, length: int) -> int:
    """Returns a uniform index below `length`."""
    return min(length - 1, int(random_float() * length))


def _shuffle_new_members(
    members: Members, random_float: RandomFloat
) -> Members:
    # A new process learns of all members at once, in the same order as other
    # new processes. Without the shuffle they would all probe the same member.
    if members.shuffled_length == len(members.probe_order):
        return members
    order = list(members.probe_order)
    for last in range(members.shuffled_length, len(order)):
        first = min(members.probe_position, last)
        other = first + random_index(random_float, last + 1 - first)
        order[last], order[other] = order[other], order[last]
    return dataclasses.replace(
        members, probe_order=tuple(order), shuffled_length=len(order)
    )


def _start_round(
    members: Members, now_s: float, random_float: RandomFloat
) -> Members:
    # Once per round, members that have long been gone and shared entries that
    # have expired are removed.
    expired = {
        vm
        for vm, since_s in members.gone_since_s.items()
        if now_s - since_s >= GONE_RETENTION_S
    }
    by_vm = members.by_vm
    gone_since_s = members.gone_since_s
    if expired:
        by_vm = {vm: m for vm, m in by_vm.items() if vm not in expired}
        gone_since_s = {
            vm: since_s
            for vm, since_s in gone_since_s.items()
            if vm not in expired
        }
    order = sorted(vm for vm, m in by_vm.items() if m.live and vm != members.vm)
    for last in range(len(order) - 1, 0, -1):
        other = random_index(random_float, last + 1)
        order[last], order[other] = order[other], order[last]
    return dataclasses.replace(
        members,
        by_vm=by_vm,
        gone_since_s=gone_since_s,
        probe_order=tuple(order),
        probe_position=0,
        shuffled_length=len(order),
        repeat_position=0,
        shared=shared.prune(members.shared, now_s),
    )


__all__ = [
    "random_index",
    "next_member",
    "next_sequence",
    "sample_live",
]
