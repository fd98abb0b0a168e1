"""Merging of beliefs about members into the table."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from burdockspan.membership.table import SUSPICION_S, Members
from burdockspan.membership.values import Member, MemberState, precedence


def merge_members(
    members: Members, updates: Iterable[Member], now_s: float
) -> Members:
    """Returns the table with each belief that outranks the held one."""
    for update in updates:
        if update.vm == members.vm:
            members = _merge_own(members, update)
            continue
        held = members.by_vm.get(update.vm)
        if held is None or precedence(update) > precedence(held):
            members = put_member(members, update, now_s)
        elif update.live and not held.live:
            # The sender missed the death; spreading it again corrects it.
            members = _spread(members, update.vm)
    return members


def put_member(members: Members, member: Member, now_s: float) -> Members:
    """Returns the table with a belief about another member, to be spread."""
    vm = member.vm
    suspects = members.suspects
    gone_s = members.gone_s
    if member.state is MemberState.SUSPECT:
        suspects = {**suspects, vm: now_s + SUSPICION_S}
    elif vm in suspects:
        suspects = {key: end for key, end in suspects.items() if key != vm}
    if not member.live:
        gone_s = {**gone_s, vm: now_s}
    elif vm in gone_s:
        gone_s = {key: since for key, since in gone_s.items() if key != vm}
    order = members.order
    if member.live and vm not in order:
        order = (*order, vm)
    return dataclasses.replace(
        members,
        by_vm={**members.by_vm, vm: member},
        suspects=suspects,
        gone_s=gone_s,
        order=order,
        member_sends={**members.member_sends, vm: 0},
    )


def renew(members: Members, incarnation: int) -> Members:
    """Returns the table with a new incarnation of this node."""
    me = dataclasses.replace(
        members.me,
        incarnation=incarnation,
        state=MemberState.ALIVE,
        refutation=0,
    )
    return _put_own(dataclasses.replace(members, superseded=False), me)


def leave_own(members: Members) -> Members:
    """Returns the table in which this node has left."""
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
            # An earlier process of this VM ran with a faster wall clock.
            return renew(members, update.incarnation + 1)
        return dataclasses.replace(members, superseded=True)
    if update.live:
        refuted = dataclasses.replace(me, refutation=update.refutation + 1)
        return _put_own(members, refuted)
    return renew(members, update.incarnation + 1)


def _put_own(members: Members, me: Member) -> Members:
    return dataclasses.replace(
        members,
        by_vm={**members.by_vm, me.vm: me},
        member_sends={**members.member_sends, me.vm: 0},
    )


def _spread(members: Members, vm: str) -> Members:
    if vm in members.member_sends:
        return members
    return dataclasses.replace(
        members, member_sends={**members.member_sends, vm: 0}
    )


__all__ = ["leave_own", "merge_members", "put_member", "renew"]
