"""Deployments of other shapes than those of today's users."""

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


def _decode(received: Received) -> Iterable[Step]:
    if received.target == "/v1/hold-take":
        return respond_json(200, {"hold": "h1"})
    return [CHUNKED_HEAD, chunk(_EVENT), LAST_CHUNK]


class TestDeployments(GatewayCase):
    def test_engines_without_stages_read_and_stream(self) -> None:
        """Guards against a service that needs prefill engines."""
        self.add_endpoint(_decode, "i-1", service="llm")
        answer = self.gateway.call("POST", "/draft/x", b"prompt", _SIZES)
        self.assertEqual((answer.status, answer.body), (200, _EVENT))

    def test_decode_engines_alone_read_and_stream(self) -> None:
        """Guards against refusals after the last prefill engine has left."""
        self.add_endpoint(_decode, "i-1", service="llm", stage="decode")
        answer = self.gateway.call("POST", "/draft/x", b"prompt", _SIZES)
        self.assertEqual((answer.status, answer.body), (200, _EVENT))

    def test_prefill_engines_alone_refuse_at_once(self) -> None:
        """Guards against a generation that a prefill engine would run."""
        prefill = self.add_endpoint(
            _decode, "i-1", service="llm", stage="prefill"
        )
        answer = self.gateway.call("POST", "/draft/x", b"prompt", _SIZES)
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual(prefill.received, [])

    def test_service_of_another_zone_alone_is_used(self) -> None:
        """Guards against a zone without endpoints that serves nobody."""
        self.add_endpoint(lambda _: _OK, "i-1", zone="zone-z")
        self.assertEqual(self.gateway.call("GET", "/read/x").status, 200)

    def test_single_endpoint_serves_again_after_a_reset(self) -> None:
        """Guards against a suspect that is avoided though there is no other."""
        scripts = [[Action.RESET], _OK]
        self.add_endpoint(lambda _: scripts.pop(0), "i-1")
        self.assertEqual(self.gateway.call("POST", "/pay/x").status, 502)
        self.assertEqual(self.gateway.call("POST", "/pay/x").status, 200)

    def test_many_services_and_routes(self) -> None:
        """Guards against routes that only the first services get."""
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
        last = f"s{count - 1}"
        self.add_endpoint(lambda _: _OK, "i-1", service=last)
        wait_for(lambda: self.gateway.configuration_version() == 2)
        target = f"/r{count - 1}/x"
        self.assertEqual(self.gateway.call("GET", target).status, 200)
        self.assertEqual(self.gateway.call("GET", "/r0/x").status, 503)
