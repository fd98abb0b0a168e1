"""Generations of different priority at one VM, over the network."""

from __future__ import annotations

import concurrent.futures
import contextlib
import dataclasses
import unittest

from burdockspan.gateway.accounts.values import Account
from burdockspan.gateway.admission.precedence import (
    combine_priorities,
    list_priorities,
)
from burdockspan.gateway.fleet.exchange import Received
from burdockspan.gateway.values import Configuration, RequestLimits
from tests.gateway.admission.test_bursts import ROUTE
from tests.gateway.requests.test_generations import (
    EngineScript,
    GenerationCase,
    make_stream,
)
from tests.support.gateways import (
    make_document,
    make_route,
    run_gateway,
    wait_for,
)

_OBJECTIVE_MS = 4000


def _make_document(urgent: int, other: int) -> dict[str, object]:
    document = make_document()
    document["routes"] = [
        make_route(
            name,
            kind="streaming",
            service="llm",
            max_attempts=1,
            priority=priority,
            target_latency_ms=_OBJECTIVE_MS,
        )
        for name, priority in (("urgent", urgent), ("other", other))
    ]
    return document


class CombinedPrioritiesTest(unittest.TestCase):
    def test_account_decides_first_and_then_the_route(self) -> None:
        """Guards against routes that no longer count where accounts do."""
        least_of_urgent_account = combine_priorities(0, 2)
        urgent, least = combine_priorities(1, 0), combine_priorities(1, 2)
        self.assertLess(least_of_urgent_account, urgent)
        self.assertLess(urgent, least)

    def test_each_account_may_use_each_route(self) -> None:
        """Guards against an order that is not in force for some accounts."""
        routes = dataclasses.replace(ROUTE, priority=2)
        configuration = Configuration(
            1,
            (ROUTE, routes),
            {},
            RequestLimits(1, 1, 1.0, 1.0),
            (
                Account("a", frozenset(), priority=0),
                Account("b", frozenset()),
            ),
        )
        self.assertEqual(list_priorities(configuration, "llm"), (1, 2, 11, 22))
        self.assertEqual(list_priorities(configuration, "app"), ())


class PrioritiesTest(GenerationCase):
    def setUp(self) -> None:
        self._start(_make_document(0, 2))

    def _start(self, document: dict[str, object]) -> None:
        self.gateway = self.enterContext(
            contextlib.contextmanager(run_gateway)(document)
        )

    def _run_both(self, engine: EngineScript) -> list[str]:
        """Sends the less urgent request first; returns who ran in turn."""
        engine.is_full = True
        queues = self.gateway.components.context.admission_queues
        queue = queues.for_service("llm")
        headers = {"Deadline-Ms": "5000"}
        with concurrent.futures.ThreadPoolExecutor(2) as executor:
            for number, path in enumerate(("/other/x", "/urgent/x"), start=1):
                executor.submit(self.generate, path, **headers)
                wait_for(lambda number=number: queue.length() == number)
            engine.is_full = False
        return [run.target for run in engine.runs]

    def test_urgent_one_goes_before_one_that_arrived_earlier(self) -> None:
        """Guards against memory that goes to the least urgent generation."""
        engine = self.add_engine("i-d", make_stream(1))
        self.assertEqual(self._run_both(engine), ["/urgent/x", "/other/x"])
        waiting = self.gateway.events_named("waiting for memory")
        self.assertEqual([event["priority"] for event in waiting], [2, 0])

    def test_one_priority_leaves_the_order_as_it_was(self) -> None:
        """Guards against a changed order where none is configured."""
        self._start(_make_document(1, 1))
        prefill = self.add_engine("i-p", [], "prefill")
        engine = self.add_engine("i-d", make_stream(1))
        self.assertEqual(self._run_both(engine), ["/other/x", "/urgent/x"])
        self.assertEqual(self.gateway.events_named("waiting for memory"), [])
        self.assertIsNone(prefill.prefills[0].header("Request-Priority"))

    def test_prefill_engine_gets_the_priority(self) -> None:
        """Guards against urgent prompts behind others in an engine's queue."""
        prefill = self.add_engine("i-p", [], "prefill")
        decode = self.add_engine("i-d", make_stream(1))
        self.generate("/urgent/x", **{"Request-Priority": "9"})
        self.assertEqual(prefill.prefills[0].header("Request-Priority"), "0")
        # A decode engine would preempt other generations.
        self.assertIsNone(decode.runs[0].header("Request-Priority"))

    def test_memory_is_left_to_an_urgent_one_elsewhere(self) -> None:
        """Guards against VMs that take memory before an urgent one does.

        Another VM says that an urgent generation waits, and stays silent then,
        as if it had died.
        """
        engine = self.add_engine("i-d", make_stream(1))
        context = self.gateway.components.context
        fleet = context.waiting_statements.fleet
        # The first request for memory of a VM that holds back is not delayed.
        now_s = context.boot_clock()
        fleet.receive(
            Received("vm-2", {"llm": [[[0, 1, 0.1, None]], {}]}, now_s)
        )
        self.assertEqual(self.generate("/other/x").status, 200)
        fleet.receive(
            Received("vm-2", {"llm": [[[0, 1, 0.1, None]], {}]}, now_s)
        )
        reserved = len(engine.reserved_tokens)
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            held = executor.submit(self.generate, "/other/x")
            wait_for(
                lambda: bool(self.gateway.events_named("waiting for memory"))
            )
            self.assertEqual(len(engine.reserved_tokens), reserved)
            self.assertEqual(held.result().status, 200)


if __name__ == "__main__":
    unittest.main()
