"""A stream goes on only at the software version that began it."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import threading
import unittest
from collections.abc import Iterable
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from burdockspan.gateway.fleet import vm_heartbeats
from burdockspan.gateway.streams import origin_messages
from burdockspan.gateway.streams.origin_messages import OriginStatement
from burdockspan.gateway.streams.origin_sharing import (
    OriginSharing,
    open_origin_sharing,
)
from burdockspan.gateway.streams.stream_origins import (
    HORIZON_S,
    Origin,
    StreamOrigins,
    VersionHistory,
    make_route_key,
    observe_routes,
)
from burdockspan.gateway.values import Endpoint, WeightedService
from burdockspan.observe.registry import make_registry
from standins.object_store import ObjectStore
from standins.scripted_endpoint import (
    CHUNKED_HEAD,
    LAST_CHUNK,
    Action,
    ScriptedEndpoint,
    Step,
    chunk,
)
from tests.gateway.requests.test_generations import EngineScript, GenerationCase
from tests.support.gateways import (
    HOST,
    Gateway,
    ReceivedResponse,
    make_document,
    run_gateway,
    wait_for,
)

_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: st.dictionaries(
        st.sampled_from(("type", "request_id", "service", "software_version")),
        inner | st.sampled_from(("origin", "origin_question")),
        max_size=4,
    ),
    max_leaves=8,
)
_SIZES = {"Token-Count": "5200,1760", "Length-Hint": "600"}


def _event(number: int) -> bytes:
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def _stream(*numbers: int) -> list[Step]:
    events = [chunk(_event(number)) for number in numbers]
    return [CHUNKED_HEAD, *events, LAST_CHUNK]


_TRUNCATED: list[Step] = [CHUNKED_HEAD, chunk(_event(1)), Action.RESET]


class TestResumeWithinOneResponse(GenerationCase):
    def add_version(
        self, name: str, version: str, stream: Iterable[Step], load: int
    ) -> EngineScript:
        """Adds an engine of a version, which this VM has loaded with tokens."""
        engine = EngineScript(stream)
        self.gateway.add_endpoint(
            ScriptedEndpoint(name, engine),
            service="llm",
            stage="decode",
            version=version,
        )
        state = self.gateway.components.context.state
        entry = state.endpoint_table().by_id[name]
        state.begin_work(entry.endpoint, load)
        return engine

    def test_stream_is_resumed_at_the_version_that_began_it(self) -> None:
        """Guards against streams with events of two software versions.

        13 streams went on at another version than the one that began them.
        """
        first = self.add_version("i-1", "v1", _TRUNCATED, 0)
        other = self.add_version("i-2", "v1.1", _stream(2, 3), 15_000)
        same = self.add_version("i-3", "v1", _stream(2, 3), 30_000)
        response = self.generate("/review/x")
        self.assertEqual(len(first.runs), 1)
        self.assertEqual(other.runs, [])
        self.assertEqual(len(same.runs), 1)
        self.assertEqual(response.body, _event(1) + _event(2) + _event(3))
        self.assertTrue(response.complete)

    def test_stream_ends_cut_off_without_an_engine_of_its_version(self) -> None:
        """Guards against a stream that goes on at the only engine left."""
        self.add_version("i-1", "v1", _TRUNCATED, 0)
        other = self.add_version("i-2", "v1.1", _stream(2, 3), 15_000)
        response = self.generate("/review/x")
        self.assertEqual(other.runs, [])
        self.assertEqual(response.body, _event(1))
        self.assertFalse(response.complete)


class TestResumeByCallers(GenerationCase):
    """A caller resumes its stream at another VM.

    Three gateways share a store. The engine of v1.1 is the better choice, as
    this VM has work at that of v1.
    """

    def setUp(self) -> None:
        """Starts three gateways, and engines of two versions."""
        self.store = ObjectStore()
        self.addCleanup(self.store.close)
        self.gateways: list[Gateway] = [
            self.enterContext(
                contextlib.contextmanager(run_gateway)(
                    make_document(), self.store, vm=f"vm-{number}"
                )
            )
            for number in range(3)
        ]
        self.gateway = self.gateways[0]
        self.old = self.add_shared_engine("i-1", "v1")
        self.new = self.add_shared_engine("i-2", "v1.1")
        for gateway in self.gateways:
            gateway.components.vm_heartbeats.send_and_count()

    def add_shared_engine(self, name: str, version: str) -> EngineScript:
        """Adds an engine that all gateways know."""
        script = EngineScript(_stream(2, 3))
        endpoint = ScriptedEndpoint(name, script)
        self.addCleanup(endpoint.close)
        entry = endpoint.as_store_entry(
            "llm", "zone-a", stage="decode", version=version
        )
        self.store.put("servers", name, entry)
        for gateway in self.gateways:
            table = gateway.components.context.state.endpoint_table
            wait_for(lambda table=table: name in table().by_id)
        return script

    def occupy(self, name: str) -> None:
        """Makes an engine the worse choice at all gateways."""
        for gateway in self.gateways:
            state = gateway.components.context.state
            entry = state.endpoint_table().by_id[name]
            state.begin_work(entry.endpoint, 20_000)

    def begin(self, request_id: str) -> None:
        """Begins a stream at the engine of v1, and leaves after an event."""
        self.old.stream = [
            CHUNKED_HEAD,
            chunk(_event(1)),
            Action.WAIT_FOR_CALLER,
        ]
        state = self.gateway.components.context.state
        end_work = state.begin_work(
            state.endpoint_table().by_id["i-2"].endpoint, 40_000
        )
        with self.gateway.connect() as caller:
            headers = {
                **_SIZES,
                "Host": HOST,
                "Request-Id": request_id,
                "Deadline-Ms": "5000",
                "Content-Length": "6",
            }
            lines = [f"{name}: {value}" for name, value in headers.items()]
            head = "\r\n".join(("POST /review/x HTTP/1.1", *lines, "", ""))
            caller.sendall(head.encode() + b"prompt")
            received = b""
            while _event(1) not in received:
                received += caller.recv(65_536)
        self.assertEqual(len(self.old.runs), 1)
        end_work()
        self.old.stream = _stream(2, 3)
        self.old.runs.clear()
        self.occupy("i-1")

    def resume(
        self, gateway: Gateway, resumed: str, **headers: Any
    ) -> ReceivedResponse:
        """Resumes a stream after its first event."""
        sent = {
            **_SIZES,
            "Request-Id": "r-again",
            "Resumes": resumed,
            "Last-Event-Id": "1",
            **headers,
        }
        return gateway.call("POST", "/review/x", b"prompt", sent)

    def test_stream_goes_on_at_its_version_at_another_vm(self) -> None:
        """Guards against callers whose stream goes on at another version."""
        self.begin("r-first")
        response = self.resume(self.gateways[1], "r-first")
        self.assertEqual(self.new.runs, [])
        self.assertEqual(len(self.old.runs), 1)
        self.assertEqual(response.body, _event(2) + _event(3))

    def test_stream_goes_on_after_the_vm_that_began_it_has_stopped(
        self,
    ) -> None:
        """Guards against an origin that is lost with its VM."""
        self.begin("r-first")
        self.gateways[0].components.context.origins.close()
        response = self.resume(self.gateways[1], "r-first")
        self.assertEqual(self.new.runs, [])
        self.assertEqual(response.body, _event(2) + _event(3))

    def test_stream_that_began_at_two_versions_is_refused(self) -> None:
        """Guards against a record of the version that lost its events."""
        self.begin("r-first")
        beginner = self.gateways[0].components.context.origins
        beginner.publish("r-first", Origin("llm", "v1.1"))
        for gateway in self.gateways:
            response = self.resume(gateway, "r-first")
            self.assertEqual(response.status, 503)
        self.assertEqual(self.old.runs + self.new.runs, [])

    def test_stream_is_resumed_twice(self) -> None:
        """Guards against a caller that names the first request again."""
        self.begin("r-first")
        for gateway in (self.gateways[1], self.gateways[2]):
            response = self.resume(gateway, "r-first")
            self.assertEqual(response.body, _event(2) + _event(3))
        self.assertEqual(self.new.runs, [])

    def test_resumed_stream_waits_for_memory_like_a_new_one(self) -> None:
        """Guards against refusals of streams that callers have begun to read.

        A caller that resumes a stream has less time left than a new one, and
        looks like one that was refused before.
        """
        self.begin("r-first")
        self.old.is_full = True
        response = self.resume(
            self.gateways[1], "r-first", **{"Deadline-Ms": "3900"}
        )
        self.assertEqual(response.status, 503)
        refused = self.gateways[1].events_named("refused")[0]
        self.assertEqual(refused["reason"], "no memory")
        self.assertGreater(refused["waited_s"], 0.5)
        self.assertEqual(self.new.reserved_tokens, [])

    def test_stream_without_an_engine_of_its_version_is_refused(self) -> None:
        """Guards against a wait for an engine that will not come."""
        self.begin("r-first")
        self.store.remove("servers", "i-1")
        state = self.gateways[1].components.context.state
        wait_for(lambda: "i-1" not in state.endpoint_table().by_id)
        response = self.resume(self.gateways[1], "r-first")
        self.assertEqual(response.status, 503)
        refused = self.gateways[1].events_named("refused")[0]
        self.assertEqual(refused["reason"], "no endpoint of the version")
        self.assertLess(refused["waited_s"], 0.3)

    def test_stream_of_unknown_version_is_refused_as_not_run(self) -> None:
        """Guards against a guessed version."""
        response = self.resume(self.gateways[1], "r-never-seen")
        self.assertEqual(response.status, 503)
        self.assertIn("Retry-After", response.headers)
        self.assertEqual(self.old.runs + self.new.runs, [])


class TestSoleVersion(GenerationCase):
    """A caller resumes a stream that no VM knows, after all have restarted."""

    def resume(self, resumed: str = "r-lost") -> ReceivedResponse:
        """Resumes a stream of an unknown request."""
        headers = {"Resumes": resumed, "Last-Event-Id": "1"}
        return self.generate("/review/x", **headers)

    def add_version(self, name: str, version: str) -> EngineScript:
        """Adds an engine of a version."""
        engine = EngineScript(_stream(2, 3))
        self.gateway.add_endpoint(
            ScriptedEndpoint(name, engine),
            service="llm",
            stage="decode",
            version=version,
        )
        return engine

    def test_stream_goes_on_where_only_one_version_served(self) -> None:
        """Guards against refusals although there is only one answer."""
        self.add_version("i-1", "v1")
        self.gateway.components.vm_heartbeats.send_and_count()
        self.assertEqual(self.resume().body, _event(2) + _event(3))

    def test_stream_is_refused_if_a_silent_vm_may_know_a_version(self) -> None:
        """Guards against a table that lags behind that of a silent VM."""
        engine = self.add_version("i-1", "v1")
        self.gateway.components.vm_heartbeats.send_and_count()
        context = self.gateway.components.context
        context.origins.set_peers({"vm-gone": "127.0.0.1:9"})
        self.assertEqual(self.resume().body, _event(2) + _event(3))
        engine.runs.clear()
        # The watch of this VM has not told it of the new version yet.
        context.state.change_endpoint_table = lambda _: None
        endpoint = ScriptedEndpoint("i-2", EngineScript(_stream(2, 3)))
        self.addCleanup(endpoint.close)
        entry = endpoint.as_store_entry(
            "llm", "zone-a", stage="decode", version="v1.1"
        )
        self.gateway.store.put("servers", "i-2", entry)
        self.assertEqual(self.resume("r-2").status, 503)
        self.assertEqual(engine.runs, [])
        context.origins.set_peers({})
        self.assertEqual(self.resume("r-3").body, _event(2) + _event(3))

    def test_stream_is_refused_after_a_version_that_only_others_saw(
        self,
    ) -> None:
        """Guards against a VM that was cut off while a version served."""
        self.add_version("i-1", "v1")
        heartbeats = self.gateway.components.vm_heartbeats
        heartbeats.send_and_count()
        seen = {"version_ages_s": {"llm": {"v0": 30.0}}}
        self.gateway.store.put(vm_heartbeats.KIND, "vm-9", seen)
        heartbeats.send_and_count()
        self.assertEqual(self.resume().status, 503)

    def test_stream_is_refused_while_another_version_is_recent(self) -> None:
        """Guards against a stream that began at an engine that has left."""
        self.add_version("i-1", "v1")
        self.add_version("i-2", "v1.1")
        self.gateway.components.vm_heartbeats.send_and_count()
        self.gateway.store.remove("servers", "i-1")
        state = self.gateway.components.context.state
        wait_for(lambda: "i-1" not in state.endpoint_table().by_id)
        self.assertEqual(self.resume().status, 503)


class TestSoleService(GenerationCase):
    """A route moves to another service, and the records are lost."""

    def test_stream_of_a_route_that_moved_is_refused(self) -> None:
        """Guards against a stream of the service that the route left."""
        engine = EngineScript(_stream(2, 3))
        self.gateway.add_endpoint(
            ScriptedEndpoint("i-1", engine),
            service="llm",
            stage="decode",
            version="v1",
        )
        heartbeats = self.gateway.components.vm_heartbeats
        heartbeats.send_and_count()
        state = self.gateway.components.context.state
        routes = state.active_configuration().configuration.routes
        review = next(route for route in routes if route.name == "review")
        moved = dataclasses.replace(
            review, services=(WeightedService("llm-old", 1.0),)
        )
        observe_routes(state.route_history, [moved], routes)
        observe_routes(state.route_history, routes, [moved])
        headers = {"Resumes": "r-lost", "Last-Event-Id": "1"}
        response = self.generate("/review/x", **headers)
        self.assertEqual(response.status, 503)
        self.assertEqual(engine.runs, [])
        wait_for(
            lambda: any(
                "llm-old" in services
                for value in self.gateway.store.read(
                    vm_heartbeats.KIND
                ).values()
                for services in value["routes"].values()
            )
        )

    def test_paths_that_are_divided_anew_keep_their_services(self) -> None:
        """Guards against a new route that hides which service began."""
        history = VersionHistory(lambda: 1000.0)
        history.complete([])
        state = self.gateway.components.context.state
        routes = state.active_configuration().configuration.routes
        review = next(route for route in routes if route.name == "review")
        part = dataclasses.replace(
            review,
            path_prefix=review.path_prefix + "part/",
            services=(WeightedService("llm-new", 1.0),),
        )
        observe_routes(history, [review], [])
        self.assertEqual(history.sole_version(make_route_key(review)), "llm")
        observe_routes(history, [review, part], [review])
        self.assertIsNone(history.sole_version(make_route_key(part)))
        self.assertEqual(history.sole_version(make_route_key(review)), "llm")


def _make_version(service: str, version: str) -> Endpoint:
    return Endpoint(
        id=version,
        started_ms=1,
        service=service,
        address="10.0.0.1:80",
        zone="zone-a",
        leaving=False,
        slots=6,
        software_version=version,
    )


class TestVersionHistory(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 1000.0
        self.history = VersionHistory(lambda: self.now_s)

    def test_version_is_unknown_before_the_others_were_read(self) -> None:
        """Guards against a version from before the start of the process."""
        self.history.observe([_make_version("llm", "v2")])
        self.assertIsNone(self.history.sole_version("llm"))
        self.history.complete([{"llm": ["v1"]}])
        self.assertIsNone(self.history.sole_version("llm"))

    def test_version_that_left_is_forgotten_after_the_horizon(self) -> None:
        """Guards against streams that can never be resumed again."""
        self.history.complete([])
        self.history.observe([_make_version("llm", "v1")])
        self.now_s += 500.0
        self.history.observe([_make_version("llm", "v2")])
        self.assertIsNone(self.history.sole_version("llm"))
        self.now_s += HORIZON_S + 1.0
        self.history.complete([{"llm": ["v1"]}])
        self.assertEqual(self.history.sole_version("llm"), "v2")

    def test_only_an_unstored_version_is_written_early(self) -> None:
        """Guards against early writes outside of a release."""
        self.history.observe([_make_version("llm", "v1")])
        self.assertFalse(self.history.has_unstored())
        self.history.complete([])
        self.assertTrue(self.history.has_unstored())
        self.history.record_stored([None, self.history.encode()])
        self.assertFalse(self.history.has_unstored())
        self.history.observe([_make_version("llm", "v2")])
        self.assertTrue(self.history.has_unstored())

    def test_versions_of_other_vms_are_forgotten_after_the_horizon(
        self,
    ) -> None:
        """Guards against VMs that keep a version alive among themselves."""
        other = VersionHistory(lambda: self.now_s)
        for history in (self.history, other):
            history.complete([])
            history.observe([_make_version("llm", "v1")])
        other.observe([_make_version("llm", "v2")])
        other.observe([_make_version("llm", "v1")])
        left_s = self.now_s
        while self.now_s < left_s + HORIZON_S + 10.0:
            ages = [self.history.encode_ages(), other.encode_ages()]
            self.now_s += 4.0
            for history in (self.history, other):
                history.take_over([*ages, None, {"llm": {"v9": "1"}}])
            if self.now_s <= left_s + HORIZON_S:
                self.assertIsNone(self.history.sole_version("llm"))
        self.assertEqual(self.history.sole_version("llm"), "v1")

    def test_malformed_observations_are_ignored(self) -> None:
        """Guards against an object of another writer."""
        self.history.complete([None, 3, {"llm": "v1"}, {"llm": [1, None]}])
        self.history.observe([_make_version("llm", "v2")])
        self.assertEqual(self.history.sole_version("llm"), "v2")


class TestOriginSharing(unittest.TestCase):
    def open_sharing(self) -> OriginSharing:
        """Returns the sharing of one VM."""
        sharing = open_origin_sharing(
            "127.0.0.1:0",
            StreamOrigins(lambda: 1000.0),
            make_registry(),
            lambda event, **fields: None,
        )
        self.addCleanup(sharing.close)
        threading.Thread(target=sharing.run, daemon=True).start()
        return sharing

    def test_statement_of_a_foreign_sender_changes_nothing(self) -> None:
        """Guards against forged origins."""
        sharing = self.open_sharing()
        statement = OriginStatement("r1", Origin("llm", "v9"))
        datagram = origin_messages.encode(statement)
        sharing.receive(datagram, ("127.0.0.1", 9))
        self.assertIsNone(sharing.find("r1"))

    def test_question_ends_without_the_answer_of_a_dead_vm(self) -> None:
        """Guards against requests that wait for a VM that has gone."""
        fleet = [self.open_sharing() for _ in range(6)]
        addresses = {f"vm-{n}": vm.address for n, vm in enumerate(fleet)}
        for sharing in fleet:
            sharing.set_peers(addresses)
        origin = Origin("llm", "v1")
        for number in range(20):
            fleet[0].publish(f"r{number}", origin)
        fleet[0].close()
        fleet[1].close()
        for number in range(20):
            self.assertEqual(fleet[2].find(f"r{number}"), origin)
        self.assertIsNone(fleet[2].find("r-unknown"))

    def test_vms_that_disagree_on_the_fleet_find_an_origin(self) -> None:
        """Guards against owners that only one of two VMs knows."""
        fleet = [self.open_sharing() for _ in range(8)]
        addresses = {f"vm-{n}": vm.address for n, vm in enumerate(fleet)}
        for sharing in fleet:
            sharing.set_peers(addresses)
        fleet[0].set_peers(dict(list(addresses.items())[:4]))
        origin = Origin("llm", "v1")
        for number in range(20):
            fleet[0].publish(f"r{number}", origin)
            self.assertEqual(fleet[7].find(f"r{number}"), origin)

    @given(
        st.binary(max_size=200) | _JSON.map(lambda v: json.dumps(v).encode())
    )
    def test_any_datagram_is_decoded_or_refused(self, datagram: bytes) -> None:
        """Guards against a datagram that ends the receiving thread."""
        decoded = origin_messages.decode(datagram)
        if decoded.is_ok():
            encoded = origin_messages.encode(decoded.ok_value)
            self.assertEqual(origin_messages.decode(encoded), decoded)

    def test_dispute_is_told_to_vms_that_ask(self) -> None:
        """Guards against a conflict that only the owners know."""
        fleet = [self.open_sharing() for _ in range(6)]
        addresses = {f"vm-{n}": vm.address for n, vm in enumerate(fleet)}
        for sharing in fleet:
            sharing.set_peers(addresses)
        fleet[0].publish("r1", Origin("llm", "v1"))
        fleet[1].publish("r1", Origin("llm", "v2"))
        wait_for(lambda: sum(vm.is_disputed("r1") for vm in fleet) >= 3)
        for sharing in fleet:
            if not sharing.is_disputed("r1"):
                sharing.find("r1")
        wait_for(lambda: all(vm.is_disputed("r1") for vm in fleet[2:]))
        self.assertIsNone(fleet[2].find("r1"))

    def test_memory_of_origins_is_bounded(self) -> None:
        """Guards against a process that grows with its streams."""
        now_s = [1000.0]
        origins = StreamOrigins(lambda: now_s[0])
        for number in range(30_000):
            origins.record(f"r{number}", Origin("llm", "v1"))
        self.assertIsNone(origins.find("r0"))
        self.assertIsNotNone(origins.find("r29999"))
        now_s[0] += HORIZON_S + 1.0
        self.assertIsNone(origins.find("r29999"))


__all__ = [
    "TestOriginSharing",
    "TestResumeByCallers",
    "TestResumeWithinOneResponse",
    "TestSoleService",
    "TestSoleVersion",
    "TestVersionHistory",
]
