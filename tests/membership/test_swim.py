from __future__ import annotations

import dataclasses
import unittest

from burdockspan.membership import swim
from burdockspan.membership.merge import merge_members
from burdockspan.membership.table import (
    is_live_process,
    live_vms,
)
from burdockspan.membership.values import (
    Member,
    MemberState,
    Message,
    MessageKind,
)
from tests.membership.network import make_network, make_table

# 200 ms for the first probe of a small zone, 900 ms of timeouts, and spread.
_DEATH_BOUND_S = 2.5


class MembersTest(unittest.TestCase):
    def test_members_declare_a_stopped_member_dead_in_time(self) -> None:
        network = make_network(8)
        network.stop("3")
        self.assertTrue(network.run_until(network.agree, _DEATH_BOUND_S))

    def test_members_take_a_new_incarnation_after_a_freeze(self) -> None:
        network = make_network(5)
        before = network.tables["2"].me.incarnation
        network.freeze("2")
        self.assertTrue(network.run_until(network.agree, _DEATH_BOUND_S))
        observer = network.tables["0"]
        self.assertIs(is_live_process(observer, "2", before), False)
        network.resume("2")
        self.assertTrue(network.run_until(network.agree, 5.0))
        after = network.tables["2"].me.incarnation
        self.assertGreater(after, before)
        observer = network.tables["0"]
        self.assertIs(is_live_process(observer, "2", before), False)
        self.assertIs(is_live_process(observer, "2", after), True)

    def test_members_refute_a_suspicion_without_a_new_incarnation(self) -> None:
        # A new incarnation would make peers cancel the attempts in progress.
        network = make_network(4)
        table = network.tables["1"]
        held = network.tables["0"].by_vm["1"]
        suspect = dataclasses.replace(held, state=MemberState.SUSPECT)
        network.tables["0"] = merge_members(
            network.tables["0"], [suspect], network.now_s
        )
        network.run(3.0)
        after = network.tables["1"].me
        self.assertEqual(after.incarnation, table.me.incarnation)
        self.assertEqual(after.refutation, 1)
        self.assertEqual(network.tables["0"].by_vm["1"], after)

    def test_members_merge_again_after_a_partition(self) -> None:
        # Without seeds, only contact with dead members can find the others.
        network = make_network(6)
        for vm, table in network.tables.items():
            network.tables[vm] = dataclasses.replace(table, seeds=())
        network.side = {vm: int(vm) % 2 for vm in network.tables}
        network.run(60.0)
        self.assertEqual(network.sees("0"), ("0", "2", "4"))
        self.assertEqual(network.sees("1"), ("1", "3", "5"))
        network.side = {}
        self.assertTrue(network.run_until(network.agree, 5.0))

    def test_members_accept_a_replaced_vm_under_its_name(self) -> None:
        network = make_network(4)
        old = network.tables["2"].me.incarnation
        network.stop("2")
        network.run(0.3)
        network.start("2")
        self.assertTrue(network.run_until(network.agree, 5.0))
        self.assertGreater(network.tables["0"].by_vm["2"].incarnation, old)

    def test_members_outbid_a_predecessor_with_a_faster_clock(self) -> None:
        # A replacement with a slow wall clock must not stay unseen.
        network = make_network(3)
        ahead = network.tables["2"].me.incarnation + 10**6
        network.stop("2")
        dead = Member("2", "ip-2:1", "zone", ahead, MemberState.DEAD)
        for vm, table in network.tables.items():
            network.tables[vm] = merge_members(table, [dead], network.now_s)
        network.start("2")
        self.assertTrue(network.run_until(network.agree, 5.0))
        self.assertEqual(network.tables["2"].me.incarnation, ahead + 1)

    def test_members_stop_under_a_live_namesake_elsewhere(self) -> None:
        # Two processes of one name would answer for each other's attempts.
        table = make_table()
        namesake = dataclasses.replace(
            table.me, address="other:1", incarnation=table.me.incarnation + 9
        )
        table = merge_members(table, [namesake], 0.0)
        self.assertTrue(table.superseded)
        dead = dataclasses.replace(namesake, state=MemberState.DEAD)
        table = merge_members(table, [dead], 0.0)
        self.assertFalse(table.superseded)
        self.assertEqual(table.me.incarnation, namesake.incarnation + 1)

    def test_members_forget_one_that_left_at_once(self) -> None:
        network = make_network(5)
        table, outgoing = swim.leave(
            network.tables["4"], network.now_s, network.random.random
        )
        network.tables["4"] = table
        network.send("4", outgoing)
        others = ("0", "1", "2", "3")
        self.assertTrue(
            network.run_until(
                lambda: all(network.sees(vm) == others for vm in others), 1.0
            )
        )

    def test_members_ignore_another_region(self) -> None:
        # Regions share nothing; one wrong seed must not merge them.
        table = make_table()
        stranger = Member("x", "ip-x:1", "zone", 1)
        message = Message(MessageKind.PING, 1, stranger, "elsewhere")
        self.assertEqual(swim.receive(table, message, 0.0), (table, ()))

    def test_members_leave_a_ping_for_another_vm_unanswered(self) -> None:
        # A new VM at a dead one's address must not keep the dead one alive.
        table = make_table()
        peer = Member("x", "ip-x:1", "zone", 1)
        message = Message(MessageKind.PING, 1, peer, "region", target="gone")
        self.assertEqual(swim.receive(table, message, 0.0)[1], ())

    def test_members_send_each_update_a_bounded_number_of_times(self) -> None:
        network = make_network(8)
        network.run(30.0)
        for table in network.tables.values():
            self.assertEqual(table.member_sends, {})

    def test_members_list_a_zone(self) -> None:
        table = make_table()
        other = Member("b", "ip-b:1", "other", 1)
        table = merge_members(table, [other], 0.0)
        self.assertEqual(live_vms(table, "other"), ("b",))
        self.assertEqual(live_vms(table), ("a", "b"))
