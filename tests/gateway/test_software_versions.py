"""A stream goes on only at the software version that began it."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable
from typing import Any

from standins.object_store import ObjectStore
from standins.scripted_endpoint import (
    CHUNKED_HEAD,
    LAST_CHUNK,
    Action,
    ScriptedEndpoint,
    Step,
    chunk,
)
from tests.gateway.test_generations import EngineScript, GenerationCase
from tests.support.gateways import (
    HOST,
    Gateway,
    ReceivedResponse,
    make_document,
    run_gateway,
    wait_for,
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
        other = self.add_version("i-2", "v1.1", _stream(2, 3), 5_000)
        same = self.add_version("i-3", "v1", _stream(2, 3), 20_000)
        response = self.generate("/review/x")
        self.assertEqual(len(first.runs), 1)
        self.assertEqual(other.runs, [])
        self.assertEqual(len(same.runs), 1)
        self.assertEqual(response.body, _event(1) + _event(2) + _event(3))
        self.assertTrue(response.complete)

    def test_stream_ends_cut_off_without_an_engine_of_its_version(self) -> None:
        """Guards against a stream that goes on at the only engine left."""
        self.add_version("i-1", "v1", _TRUNCATED, 0)
        other = self.add_version("i-2", "v1.1", _stream(2, 3), 5_000)
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

    def test_stream_of_unknown_version_is_refused_as_not_run(self) -> None:
        """Guards against a guessed version."""
        response = self.resume(self.gateways[1], "r-never-seen")
        self.assertEqual(response.status, 503)
        self.assertIn("Retry-After", response.headers)
        self.assertEqual(self.old.runs + self.new.runs, [])


__all__ = ["TestResumeByCallers", "TestResumeWithinOneResponse"]
