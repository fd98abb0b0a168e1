"""Merges updates about members into the membership state."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from burdockspan.membership.table import SUSPICION_TIMEOUT_S, Members
from burdockspan.membership.values import Member, MemberState, precedence


def merge_members(
    members: Members, updates: Iterable[Member], now_s: float
) -> Members:
    """Applies each update that takes precedence over the known state.

    Such an update about this node itself is not applied. Unless this node has
    left, the update is refuted, leads to a new incarnation, or shows that this
    process is superseded.
    """
    for update in updates:
        if update.vm == members.vm:
            members = _merge_own(members, update)
            continue
        known = members.by_vm.get(update.vm)
        if known is None or precedence(update) > precedence(known):
            members = put_member(members, update, now_s)
        elif update.live and not known.live:
            # The sender does not know that this member is dead or has left, so
            # that state is disseminated again.
            members = _disseminate_again(members, update.vm)
    return members


def put_member(members: Members, member: Member, now_s: float) -> Members:
    """Sets the state of another member and starts to disseminate it."""
    vm = member.vm
    suspicion_ends_s = members.suspicion_ends_s
    gone_since_s = members.gone_since_s
    if member.state is MemberState.SUSPECT:
        suspicion_ends_s = {**suspicion_ends_s, vm: now_s + SUSPICION_TIMEOUT_S}
    elif vm in suspicion_ends_s:
        suspicion_ends_s = {
            key: end_s for key, end_s in suspicion_ends_s.items() if key != vm
        }
    if not member.live:
        gone_since_s = {**gone_since_s, vm: now_s}
    elif vm in gone_since_s:
        gone_since_s = {
            key: since_s for key, since_s in gone_since_s.items() if key != vm
        }
    order = members.probe_order
    if member.live and vm not in order:
        order = (*order, vm)
    return dataclasses.replace(
        members,
        by_vm={**members.by_vm, vm: member},
        suspicion_ends_s=suspicion_ends_s,
        gone_since_s=gone_since_s,
        probe_order=order,
        member_sends={**members.member_sends, vm: 0},
    )


def start_incarnation(members: Members, incarnation: int) -> Members:
    """Returns the state with a new incarnation of this node."""
    me = dataclasses.replace(
        members.me,
        incarnation=incarnation,
        state=MemberState.ALIVE,
        refutation=0,
    )
    return _put_own(dataclasses.replace(members, superseded=False), me)


def mark_self_left(members: Members) -> Members:
    """Returns the state in which this node has left."""
    me = dataclasses.replace(members.me, state=MemberState.LEFT)
    return _put_own(members, me)


def _merge_own(members: Members, update: Member) -> Members:
    me = members.me
    if precedence(update) <= precedence(me):
        return members
    if me.state is MemberState.LEFT:
        return members
    if update.live and update.incarnation > me.incarnation:
        if update.address == me.address:
            # An earlier process of this VM took its incarnation from a wall
            # clock that was ahead, so this process has to exceed it.
            return start_incarnation(members, update.incarnation + 1)
        return dataclasses.replace(members, superseded=True)
    if update.live:
        refuted = dataclasses.replace(me, refutation=update.refutation + 1)
        return _put_own(members, refuted)
    # Other members have declared this process dead.
    return start_incarnation(members, update.incarnation + 1)


def _put_own(members: Members, me: Member) -> Members:
    return dataclasses.replace(
        members,
        by_vm={**members.by_vm, me.vm: me},
        member_sends={**members.member_sends, me.vm: 0},
    )


def _disseminate_again(members: Members, vm: str) -> Members:
    if vm in members.member_sends:
        return members
    return dataclasses.replace(
        members, member_sends={**members.member_sends, vm: 0}
    )


__all__ = ["mark_self_left", "merge_members", "put_member", "start_incarnation"]
