"""Client accounts that move from one availability zone to another.

When a client account is moved, its callers connect to VMs of the new zone, and
the streams that they have open stay with the VMs of the old one.
"""

from __future__ import annotations

import contextlib
import threading
import unittest
from collections.abc import Iterable

from standins.object_store import ObjectStore
from standins.scripted_endpoint import (
    CHUNKED_HEAD,
    LAST_CHUNK,
    Received,
    ScriptedEndpoint,
    Step,
    chunk,
    respond_json,
)
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


class TestMovedClients(unittest.TestCase):
    def setUp(self) -> None:
        self.store = ObjectStore()
        self.addCleanup(self.store.close)
        self.second_event = threading.Event()
        self.addCleanup(self.second_event.set)
        self.resumed_after: list[str | None] = []
        self.endpoint = ScriptedEndpoint("i-1", self.serve)
        self.addCleanup(self.endpoint.close)
        self.store.put(
            "servers",
            "i-1",
            self.endpoint.as_store_entry("llm", "zone-a", stage="decode"),
        )
        self.old_zone = self.start("vm-a", "zone-a")
        self.new_zone = self.start("vm-b", "zone-b")

    def start(self, vm: str, zone: str) -> Gateway:
        """Starts the gateway of a zone, and waits until it knows the engine."""
        gateway: Gateway = self.enterContext(
            contextlib.contextmanager(run_gateway)(
                make_document(), self.store, vm=vm, availability_zone=zone
            )
        )
        state = gateway.components.context.state
        wait_for(lambda: "i-1" in state.endpoint_table().by_id)
        return gateway

    def serve(self, received: Received) -> Iterable[Step]:
        """Streams three events, or those after Last-Event-Id."""
        if received.target == "/v1/hold-take":
            return respond_json(200, {"hold": "h1"})
        if received.method == "DELETE":
            return respond_json(200, {})
        after = received.header("Last-Event-Id")
        self.resumed_after.append(after)
        steps: list[Step] = [CHUNKED_HEAD]
        for number in range(int(after or 0) + 1, 4):
            if number == 2 and after is None:
                steps.append(self.second_event)
            steps.append(chunk(_event(number)))
        return [*steps, LAST_CHUNK]

    def test_open_stream_is_delivered_after_the_move(self) -> None:
        """Guards against drafts that stop arriving after a move."""
        responses: list[ReceivedResponse] = []
        caller = threading.Thread(
            target=lambda: responses.append(
                self.old_zone.call("POST", "/draft/x", b"p", _SIZES)
            )
        )
        caller.start()
        wait_for(lambda: self.resumed_after == [None])
        # The new zone serves the account while its old stream is open.
        moved = self.new_zone.call(
            "POST", "/review/x", b"p", {**_SIZES, "Last-Event-Id": "2"}
        )
        self.assertEqual((moved.status, moved.body), (200, _event(3)))
        self.second_event.set()
        caller.join()
        self.assertTrue(responses[0].complete)
        self.assertEqual(responses[0].body, _event(1) + _event(2) + _event(3))

    def test_interrupted_stream_is_resumed_in_the_new_zone(self) -> None:
        """Guards against events that are missing or repeated after a move."""
        connection = self.old_zone.connect()
        headers = "".join(
            f"{key}: {value}\r\n" for key, value in _SIZES.items()
        )
        connection.sendall(
            f"POST /review/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\n"
            f"Deadline-Ms: 5000\r\n{headers}Content-Length: 1\r\n\r\np".encode()
        )
        received = b""
        while _event(1) not in received:
            received += connection.recv(4096)
        connection.close()
        resumed = self.new_zone.call(
            "POST", "/review/x", b"p", {**_SIZES, "Last-Event-Id": "1"}
        )
        self.assertEqual(resumed.body, _event(2) + _event(3))
        self.assertEqual(self.resumed_after, [None, "1"])


if __name__ == "__main__":
    unittest.main()
