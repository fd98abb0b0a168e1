"""VMs that learn the speed of endpoints from the requests of each other."""

from __future__ import annotations

import contextlib
import threading
import unittest
from collections.abc import Iterable

from standins.object_store import ObjectStore
from standins.scripted_endpoint import ScriptedEndpoint, Step, respond
from tests.support.gateways import (
    Gateway,
    make_document,
    run_gateway,
    wait_for,
)

_OK = respond(200, b"done", {"Response-Stamp": "s"})
_TAKEN_S_BY_ID = {"i-slow": 0.15, "i-2": 0.05, "i-3": 0.05}


class TestSharedCapacity(unittest.TestCase):
    """The first VM serves requests; the second one has served none."""

    def run_fleet(self, endpoint_capacity: str) -> list[Gateway]:
        store = ObjectStore()
        self.addCleanup(store.close)
        gateways = [
            self.enterContext(
                contextlib.contextmanager(run_gateway)(
                    make_document(),
                    shared_store=store,
                    vm=f"vm-{number}",
                    exchange_address="127.0.0.1:0",
                    endpoint_capacity=endpoint_capacity,
                )
            )
            for number in (1, 2)
        ]
        for name, taken_s in _TAKEN_S_BY_ID.items():
            gateways[0].add_endpoint(
                ScriptedEndpoint(
                    name, lambda _, taken_s=taken_s: _respond_after(taken_s)
                )
            )
        for gateway in gateways:
            context = gateway.components.context
            wait_for(
                lambda state=context.state: len(state.list_endpoints()) == 3
            )
            wait_for(lambda exchange=context.exchange: exchange.list_peers())
        return gateways

    def test_slow_endpoint_is_known_at_a_vm_that_did_not_call_it(self) -> None:
        """Guards against VMs that learn from their own few requests only."""
        serving, other = self.run_fleet("learned")
        state = other.components.context.state
        slow = state.endpoint_table().by_id["i-slow"].endpoint
        capacity = other.components.context.endpoint_capacity

        def has_learned() -> bool:
            serving.call("GET", "/read/x")
            return capacity.estimate(slow).speed < 0.7

        wait_for(has_learned)
        for _ in range(6):
            other.call("GET", "/read/x")
        chosen = [e["endpoint"] for e in other.events_named("attempt")]
        self.assertLessEqual(chosen.count("i-slow"), 2)
        self.assertTrue(other.events_named("endpoint capacity changed"))

    def test_nothing_is_stated_if_capacity_is_fixed(self) -> None:
        """Guards against new behaviour where no operator asked for it."""
        serving, other = self.run_fleet("fixed")
        for _ in range(6):
            serving.call("GET", "/read/x")
        serving.components.context.exchange.send_status()
        self.assertFalse(other.components.context.endpoint_capacity.is_learned)
        metrics = other.components.context.registry.render().decode()
        self.assertNotIn('event="exchange",outcome="received"', metrics)

    def test_capacity_is_fixed_without_an_exchange(self) -> None:
        """Guards against samples that no renewal ever reads."""
        for endpoint_capacity in ("learned", "engines"):
            with (
                self.subTest(endpoint_capacity=endpoint_capacity),
                contextlib.contextmanager(run_gateway)(
                    make_document(), endpoint_capacity=endpoint_capacity
                ) as gateway,
            ):
                capacity = gateway.components.context.endpoint_capacity
                self.assertFalse(capacity.is_learned or capacity.learns_plain)
                logged = gateway.events_named("endpoint capacity fixed")
                self.assertEqual(len(logged), 1)

    def test_plain_services_are_served_as_before_if_engines_learn(self) -> None:
        """Guards against speeds of plain endpoints that are only queues."""
        serving, other = self.run_fleet("engines")
        for _ in range(30):
            serving.call("GET", "/read/x")
        capacity = serving.components.context.endpoint_capacity
        self.assertTrue(capacity.is_learned)
        self.assertIsNone(capacity.make_value())
        self.assertFalse(other.events_named("endpoint capacity changed"))


def _respond_after(taken_s: float) -> Iterable[Step]:
    threading.Event().wait(taken_s)
    yield from _OK
