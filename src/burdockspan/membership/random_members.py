"""Random choice of members: the order of probes, and helpers."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from burdockspan.membership import shared
from burdockspan.membership.table import GONE_RETENTION_S, Members
from burdockspan.membership.values import Member

RandomFloat = Callable[[], float]
"""Returns uniform floats from 0 to 1."""


def next_member(
    members: Members, now_s: float, random_float: RandomFloat
) -> tuple[Members, Member | None]:
    """Returns the next live member to probe, None if there is none."""
    members = _shuffle_new(members, random_float)
    for _ in range(len(members.order) + 1):
        if members.position >= len(members.order):
            members = _start_round(members, now_s, random_float)
            if not members.order:
                return members, None
        vm = members.order[members.position]
        members = dataclasses.replace(members, position=members.position + 1)
        member = members.by_vm.get(vm)
        if member is not None and member.live:
            return members, member
    return members, None


def sample(
    members: Members,
    count: int,
    exclude: frozenset[str],
    random_float: RandomFloat,
) -> tuple[Member, ...]:
    """Returns up to `count` live members at random, in constant time."""
    chosen: dict[str, Member] = {}
    for _ in range(4 * count):
        if len(chosen) == count or not members.order:
            break
        vm = members.order[index(random_float, len(members.order))]
        member = members.by_vm.get(vm)
        if member is not None and member.live and vm not in exclude:
            chosen[vm] = member
    return tuple(chosen.values())


def next_sequence(members: Members) -> tuple[Members, int]:
    """Returns a sequence number that this process has not used."""
    sequence = members.sequence + 1
    return dataclasses.replace(members, sequence=sequence), sequence


def index(random_float: RandomFloat, length: int) -> int:
    """Returns a uniform index below `length`."""
    return min(length - 1, int(random_float() * length))


def _shuffle_new(members: Members, random_float: RandomFloat) -> Members:
    # A fresh process learns of all members at once, from the same list as
    # other fresh ones. Unshuffled, they would all probe the same member.
    if members.shuffled == len(members.order):
        return members
    order = list(members.order)
    for last in range(members.shuffled, len(order)):
        first = min(members.position, last)
        other = first + index(random_float, last + 1 - first)
        order[last], order[other] = order[other], order[last]
    return dataclasses.replace(members, order=tuple(order), shuffled=len(order))


def _start_round(
    members: Members, now_s: float, random_float: RandomFloat
) -> Members:
    old = {
        vm
        for vm, since_s in members.gone_s.items()
        if now_s - since_s >= GONE_RETENTION_S
    }
    by_vm = members.by_vm
    gone_s = members.gone_s
    if old:
        by_vm = {vm: m for vm, m in by_vm.items() if vm not in old}
        gone_s = {vm: s for vm, s in gone_s.items() if vm not in old}
    order = sorted(vm for vm, m in by_vm.items() if m.live and vm != members.vm)
    for last in range(len(order) - 1, 0, -1):
        other = index(random_float, last + 1)
        order[last], order[other] = order[other], order[last]
    return dataclasses.replace(
        members,
        by_vm=by_vm,
        gone_s=gone_s,
        order=tuple(order),
        position=0,
        shuffled=len(order),
        fill=0,
        shared=shared.prune(members.shared, now_s),
    )


__all__ = ["RandomFloat", "index", "next_member", "next_sequence", "sample"]
