"""Deployments with unusual sets of endpoints, services and routes."""

from __future__ import annotations

from collections.abc import Iterable

from standins.scripted_endpoint import (
    CHUNKED_HEAD,
    LAST_CHUNK,
    Action,
    Received,
    Step,
    chunk,
    respond,
    respond_json,
)
from tests.gateway.case import GatewayCase
from tests.support.gateways import make_document, make_route, wait_for

_STAMP = {"Response-Stamp": "s1", "Request-Id": "r1"}
_OK = respond(200, b"done", _STAMP)
_EVENT = b"id: 1\ndata: t\n\n"
_SIZES = {"Token-Count": "5200,1760", "Length-Hint": "600"}


def _serve_generation(received: Received) -> Iterable[Step]:
    if received.target == "/v1/hold-take":
        return respond_json(200, {"hold": "h1"})
    return [CHUNKED_HEAD, chunk(_EVENT), LAST_CHUNK]


class TestDeployments(GatewayCase):
    def test_engines_without_stages_run_generations(self) -> None:
        """Guards against a dependency on prefill engines."""
        self.add_endpoint(_serve_generation, "i-1", service="llm")
        response = self.gateway.call("POST", "/draft/x", b"prompt", _SIZES)
        self.assertEqual((response.status, response.body), (200, _EVENT))

    def test_decode_engines_alone_run_generations(self) -> None:
        """Guards against refusals after the last prefill engine has left."""
        self.add_endpoint(
            _serve_generation, "i-1", service="llm", stage="decode"
        )
        response = self.gateway.call("POST", "/draft/x", b"prompt", _SIZES)
        self.assertEqual((response.status, response.body), (200, _EVENT))

    def test_prefill_engines_alone_run_no_generations(self) -> None:
        """Guards against a generation that a prefill engine would run."""
        prefill = self.add_endpoint(
            _serve_generation, "i-1", service="llm", stage="prefill"
        )
        response = self.gateway.call("POST", "/draft/x", b"prompt", _SIZES)
        self.assertEqual(response.status, 503)
        self.assertIn("Retry-After", response.headers)
        self.assertEqual(prefill.received, [])

    def test_endpoint_in_another_zone_is_used(self) -> None:
        """Guards against refusals in a zone without endpoints."""
        self.add_endpoint(lambda _: _OK, "i-1", zone="zone-z")
        self.assertEqual(self.gateway.call("GET", "/read/x").status, 200)

    def test_single_endpoint_serves_again_after_a_reset(self) -> None:
        """Guards against a refusal because the only endpoint is suspect."""
        scripts = [[Action.RESET], _OK]
        self.add_endpoint(lambda _: scripts.pop(0), "i-1")
        self.assertEqual(self.gateway.call("POST", "/pay/x").status, 502)
        self.assertEqual(self.gateway.call("POST", "/pay/x").status, 200)

    def test_last_of_many_routes_is_served(self) -> None:
        """Guards against services that are lost in a large configuration."""
        count = 800
        routes = [
            make_route(f"r{number}", service=f"s{number}")
            for number in range(count)
        ]
        services = [
            {"name": f"s{number}", "health_path": "/health"}
            for number in range(count)
        ]
        self.gateway.configure(
            make_document(2, routes=routes, services=services)
        )
        last_service = f"s{count - 1}"
        self.add_endpoint(lambda _: _OK, "i-1", service=last_service)
        wait_for(lambda: self.gateway.configuration_version() == 2)
        target = f"/r{count - 1}/x"
        self.assertEqual(self.gateway.call("GET", target).status, 200)
        self.assertEqual(self.gateway.call("GET", "/r0/x").status, 503)
