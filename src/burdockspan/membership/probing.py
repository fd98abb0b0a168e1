"""The timed steps of SWIM: probes, suspicions and renewed contact."""

from __future__ import annotations

import dataclasses

from burdockspan.membership.gossip import compose
from burdockspan.membership.merge import put_member
from burdockspan.membership.random_members import (
    RandomFloat,
    index,
    next_member,
    next_sequence,
    sample,
)
from burdockspan.membership.table import (
    DIRECT_TIMEOUT_S,
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

_HELPERS = 3
_CONTACT_INTERVAL_S = 1.0
_Step = tuple[Members, tuple[Outgoing, ...]]


def expire_probes(
    members: Members, now_s: float, random_float: RandomFloat
) -> _Step:
    """Moves overdue probes on: helpers are asked, then the member suspected."""
    outgoing: tuple[Outgoing, ...] = ()
    for sequence, probe in members.probes.items():
        if now_s < probe.deadline_s:
            continue
        if probe.indirect:
            members, sent = _suspect(members, sequence, probe, now_s)
        else:
            members, sent = _ask_helpers(
                members, sequence, probe, now_s, random_float
            )
        outgoing += sent
    relays = {
        sequence: relay
        for sequence, relay in members.relays.items()
        if now_s < relay.expires_s
    }
    return dataclasses.replace(members, relays=relays), outgoing


def expire_suspicions(
    members: Members, now_s: float, random_float: RandomFloat
) -> _Step:
    """Declares members dead whose suspicion nobody refuted in time."""
    del random_float
    for vm, end_s in members.suspects.items():
        if now_s >= end_s:
            dead = dataclasses.replace(
                members.by_vm[vm], state=MemberState.DEAD
            )
            members = put_member(members, dead, now_s)
    return members, ()


def start_probe(
    members: Members, now_s: float, random_float: RandomFloat
) -> _Step:
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
    members, member = next_member(members, now_s, random_float)
    if member is None:
        return members, ()
    members, sequence = next_sequence(members)
    probe = Probe(member, now_s + DIRECT_TIMEOUT_S)
    members = dataclasses.replace(
        members, probes={**members.probes, sequence: probe}
    )
    return _ping(members, sequence, member, now_s)


def contact(members: Members, now_s: float, random_float: RandomFloat) -> _Step:
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
        seeds = [seeds[index(random_float, len(seeds))]]
    outgoing: tuple[Outgoing, ...] = ()
    for seed in seeds:
        members, sequence = next_sequence(members)
        members, ping = compose(members, MessageKind.PING, sequence, now_s)
        outgoing += (Outgoing(seed, ping),)
    dead = _dead_members(members)
    if dead:
        members, sequence = next_sequence(members)
        chosen = dead[index(random_float, len(dead))]
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


def _ask_helpers(
    members: Members,
    sequence: int,
    probe: Probe,
    now_s: float,
    random_float: RandomFloat,
) -> _Step:
    waiting = Probe(probe.member, now_s + INDIRECT_TIMEOUT_S, indirect=True)
    members = dataclasses.replace(
        members, probes={**members.probes, sequence: waiting}
    )
    # The second direct ping covers a lost datagram where there is no helper.
    members, outgoing = _ping(members, sequence, probe.member, now_s)
    target = probe.member
    for helper in sample(
        members, _HELPERS, frozenset([target.vm]), random_float
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
        # It refuted, died or came back since the probe began.
        return members, ()
    if probe.member.state is not MemberState.ALIVE:
        return members, ()
    suspect = dataclasses.replace(probe.member, state=MemberState.SUSPECT)
    members = put_member(members, suspect, now_s)
    # Tells the suspect directly, so that it can refute within the suspicion.
    members, sequence = next_sequence(members)
    return _ping(members, sequence, suspect, now_s)


def _dead_members(members: Members) -> list[Member]:
    dead = (members.by_vm[vm] for vm in sorted(members.gone_s))
    return [member for member in dead if member.state is MemberState.DEAD]


__all__ = [
    "contact",
    "expire_probes",
    "expire_suspicions",
    "start_probe",
]
