"""Streams end as complete only where their endpoint has ended them."""

from __future__ import annotations

import itertools
import json
import re
import socket
from collections.abc import Iterable

from standins.scripted_endpoint import (
    CHUNKED_HEAD,
    LAST_CHUNK,
    Action,
    Received,
    ScriptedEndpoint,
    Step,
    chunk,
    respond_json,
)
from tests.gateway.case import GatewayCase
from tests.support.gateways import (
    HOST,
    ReceivedResponse,
    make_document,
    make_route,
    wait_for,
)

_UNFRAMED_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Response-Stamp: s\r\n\r\n"
)
_LARGE_DATA = b"x" * 1_300_000


def _event(number: int, line_end: bytes = b"\n") -> bytes:
    lines = (b"id: %d" % number, b"data: t%d" % number, b"", b"")
    return line_end.join(lines)


def _large_event(number: int) -> bytes:
    return b"id: %d\ndata: %s\n\n" % (number, _LARGE_DATA)


# What an endpoint sends before it ends the connection inside event 3.
_CUT_EVENTS = {
    "field name": b"id: 3\nda",
    "last line end": b"id: 3\ndata: t3\n",
    "carriage return": b"id: 3\r\ndata: t3\r\n",
    "large event": _large_event(3)[:-2],
    "comment": b": pi",
}


class _EngineScript:
    """Reserves memory, and then sends its streams one after the other."""

    def __init__(self, *streams: Iterable[Step]) -> None:
        self.streams = list(streams)
        self.runs: list[Received] = []

    def __call__(self, received: Received) -> Iterable[Step]:
        """Returns what the engine sends for one request."""
        if received.target == "/v1/hold-take":
            return respond_json(200, {"hold": "h1"})
        if received.method == "DELETE":
            return respond_json(200, {})
        self.runs.append(received)
        return self.streams.pop(0) if self.streams else [Action.RESET]


