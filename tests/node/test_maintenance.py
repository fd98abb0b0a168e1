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


def _poll_unowned(tables: Tables, context: Context) -> list[str]:
    """Returns the endpoints of other owners that the node polls."""
    poll_effects = maintenance.poll_endpoints(tables, context)
    polled = [e.endpoint.name for e in poll_effects if isinstance(e, PollLoad)]
    return [name for name in polled if name not in tables.owned_endpoints]


class PollTest(unittest.TestCase):
    def test_stale_endpoints_of_others_are_polled_within_a_bound(self) -> None:
        # Without a bound, 175 nodes poll 330 endpoints 57,000 times a second.
        tables, context, clock = _make(300)
        clock.now_s += 5.0
        self.assertEqual(len(_poll_unowned(tables, context)), 2)

    def test_bounded_polls_reach_each_stale_endpoint_in_turn(self) -> None:
        # If the choice were fixed, the others would never get new work again.
        tables, context, clock = _make(12)
        clock.now_s += 5.0
        polled: set[str] = set()
        for _ in range(6):
            for name in _poll_unowned(tables, context):
                polled.add(name)
                row = tables.endpoints_by_name[name]
                tables.endpoints_by_name[name] = dataclasses.replace(
                    row, report_received_s=clock.now_s
                )
            clock.now_s += 0.25
        self.assertEqual(polled | tables.owned_endpoints, set(_names(tables)))

    def test_failing_endpoints_do_not_use_up_the_bound(self) -> None:
        # Otherwise two dead endpoints would prevent the polls of all others.
        tables, context, clock = _make(12)
        clock.now_s += 5.0
        failing = _poll_unowned(tables, context)
        for name in failing:
            row = tables.endpoints_by_name[name]
            state = row.breaker
            for _ in range(20):
                state = breaker.record(state, False, 0.0, clock.now_s)
            tables.endpoints_by_name[name] = dataclasses.replace(
                row, breaker=state
            )
        clock.now_s += 0.25
        self.assertFalse(set(failing) & set(_poll_unowned(tables, context)))

    def test_owned_endpoints_are_polled_despite_recent_reports(self) -> None:
        # Other nodes rely on the reports that the owner fetches.
        tables, context, clock = _make(100)
        clock.now_s += 0.25
        refresh_reports(tables, clock.now_s)
        poll_effects = maintenance.poll_endpoints(tables, context)
        polled = {
            e.endpoint.name for e in poll_effects if isinstance(e, PollLoad)
        }
        self.assertTrue(polled)
        self.assertEqual(polled, tables.owned_endpoints)


class StaleReportTest(unittest.TestCase):
    def test_report_delayed_by_gossip_does_not_allow_work(self) -> None:
        # The endpoint may have begun to leave since the report (target P6).
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


class CacheEventsTest(unittest.TestCase):
    def test_prefix_caches_are_fetched_by_the_owner_of_the_pool(self) -> None:
        # If every node fetched them, the changes of 31 engines would cost each
        # node 6 ms of processor time per second.
        network = Network(("entry-1", "entry-2", "entry-3"), engines=4)
        network.advance(4.0)
        fetching_vms = {
            vm
            for vm, node in network.nodes_by_vm.items()
            if any(
                isinstance(e, FetchCacheEvents) for e in node.performed_effects
            )
        }
        self.assertEqual(len(fetching_vms), 1)


class RemovedEndpointTest(unittest.TestCase):
    def test_state_of_an_endpoint_that_leaves_the_vm_list_is_removed(
        self,
    ) -> None:
        # Otherwise the tables grow with every replaced VM.
        network = Network(("entry-1",), engines=4)
        tables = network.nodes_by_vm["entry-1"].tables
        future = network.submit("entry-1", make_submission(network, "r1"))
        name = future.result(timeout=0).unwrap().prefill.name
        self.assertIn(name, tables.links_by_endpoint)
        network.handle("entry-1", VmListReceived(VmList(2)))
        self.assertNotIn(name, tables.endpoints_by_name)
        self.assertNotIn(name, tables.links_by_endpoint)


if __name__ == "__main__":
    unittest.main()
