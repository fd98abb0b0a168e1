from __future__ import annotations

import dataclasses
import random
import unittest

from bench.node_cost import (
    ManualClock,
    TableSizes,
    make_settings,
    make_tables,
    refresh_reports,
)
from burdockspan.membership.values import (
    AgedReport,
    Member,
    Message,
    MessageKind,
)
from burdockspan.node import endpoint_table, gossip, maintenance
from burdockspan.node.context import Context
from burdockspan.node.effects import FetchCacheEvents, PollLoad
from burdockspan.node.messages import PeerMessage, VmListReceived
from burdockspan.node.tables import Tables
from burdockspan.object_api.vms import VmList
from burdockspan.resilience import breaker
from tests.support.nodes import Network, make_submission


def _make(endpoints: int) -> tuple[Tables, Context, ManualClock]:
    clock = ManualClock()
    context = Context(
        make_settings(), clock, lambda: 1.8e9, random.Random(1).random
    )
    tables = make_tables(TableSizes(endpoints=endpoints, peers=50), context)
    return tables, context, clock


def _poll(tables: Tables, context: Context) -> list[str]:
    batch = maintenance.poll_endpoints(tables, context)
    polled = [e.endpoint.name for e in batch if isinstance(e, PollLoad)]
    return [name for name in polled if name not in tables.owned_endpoints]


class PollTest(unittest.TestCase):
    def test_silent_endpoints_of_others_are_polled_within_a_bound(self) -> None:
        # Without it, 175 nodes polled 330 endpoints 57,000 times a second.
        tables, context, clock = _make(300)
        clock.now_s += 5.0
        self.assertEqual(len(_poll(tables, context)), 2)

    def test_bound_reaches_each_silent_endpoint_in_turn(self) -> None:
        # A fixed choice would leave the others without new work for ever.
        tables, context, clock = _make(12)
        clock.now_s += 5.0
        seen: set[str] = set()
        for _ in range(6):
            for name in _poll(tables, context):
                seen.add(name)
                row = tables.endpoints_by_name[name]
                tables.endpoints_by_name[name] = dataclasses.replace(
                    row, report_received_s=clock.now_s
                )
            clock.now_s += 0.25
        self.assertEqual(seen | tables.owned_endpoints, set(_names(tables)))

    def test_endpoint_that_fails_does_not_use_up_the_bound(self) -> None:
        # Two dead endpoints would otherwise keep all others from being polled.
        tables, context, clock = _make(12)
        clock.now_s += 5.0
        failing = _poll(tables, context)
        for name in failing:
            row = tables.endpoints_by_name[name]
            state = row.breaker
            for _ in range(20):
                state = breaker.record(state, False, 0.0, clock.now_s)
            tables.endpoints_by_name[name] = dataclasses.replace(
                row, breaker=state
            )
        clock.now_s += 0.25
        self.assertFalse(set(failing) & set(_poll(tables, context)))

    def test_owned_endpoints_are_polled_whatever_was_heard(self) -> None:
        # The others rely on the reports of the owner.
        tables, context, clock = _make(100)
        clock.now_s += 0.25
        refresh_reports(tables, clock.now_s)
        batch = maintenance.poll_endpoints(tables, context)
        polled = {e.endpoint.name for e in batch if isinstance(e, PollLoad)}
        self.assertTrue(polled)
        self.assertEqual(polled, tables.owned_endpoints)


class OldReportTest(unittest.TestCase):
    def test_report_that_was_long_on_its_way_does_not_allow_work(self) -> None:
        # It says nothing of an endpoint that has begun to leave since (P6).
        tables, context, clock = _make(12)
        clock.now_s += 20.0
        for name, age_ms, usable in (
            ("engine-1", 9_000, False),
            ("engine-2", 100, True),
        ):
            report = AgedReport(name, "b", False, 20, 5, 0, 0, age_ms)
            message = Message(
                MessageKind.ACK,
                1,
                Member("entry-1", "127.0.0.1:1", "zone", 1),
                tables.members.region,
                reports=(report,),
            )
            gossip.receive(tables, PeerMessage(message, clock.now_s), context)
            row = tables.endpoints_by_name[name]
            self.assertEqual(endpoint_table.is_usable(row, clock.now_s), usable)


def _names(tables: Tables) -> list[str]:
    return list(tables.endpoints_by_name)


if __name__ == "__main__":
    unittest.main()


class CacheEventsTest(unittest.TestCase):
    def test_prefix_caches_are_followed_by_the_owner_of_the_pool(self) -> None:
        # Each node of a zone that followed them spent 6 ms/s at 31 engines.
        network = Network(("entry-1", "entry-2", "entry-3"), engines=4)
        network.advance(4.0)
        followers = {
            vm
            for vm, node in network.nodes_by_vm.items()
            if any(isinstance(e, FetchCacheEvents) for e in node.done)
        }
        self.assertEqual(len(followers), 1)


class ForgottenEndpointTest(unittest.TestCase):
    def test_endpoint_that_leaves_the_vm_list_is_forgotten(self) -> None:
        # Names of replaced VMs piled up for as long as the process ran.
        network = Network(("entry-1",), engines=4)
        tables = network.nodes_by_vm["entry-1"].tables
        future = network.submit("entry-1", make_submission(network, "r1"))
        name = future.result(timeout=0).unwrap().prefill.name
        self.assertIn(name, tables.links_by_endpoint)
        network.handle("entry-1", VmListReceived(VmList(2)))
        self.assertNotIn(name, tables.endpoints_by_name)
        self.assertNotIn(name, tables.links_by_endpoint)
