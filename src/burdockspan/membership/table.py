"""The frozen table of the membership protocol and questions about it."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Mapping

from burdockspan.membership.shared import Shared
from burdockspan.membership.values import Member, Versions

PROBE_INTERVAL_S = 0.2
DIRECT_TIMEOUT_S = 0.15
INDIRECT_TIMEOUT_S = 0.25
SUSPICION_S = 0.5
# The least time after which others may have declared a silent process dead.
DEATH_S = DIRECT_TIMEOUT_S + INDIRECT_TIMEOUT_S + SUSPICION_S
# Outlasts an hour without contact between two halves of a region, after which
# both halves still have to know whom to contact.
GONE_RETENTION_S = 7200.0

_SENDS_PER_DOUBLING = 3


@dataclasses.dataclass(frozen=True)
class Probe:
    """A probe that waits for its acknowledgement.

    Attributes:
      member: belief about the probed member when the probe began.
      deadline_s: end of the current stage on the monotonic clock.
      indirect: whether helpers have been asked.
    """

    member: Member
    deadline_s: float
    indirect: bool = False


@dataclasses.dataclass(frozen=True)
class Relay:
    """A ping on behalf of another member.

    Attributes:
      target: VM that was pinged.
      address: `ip:port` of the member that asked.
      sequence: number of its request.
      expires_s: when the relay is forgotten, on the monotonic clock.
    """

    target: str
    address: str
    sequence: int
    expires_s: float


@dataclasses.dataclass(frozen=True)
class Members:
    """Everything a node knows of the membership; mappings are never mutated.

    Attributes:
      vm: name of this node's VM.
      region: region of this node.
      by_vm: belief about each member, this node included.
      last_tick_s: last tick on the monotonic clock.
      seeds: `ip:port` addresses from the settings, contacted again for ever.
      versions: newest documents that this node holds.
      shared: reports, marks and crash records.
      superseded: whether a live process elsewhere has this VM's name and a
        higher incarnation; this process must not accept calls then.
      order: members in the random order in which they are probed.
      position: next index into `order` to probe.
      shuffled: length of the part of `order` that is in random order; newer
        members follow it until the next probe.
      fill: next index into `order` to fill datagrams with.
      member_sends: times sent, for beliefs that are still spread.
      suspects: end of each suspicion on the monotonic clock.
      gone_s: when each dead or left member was found to be so.
      probes: probes in progress by sequence.
      relays: pings on behalf of others by sequence.
      sequence: last sequence number used.
      next_probe_s: when the next probe starts.
      next_contact_s: when seeds and dead members are next contacted.
    """

    vm: str
    region: str
    by_vm: Mapping[str, Member]
    last_tick_s: float
    seeds: tuple[str, ...] = ()
    versions: Versions = dataclasses.field(default_factory=Versions)
    shared: Shared = dataclasses.field(default_factory=Shared)
    superseded: bool = False
    order: tuple[str, ...] = ()
    position: int = 0
    shuffled: int = 0
    fill: int = 0
    member_sends: Mapping[str, int] = dataclasses.field(default_factory=dict)
    suspects: Mapping[str, float] = dataclasses.field(default_factory=dict)
    gone_s: Mapping[str, float] = dataclasses.field(default_factory=dict)
    probes: Mapping[int, Probe] = dataclasses.field(default_factory=dict)
    relays: Mapping[int, Relay] = dataclasses.field(default_factory=dict)
    sequence: int = 0
    next_probe_s: float = 0.0
    next_contact_s: float = 0.0

    @property
    def me(self) -> Member:
        """This node's belief about itself."""
        return self.by_vm[self.vm]


def make_members(
    *,
    vm: str,
    address: str,
    availability_zone: str,
    region: str,
    seeds: Iterable[str],
    now_s: float,
    wall_s: float,
) -> Members:
    """Returns the table of a process that starts.

    Args:
      vm: name of this VM.
      address: `ip:port` that peers reach this process at.
      availability_zone: zone of this VM.
      region: region of this VM.
      seeds: `ip:port` of peers to contact first.
      now_s: monotonic clock.
      wall_s: wall clock, seconds since 1970. The incarnation is taken from it,
        so that a replaced VM has a higher one than its predecessor.
    """
    me = Member(vm, address, availability_zone, int(wall_s * 1000))
    return Members(
        vm,
        region,
        {vm: me},
        last_tick_s=now_s,
        seeds=tuple(seed for seed in seeds if seed != address),
        member_sends={vm: 0},
        next_probe_s=now_s,
        next_contact_s=now_s,
    )


def live_members(members: Members) -> tuple[Member, ...]:
    """Returns the live members by name, this node included unless it left."""
    live = (member for member in members.by_vm.values() if member.live)
    return tuple(sorted(live, key=lambda member: member.vm))


def live_vms(
    members: Members, availability_zone: str | None = None
) -> tuple[str, ...]:
    """Returns the names of live members of one zone, or of the region."""
    return tuple(
        member.vm
        for member in live_members(members)
        if availability_zone in (None, member.availability_zone)
    )


def is_current(members: Members, vm: str, incarnation: int) -> bool | None:
    """Returns whether a process is live; None if it is not known at all.

    False means that the incarnation is dead, left or superseded, so that its
    attempts are orphans. An incarnation above the known one is not known.
    """
    member = members.by_vm.get(vm)
    if member is None or incarnation > member.incarnation:
        return None
    return incarnation == member.incarnation and member.live


def send_limit(members: Members) -> int:
    """Returns how often a belief, a mark or a strike is sent."""
    return _SENDS_PER_DOUBLING * math.ceil(math.log2(len(members.by_vm) + 1))


def report_send_limit(members: Members) -> int:
    """Returns how often a report is sent; the next poll replaces it."""
    return 1 + math.ceil(math.log2(len(members.by_vm) + 1))


def with_versions(members: Members, versions: Versions) -> Members:
    """Returns the table with the newest documents that this node holds."""
    return dataclasses.replace(members, versions=versions)


def with_shared(members: Members, shared: Shared) -> Members:
    """Returns the table with changed reports, marks and crash records."""
    return dataclasses.replace(members, shared=shared)


__all__ = [
    "DEATH_S",
    "DIRECT_TIMEOUT_S",
    "GONE_RETENTION_S",
    "INDIRECT_TIMEOUT_S",
    "Members",
    "PROBE_INTERVAL_S",
    "Probe",
    "Relay",
    "SUSPICION_S",
    "with_versions",
    "is_current",
    "live_members",
    "live_vms",
    "make_members",
    "report_send_limit",
    "send_limit",
    "with_shared",
]
