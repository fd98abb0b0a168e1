"""Members, messages and piggybacked entries of the membership protocol."""

from __future__ import annotations

import dataclasses
import enum

from burdockspan.membership.calls import CallMessage
from burdockspan.values.endpoint import Pool


class MemberState(enum.IntEnum):
    """What a node believes of a member; values as in peer.thrift."""

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
    """One entry VM at one point of its life.

    Attributes:
      vm: name of the VM.
      address: `ip:port` of its membership socket (UDP) and peer server (TCP).
      availability_zone: zone of the VM.
      incarnation: life of the process. A process takes a higher one after it
        was declared dead or froze; attempts of a lower one are orphans.
      state: what is believed of this incarnation.
      refutation: raised by the member to refute a suspicion. It is separate
        from the incarnation so that a refuted suspicion orphans no attempt.
    """

    vm: str
    address: str
    availability_zone: str
    incarnation: int
    state: MemberState = MemberState.ALIVE
    refutation: int = 0

    @property
    def live(self) -> bool:
        """Whether the member counts as live: alive or only suspected."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


def precedence(member: Member) -> tuple[int, bool, int, int]:
    """Returns the rank of a belief; of two about one VM, the higher holds.

    The order is total, so members converge whatever the order of messages. A
    death is final within an incarnation.
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
    """Newest shared documents that a node holds; 0 for none.

    Attributes:
      configuration_generation: generation of the stored configuration.
      vm_list_version: version of the VM list.
    """

    configuration_generation: int = 0
    vm_list_version: int = 0


@dataclasses.dataclass(frozen=True)
class AgedReport:
    """Load of an endpoint as carried in a message.

    Attributes:
      endpoint: name of the endpoint.
      boot: identity of its process.
      leaving: whether it says that it takes no new work.
      pieces: decode memory in all.
      free_pieces: decode memory not reserved.
      running: calls running.
      waiting: calls waiting inside the endpoint.
      age_ms: time since the measurement when the message was sent.
      role: role that an engine says it has; None if it does not say.
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
    """Whether an endpoint leaves, as of a configuration generation.

    A mark is set under the generation that its setter holds; an undrain clears
    it under the generation that removed the drain. The higher generation holds,
    and at equal generations leaving holds.

    Attributes:
      endpoint: name of the endpoint.
      generation: configuration generation of the mark.
      leaving: False if an undrain cleared the mark.
    """

    endpoint: str
    generation: int
    leaving: bool


@dataclasses.dataclass(frozen=True, order=True)
class CrashKey:
    """One crash of an endpoint while a request ran there.

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
    """A strike as carried in a message.

    Attributes:
      key: the crash.
      remaining_s: time until it expires, when the message was sent.
    """

    key: CrashKey
    remaining_s: int


@dataclasses.dataclass(frozen=True)
class Message:
    """One datagram.

    Attributes:
      kind: ping, acknowledgement, or request to ping a third member.
      sequence: number that an acknowledgement repeats.
      sender: the sender's belief about itself.
      region: region of the sender.
      versions: newest documents that the sender holds.
      target: VM that is pinged or acknowledged; None pings whoever listens.
      target_address: where to ping the target, in a ping request.
      updates: beliefs about members.
      reports: loads of endpoints.
      leaving_statuses: leaving statuses.
      crash_records: crash records.
      call: what is said of a call, in a datagram of kind CALL.
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
      message: what to send.
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
