"""Members, messages and piggybacked entries of the membership protocol."""

from __future__ import annotations

import dataclasses
import enum

from burdockspan.membership.calls import CallMessage
from burdockspan.values.endpoint import Pool


class MemberState(enum.IntEnum):
    """State of a member as known to a node; values as in peer.thrift."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


class MessageKind(enum.IntEnum):
    """Kinds of datagrams; values as in peer.thrift."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    CALL = 4


@dataclasses.dataclass(frozen=True)
class Member:
    """State of one entry VM, also an update about it in a message.

    Attributes:
      vm: name of the VM.
      address: `ip:port` of its membership socket (UDP) and peer server (TCP).
      availability_zone: zone of the VM.
      incarnation: incarnation of its process. A process takes a higher one
        after it was declared dead or was frozen; attempts of a lower one are
        orphans.
      state: state of this incarnation.
      refutation: counter that the member increments to refute a suspicion.
        With a new incarnation instead, its attempts would become orphans.
    """

    vm: str
    address: str
    availability_zone: str
    incarnation: int
    state: MemberState = MemberState.ALIVE
    refutation: int = 0

    @property
    def live(self) -> bool:
        """Whether the member counts as live, that is alive or suspected."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


def precedence(member: Member) -> tuple[int, bool, int, int]:
    """Returns the precedence of an update among those about the same VM.

    The order is total, so members converge regardless of the order of messages.
    An incarnation that is dead or has left never becomes live again.
    """
    final = not member.live
    return (
        member.incarnation,
        final,
        0 if final else member.refutation,
        member.state.value,
    )


@dataclasses.dataclass(frozen=True)
class Versions:
    """Current versions of a node's shared documents; 0 for none.

    Attributes:
      configuration_generation: generation of the stored configuration.
      vm_list_version: version of the VM list.
    """

    configuration_generation: int = 0
    vm_list_version: int = 0


@dataclasses.dataclass(frozen=True)
class AgedReport:
    """Load report of an endpoint in a message.

    Attributes:
      endpoint: name of the endpoint.
      boot: identity of its process.
      leaving: whether it reports that it takes no new work.
      pieces: total pieces of decode memory.
      free_pieces: pieces that are not reserved.
      running: number of running calls.
      waiting: number of calls queued inside the endpoint.
      age_ms: time since the measurement when the message was sent.
      role: role that an engine reports; None if it reports none.
    """

    endpoint: str
    boot: str
    leaving: bool
    pieces: int
    free_pieces: int
    running: int
    waiting: int
    age_ms: int
    role: Pool | None = None


@dataclasses.dataclass(frozen=True)
class LeavingStatus:
    """Whether an endpoint is leaving, as of a configuration generation.

    A node that learns that an endpoint is leaving sets the status with its
    current generation. An undrain resets it with the generation that removed
    the drain. The status of the higher generation takes precedence; of two with
    the same generation, the one that is leaving.

    Attributes:
      endpoint: name of the endpoint.
      generation: configuration generation of the status.
      leaving: whether the endpoint is leaving; False after an undrain.
    """

    endpoint: str
    generation: int
    leaving: bool


@dataclasses.dataclass(frozen=True, order=True)
class CrashKey:
    """Crash of an endpoint while a request ran there.

    Attributes:
      fingerprint: SHA-256 (hex, 64 digits) of the request.
      endpoint: name of the endpoint.
      boot: identity of the process that crashed.
    """

    fingerprint: str
    endpoint: str
    boot: str


@dataclasses.dataclass(frozen=True)
class CrashRecord:
    """Crash record in a message.

    Attributes:
      key: the crash.
      remaining_s: time until the record expires, when the message was sent.
    """

    key: CrashKey
    remaining_s: int


@dataclasses.dataclass(frozen=True)
class Message:
    """Content of one datagram.

    Attributes:
      kind: kind of the message.
      sequence: number that the acknowledgement of a ping repeats.
      sender: state of the sender.
      region: region of the sender.
      versions: current versions of the sender's shared documents.
      target: VM that is pinged or acknowledged; None in a ping to an address
        whose VM is unknown.
      target_address: address of the target, in a ping request.
      updates: states of members.
      reports: load reports of endpoints.
      leaving_statuses: leaving statuses of endpoints.
      crash_records: crash records.
      call: message about a call, in a datagram of kind CALL.
    """

    kind: MessageKind
    sequence: int
    sender: Member
    region: str
    versions: Versions = Versions()
    target: str | None = None
    target_address: str | None = None
    updates: tuple[Member, ...] = ()
    reports: tuple[AgedReport, ...] = ()
    leaving_statuses: tuple[LeavingStatus, ...] = ()
    crash_records: tuple[CrashRecord, ...] = ()
    call: CallMessage | None = None


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """A message to send.

    Attributes:
      address: `ip:port` of the receiver.
      message: the message.
    """

    address: str
    message: Message


__all__ = [
    "AgedReport",
    "LeavingStatus",
    "Member",
    "MemberState",
    "Message",
    "MessageKind",
    "Outgoing",
    "CrashRecord",
    "CrashKey",
    "Versions",
    "precedence",
]
