"""An explanation tells where a request would go, and changes nothing."""

from __future__ import annotations

import contextlib
import http.client
import json
import math
import threading
import unittest
from typing import Any

from burdockspan.gateway.callers.messages import CallerConnection, RawRequest
from burdockspan.gateway.explanation.explanation import explain, summarize
from burdockspan.gateway.ports import EndpointSignals
from burdockspan.gateway.streams.stream_origins import Origin
from burdockspan.gateway.values import Endpoint
from burdockspan.values.clock import Clock
from standins.scripted_endpoint import Received, ScriptedEndpoint, respond
from tests.gateway.requests.test_generations import EngineScript, make_stream
from tests.support.gateways import (
    HOST,
    make_document,
    make_route,
    run_gateway,
    wait_for,
)

_KEY = "secret-of-acme"
_OK = respond(200, b"done", {"Response-Stamp": "s"})
_SIZE = {"Token-Count": "100,50"}


def _make_document() -> dict[str, Any]:
    routes = [*make_document()["routes"], make_route("open", public=True)]
    quota = {"unit": "requests", "rate_per_s": 10, "burst": 20}
    tenants = [{"name": "acme", "api_keys": [_KEY], "priority": 0, **quota}]
    return make_document(routes=routes, tenants=tenants)


def _list_headers(key: str | None, **more: str) -> list[tuple[str, str]]:
    headers = [("Host", HOST), ("Request-Id", "r1"), *more.items()]
    if key is not None:
        headers.append(("Authorization", f"Bearer {key}"))
    return headers


class ExplainCase(unittest.TestCase):
    document: dict[str, Any]
    boot_clock: Clock | None = None

    def setUp(self) -> None:
        self.gateway = self.enterContext(
            contextlib.contextmanager(run_gateway)(
                self.document,
                boot_clock=self.boot_clock,
                metrics_address="127.0.0.1:0",
            )
        )
        self.context = self.gateway.components.context

    def add(self, name: str, script: Any = None, **entry: Any) -> Endpoint:
        """Adds an endpoint; returns it as the gateway knows it."""
        endpoint = ScriptedEndpoint(name, script or (lambda _: _OK))
        self.gateway.add_endpoint(endpoint, **entry)
        return self.context.state.endpoint_table().by_id[name].endpoint

    def explain(
        self, target: str, key: str | None = None, **headers: str
    ) -> dict[str, Any]:
        """Explains a request with draws that are always 0.5."""
        raw = RawRequest(
            "POST",
            target,
            tuple(_list_headers(key, **headers)),
            b"",
            "127.0.0.1",
            self.context.clock(),
            CallerConnection(),
        )
        call = self.context.platform.decode_call(raw).unwrap()
        return explain(self.context, call, lambda: 0.5)

    def post(self, body: bytes) -> tuple[int, str]:
        """Posts a body to the metrics server; returns status and answer."""
        address = self.gateway.components.status_servers[1].address
        connection = http.client.HTTPConnection(address, timeout=5.0)
        self.addCleanup(connection.close)
        connection.request("POST", "/explain", body)
        response = connection.getresponse()
        return response.status, response.read().decode()


