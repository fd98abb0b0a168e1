"""Immutable state of the membership protocol, and queries on it."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Mapping

from burdockspan.membership.shared import SharedEntries
from burdockspan.membership.values import Member, Versions

PROBE_INTERVAL_S = 0.2
DIRECT_PROBE_TIMEOUT_S = 0.15
INDIRECT_PROBE_TIMEOUT_S = 0.25
SUSPICION_TIMEOUT_S = 0.5
# Least time after which other members may have declared an unresponsive
# process dead.
MIN_DEATH_DETECTION_S = (
    DIRECT_PROBE_TIMEOUT_S + INDIRECT_PROBE_TIMEOUT_S + SUSPICION_TIMEOUT_S
)
# How long dead and left members are remembered. If a region is partitioned for
# an hour, both sides must still know the members of the other one.
GONE_RETENTION_S = 7200.0

# An update is sent this often for each doubling of the number of members, since
# gossip reaches all members in a logarithmic number of steps.
_SENDS_PER_DOUBLING = 3


@dataclasses.dataclass(frozen=True)
class Probe:
    """A probe without an acknowledgement so far.

    Attributes:
      member: what was known of the probed member when the probe started.
      deadline_s: end of the direct or indirect stage, monotonic seconds.
      indirect: whether other members have been requested to ping it.
    """

    member: Member
    deadline_s: float
    indirect: bool = False


@dataclasses.dataclass(frozen=True)
class RelayedPing:
    """A ping sent for another member, whose acknowledgement is forwarded.

    Attributes:
      target: VM that was pinged.
      address: `ip:port` of the requesting member.
      sequence: sequence number of its request.
      expires_s: when the entry is removed, monotonic seconds.
    """

    target: str
    address: str
    sequence: int
    expires_s: float


@dataclasses.dataclass(frozen=True)
class Members:
    """Membership state of one node. Its mappings are never mutated.

    All times are monotonic seconds.

    Attributes:
      vm: name of this node's VM.
      region: region of this node.
      by_vm: state of each known member, including this node.
      last_tick_s: time of the last tick.
      seeds: `ip:port` addresses from the settings; a seed that is not a live
        member is contacted again and again.
      versions: current versions of this node's shared documents.
      shared: load reports, leaving statuses and crash records.
      superseded: whether a live process elsewhere has the same VM name and a
        higher incarnation. This process must not accept calls then.
      probe_order: names of the members in the random order in which they are
        probed.
      probe_position: next index into `probe_order` to probe.
      shuffled_length: length of the shuffled part of `probe_order`. New
        members follow it until the next probe.
      repeat_position: index into `probe_order` of the next member whose state
        is repeated in a datagram.
      member_sends: for each update that is still disseminated, how often it
        was sent.
      suspicion_ends_s: when each suspicion ends, by VM.
      gone_since_s: when this node learned that a member is dead or has left,
        by VM.
      probes: probes in progress, by sequence number.
      relayed_pings: pings sent for other members, by sequence number.
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
    shared: SharedEntries = dataclasses.field(default_factory=SharedEntries)
    superseded: bool = False
    probe_order: tuple[str, ...] = ()
    probe_position: int = 0
    shuffled_length: int = 0
    repeat_position: int = 0
    member_sends: Mapping[str, int] = dataclasses.field(default_factory=dict)
    suspicion_ends_s: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    gone_since_s: Mapping[str, float] = dataclasses.field(default_factory=dict)
    probes: Mapping[int, Probe] = dataclasses.field(default_factory=dict)
    relayed_pings: Mapping[int, RelayedPing] = dataclasses.field(
        default_factory=dict
    )
    sequence: int = 0
    next_probe_s: float = 0.0
    next_contact_s: float = 0.0

    @property
    def me(self) -> Member:
        """State of this node itself."""
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
    """Returns the initial state of a process.

    Args:
      vm: name of this VM.
      address: `ip:port` at which other members reach this process.
      availability_zone: zone of this VM.
      region: region of this VM.
      seeds: `ip:port` of members to contact first.
      now_s: monotonic seconds.
      wall_s: seconds since 1970. The incarnation is derived from it, so that
        the replacement of a VM has a higher one than its predecessor.
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
    """Returns the live members, sorted by name; includes this node.

    This node is left out once it has left.
    """
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


def is_live_process(members: Members, vm: str, incarnation: int) -> bool | None:
    """Returns whether a process is live, None if it is unknown.

    False means that the incarnation is dead, has left or is superseded, so
    that its attempts are orphans. An incarnation higher than the known one is
    unknown.
    """
    member = members.by_vm.get(vm)
    if member is None or incarnation > member.incarnation:
        return None
    return incarnation == member.incarnation and member.live


def send_limit(members: Members) -> int:
    """Returns how often an update, leaving status or crash record is sent."""
    return _SENDS_PER_DOUBLING * math.ceil(math.log2(len(members.by_vm) + 1))


def report_send_limit(members: Members) -> int:
    """Returns how often a load report is sent.

    It is sent less often than other entries, since the next poll replaces it.
    """
    return 1 + math.ceil(math.log2(len(members.by_vm) + 1))


def with_versions(members: Members, versions: Versions) -> Members:
    """Returns the state with other versions of the shared documents."""
    return dataclasses.replace(members, versions=versions)


def with_shared(members: Members, shared: SharedEntries) -> Members:
    """Returns the state with other reports, statuses and crash records."""
    return dataclasses.replace(members, shared=shared)


__all__ = [
    "MIN_DEATH_DETECTION_S",
    "DIRECT_PROBE_TIMEOUT_S",
    "GONE_RETENTION_S",
    "INDIRECT_PROBE_TIMEOUT_S",
    "Members",
    "PROBE_INTERVAL_S",
    "Probe",
    "RelayedPing",
    "SUSPICION_TIMEOUT_S",
    "with_versions",
    "is_live_process",
    "live_members",
    "live_vms",
    "make_members",
    "report_send_limit",
    "send_limit",
    "with_shared",
]
