"""SWIM membership protocol as pure functions of messages and time.

Each function takes the immutable membership state and returns a new one with
the messages to send. The cost of a tick or a message is independent of the
number of members, apart from copies of small mappings and one shuffle per round
of probes.
"""

from __future__ import annotations

import dataclasses

from burdockspan.membership import probing, shared
from burdockspan.membership.gossip import compose
from burdockspan.membership.merge import (
    mark_self_left,
    merge_members,
    start_incarnation,
)
from burdockspan.membership.random_members import (
    next_sequence,
    sample_live,
)
from burdockspan.membership.table import (
    DIRECT_PROBE_TIMEOUT_S,
    MIN_DEATH_DETECTION_S,
    SUSPICION_TIMEOUT_S,
    Members,
    RelayedPing,
)
from burdockspan.membership.values import (
    Message,
    MessageKind,
    Outgoing,
    precedence,
)
from burdockspan.values.randomness import RandomFloat

_TICK_S = 0.05
# A longer interval between ticks means that the process was delayed or paused.
_LATE_TICK_S = 0.1
_IMMEDIATE_RECEIVERS = 5


def receive(
    members: Members, message: Message, now_s: float
) -> tuple[Members, tuple[Outgoing, ...]]:
    """Handles one received message.

    Args:
      members: membership state.
      message: the message.
      now_s: monotonic seconds, on the same clock as for `tick`.

    Returns:
      The new state and the messages to send.
    """
    if message.region != members.region:
        return members, ()
    members = _recover_from_freeze(members, now_s)
    members = merge_members(members, (message.sender, *message.updates), now_s)
    members = merge_shared(members, message, now_s)
    if message.sender.vm == members.vm:
        return members, ()
    if message.kind is MessageKind.PING:
        return _answer_ping(members, message, now_s)
    if message.kind is MessageKind.PING_REQUEST:
        return _relay_ping(members, message, now_s)
    return _handle_ack(members, message, now_s)


def tick(
    members: Members, now_s: float, random_float: RandomFloat
) -> tuple[Members, tuple[Outgoing, ...]]:
    """Runs the periodic steps that are due; to be called about every 50 ms.

    Args:
      members: membership state.
      now_s: monotonic seconds.
      random_float: returns uniform floats in [0, 1).

    Returns:
      The new state and the messages to send.
    """
    members = _recover_from_freeze(members, now_s)
    members = _extend_deadlines(members, now_s)
    members = dataclasses.replace(members, last_tick_s=now_s)
    outgoing: list[Outgoing] = []
    for step in (
        probing.expire_probes,
        probing.expire_suspicions,
        probing.start_probe,
        probing.contact_lost_members,
    ):
        members, sent = step(members, now_s, random_float)
        outgoing += sent
    return members, tuple(outgoing)


def leave(
    members: Members, now_s: float, random_float: RandomFloat
) -> tuple[Members, tuple[Outgoing, ...]]:
    """Changes the state of this node to left and tells some members at once.

    `tick` should still be called for a second afterwards, so that gossip
    disseminates the departure to the other members.
    """
    return disseminate_now(mark_self_left(members), now_s, random_float)


