"""Which requests are repeated, and whether refusals say that none has run."""

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
    def test_request_is_not_repeated_after_a_reset(self) -> None:
        """Guards against a second run after a response was lost."""
        first = self.add_endpoint(lambda _: [Action.RESET], "i-1")
        second = self.add_endpoint(lambda _: [Action.RESET], "i-2")
        response = self.gateway.call("POST", "/pay/x", b"1")
        self.assertEqual(response.status, 502)
        self.assertEqual(len(first.received) + len(second.received), 1)

    def test_unexecuted_request_goes_to_another_endpoint(self) -> None:
        """Guards against a refusal while another endpoint is usable."""
        first = self.add_endpoint(lambda _: _NOT_EXECUTED, "i-1")
        second = self.add_endpoint(lambda _: _NOT_EXECUTED, "i-2")
        response = self.gateway.call("POST", "/pay/x", b"1")
        self.assertEqual(response.status, 503)
        self.assertIn("Retry-After", response.headers)
        self.assertEqual((len(first.received), len(second.received)), (1, 1))

    def test_refused_connection_uses_no_attempt(self) -> None:
        """Guards against a failed request although no endpoint received it."""
        stopped = ScriptedEndpoint("i-gone", lambda _: _OK)
        self.gateway.add_endpoint(stopped)
        stopped.close()
        self.gateway.endpoints.remove(stopped)
        self.add_endpoint(lambda _: _OK, "i-2")
        for _ in range(4):
            response = self.gateway.call("POST", "/pay/x", b"1")
            self.assertEqual(response.status, 200)

    def test_misdirected_request_goes_to_another_endpoint(self) -> None:
        """Guards against a failure if an address now has another endpoint."""
        self.add_endpoint(lambda _: respond(421), "i-1")
        self.add_endpoint(lambda _: _OK, "i-2")
        for _ in range(4):
            response = self.gateway.call("POST", "/pay/x", b"1")
            self.assertEqual(response.status, 200)

    def test_no_response_until_the_deadline_is_a_timeout(self) -> None:
        """Guards against a 503 for a request that may have run."""
        self.add_endpoint(lambda _: [Action.WAIT_FOR_CALLER])
        response = self.gateway.call(
            "POST", "/pay/x", b"1", {"Deadline-Ms": "200"}
        )
        self.assertEqual(response.status, 504)

    def test_request_is_not_repeated_after_a_500(self) -> None:
        """Guards against a second run after an endpoint answered 500."""
        failing = respond(500, b"no", {"Response-Stamp": "s"})
        first = self.add_endpoint(lambda _: failing, "i-1")
        second = self.add_endpoint(lambda _: failing, "i-2")
        self.assertEqual(self.gateway.call("POST", "/pay/x").status, 500)
        self.assertEqual(len(first.received) + len(second.received), 1)


class TestIdempotent(GatewayCase):
    def test_request_is_repeated_after_a_lost_response(self) -> None:
        """Guards against a failure that another attempt would avoid."""
        received_requests: list[Received] = []

        def script(received: Received) -> object:
            received_requests.append(received)
            return [Action.RESET] if len(received_requests) == 1 else _OK

        self.add_endpoint(script, "i-1")  # type: ignore[arg-type]
        self.add_endpoint(script, "i-2")  # type: ignore[arg-type]
        self.assertEqual(self.gateway.call("GET", "/read/x").status, 200)
        self.assertEqual(len(received_requests), 2)

    def test_attempts_stop_at_the_limit_of_the_route(self) -> None:
        """Guards against more runs than the route allows."""
        endpoints = [
            self.add_endpoint(lambda _: [Action.RESET], f"i-{number}")
            for number in range(4)
        ]
        self.assertEqual(self.gateway.call("GET", "/read/x").status, 502)
        self.assertEqual(
            sum(len(endpoint.received) for endpoint in endpoints), 2
        )

    def test_unresponsive_endpoint_is_replaced_within_the_objective(
        self,
    ) -> None:
        """Guards against waiting for an endpoint that never responds."""
        self.add_endpoint(lambda _: [Action.WAIT_FOR_CALLER], "i-1")
        self.add_endpoint(lambda _: _OK, "i-2")
        for _ in range(3):
            self.assertEqual(self.gateway.call("GET", "/read/x").status, 200)

    def test_retries_stop_when_the_budget_is_spent(self) -> None:
        """Guards against retries that multiply the load during a fault."""
        endpoints = [
            self.add_endpoint(lambda _: [Action.RESET], f"i-{number}")
            for number in range(2)
        ]
        for _ in range(60):
            self.gateway.call("GET", "/read/x")
        retries = sum(len(endpoint.received) for endpoint in endpoints) - 60
        budget = self.gateway.components.settings.retry_budget
        self.assertLessEqual(retries, budget.ratio * 60 + budget.slack)
