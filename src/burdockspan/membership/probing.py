"""Periodic steps of SWIM: probes, suspicions and contact to lost members."""

from __future__ import annotations

import dataclasses

from burdockspan.membership.gossip import compose
from burdockspan.membership.merge import put_member
from burdockspan.membership.random_members import (
    next_member,
    next_sequence,
    random_index,
    sample_live,
)
from burdockspan.membership.table import (
    DIRECT_PROBE_TIMEOUT_S,
    INDIRECT_PROBE_TIMEOUT_S,
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
from burdockspan.values.randomness import RandomFloat

_INDIRECT_PROBES = 3
_CONTACT_INTERVAL_S = 1.0
_Step = tuple[Members, tuple[Outgoing, ...]]


def expire_probes(
    members: Members, now_s: float, random_float: RandomFloat
) -> _Step:
    """Handles probes without an acknowledgement in time.

    After a direct probe, other members are requested to ping the member. After
    an indirect one, the member is suspected. Relayed pings that have expired
    are removed.
    """
    outgoing: tuple[Outgoing, ...] = ()
    for sequence, probe in members.probes.items():
        if now_s < probe.deadline_s:
            continue
        if probe.indirect:
            members, sent = _suspect(members, sequence, probe, now_s)
        else:
            members, sent = _probe_indirectly(
                members, sequence, probe, now_s, random_float
            )
        outgoing += sent
    relayed_pings = {
        sequence: relayed_ping
        for sequence, relayed_ping in members.relayed_pings.items()
        if now_s < relayed_ping.expires_s
    }
    return dataclasses.replace(members, relayed_pings=relayed_pings), outgoing


def expire_suspicions(
    members: Members, now_s: float, random_float: RandomFloat
) -> _Step:
    """Declares members dead that have not refuted their suspicion in time."""
    del random_float
    for vm, end_s in members.suspicion_ends_s.items():
        if now_s >= end_s:
            dead = dataclasses.replace(
                members.by_vm[vm], state=MemberState.DEAD
            )
            members = put_member(members, dead, now_s)
    return members, ()


def start_probe(
    members: Members, now_s: float, random_float: RandomFloat
) -> _Step:
    """Pings the next member in the random probe order, every 200 ms.

    In a random order, each member is probed once per round, so the time to its
    next probe is bounded. Independent random choices would not bound it.
    """
    if now_s < members.next_probe_s:
        return members, ()
    next_s = members.next_probe_s + PROBE_INTERVAL_S
    if next_s <= now_s:
        next_s = now_s + PROBE_INTERVAL_S
    members = dataclasses.replace(members, next_probe_s=next_s)
    members, member = next_member(members, now_s, random_float)
    if member is None:
        return members, ()
    members, sequence = next_sequence(members)
    probe = Probe(member, now_s + DIRECT_PROBE_TIMEOUT_S)
    members = dataclasses.replace(
        members, probes={**members.probes, sequence: probe}
    )
    return _ping(members, sequence, member, now_s)


def contact_lost_members(
    members: Members, now_s: float, random_float: RandomFloat
) -> _Step:
    """Pings a seed that is not a live member, and a dead member, every second.

    In this way a new process joins, and the two sides of a healed partition
    find each other. A process that knows no other live member pings all seeds.
    """
    if now_s < members.next_contact_s:
        return members, ()
    members = dataclasses.replace(
        members, next_contact_s=now_s + _CONTACT_INTERVAL_S
    )
    live = {m.address for m in members.by_vm.values() if m.live}
    seeds = [seed for seed in members.seeds if seed not in live]
    if len(live) > 1 and seeds:
        seeds = [seeds[random_index(random_float, len(seeds))]]
    outgoing: tuple[Outgoing, ...] = ()
    for seed in seeds:
        members, sequence = next_sequence(members)
        members, ping = compose(members, MessageKind.PING, sequence, now_s)
        outgoing += (Outgoing(seed, ping),)
    dead = _dead_members(members)
    if dead:
        members, sequence = next_sequence(members)
        chosen = dead[random_index(random_float, len(dead))]
        members, sent = _ping(members, sequence, chosen, now_s)
        outgoing += sent
    return members, outgoing


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


def _probe_indirectly(
    members: Members,
    sequence: int,
    probe: Probe,
    now_s: float,
    random_float: RandomFloat,
) -> _Step:
    indirect = Probe(
        probe.member, now_s + INDIRECT_PROBE_TIMEOUT_S, indirect=True
    )
    members = dataclasses.replace(
        members, probes={**members.probes, sequence: indirect}
    )
    # A second direct ping, in case the first datagram was lost and no other
    # member can ping the target.
    members, outgoing = _ping(members, sequence, probe.member, now_s)
    target = probe.member
    for helper in sample_live(
        members, _INDIRECT_PROBES, frozenset([target.vm]), random_float
    ):
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
        # The member's state has changed since the probe started.
        return members, ()
    if probe.member.state is not MemberState.ALIVE:
        return members, ()
    suspect = dataclasses.replace(probe.member, state=MemberState.SUSPECT)
    members = put_member(members, suspect, now_s)
    # Informs the suspect directly, so that it can refute the suspicion in time.
    members, sequence = next_sequence(members)
    return _ping(members, sequence, suspect, now_s)


def _dead_members(members: Members) -> list[Member]:
    dead = (members.by_vm[vm] for vm in sorted(members.gone_since_s))
    return [member for member in dead if member.state is MemberState.DEAD]


__all__ = [
    "contact_lost_members",
    "expire_probes",
    "expire_suspicions",
    "start_probe",
]
