"""What may be repeated, and which refusals say that a request has not run."""

from __future__ import annotations

from standins.scripted_endpoint import (
    Action,
    Received,
    ScriptedEndpoint,
    respond,
)
from tests.gateway.case import GatewayCase

_OK = respond(200, b"done", {"Response-Stamp": "s"})
_NOT_EXECUTED = respond(503, b"", {"Not-Executed": "1"})


class TestNonIdempotent(GatewayCase):
    def test_reset_after_the_request_is_no_promise(self) -> None:
        """Guards against a second run after an answer was lost."""
        first = self.add_endpoint(lambda _: [Action.RESET], "i-1")
        second = self.add_endpoint(lambda _: [Action.RESET], "i-2")
        answer = self.gateway.call("POST", "/pay/x", b"1")
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(first.received) + len(second.received), 1)

    def test_request_that_was_not_executed_goes_elsewhere(self) -> None:
        """Guards against a refusal though another endpoint is free."""
        first = self.add_endpoint(lambda _: _NOT_EXECUTED, "i-1")
        second = self.add_endpoint(lambda _: _NOT_EXECUTED, "i-2")
        answer = self.gateway.call("POST", "/pay/x", b"1")
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual((len(first.received), len(second.received)), (1, 1))

    def test_refused_connection_costs_no_attempt(self) -> None:
        """Guards against a failure though no byte was sent."""
        gone = ScriptedEndpoint("i-gone", lambda _: _OK)
        self.gateway.add_endpoint(gone)
        gone.close()
        self.gateway.endpoints.remove(gone)
        self.add_endpoint(lambda _: _OK, "i-2")
        for _ in range(4):
            answer = self.gateway.call("POST", "/pay/x", b"1")
            self.assertEqual(answer.status, 200)

    def test_misdirected_request_goes_elsewhere(self) -> None:
        """Guards against an address that another endpoint has taken over."""
        self.add_endpoint(lambda _: respond(421), "i-1")
        self.add_endpoint(lambda _: _OK, "i-2")
        for _ in range(4):
            answer = self.gateway.call("POST", "/pay/x", b"1")
            self.assertEqual(answer.status, 200)

    def test_silence_until_the_deadline_is_a_timeout(self) -> None:
        """Guards against a 503 for a request that may have run."""
        self.add_endpoint(lambda _: [Action.WAIT_FOR_CALLER])
        answer = self.gateway.call(
            "POST", "/pay/x", b"1", {"Deadline-Ms": "200"}
        )
        self.assertEqual(answer.status, 504)

    def test_endpoint_failure_is_not_repeated(self) -> None:
        """Guards against a second run after an endpoint answered 500."""
        failing = respond(500, b"no", {"Response-Stamp": "s"})
        first = self.add_endpoint(lambda _: failing, "i-1")
        second = self.add_endpoint(lambda _: failing, "i-2")
        self.assertEqual(self.gateway.call("POST", "/pay/x").status, 500)
        self.assertEqual(len(first.received) + len(second.received), 1)


class TestIdempotent(GatewayCase):
    def test_lost_answer_is_fetched_elsewhere(self) -> None:
        """Guards against a failure that one more attempt would have mended."""
        served: list[Received] = []

        def script(received: Received) -> object:
            served.append(received)
            return [Action.RESET] if len(served) == 1 else _OK

        self.add_endpoint(script, "i-1")  # type: ignore[arg-type]
        self.add_endpoint(script, "i-2")  # type: ignore[arg-type]
        self.assertEqual(self.gateway.call("GET", "/read/x").status, 200)
        self.assertEqual(len(served), 2)

    def test_attempts_end_at_the_limit_of_the_route(self) -> None:
        """Guards against more runs than the route allows."""
        endpoints = [
            self.add_endpoint(lambda _: [Action.RESET], f"i-{number}")
            for number in range(4)
        ]
        self.assertEqual(self.gateway.call("GET", "/read/x").status, 502)
        self.assertEqual(sum(len(one.received) for one in endpoints), 2)

    def test_mute_endpoint_costs_a_part_of_the_objective(self) -> None:
        """Guards against waiting for an endpoint that never answers."""
        self.add_endpoint(lambda _: [Action.WAIT_FOR_CALLER], "i-1")
        self.add_endpoint(lambda _: _OK, "i-2")
        for _ in range(3):
            self.assertEqual(self.gateway.call("GET", "/read/x").status, 200)

    def test_repeats_end_with_the_budget(self) -> None:
        """Guards against a fault that multiplies the load."""
        endpoints = [
            self.add_endpoint(lambda _: [Action.RESET], f"i-{number}")
            for number in range(2)
        ]
        for _ in range(60):
            self.gateway.call("GET", "/read/x")
        repeats = sum(len(one.received) for one in endpoints) - 60
        bounds = self.gateway.components.settings.retry_budget
        self.assertLessEqual(repeats, bounds.ratio * 60 + bounds.slack)
