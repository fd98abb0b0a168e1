"""Pure SWIM membership: messages and time in, messages out.

Every function takes the frozen table and returns a new one. The work per tick
and per message does not depend on the number of members, apart from copies of
small mappings and one shuffle per round of probes.
"""

from __future__ import annotations

import dataclasses

from burdockspan.membership import probing, shared
from burdockspan.membership.gossip import compose
from burdockspan.membership.merge import leave_own, merge_members, renew
from burdockspan.membership.random_members import (
    RandomFloat,
    next_sequence,
    sample,
)
from burdockspan.membership.table import (
    DEATH_S,
    DIRECT_TIMEOUT_S,
    SUSPICION_S,
    Members,
    Relay,
)
from burdockspan.membership.values import (
    Message,
    MessageKind,
    Outgoing,
    precedence,
)

_TICK_S = 0.05
# Ticks further apart are not jitter of the ticker.
_LATE_TICK_S = 0.1
_IMMEDIATE_RECEIVERS_COUNT = 5


def receive(
    members: Members, message: Message, now_s: float
) -> tuple[Members, tuple[Outgoing, ...]]:
    """Takes in one message.

    Args:
      members: the table.
      message: the message.
      now_s: monotonic clock, also that of `tick`.

    Returns:
      The table after it, and the messages to send.
    """
    if message.region != members.region:
        return members, ()
    members = _recover(members, now_s)
    members = merge_members(members, (message.sender, *message.updates), now_s)
    members = merge_shared(members, message, now_s)
    if message.sender.vm == members.vm:
        return members, ()
    if message.kind is MessageKind.PING:
        return _answer_ping(members, message, now_s)
    if message.kind is MessageKind.PING_REQUEST:
        return _relay_ping(members, message, now_s)
    return _take_ack(members, message, now_s)


def tick(
    members: Members, now_s: float, random_float: RandomFloat
) -> tuple[Members, tuple[Outgoing, ...]]:
    """Advances the time; called about every 50 ms.

    Args:
      members: the table.
      now_s: monotonic clock.
      random_float: returns uniform floats from 0 to 1.

    Returns:
      The table after it, and the messages to send.
    """
    members = _recover(members, now_s)
    members = _postpone(members, now_s)
    members = dataclasses.replace(members, last_tick_s=now_s)
    outgoing: list[Outgoing] = []
    for step in (
        probing.expire_probes,
        probing.expire_suspicions,
        probing.start_probe,
        probing.contact,
    ):
        members, sent = step(members, now_s, random_float)
        outgoing += sent
    return members, tuple(outgoing)


def leave(
    members: Members, now_s: float, random_float: RandomFloat
) -> tuple[Members, tuple[Outgoing, ...]]:
    """Marks this node as left and tells some members at once.

    The node should go on to tick for a second, so that gossip spreads it.
    """
    return disseminate_now(leave_own(members), now_s, random_float)


def disseminate_now(
    members: Members, now_s: float, random_float: RandomFloat
) -> tuple[Members, tuple[Outgoing, ...]]:
    """Sends the newest entries to some members at once."""
    outgoing = []
    for peer in sample(
        members, _IMMEDIATE_RECEIVERS_COUNT, frozenset(), random_float
    ):
        members, sequence = next_sequence(members)
        members, message = compose(
            members,
            MessageKind.PING,
            sequence,
            now_s,
            recipient=peer.vm,
            target=peer.vm,
        )
        outgoing.append(Outgoing(peer.address, message))
    return members, tuple(outgoing)


def merge_shared(members: Members, message: Message, now_s: float) -> Members:
    """Returns the table with a message's reports, marks and crash records."""
    held = members.shared
    held = shared.merge_reports(
        held,
        (shared.from_aged_report(report, now_s) for report in message.reports),
    )
    held = shared.merge_leaving_statuses(held, message.leaving_statuses)
    held = shared.merge_crash_records(
        held, shared.expiry_by_crash(message.crash_records, now_s), now_s
    )
    if held is members.shared:
        return members
    return dataclasses.replace(members, shared=held)


def _recover(members: Members, now_s: float) -> Members:
    # Others may have declared a process dead that froze for this long, and
    # swept its attempts. Its open probes say nothing: the answers may have
    # come while it was frozen.
    frozen = now_s - members.last_tick_s >= DEATH_S
    if not frozen or not members.me.live:
        return members
    members = renew(members, members.me.incarnation + 1)
    return dataclasses.replace(
        members,
        last_tick_s=now_s,
        probes={},
        relays={},
        suspects=dict.fromkeys(members.suspects, now_s + SUSPICION_S),
    )


def _postpone(members: Members, now_s: float) -> Members:
    # The answers to probes may wait behind a late tick. Deadlines move by the
    # pause, so that a slow node suspects nobody for its own slowness; they
    # still come nearer, so that it detects deaths even if all ticks are late.
    gap_s = now_s - members.last_tick_s
    if gap_s < _LATE_TICK_S:
        return members
    pause_s = gap_s - _TICK_S / 2
    probes = {
        sequence: dataclasses.replace(
            probe, deadline_s=probe.deadline_s + pause_s
        )
        for sequence, probe in members.probes.items()
    }
    suspects = {vm: end_s + pause_s for vm, end_s in members.suspects.items()}
    return dataclasses.replace(members, probes=probes, suspects=suspects)


def _answer_ping(
    members: Members, message: Message, now_s: float
) -> tuple[Members, tuple[Outgoing, ...]]:
    if message.target not in (None, members.vm):
        # Another VM had this address before; its silence must be noticed.
        return members, ()
    members, ack = compose(
        members,
        MessageKind.ACK,
        message.sequence,
        now_s,
        recipient=message.sender.vm,
        target=members.vm,
    )
    ack = _correct_sender(members, message, ack)
    return members, (Outgoing(message.sender.address, ack),)


def _correct_sender(
    members: Members, message: Message, ack: Message
) -> Message:
    held = members.by_vm[message.sender.vm]
    if held in ack.updates or precedence(held) <= precedence(message.sender):
        return ack
    return dataclasses.replace(ack, updates=(held, *ack.updates))


def _relay_ping(
    members: Members, message: Message, now_s: float
) -> tuple[Members, tuple[Outgoing, ...]]:
    if message.target is None or message.target_address is None:
        return members, ()
    members, sequence = next_sequence(members)
    relay = Relay(
        message.target,
        message.sender.address,
        message.sequence,
        now_s + DIRECT_TIMEOUT_S,
    )
    members = dataclasses.replace(
        members, relays={**members.relays, sequence: relay}
    )
    members, ping = compose(
        members,
        MessageKind.PING,
        sequence,
        now_s,
        recipient=message.target,
        target=message.target,
    )
    return members, (Outgoing(message.target_address, ping),)


def _take_ack(
    members: Members, message: Message, now_s: float
) -> tuple[Members, tuple[Outgoing, ...]]:
    probe = members.probes.get(message.sequence)
    if probe is not None and probe.member.vm == message.target:
        probes = dict(members.probes)
        del probes[message.sequence]
        return dataclasses.replace(members, probes=probes), ()
    relay = members.relays.get(message.sequence)
    if relay is None or relay.target != message.target:
        return members, ()
    relays = dict(members.relays)
    del relays[message.sequence]
    members = dataclasses.replace(members, relays=relays)
    members, ack = compose(
        members,
        MessageKind.ACK,
        relay.sequence,
        now_s,
        target=relay.target,
    )
    return members, (Outgoing(relay.address, ack),)


__all__ = ["leave", "merge_shared", "receive", "disseminate_now", "tick"]
