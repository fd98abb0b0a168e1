from __future__ import annotations

import dataclasses
import random
import unittest

from burdockspan.membership import shared, swim
from burdockspan.membership.gossip import compose
from burdockspan.membership.merge import merge_members
from burdockspan.membership.table import (
    GONE_RETENTION_S,
    MIN_DEATH_DETECTION_S,
    Members,
    with_shared,
)
from burdockspan.membership.values import (
    CrashKey,
    Member,
    MemberState,
    Message,
    MessageKind,
    Outgoing,
)
from burdockspan.values.endpoint import LoadReport
from tests.membership.network import make_network, make_table

_PEERS = tuple(Member(vm, f"ip-{vm}:1", "zone", 5) for vm in "bcdef")


class ProbingTest(unittest.TestCase):
    def test_probing_probes_indirectly_and_then_suspects(self) -> None:
        table, outgoing = _tick(_make_joined(), 0.0)
        (ping,) = outgoing
        self.assertEqual(ping.message.kind, MessageKind.PING)
        for now_s in (0.05, 0.1):
            table, outgoing = _tick(table, now_s)
            self.assertEqual(outgoing, ())
        table, outgoing = _tick(table, 0.15)
        # A second direct ping and ping requests to three other members.
        self.assertEqual(outgoing[0].address, ping.address)
        others = {item.address for item in outgoing[1:]}
        self.assertEqual(len(others), 3)
        self.assertNotIn(ping.address, others)
        for now_s in (0.2, 0.25, 0.3, 0.35, 0.4):
            table, outgoing = _tick(table, now_s)
        self.assertEqual(list(table.suspicion_ends_s), [ping.message.target])
        # The suspect itself is informed, so that it can refute in time.
        informing = next(i for i in outgoing if i.address == ping.address)
        self.assertIs(informing.message.updates[0].state, MemberState.SUSPECT)

    def test_probing_keeps_members_behind_one_broken_link(self) -> None:
        # Two nodes that cannot reach each other must stay live for all nodes.
        network = make_network(4)
        before = {vm: table.me for vm, table in network.tables.items()}
        network.blocked = {frozenset(("1", "2"))}
        network.run(20.0)
        after = {vm: table.me for vm, table in network.tables.items()}
        self.assertEqual(after, before)

    def test_probing_suspects_nobody_after_a_pause_of_the_prober(self) -> None:
        # Acknowledgements may be received only after a late tick.
        table, _ = _tick(_make_joined(), 0.0)
        for now_s in (0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.35):
            table, _ = _tick(table, now_s)
        self.assertTrue(any(p.indirect for p in table.probes.values()))
        for pause_s in (0.3, 0.8, MIN_DEATH_DETECTION_S):
            after, _ = _tick(table, 0.35 + pause_s)
            self.assertEqual(after.suspicion_ends_s, {})

    def test_probing_keeps_suspects_alive_over_a_pause_of_the_prober(
        self,
    ) -> None:
        # While this process is paused, it cannot receive a refutation.
        suspect = dataclasses.replace(_PEERS[0], state=MemberState.SUSPECT)
        table = merge_members(_make_joined(), [suspect], 0.0)
        for pause_s in (0.6, MIN_DEATH_DETECTION_S):
            after, _ = _tick(table, pause_s)
            self.assertTrue(after.by_vm["b"].live)

    def test_probing_detects_a_freeze_by_the_clock(self) -> None:
        # Other nodes may have cancelled the attempts of this process before any
        # message tells it.
        table = _make_joined()
        message = Message(MessageKind.PING, 1, _PEERS[0], "region")
        for now_s, change in (
            (MIN_DEATH_DETECTION_S - 0.01, 0),
            (MIN_DEATH_DETECTION_S, 1),
        ):
            ticked, _ = _tick(table, now_s)
            received, _ = swim.receive(table, message, now_s)
            for after in (ticked, received):
                expected = table.me.incarnation + change
                self.assertEqual(after.me.incarnation, expected)

    def test_probing_tells_a_sender_its_state_of_higher_precedence(
        self,
    ) -> None:
        # A replacement whose clock is behind has to learn which incarnation to
        # exceed.
        table = _make_joined()
        for state in (MemberState.ALIVE, MemberState.DEAD):
            known = dataclasses.replace(_PEERS[0], incarnation=9, state=state)
            table = dataclasses.replace(
                merge_members(table, [known], 0.0),
                member_sends={},
                probe_order=(),
            )
            message = Message(MessageKind.PING, 1, _PEERS[0], "region")
            _, (ack,) = swim.receive(table, message, 0.0)
            self.assertEqual(ack.message.updates, (known,))

    def test_probing_tells_a_member_that_it_was_declared_dead(self) -> None:
        # Without this, a member that is alive would never take the new
        # incarnation with which other members accept it again.
        table = _make_joined()
        dead = dataclasses.replace(_PEERS[0], state=MemberState.DEAD)
        table = dataclasses.replace(
            merge_members(table, [dead], 0.0), member_sends={}
        )
        _, message = compose(table, MessageKind.PING, 1, 0.0, recipient="b")
        self.assertEqual(message.updates[0], dead)

    def test_probing_corrects_a_sender_that_missed_a_death(self) -> None:
        # An update that is no longer disseminated may have missed some nodes.
        table = _make_joined()
        dead = dataclasses.replace(_PEERS[0], state=MemberState.DEAD)
        table = dataclasses.replace(
            merge_members(table, [dead], 0.0), member_sends={}
        )
        table = merge_members(table, [_PEERS[0]], 0.0)
        self.assertEqual(table.by_vm["b"], dead)
        self.assertEqual(table.member_sends, {"b": 0})

    def test_probing_shuffles_members_learned_at_once(self) -> None:
        # New nodes with the same list must not all probe the same member.
        floats = iter((0.9, 0.1, 0.7, 0.3, 0.5, 0.5, 0.5, 0.5))
        table, _ = swim.tick(_make_joined(), 0.0, lambda: next(floats))
        self.assertNotEqual(table.probe_order, tuple("bcdef"))
        self.assertEqual(set(table.probe_order), set("bcdef"))

    def test_probing_removes_members_that_have_long_been_gone(self) -> None:
        # Replaced VMs and expired entries must not accumulate. A member with a
        # new incarnation since its death ("c") stays.
        table = _make_joined()
        dead = dataclasses.replace(_PEERS[0], state=MemberState.DEAD)
        revived = dataclasses.replace(_PEERS[1], incarnation=6)
        died = dataclasses.replace(_PEERS[1], state=MemberState.DEAD)
        table = merge_members(table, [dead, died, revived], 0.0)
        entries = shared.merge_reports(
            table.shared, [LoadReport("e", "x", False, 1, 1, 0, 0, 0.0)]
        )
        key = CrashKey("ab" * 32, "e", "x")
        entries = shared.merge_crash_records(entries, {key: 60.0}, 0.0)
        table = with_shared(table, entries)
        for late_s, vms in (
            (GONE_RETENTION_S - 1, set("abcdef")),
            (GONE_RETENTION_S, set("acdef")),
        ):
            after = dataclasses.replace(
                table, last_tick_s=late_s, probe_position=len(table.probe_order)
            )
            after, _ = _tick(after, late_s)
            self.assertEqual(set(after.by_vm), vms)
            self.assertEqual(after.shared, shared.SharedEntries())


def _tick(table: Members, now_s: float) -> tuple[Members, tuple[Outgoing, ...]]:
    return swim.tick(table, now_s, random.Random(1).random)


def _make_joined() -> Members:
    return merge_members(make_table(), _PEERS, 0.0)
