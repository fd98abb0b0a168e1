"""Sound services that fall silent for a second or so and then answer."""

from __future__ import annotations

import concurrent.futures
import threading
from collections.abc import Iterable

from burdockspan.gateway.settings import RetryBudgetSettings
from standins.scripted_endpoint import (
    Action,
    Received,
    Script,
    Step,
    respond,
)
from tests.gateway.case import GatewayCase
from tests.support.gateways import (
    ReceivedResponse,
    make_document,
    make_route,
)

_SILENCE_S = 1.3
_OK = respond(200, b"done", {"Response-Stamp": "s"})


class TestSilentServices(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        route = make_route("read", target_latency_ms=200, timeout_ms=3000)
        self.gateway.configure(make_document(2, routes=[route]))

    def spend_retry_budget(self) -> None:
        """Leaves nothing of the retry budget."""
        budget = self.gateway.components.context.retry_budget
        budget.set_settings(RetryBudgetSettings(0.0, 0.0, 10.0))

    def answer_after(self, seconds: float) -> Script:
        """Returns a script that is silent before its response."""

        def script(_: Received) -> Iterable[Step]:
            threading.Event().wait(seconds)
            return _OK

        return script

    def read(self, number: int = 1) -> ReceivedResponse:
        """Sends a request that may run more than once."""
        headers = {"Request-Id": f"r{number}", "Deadline-Ms": "3000"}
        return self.gateway.call("GET", "/read/x", b"", headers)

    def test_silence_of_all_endpoints_costs_no_answer(self) -> None:
        """Guards against a 504 after a cut that no retry follows."""
        self.spend_retry_budget()
        for number in range(3):
            self.add_endpoint(self.answer_after(_SILENCE_S), f"i-{number}")
        with concurrent.futures.ThreadPoolExecutor(12) as executor:
            responses = list(executor.map(self.read, range(12)))
        self.assertEqual([item.status for item in responses], [200] * 12)

    def test_silent_endpoint_is_not_left_for_a_paused_one(self) -> None:
        """Guards against a cut although the other endpoint takes nothing."""
        pause = respond(503, b"", {"Not-Executed": "1", "Retry-After": "9"})
        self.add_endpoint(lambda _: pause, "i-2")
        self.assertEqual(self.read().status, 503)
        self.add_endpoint(self.answer_after(_SILENCE_S), "i-1")
        for number in range(3):
            self.assertEqual(self.read(number).status, 200)

    def test_successor_that_refuses_does_not_cost_the_answer(self) -> None:
        """Guards against a 502 while the silent endpoint would answer."""
        self.add_endpoint(self.answer_after(_SILENCE_S), "i-1")
        refusal = respond(503, b"", {"Not-Executed": "1"})
        self.add_endpoint(lambda _: refusal, "i-2", zone="zone-b")
        self.assertEqual(self.read().status, 200)

    def test_silent_endpoint_is_left_for_one_that_answers(self) -> None:
        """Guards against waiting for an endpoint that never answers."""
        self.add_endpoint(lambda _: [Action.WAIT_FOR_CALLER], "i-1")
        self.add_endpoint(lambda _: _OK, "i-2")
        for number in range(3):
            self.assertEqual(self.read(number).status, 200)

    def test_log_says_why_a_silent_endpoint_was_not_left(self) -> None:
        """Guards against a wait that cannot be explained."""
        self.spend_retry_budget()
        for number in range(2):
            self.add_endpoint(self.answer_after(0.4), f"i-{number}")
        self.assertEqual(self.read().status, 200)
        (event,) = self.gateway.events_named("endpoint silent")
        self.assertEqual(event["reason"], "retry budget")
        self.assertEqual(event["request_id"], "r1")