class StreamEndCase(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        self._numbers = itertools.count(1)
        document = make_document(2)
        routes = [
            make_route("watch", kind="streaming", max_attempts=1),
            make_route("follow", kind="streaming", resumable=True),
        ]
        self.gateway.configure(
            {**document, "routes": document["routes"] + routes}
        )

    def add_engines(self, cut: list[Step]) -> list[_EngineScript]:
        """Adds an engine that sends `cut`, and one that sends events 3 and 4.

        The load at the second one makes the first one rank first.
        """
        end: list[Step] = [_UNFRAMED_HEAD, _event(3) + _event(4)]
        scripts = [_EngineScript(cut), _EngineScript([*end, Action.CLOSE])]
        names = [f"i-{next(self._numbers)}" for _ in scripts]
        for name, script in zip(names, scripts, strict=True):
            self.gateway.add_endpoint(
                ScriptedEndpoint(name, script), service="llm", stage="decode"
            )
        state = self.gateway.components.context.state
        by_id = state.endpoint_table().by_id
        state.begin_work(by_id[names[1]].endpoint, 10_000)
        return scripts

    def generate(self, path: str) -> ReceivedResponse:
        """Sends a generation request; returns the response."""
        sizes = {"Token-Count": "5200,1760", "Length-Hint": "600"}
        return self.gateway.call("POST", path, b"prompt", sizes)

    def remove_endpoints(self) -> None:
        """Removes all endpoints."""
        state = self.gateway.components.context.state
        for endpoint in self.gateway.endpoints:
            self.gateway.store.remove("servers", endpoint.id)
            endpoint.close()
        self.gateway.endpoints.clear()
        wait_for(lambda: not state.endpoint_table().by_id)


class TestGenerations(StreamEndCase):
    def test_whole_stream_without_framing_is_complete(self) -> None:
        """Guards against rejecting streams that end with their connection."""
        whole: list[Step] = [_UNFRAMED_HEAD, _event(1) + _event(2)]
        self.add_engines([*whole, Action.CLOSE])
        response = self.generate("/draft/x")
        self.assertEqual(response.body, _event(1) + _event(2))
        self.assertTrue(response.complete)

    def test_stream_cut_inside_event_is_not_framed_as_complete(self) -> None:
        """Guards against a broken-off stream that its caller takes for whole.

        An orderly end of the connection is the end of an answer that has
        neither a length nor chunks.
        """
        for name, cut in _CUT_EVENTS.items():
            with self.subTest(name):
                steps: list[Step] = [_UNFRAMED_HEAD, _event(1) + _event(2)]
                self.add_engines([*steps, cut, Action.CLOSE])
                response = self.generate("/draft/x")
                self.assertFalse(response.complete)
                self.assertTrue(response.body.startswith(_event(1) + _event(2)))
                self.remove_endpoints()

    def test_stream_cut_inside_event_goes_on_at_another_engine(self) -> None:
        """Guards against a resumable stream that ends at its broken event."""
        for name, cut in _CUT_EVENTS.items():
            if name == "large event":
                continue
            with self.subTest(name):
                steps: list[Step] = [_UNFRAMED_HEAD, _event(1) + _event(2)]
                engines = self.add_engines([*steps, cut, Action.CLOSE])
                response = self.generate("/review/x")
                events = b"".join(_event(number) for number in (1, 2, 3, 4))
                self.assertEqual(response.body, events)
                self.assertTrue(response.complete)
                run = engines[1].runs[0]
                self.assertEqual(run.header("Last-Event-Id"), "2")
                self.remove_endpoints()

    def test_chunked_stream_that_ends_inside_event_is_not_complete(
        self,
    ) -> None:
        """Guards against a last chunk that covers for an unfinished event."""
        cut = chunk(_event(1) + _event(2) + b"id: 3\nda")
        self.add_engines([CHUNKED_HEAD, cut, LAST_CHUNK])
        self.assertFalse(self.generate("/draft/x").complete)

    def test_stream_without_framing_and_event_is_not_complete(self) -> None:
        """Guards against an empty success for an engine that has crashed."""
        engines = self.add_engines([_UNFRAMED_HEAD, Action.CLOSE])
        engines[1].streams[0] = [_UNFRAMED_HEAD, Action.CLOSE]
        self.assertEqual(self.generate("/draft/x").status, 502)

    def test_large_event_that_was_forwarded_in_part_is_not_resumed(
        self,
    ) -> None:
        """Guards against half an event that is joined to another run."""
        steps: list[Step] = [_UNFRAMED_HEAD, _event(1) + _event(2)]
        self.add_engines([*steps, _large_event(3)[:-2], Action.CLOSE])
        response = self.generate("/review/x")
        self.assertFalse(response.complete)
        self.assertNotIn(b"t4", response.body)

    def test_stream_goes_on_after_a_large_event(self) -> None:
        """Guards against a large event that a resumed stream repeats."""
        steps: list[Step] = [_UNFRAMED_HEAD, _large_event(1) + _event(2)]
        engines = self.add_engines([*steps, b"id: 3\nda", Action.CLOSE])
        response = self.generate("/review/x")
        events = [_large_event(1), _event(2), _event(3), _event(4)]
        self.assertEqual(response.body, b"".join(events))
        self.assertEqual(engines[1].runs[0].header("Last-Event-Id"), "2")

    def test_second_attempt_that_is_cut_inside_event_is_not_complete(
        self,
    ) -> None:
        """Guards against a resumed stream whose end is not checked."""
        steps: list[Step] = [_UNFRAMED_HEAD, _event(1) + b"id: 2\n"]
        engines = self.add_engines([*steps, Action.CLOSE])
        engines[1].streams[0] = [
            _UNFRAMED_HEAD,
            _event(2) + b"da",
            Action.CLOSE,
        ]
        response = self.generate("/review/x")
        self.assertFalse(response.complete)
        self.assertEqual(response.body, _event(1) + _event(2))

    def test_caller_of_http_1_0_sees_a_reset(self) -> None:
        """Guards against a broken-off stream that ends like a whole one."""
        steps: list[Step] = [_UNFRAMED_HEAD, _event(1) + b"id: 2\n"]
        self.add_engines([*steps, Action.CLOSE])
        request = (
            f"POST /draft/x HTTP/1.0\r\nHost: {HOST}\r\nRequest-Id: r1\r\n"
            "Token-Count: 5200,1760\r\nContent-Length: 0\r\n\r\n"
        )
        with self.gateway.connect() as caller:
            caller.sendall(request.encode())
            with self.assertRaises(ConnectionResetError):
                _receive_all(caller)


class TestServices(StreamEndCase):
    def test_stream_of_a_service_cut_inside_event_is_not_complete(self) -> None:
        """Guards against a check that covers only streams of engines."""
        cut = _event(1) + b"id: 2\nda"
        self.add_endpoint(lambda _: [_UNFRAMED_HEAD, cut, Action.CLOSE])
        for target in ("/watch/x", "/follow/x"):
            response = self.gateway.call("POST", target, b"1")
            self.assertFalse(response.complete, target)

    def test_whole_stream_of_a_service_is_complete(self) -> None:
        """Guards against rejecting streams that end with their connection."""
        for line_end in (b"\n", b"\r\n", b"\r"):
            whole = _event(1, line_end) + b": bye" + line_end
            steps: list[Step] = [_UNFRAMED_HEAD, whole, Action.CLOSE]
            name = f"i-{next(self._numbers)}"
            self.add_endpoint(lambda _, steps=steps: steps, name)  # type: ignore[misc]
            response = self.gateway.call("POST", "/watch/x", b"1")
            self.assertTrue(response.complete)
            self.assertEqual(response.body, whole)
            self.remove_endpoints()

    def test_body_that_is_no_event_stream_is_complete(self) -> None:
        """Guards against a check of events in answers that have none."""
        head = (
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Response-Stamp: s\r\n\r\n"
        )
        body = json.dumps({"data": 1}).encode()
        self.add_endpoint(lambda _: [head, body, Action.CLOSE])
        response = self.gateway.call("POST", "/watch/x", b"1")
        self.assertTrue(response.complete)
        self.assertEqual(response.body, body)


def _receive_all(caller: socket.socket) -> bytes:
    received = b""
    while part := caller.recv(65_536):
        received += part
    return re.sub(rb"^.*?\r\n\r\n", b"", received, flags=re.DOTALL)