class ExplainTest(ExplainCase):
    document = make_document()

    def test_first_candidate_receives_the_next_request(self) -> None:
        # Guards against an order that differs from that of real requests.
        self.add("i-far", zone="zone-b")
        self.add("i-near")
        explained = self.explain("/read/x")
        candidates = explained["stages"]["plain"]
        self.assertEqual(explained["goes_to"], "i-near")
        self.assertEqual(candidates[1]["reason"], "other zone")
        self.assertEqual(self.gateway.call("GET", "/read/x").status, 200)
        (attempt,) = self.gateway.events_named("attempt")
        self.assertEqual(attempt["endpoint"], candidates[0]["endpoint"])

    def test_nothing_changes(self) -> None:
        # Guards against an explanation that takes a permit, or sends a call.
        received: list[Received] = []

        def record(request: Received) -> Any:
            received.append(request)
            return _OK

        limited = self.add("i-1", record)
        engine = EngineScript(make_stream(1))
        self.add("d-1", engine, service="llm", stage="decode")
        self.add("p-1", engine, service="llm", stage="prefill")
        conditions = self.context.state.conditions
        conditions.rate_limits.set_vm_count(1)
        conditions.rate_limits.observe(limited, EndpointSignals(True, 0.01))
        before = repr(vars(conditions.rate_limits))
        logged = len(self.gateway.events_named("attempt"))
        for _ in range(3):
            self.explain("/read/x")
            explained = self.explain("/draft/x", **_SIZE)
        self.assertEqual(explained["goes_to"], "d-1")
        self.assertEqual(explained["queue"]["ahead"], 0)
        self.assertEqual(repr(vars(conditions.rate_limits)), before)
        self.assertEqual(self.context.state.running_work(limited), (0, 0))
        self.assertEqual(len(self.gateway.events_named("attempt")), logged)
        self.assertEqual([r for r in received if r.target != "/health"], [])
        self.assertEqual((engine.reserved_tokens, engine.prefills), ([], []))
        self.assertEqual(self.context.admission_queues.make_statements(), {})
        of_request = [
            event
            for event in self.gateway.log_events
            if event.get("request_id") == "r1"
        ]
        self.assertEqual(of_request, [])

    def test_unusable_endpoints_are_named_with_their_reasons(self) -> None:
        # Guards against endpoints that vanish from the table of candidates.
        paused = self.add("d-1", service="llm", stage="decode")
        full = self.add("d-2", service="llm", stage="decode")
        self.add("d-3", service="llm", stage="decode", state="draining")
        self.context.state.conditions.pauses.begin(paused, 30.0)
        self.context.full_engines.add(full, 10, self.context.clock() + 30.0)
        explained = self.explain("/draft/x", **_SIZE)
        reason_by_id = {
            item["endpoint"]: item["reason"]
            for item in explained["stages"]["decode"]
        }
        self.assertIsNone(explained["goes_to"])
        self.assertRegex(reason_by_id["d-1"], "^paused for another")
        self.assertRegex(reason_by_id["d-2"], "^full for another")
        self.assertEqual(reason_by_id["d-3"], "leaving")
        self.assertRegex(summarize(explained), "waits for memory")

    def test_suspect_is_last(self) -> None:
        # Guards against a reason that hides the failures of an endpoint.
        suspect = self.add("i-1")
        self.add("i-2", zone="zone-b")
        self.context.state.record_failure(suspect, 5.0)
        candidates = self.explain("/read/x")["stages"]["plain"]
        self.assertEqual(
            [(item["endpoint"], item["reason"]) for item in candidates],
            [("i-2", None), ("i-1", "suspect")],
        )

    def test_engines_of_the_next_generation_are_the_first(self) -> None:
        # Guards against stages that are ordered unlike those of generations.
        for stage in ("decode", "prefill"):
            for name, zone in (("1", "zone-b"), ("2", "zone-a")):
                script = EngineScript(make_stream(1))
                entry = {"service": "llm", "stage": stage, "zone": zone}
                self.add(f"{stage}-{name}", script, **entry)
        stages = self.explain("/draft/x", **_SIZE)["stages"]
        answer = self.gateway.call("POST", "/draft/x", b"", _SIZE)
        self.assertEqual(answer.status, 200)
        received = {
            endpoint.id
            for endpoint in self.gateway.endpoints
            if any(r.header("Request-Id") for r in endpoint.received)
        }
        first = {stages[name][0]["endpoint"] for name in ("decode", "prefill")}
        self.assertEqual(first, {"decode-2", "prefill-2"})
        self.assertEqual(received, first)

    def test_request_without_route_or_endpoint_is_refused(self) -> None:
        explained = self.explain("/nowhere/x")
        self.assertRegex(summarize(explained), "refused: no route")
        self.assertRegex(summarize(self.explain("/read/x")), "no endpoint")

    def test_resumed_stream_is_bound_to_its_version(self) -> None:
        # Guards against an engine of another version named as the first.
        self.add("d-1", service="llm", stage="decode", version="v1")
        self.add("d-2", service="llm", stage="decode", version="v2")
        resumed = {"Resumes": "r0", "Last-Event-Id": "3", **_SIZE}
        explained = self.explain("/review/x", **resumed)
        self.assertEqual(explained["resumption"]["known_from"], "unknown here")
        self.assertIsNone(explained["goes_to"])
        self.assertRegex(summarize(explained), "asks other VMs")
        self.context.origins.publish("r0", Origin("llm", "v2"))
        explained = self.explain("/review/x", **resumed)
        self.assertEqual(explained["goes_to"], "d-2")
        self.assertEqual(
            explained["stages"]["decode"][1]["reason"], "other version"
        )

    def test_place_in_the_queue_is_told_and_not_taken(self) -> None:
        # Guards against a place that is taken, and a queue that is created.
        self.add("d-1", service="llm", stage="decode")
        queue = self.context.admission_queues.for_service("llm")
        gone = threading.Event()
        waiting = threading.Thread(
            target=lambda: queue.wait(
                False, 0.0, math.inf, lambda: None, gone.is_set
            )
        )
        waiting.start()
        self.addCleanup(waiting.join)
        self.addCleanup(gone.set)
        wait_for(lambda: queue.length() == 1)
        for _ in range(2):
            explained = self.explain("/draft/x", **_SIZE)
            self.assertEqual(explained["queue"]["ahead"], 1)
            here = explained["queue"]["waiting_here_by_priority"]
            self.assertEqual(here, {0: 1})
        self.assertEqual(queue.length(), 1)
        self.assertRegex(summarize(explained), "behind 1 .* sent to d-1")

    def test_large_body_is_not_read(self) -> None:
        # Guards against a body that fills the memory of the VM.
        self.assertEqual(self.post(b" " * 1_000_000)[0], 413)

    def test_bad_input_names_the_field(self) -> None:
        # Guards against a traceback, or a value that is repeated.
        good = {"method": "GET", "target": "/read/x", "headers": []}
        for body, field in (
            (b"{", "body"),
            (b" " * 70_000, "body"),
            (json.dumps({**good, "method": 1}).encode(), "method"),
            (json.dumps({**good, "target": "x"}).encode(), "target"),
            (json.dumps({**good, "headers": [["a"]]}).encode(), "headers"),
            (json.dumps(good).encode(), "headers"),
        ):
            with self.subTest(field=field, body=body[:20]):
                status, text = self.post(body)
                self.assertEqual(status, 400)
                self.assertEqual(json.loads(text)["field"], field)


