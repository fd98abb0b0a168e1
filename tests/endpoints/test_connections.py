from __future__ import annotations

import threading
import time
import unittest

from burdockspan.endpoints.connections import IDLE_LIMIT_S, Connections
from burdockspan.endpoints.exchange import Call
from burdockspan.endpoints.sockets import AbortHandle
from burdockspan.values.endpoint import Endpoint, Pool
from burdockspan.values.placement import FailureKind
from tests.support.caller import WAIT_S, wait_until
from tests.support.endpoint_fake import EndpointFake, Handler


class ConnectionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        self.fake = EndpointFake()
        self.addCleanup(self.fake.stop)
        self.fake.scripts["GET /"] = lambda one: one.send(200, b"ok")
        self.fake.scripts["POST /"] = lambda one: one.send(200, b"ok")
        self.connections = Connections(lambda: self.now_s, lambda: WAIT_S)
        self.addCleanup(self.connections.close)

    def call(self, method: str = "GET", **changes: object) -> Call:
        endpoint = self.fake.as_endpoint()
        return Call(endpoint, method, "/x", **changes)  # type: ignore[arg-type]

    def fetch(self, call: Call) -> bytes:
        exchange = self.connections.start_exchange(call).unwrap()
        return exchange.read(1000).unwrap()

    def ports(self) -> int:
        return len({one.client for one in self.fake.received})

    def test_connection_is_reused(self) -> None:
        self.assertEqual(self.fetch(self.call()), b"ok")
        self.fetch(self.call())
        self.assertEqual(self.ports(), 1)

    def test_connection_idle_for_too_long_is_replaced(self) -> None:
        # Guards against a connection that a firewall silently dropped.
        self.fetch(self.call())
        self.now_s += IDLE_LIMIT_S + 0.1
        self.fetch(self.call())
        self.assertEqual(self.ports(), 2)

    def test_fresh_call_neither_takes_nor_leaves_a_connection(self) -> None:
        self.fetch(self.call())
        self.fetch(self.call("POST", fresh=True))
        self.fetch(self.call())
        self.assertEqual(self.ports(), 2)
        self.assertEqual(
            self.fake.received[0].client, self.fake.received[2].client
        )

    def test_connection_with_stray_bytes_is_replaced(self) -> None:
        # Guards P3: bytes that follow an answer must not become the next.
        read = threading.Event()

        def send_twice(one: Handler) -> None:
            one.send(200, b"ok")
            read.wait(WAIT_S)
            one.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")

        self.fake.scripts["GET /"] = send_twice
        self.fetch(self.call())
        read.set()
        held = self.connections._idle_by_address
        (row,) = next(iter(held.values()))
        wait_until(self, lambda: not row.connection.is_connected)
        self.fake.scripts["GET /"] = lambda one: one.send(200, b"ok")
        self.assertEqual(self.fetch(self.call()), b"ok")
        self.assertEqual(self.ports(), 2)

    def test_older_connections_are_closed_after_silence(self) -> None:
        self.fetch(self.call())
        exchange = self.connections.start_exchange(self.call()).unwrap()
        self.connections.retire_connections(self.fake.as_endpoint().address)
        exchange.read(1000).unwrap()
        self.now_s += 0.1
        self.fetch(self.call())
        self.assertEqual(self.ports(), 2)

    def test_refused_connection_sent_no_byte(self) -> None:
        # Port 1 of the loopback interface has no listener.
        endpoint = Endpoint("gone", "127.0.0.1:1", "x", Pool.SERVICE, "z")
        failure = self.connections.start_exchange(
            Call(endpoint, "GET", "/")
        ).err()
        assert failure is not None
        self.assertEqual(failure.kind, FailureKind.NOT_CONNECTED)

    def test_silent_endpoint_times_out(self) -> None:
        self.fake.scripts["GET /"] = lambda one: one.stall()
        call = self.call(first_byte_timeout_s=0.05)
        failure = self.connections.start_exchange(call).err()
        assert failure is not None
        self.assertEqual(failure.kind, FailureKind.UNRESPONSIVE)

    def test_late_answer_is_awaited_while_it_is_wanted(self) -> None:
        asked = threading.Event()

        def keep_waiting() -> bool:
            asked.set()
            return True

        def answer_late(one: Handler) -> None:
            asked.wait(WAIT_S)
            one.send(200, b"late")

        self.fake.scripts["GET /"] = answer_late
        call = self.call(first_byte_timeout_s=0.02, keep_waiting=keep_waiting)
        self.assertEqual(self.fetch(call), b"late")

    def test_answer_that_breaks_off_is_a_failure(self) -> None:
        def break_off(one: Handler) -> None:
            one.send(200, b"short", {"Content-Length": "50"})
            one.break_off()

        self.fake.scripts["GET /"] = break_off
        exchange = self.connections.start_exchange(self.call()).unwrap()
        failure = exchange.read(1000).err()
        assert failure is not None
        self.assertEqual(failure.kind, FailureKind.CONNECTION_LOST)

    def test_answer_over_the_limit_is_a_failure(self) -> None:
        exchange = self.connections.start_exchange(self.call()).unwrap()
        failure = exchange.read(1).err()
        assert failure is not None
        self.assertEqual(failure.kind, FailureKind.ENDPOINT_ERROR)

    def test_abort_wakes_a_blocked_reader(self) -> None:
        self.fake.scripts["GET /"] = lambda one: one.stall()
        abort = AbortHandle()
        outcomes: list[object] = []
        thread = threading.Thread(
            target=lambda: outcomes.append(
                self.connections.start_exchange(self.call(), abort).err()
            )
        )
        began_s = time.monotonic()
        thread.start()
        wait_until(self, lambda: bool(self.fake.received))
        abort.abort()
        thread.join(WAIT_S)
        self.assertEqual(len(outcomes), 1)
        self.assertLess(time.monotonic() - began_s, 5.0)

    def test_aborted_attempt_sends_nothing_more(self) -> None:
        abort = AbortHandle()
        abort.abort()
        failure = self.connections.start_exchange(self.call(), abort).err()
        assert failure is not None
        self.assertEqual(failure.kind, FailureKind.NOT_CONNECTED)
        self.assertEqual(self.fake.received, [])