def disseminate_now(
    members: Members, now_s: float, random_float: RandomFloat
) -> tuple[Members, tuple[Outgoing, ...]]:
    """Sends new updates to some members now instead of with the next probes."""
    outgoing = []
    for peer in sample_live(
        members, _IMMEDIATE_RECEIVERS, frozenset(), random_float
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
    """Merges the reports, leaving statuses and crash records of a message."""
    merged = members.shared
    merged = shared.merge_reports(
        merged,
        (shared.from_aged_report(report, now_s) for report in message.reports),
    )
    merged = shared.merge_leaving_statuses(merged, message.leaving_statuses)
    merged = shared.merge_crash_records(
        merged, shared.expiry_by_crash(message.crash_records, now_s), now_s
    )
    if merged is members.shared:
        return members
    return dataclasses.replace(members, shared=merged)


def _recover_from_freeze(members: Members, now_s: float) -> Members:
    # After a freeze of this length, other members may have declared this
    # process dead and cancelled its attempts, so it takes a new incarnation.
    # Its pending probes are dropped, since acknowledgements may have arrived
    # while it was frozen.
    frozen = now_s - members.last_tick_s >= MIN_DEATH_DETECTION_S
    if not frozen or not members.me.live:
        return members
    members = start_incarnation(members, members.me.incarnation + 1)
    return dataclasses.replace(
        members,
        last_tick_s=now_s,
        probes={},
        relayed_pings={},
        suspicion_ends_s=dict.fromkeys(
            members.suspicion_ends_s, now_s + SUSPICION_TIMEOUT_S
        ),
    )


def _extend_deadlines(members: Members, now_s: float) -> Members:
    # When a tick is late, acknowledgements that have arrived may be handled
    # only after it. The deadlines are extended by the pause, so that a slow
    # node does not suspect others. The extension is a little shorter than the
    # interval between the ticks, so that deaths are detected even if all ticks
    # are late.
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
    suspicion_ends_s = {
        vm: end_s + pause_s for vm, end_s in members.suspicion_ends_s.items()
    }
    return dataclasses.replace(
        members, probes=probes, suspicion_ends_s=suspicion_ends_s
    )


def _answer_ping(
    members: Members, message: Message, now_s: float
) -> tuple[Members, tuple[Outgoing, ...]]:
    if message.target not in (None, members.vm):
        # The ping is for an earlier VM at this address. Without an
        # acknowledgement, that VM is detected as dead.
        return members, ()
    members, ack = compose(
        members,
        MessageKind.ACK,
        message.sequence,
        now_s,
        recipient=message.sender.vm,
        target=members.vm,
    )
    ack = _add_known_sender(members, message, ack)
    return members, (Outgoing(message.sender.address, ack),)


def _add_known_sender(
    members: Members, message: Message, ack: Message
) -> Message:
    # The sender may be a replacement whose clock is behind, so that its
    # incarnation is lower than the known one. The known state tells it which
    # incarnation to exceed.
    known = members.by_vm[message.sender.vm]
    if known in ack.updates or precedence(known) <= precedence(message.sender):
        return ack
    return dataclasses.replace(ack, updates=(known, *ack.updates))


def _relay_ping(
    members: Members, message: Message, now_s: float
) -> tuple[Members, tuple[Outgoing, ...]]:
    if message.target is None or message.target_address is None:
        return members, ()
    members, sequence = next_sequence(members)
    relayed_ping = RelayedPing(
        message.target,
        message.sender.address,
        message.sequence,
        now_s + DIRECT_PROBE_TIMEOUT_S,
    )
    members = dataclasses.replace(
        members, relayed_pings={**members.relayed_pings, sequence: relayed_ping}
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


def _handle_ack(
    members: Members, message: Message, now_s: float
) -> tuple[Members, tuple[Outgoing, ...]]:
    probe = members.probes.get(message.sequence)
    if probe is not None and probe.member.vm == message.target:
        probes = dict(members.probes)
        del probes[message.sequence]
        return dataclasses.replace(members, probes=probes), ()
    relayed_ping = members.relayed_pings.get(message.sequence)
    if relayed_ping is None or relayed_ping.target != message.target:
        return members, ()
    relayed_pings = dict(members.relayed_pings)
    del relayed_pings[message.sequence]
    members = dataclasses.replace(members, relayed_pings=relayed_pings)
    members, ack = compose(
        members,
        MessageKind.ACK,
        relayed_ping.sequence,
        now_s,
        target=relayed_ping.target,
    )
    return members, (Outgoing(relayed_ping.address, ack),)


__all__ = ["disseminate_now", "leave", "merge_shared", "receive", "tick"]