class ExplainAccountsTest(ExplainCase):
    document = _make_document()

    def test_account_and_quota_are_told_and_no_key(self) -> None:
        # Guards against a key in an answer or in the log.
        self.add("i-1")
        headers = _list_headers(_KEY)
        request = {"method": "GET", "target": "/read/x", "headers": headers}
        status, text = self.post(json.dumps(request).encode())
        self.assertEqual(status, 200)
        explained = json.loads(text)
        self.assertEqual(
            (explained["account"], explained["priority"]), ("acme", 0)
        )
        account = (
            self.context.state.active_configuration().configuration.accounts[0]
        )
        digests = [digest.hex() for digest in account.key_digests]
        for secret in (_KEY, *digests):
            self.assertNotIn(secret, text + str(self.gateway.log_events))

    def test_unknown_key_is_denied(self) -> None:
        explained = self.explain("/read/x", "other")
        self.assertEqual(explained["refusals"], ["unknown key"])
        self.assertEqual(self.explain("/read/x")["refusals"], ["no key"])
        self.assertEqual(self.explain("/open/x")["refusals"], [])


class ExplainQuotaTest(ExplainCase):
    document = _make_document()

    def setUp(self) -> None:
        self.now_s = 100.0
        self.boot_clock = lambda: self.now_s
        super().setUp()

    def test_units_are_measured_and_not_used(self) -> None:
        # Guards against an explanation that uses up a quota.
        self.add("i-1")
        self.context.account_quotas.set_vm_count(1)
        poor = self.explain("/read/x", _KEY)
        self.assertEqual(poor["quota"]["held_here"], 0.0)
        self.assertRegex(summarize(poor), "waits shortly for units")
        self.now_s += 5.0
        for _ in range(30):
            quota = self.explain("/read/x", _KEY)["quota"]
            self.assertEqual((quota["units"], quota["held_here"]), (1.0, 20.0))
            self.assertTrue(quota["charged_now"])


if __name__ == "__main__":
    unittest.main()
