from __future__ import annotations

import dataclasses
import itertools
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from burdockspan.configuration.document import (
    Configuration,
    Model,
    RoleChange,
    Service,
)
from burdockspan.endpoints.orders import OrderKind, OrderOutcome
from burdockspan.membership.table import make_members
from burdockspan.node import orders, roles
from burdockspan.node.catalog import make_catalog
from burdockspan.node.context import Context
from burdockspan.node.effects import Effects, ReadPlatform, SendOrder
from burdockspan.node.endpoint_table import EndpointRow
from burdockspan.node.messages import OrderAnswered
from burdockspan.node.tables import Tables
from burdockspan.object_api.vms import Vm, VmList, VmRole
from burdockspan.settings import Settings
from burdockspan.values.endpoint import Endpoint, LoadReport, Pool

_NAMES = tuple(f"decode-{number}" for number in range(8))


class OrdersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 0.0
        self.checks_fencing = True
        self.roles: tuple[RoleChange, ...] = ()
        address = "127.0.0.1:1"
        self.context = Context(
            Settings(
                vm="entry-1",
                availability_zone="fes-a",
                region="maghreb-north",
                caller_address=address,
                admin_address=address,
                peer_address=address,
                peers=(),
                platform_url=f"http://{address}",
            ),
            lambda: self.now_s,
            lambda: self.now_s,
            random.Random(1).random,
        )
        members = make_members(
            vm="entry-1",
            address=address,
            availability_zone="fes-a",
            region="maghreb-north",
            seeds=(),
            now_s=0.0,
            wall_s=1.0,
        )
        self.tables = Tables(members)
        self.activate(1)
        self.set_owned(frozenset(_NAMES))

    def activate(self, generation: int) -> None:
        service = Service(
            "lm",
            models=(Model("m1", 1000),),
            checks_fencing=self.checks_fencing,
        )
        document = Configuration(
            generation, "team", services=(service,), roles=self.roles
        )
        self.tables.catalog = make_catalog(document)

    def set_owned(self, names: frozenset[str]) -> None:
        """Makes the node own some endpoints, with recent reports of all."""
        tables = self.tables
        tables.endpoints_by_name = {
            name: EndpointRow(
                Endpoint(name, "127.0.0.1:2", "lm", Pool.DECODE, "fes-a"),
                report_received_s=self.now_s,
                boot="b1",
            )
            for name in _NAMES
        }
        cache_key = (tables.members.by_vm, tables.vm_list, tables.catalog)
        tables.ownership_cache_key = cache_key
        tables.owned_endpoints = names

    def advance(self) -> Effects:
        self.now_s += 1.0
        self.set_owned(self.tables.owned_endpoints)
        return orders.send_orders(self.tables, self.context)

    def answer_orders(self, effects: Effects, outcome: OrderOutcome) -> None:
        for effect in effects:
            if isinstance(effect, SendOrder):
                name = effect.endpoint.name
                message = OrderAnswered(name, effect.order, Ok(outcome))
                orders.record_outcome(self.tables, message, self.context)

    @settings(max_examples=50, derandomize=True, deadline=None)
    @given(st.lists(st.frozensets(st.sampled_from(_NAMES)), max_size=6))
    def test_only_the_owner_sends(self, changes: list[frozenset[str]]) -> None:
        """Guards against two entry VMs that send orders to one endpoint."""
        self.tables.order_states_by_endpoint.clear()
        for owned in changes:
            self.set_owned(owned)
            confirmed: list[str] = []
            for _ in range(4):
                effects = self.advance()
                sent = [
                    effect.endpoint.name
                    for effect in effects
                    if isinstance(effect, SendOrder)
                ]
                self.assertLessEqual(len(sent), 4)
                confirmed += sent
                self.answer_orders(effects, OrderOutcome.DONE)
            self.assertLessEqual(set(confirmed), owned)
            self.assertEqual(len(set(confirmed)), len(confirmed))
            described = orders.describe_orders(self.tables)
            self.assertEqual({str(row["vm"]) for row in described}, owned)
            self.assertTrue(all(row["missing"] == [] for row in described))

    def test_role_is_ordered_once_the_engine_is_idle(self) -> None:
        """Guards against a change of role that interrupts running work.

        An engine that does not check fencing tokens gets no such order, since
        a delayed one would undo a newer one.
        """
        change = RoleChange("decode-1", Pool.PREFILL, "amal", 1.0)
        vm = Vm("decode-1", "fes-a", "127.0.0.1:2", "lm", VmRole.DECODE, False)
        cases = itertools.product(
            (True, False), (0, 1), (0, 1), (0, 5), (5.9, 6.1, 7.0), (0.0, 0.5)
        )
        for checks, running, waiting, reserved, now_s, age_s in cases:
            with self.subTest(locals()):
                self.setUp()
                self.checks_fencing, self.roles = checks, (change,)
                self.tables.vm_list = VmList(1, (vm,))
                self.activate(2)
                self.set_owned(frozenset({"decode-1"}))
                report = LoadReport(
                    *("decode-1", "b1", False, 20, 20 - reserved),
                    *(running, waiting, now_s - age_s, Pool.DECODE),
                )
                row = self.tables.endpoints_by_name["decode-1"]
                self.tables.endpoints_by_name["decode-1"] = dataclasses.replace(
                    row, report=report, report_received_s=now_s
                )
                roles.update(self.tables, 0.0)
                changing = self.tables.roles.changing
                self.assertEqual(changing, {"decode-1"} if checks else set())
                self.now_s = now_s
                sent = [
                    effect.order.kind is OrderKind.SET_ROLE
                    for effect in orders.send_orders(self.tables, self.context)
                    if isinstance(effect, SendOrder)
                ]
                idle = running == waiting == reserved == 0
                expected = checks and idle and now_s - age_s >= 6.0
                self.assertEqual(sent, [expected])

    def test_refused_generation_makes_the_node_read_the_platform(self) -> None:
        """Guards against a stale owner that repeats its old order."""
        self.set_owned(frozenset({"decode-1"}))
        self.answer_orders(self.advance(), OrderOutcome.SUPERSEDED)
        new_effects = [effect for _ in range(20) for effect in self.advance()]
        self.assertFalse(any(isinstance(e, SendOrder) for e in new_effects))
        # 20 s with a read every 5 s.
        reads = sum(isinstance(effect, ReadPlatform) for effect in new_effects)
        self.assertIn(reads, range(3, 6))
        # The node must not forget the refused generation when it loses the
        # endpoint and owns it again.
        self.set_owned(frozenset())
        self.advance()
        self.set_owned(frozenset({"decode-1"}))
        self.assertFalse(any(isinstance(e, SendOrder) for e in self.advance()))
        self.activate(2)
        self.set_owned(frozenset({"decode-1"}))
        sent = [e for e in self.advance() if isinstance(e, SendOrder)]
        self.assertEqual([effect.order.fencing_token for effect in sent], [2])
