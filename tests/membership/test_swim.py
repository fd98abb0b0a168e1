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

# 200 ms until the first probe in a small zone, 900 ms of timeouts, and the time
# to disseminate the death.
_DEATH_BOUND_S = 2.5


class SwimTest(unittest.TestCase):
    def test_swim_declares_a_stopped_member_dead_in_time(self) -> None:
        network = make_network(8)
        network.stop("3")
        self.assertTrue(
            network.run_until(network.has_converged, _DEATH_BOUND_S)
        )

    def test_swim_takes_a_new_incarnation_after_a_freeze(self) -> None:
        # Other nodes may have cancelled the attempts of the frozen process.
        network = make_network(5)
        before = network.tables["2"].me.incarnation
        network.freeze("2")
        self.assertTrue(
            network.run_until(network.has_converged, _DEATH_BOUND_S)
        )
        observer = network.tables["0"]
        self.assertIs(is_live_process(observer, "2", before), False)
        network.resume("2")
        self.assertTrue(network.run_until(network.has_converged, 5.0))
        after = network.tables["2"].me.incarnation
        self.assertGreater(after, before)
        observer = network.tables["0"]
        self.assertIs(is_live_process(observer, "2", before), False)
        self.assertIs(is_live_process(observer, "2", after), True)

    def test_swim_refutes_a_suspicion_without_a_new_incarnation(self) -> None:
        # Other nodes would cancel the running attempts of an old incarnation.
        network = make_network(4)
        table = network.tables["1"]
        member = network.tables["0"].by_vm["1"]
        suspect = dataclasses.replace(member, state=MemberState.SUSPECT)
        network.tables["0"] = merge_members(
            network.tables["0"], [suspect], network.now_s
        )
        network.run(3.0)
        after = network.tables["1"].me
        self.assertEqual(after.incarnation, table.me.incarnation)
        self.assertEqual(after.refutation, 1)
        self.assertEqual(network.tables["0"].by_vm["1"], after)

    def test_swim_merges_again_after_a_partition(self) -> None:
        # Without seeds, the two sides find each other only by pings to dead
        # members.
        network = make_network(6)
        for vm, table in network.tables.items():
            network.tables[vm] = dataclasses.replace(table, seeds=())
        network.side_by_vm = {vm: int(vm) % 2 for vm in network.tables}
        network.run(60.0)
        self.assertEqual(network.live_vms_at("0"), ("0", "2", "4"))
        self.assertEqual(network.live_vms_at("1"), ("1", "3", "5"))
        network.side_by_vm = {}
        self.assertTrue(network.run_until(network.has_converged, 5.0))

    def test_swim_accepts_a_replacement_with_the_same_vm_name(self) -> None:
        # The replacement starts before the death of the old process is known.
        network = make_network(4)
        old = network.tables["2"].me.incarnation
        network.stop("2")
        network.run(0.3)
        network.start("2")
        self.assertTrue(network.run_until(network.has_converged, 5.0))
        self.assertGreater(network.tables["0"].by_vm["2"].incarnation, old)

    def test_swim_exceeds_the_incarnation_of_a_predecessor(self) -> None:
        # The clock of a replacement may be behind that of the previous VM; its
        # lower incarnation must not be ignored for ever.
        network = make_network(3)
        ahead = network.tables["2"].me.incarnation + 10**6
        network.stop("2")
        dead = Member("2", "ip-2:1", "zone", ahead, MemberState.DEAD)
        for vm, table in network.tables.items():
            network.tables[vm] = merge_members(table, [dead], network.now_s)
        network.start("2")
        self.assertTrue(network.run_until(network.has_converged, 5.0))
        self.assertEqual(network.tables["2"].me.incarnation, ahead + 1)

    def test_swim_is_superseded_by_a_live_process_of_the_same_name(
        self,
    ) -> None:
        # Two processes with the same VM name would interfere with each other's
        # attempts.
        table = make_table()
        other = dataclasses.replace(
            table.me, address="other:1", incarnation=table.me.incarnation + 9
        )
        table = merge_members(table, [other], 0.0)
        self.assertTrue(table.superseded)
        dead = dataclasses.replace(other, state=MemberState.DEAD)
        table = merge_members(table, [dead], 0.0)
        self.assertFalse(table.superseded)
        self.assertEqual(table.me.incarnation, other.incarnation + 1)

    def test_swim_removes_at_once_a_member_that_leaves(self) -> None:
        # Other members must not wait for the timeouts that detect a death.
        network = make_network(5)
        table, outgoing = swim.leave(
            network.tables["4"], network.now_s, network.random.random
        )
        network.tables["4"] = table
        network.send("4", outgoing)
        others = ("0", "1", "2", "3")
        self.assertTrue(
            network.run_until(
                lambda: all(network.live_vms_at(vm) == others for vm in others),
                1.0,
            )
        )

    def test_swim_ignores_another_region(self) -> None:
        # Regions are independent; a wrong seed must not merge them.
        table = make_table()
        sender = Member("x", "ip-x:1", "zone", 1)
        message = Message(MessageKind.PING, 1, sender, "elsewhere")
        self.assertEqual(swim.receive(table, message, 0.0), (table, ()))

    def test_swim_does_not_acknowledge_a_ping_for_another_vm(self) -> None:
        # A new VM must not acknowledge pings for a dead VM that had the same
        # address.
        table = make_table()
        peer = Member("x", "ip-x:1", "zone", 1)
        message = Message(MessageKind.PING, 1, peer, "region", target="gone")
        self.assertEqual(swim.receive(table, message, 0.0)[1], ())

    def test_swim_sends_each_update_a_bounded_number_of_times(self) -> None:
        # Nodes must not go on sending each other updates that all of them know.
        network = make_network(8)
        network.run(30.0)
        for table in network.tables.values():
            self.assertEqual(table.member_sends, {})

    def test_swim_lists_the_live_vms_of_a_zone(self) -> None:
        table = make_table()
        member = Member("b", "ip-b:1", "other", 1)
        table = merge_members(table, [member], 0.0)
        self.assertEqual(live_vms(table, "other"), ("b",))
        self.assertEqual(live_vms(table), ("a", "b"))
