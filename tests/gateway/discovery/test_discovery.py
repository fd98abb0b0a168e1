"""Watches of the configuration and the endpoints, also during faults."""

from __future__ import annotations

import json

from standins.scripted_endpoint import ScriptedEndpoint, respond
from tests.gateway.case import GatewayCase
from tests.support.gateways import make_document, make_route, wait_for

_OK = respond(200, b"done", {"Response-Stamp": "s"})


class TestConfiguration(GatewayCase):
    def test_newer_version_is_activated(self) -> None:
        """Guards against requests that an outdated configuration handles."""
        self.add_endpoint(lambda _: _OK)
        self.assertEqual(self.gateway.call("GET", "/new/x").status, 404)
        document = make_document(2)
        document["routes"].append(make_route("new"))
        self.gateway.configure(document)
        self.assertEqual(self.gateway.call("GET", "/new/x").status, 200)

    def test_older_version_is_ignored(self) -> None:
        """Guards against a return to an older configuration."""
        self.gateway.configure(make_document(5))
        self.gateway.store.put("config", "main", make_document(4))
        wait_for(
            lambda: bool(
                self.gateway.events_named("configuration is not newer")
            )
        )
        self.assertEqual(self.gateway.configuration_version(), 5)

    def test_malformed_version_is_ignored(self) -> None:
        """Guards against an outage caused by a malformed document."""
        self.gateway.store.put("config", "main", {"version": 9})
        wait_for(
            lambda: bool(self.gateway.events_named("configuration ignored"))
        )
        self.assertEqual(self.gateway.configuration_version(), 1)

    def test_removed_configuration_stays_in_force(self) -> None:
        """Guards against a process that drops its configuration."""
        self.gateway.store.remove("config", "main")
        wait_for(
            lambda: bool(self.gateway.events_named("configuration removed"))
        )
        self.assertEqual(self.gateway.configuration_version(), 1)

    def test_all_of_many_routes_are_found(self) -> None:
        """Guards against routes that are lost in a large configuration."""
        self.add_endpoint(lambda _: _OK)
        document = make_document(2)
        document["routes"] += [make_route(f"r{n}") for n in range(400)]
        document["routes"].append(make_route("read-deep"))
        document["routes"][-1]["path_prefix"] = "/read/deep/"
        document["routes"][-1]["service"] = "llm"
        self.gateway.configure(document)
        self.assertEqual(self.gateway.call("GET", "/r399/x").status, 200)
        self.assertEqual(self.gateway.call("GET", "/read/deep/x").status, 503)
        self.assertEqual(self.gateway.call("GET", "/read/deeper").status, 200)


class TestEndpoints(GatewayCase):
    def test_state_is_kept_during_an_outage(self) -> None:
        """Guards against refusals while only the store is unavailable."""
        self.add_endpoint(lambda _: _OK)
        self.gateway.store.status = 503
        wait_for(lambda: len(self.gateway.events_named("store lost")) >= 2)
        self.assertEqual(self.gateway.call("POST", "/pay/x").status, 200)
        self.gateway.store.status = None
        self.gateway.configure(make_document(3))

    def test_unresponsive_store_is_detected(self) -> None:
        """Guards against a watch that waits on an unresponsive connection."""
        self.gateway.store.unresponsive = True
        wait_for(lambda: bool(self.gateway.events_named("store lost")))
        self.gateway.store.unresponsive = False
        self.gateway.configure(make_document(3))

    def test_kind_is_listed_again_after_compaction(self) -> None:
        """Guards against changes that are lost with the compacted history."""
        self.gateway.store.compacted = True
        wait_for(lambda: not self.gateway.store.compacted)
        self.gateway.add_endpoint(ScriptedEndpoint("i-9", lambda _: _OK))

    def test_draining_endpoint_gets_no_request(self) -> None:
        """Guards against work for an endpoint that is leaving."""
        leaving = self.add_endpoint(lambda _: _OK, "i-1")
        self.add_endpoint(lambda _: _OK, "i-2")
        entry = leaving.as_store_entry("app", "zone-a", state="draining")
        self.gateway.store.put("servers", "i-1", entry)
        state = self.gateway.components.context.state
        wait_for(lambda: state.endpoint_table().by_id["i-1"].endpoint.leaving)
        for _ in range(6):
            self.assertEqual(self.gateway.call("GET", "/read/x").status, 200)
        self.assertEqual(leaving.received, [])

    def test_malformed_entry_does_not_affect_others(self) -> None:
        """Guards against a malformed entry that hides valid ones."""
        self.add_endpoint(lambda _: _OK, "i-1")
        self.gateway.store.put("servers", "i-x", ["?"])
        wait_for(lambda: bool(self.gateway.events_named("entry ignored")))
        self.assertEqual(self.gateway.call("GET", "/read/x").status, 200)

    def test_entry_with_an_extreme_number_does_not_end_the_watch(self) -> None:
        """Guards against a VM that never again learns of an endpoint."""
        self.add_endpoint(lambda _: _OK, "i-1")
        entry = ScriptedEndpoint("i-x", lambda _: _OK)
        self.addCleanup(entry.close)
        foreign = entry.as_store_entry("app", "zone-a", slots=10**400)
        self.gateway.store.put("servers", "i-x", foreign)
        wait_for(lambda: bool(self.gateway.events_named("entry ignored")))
        self.add_endpoint(lambda _: _OK, "i-2")

    def test_log_events_encode_as_json(self) -> None:
        """Guards against log lines that a program cannot parse."""
        self.add_endpoint(lambda _: _OK, "i-1")
        self.gateway.call("GET", "/read/x")
        wait_for(lambda: bool(self.gateway.events_named("answered")))
        for log_event in self.gateway.log_events:
            json.dumps(log_event, default=str)
        attempt = self.gateway.events_named("attempt")[0]
        self.assertEqual(attempt["request_id"], "r1")
        self.assertEqual(attempt["configuration"], 1)
        self.assertIsNotNone(attempt["fleet_age_s"])
