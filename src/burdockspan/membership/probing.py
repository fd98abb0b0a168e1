"""The timed steps of SWIM: probes, suspicions and renewed contact."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from burdockspan.membership import shared
from burdockspan.membership.gossip import compose
from burdockspan.membership.merge import put_member
from burdockspan.membership.table import (
    DIRECT_TIMEOUT_S,
    GONE_RETENTION_S,
    INDIRECT_TIMEOUT_S,
    PROBE_INTERVAL_S,
    Members,
    Probe,
)
from burdockspan.membership.values import (
    Member,
    MemberState,
    MessageKind,
    Outgoing,
)

Draw = Callable[[], float]
"""Returns uniform floats from 0 to 1."""

_HELPERS = 3
_CONTACT_INTERVAL_S = 1.0
_Step = tuple[Members, tuple[Outgoing, ...]]


def expire_probes(members: Members, now_s: float, draw: Draw) -> _Step:
    """Moves overdue probes on: helpers are asked, then the member suspected."""
    outgoing: tuple[Outgoing, ...] = ()
    for sequence, probe in members.probes.items():
        if now_s < probe.deadline_s:
            continue
        if probe.indirect:
            members, sent = _suspect(members, sequence, probe, now_s)
        else:
            members, sent = _ask_helpers(members, sequence, probe, now_s, draw)
        outgoing += sent
    relays = {
        sequence: relay
        for sequence, relay in members.relays.items()
        if now_s < relay.expires_s
    }
    return dataclasses.replace(members, relays=relays), outgoing


def expire_suspicions(members: Members, now_s: float, draw: Draw) -> _Step:
    """Declares members dead whose suspicion nobody refuted in time."""
    del draw
    for vm, end_s in members.suspects.items():
        if now_s >= end_s:
            dead = dataclasses.replace(
                members.by_vm[vm], state=MemberState.DEAD
            )
            members = put_member(members, dead, now_s)
    return members, ()


def start_probe(members: Members, now_s: float, draw: Draw) -> _Step:
    """Pings the next member of a random order, once every 200 ms.

    A random order gives each member one probe per round, so that the wait for
    the first probe is bounded, unlike with independent draws.
    """
    if now_s < members.next_probe_s:
        return members, ()
    following_s = members.next_probe_s + PROBE_INTERVAL_S
    if following_s <= now_s:
        following_s = now_s + PROBE_INTERVAL_S
    members = dataclasses.replace(members, next_probe_s=following_s)
    members, member = _next_member(members, now_s, draw)
    if member is None:
        return members, ()
    members, sequence = next_sequence(members)
    probe = Probe(member, now_s + DIRECT_TIMEOUT_S)
    members = dataclasses.replace(
        members, probes={**members.probes, sequence: probe}
    )
    return _ping(members, sequence, member, now_s)


def contact(members: Members, now_s: float, draw: Draw) -> _Step:
    """Pings a silent seed and a dead member once a second.

    This is how a fresh process joins and how the halves of a healed partition
    find each other. A process without live peers pings all seeds.
    """
    if now_s < members.next_contact_s:
        return members, ()
    members = dataclasses.replace(
        members, next_contact_s=now_s + _CONTACT_INTERVAL_S
    )
    live = {m.address for m in members.by_vm.values() if m.live}
    seeds = [seed for seed in members.seeds if seed not in live]
    if len(live) > 1 and seeds:
        seeds = [seeds[_index(draw, len(seeds))]]
    outgoing: tuple[Outgoing, ...] = ()
    for seed in seeds:
        members, sequence = next_sequence(members)
        members, ping = compose(members, MessageKind.PING, sequence, now_s)
        outgoing += (Outgoing(seed, ping),)
    dead = _dead_members(members)
    if dead:
        members, sequence = next_sequence(members)
        chosen = dead[_index(draw, len(dead))]
        members, sent = _ping(members, sequence, chosen, now_s)
        outgoing += sent
    return members, outgoing


def sample(
    members: Members, count: int, exclude: frozenset[str], draw: Draw
) -> tuple[Member, ...]:
    """Returns up to `count` live members at random, in constant time."""
    chosen: dict[str, Member] = {}
    for _ in range(4 * count):
        if len(chosen) == count or not members.order:
            break
        vm = members.order[_index(draw, len(members.order))]
        member = members.by_vm.get(vm)
        if member is not None and member.live and vm not in exclude:
            chosen[vm] = member
    return tuple(chosen.values())


def next_sequence(members: Members) -> tuple[Members, int]:
    """Returns a sequence number that this process has not used."""
    sequence = members.sequence + 1
    return dataclasses.replace(members, sequence=sequence), sequence


def _ping(
    members: Members, sequence: int, member: Member, now_s: float
) -> _Step:
    members, ping = compose(
        members,
        MessageKind.PING,
        sequence,
        now_s,
        recipient=member.vm,
        target=member.vm,
    )
    return members, (Outgoing(member.address, ping),)


def _ask_helpers(
    members: Members, sequence: int, probe: Probe, now_s: float, draw: Draw
) -> _Step:
    waiting = Probe(probe.member, now_s + INDIRECT_TIMEOUT_S, indirect=True)
    members = dataclasses.replace(
        members, probes={**members.probes, sequence: waiting}
    )
    # The second direct ping covers a lost datagram where there is no helper.
    members, outgoing = _ping(members, sequence, probe.member, now_s)
    target = probe.member
    for helper in sample(members, _HELPERS, frozenset([target.vm]), draw):
        members, request = compose(
            members,
            MessageKind.PING_REQUEST,
            sequence,
            now_s,
            recipient=helper.vm,
            target=target.vm,
            target_address=target.address,
        )
        outgoing += (Outgoing(helper.address, request),)
    return members, outgoing


def _suspect(
    members: Members, sequence: int, probe: Probe, now_s: float
) -> _Step:
    probes = dict(members.probes)
    del probes[sequence]
    members = dataclasses.replace(members, probes=probes)
    if members.by_vm.get(probe.member.vm) != probe.member:
        # It refuted, died or came back since the probe began.
        return members, ()
    if probe.member.state is not MemberState.ALIVE:
        return members, ()
    suspect = dataclasses.replace(probe.member, state=MemberState.SUSPECT)
    members = put_member(members, suspect, now_s)
    # Tells the suspect directly, so that it can refute within the suspicion.
    members, sequence = next_sequence(members)
    return _ping(members, sequence, suspect, now_s)


def _next_member(
    members: Members, now_s: float, draw: Draw
) -> tuple[Members, Member | None]:
    members = _shuffle_new(members, draw)
    for _ in range(len(members.order) + 1):
        if members.position >= len(members.order):
            members = _start_round(members, now_s, draw)
            if not members.order:
                return members, None
        vm = members.order[members.position]
        members = dataclasses.replace(members, position=members.position + 1)
        member = members.by_vm.get(vm)
        if member is not None and member.live:
            return members, member
    return members, None


def _shuffle_new(members: Members, draw: Draw) -> Members:
    # A fresh process learns of all members at once, from the same list as
    # other fresh ones. Unshuffled, they would all probe the same member.
    if members.shuffled == len(members.order):
        return members
    order = list(members.order)
    for last in range(members.shuffled, len(order)):
        first = min(members.position, last)
        other = first + _index(draw, last + 1 - first)
        order[last], order[other] = order[other], order[last]
    return dataclasses.replace(members, order=tuple(order), shuffled=len(order))


def _start_round(members: Members, now_s: float, draw: Draw) -> Members:
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
        other = _index(draw, last + 1)
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


def _dead_members(members: Members) -> list[Member]:
    dead = (members.by_vm[vm] for vm in sorted(members.gone_s))
    return [member for member in dead if member.state is MemberState.DEAD]


def _index(draw: Draw, length: int) -> int:
    return min(length - 1, int(draw() * length))


__all__ = [
    "Draw",
    "contact",
    "expire_probes",
    "expire_suspicions",
    "next_sequence",
    "sample",
    "start_probe",
]
