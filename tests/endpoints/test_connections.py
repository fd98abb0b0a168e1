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
from tests.support.endpoint_fake import CHUNKED_HEAD, EndpointFake, Handler


class ConnectionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        self.fake = EndpointFake()
        self.addCleanup(self.fake.stop)
        self.fake.scripts["GET /"] = lambda handler: handler.send(200, b"ok")
        self.fake.scripts["POST /"] = lambda handler: handler.send(200, b"ok")
        self.connections = Connections(lambda: self.now_s, lambda: WAIT_S)
        self.addCleanup(self.connections.close)

    def call(self, method: str = "GET", **changes: object) -> Call:
        endpoint = self.fake.as_endpoint()
        return Call(endpoint, method, "/x", **changes)  # type: ignore[arg-type]

    def fetch(self, call: Call) -> bytes:
        exchange = self.connections.start_exchange(call).unwrap()
        return exchange.read(1000).unwrap()

    def count_connections(self) -> int:
        return len({request.client for request in self.fake.received})

    def test_connection_is_reused(self) -> None:
        self.assertEqual(self.fetch(self.call()), b"ok")
        self.fetch(self.call())
        self.assertEqual(self.count_connections(), 1)

    def test_connection_idle_for_too_long_is_replaced(self) -> None:
        # Guards against an idle connection that a firewall has dropped.
        self.fetch(self.call())
        self.now_s += IDLE_LIMIT_S + 0.1
        self.fetch(self.call())
        self.assertEqual(self.count_connections(), 2)

    def test_fresh_call_neither_reuses_nor_keeps_a_connection(self) -> None:
        self.fetch(self.call())
        self.fetch(self.call("POST", fresh=True))
        self.fetch(self.call())
        self.assertEqual(self.count_connections(), 2)
        self.assertEqual(
            self.fake.received[0].client, self.fake.received[2].client
        )

    def test_connection_with_stray_bytes_is_replaced(self) -> None:
        # Bytes that follow a response must not be read as the next response.
        response_read = threading.Event()

        def send_twice(handler: Handler) -> None:
            handler.send(200, b"ok")
            response_read.wait(WAIT_S)
            handler.wfile.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"
            )

        self.fake.scripts["GET /"] = send_twice
        self.fetch(self.call())
        response_read.set()
        idle_by_address = self.connections._idle_by_address
        (idle,) = next(iter(idle_by_address.values()))
        wait_until(self, lambda: not idle.http_connection.is_connected)
        self.fake.scripts["GET /"] = lambda handler: handler.send(200, b"ok")
        self.assertEqual(self.fetch(self.call()), b"ok")
        self.assertEqual(self.count_connections(), 2)

    def test_retired_connections_are_not_reused(self) -> None:
        # After one connection to a healthy endpoint has stalled, others that
        # are as old may have stalled as well.
        self.fetch(self.call())
        exchange = self.connections.start_exchange(self.call()).unwrap()
        self.connections.retire_connections(self.fake.as_endpoint().address)
        exchange.read(1000).unwrap()
        self.now_s += 0.1
        self.fetch(self.call())
        self.assertEqual(self.count_connections(), 2)

    def test_refused_connection_counts_as_not_connected(self) -> None:
        # Port 1 of the loopback interface has no listener.
        endpoint = Endpoint("gone", "127.0.0.1:1", "x", Pool.SERVICE, "z")
        failure = self.connections.start_exchange(
            Call(endpoint, "GET", "/")
        ).err()
        assert failure is not None
        self.assertEqual(failure.kind, FailureKind.NOT_CONNECTED)

    def test_unresponsive_endpoint_times_out(self) -> None:
        self.fake.scripts["GET /"] = lambda handler: handler.stall()
        call = self.call(first_byte_timeout_s=0.05)
        failure = self.connections.start_exchange(call).err()
        assert failure is not None
        self.assertEqual(failure.kind, FailureKind.UNRESPONSIVE)

    def test_late_response_is_awaited_while_on_silence_returns_a_time(
        self,
    ) -> None:
        # An endpoint that is healthy but slow must not count as unresponsive.
        timed_out = threading.Event()

        def wait_on() -> float:
            timed_out.set()
            return 0.02

        def respond_late(handler: Handler) -> None:
            timed_out.wait(WAIT_S)
            handler.send(200, b"late")

        self.fake.scripts["GET /"] = respond_late
        call = self.call(first_byte_timeout_s=0.02, on_silence=wait_on)
        self.assertEqual(self.fetch(call), b"late")

    def test_truncated_response_is_a_connection_loss(self) -> None:
        # A truncated body must not be relayed as a complete one.
        def close_early(handler: Handler) -> None:
            handler.send(200, b"short", {"Content-Length": "50"})
            handler.close_early()

        self.fake.scripts["GET /"] = close_early
        exchange = self.connections.start_exchange(self.call()).unwrap()
        failure = exchange.read(1000).err()
        assert failure is not None
        self.assertEqual(failure.kind, FailureKind.CONNECTION_LOST)

    def check_lost(self, response: bytes) -> None:
        """Checks that a response that then ends is no complete one."""

        def close_early(handler: Handler) -> None:
            handler.wfile.write(response)
            handler.close_early()

        self.fake.scripts["GET /"] = close_early
        outcome = self.connections.start_exchange(self.call()).and_then(
            lambda exchange: exchange.read(1000)
        )
        failure = outcome.unwrap_err()
        self.assertEqual(failure.kind, FailureKind.CONNECTION_LOST)

    def test_chunk_size_that_breaks_off_is_a_connection_loss(self) -> None:
        """Guards against a truncated body whose next size begins with 0."""
        self.check_lost(CHUNKED_HEAD + b"\r\n1\r\nx\r\n0")

    def test_malformed_header_is_a_connection_loss(self) -> None:
        """Guards against a length that is lost with the lines after it."""
        self.check_lost(
            b"HTTP/1.1 200 OK\r\nno header\r\nContent-Length: 9\r\n\r\nshort"
        )

    def test_interim_responses_precede_the_response(self) -> None:
        """Guards against an interim response that passes for the answer."""

        def send(handler: Handler) -> None:
            for status in (100, 102, 103):
                head = b"HTTP/1.1 %d X\r\nLink: x\r\n\r\n" % status
                handler.wfile.write(head)
            handler.send(200, b"ok")

        self.fake.scripts["GET /"] = send
        exchange = self.connections.start_exchange(self.call()).unwrap()
        self.assertEqual(exchange.status, 200)
        self.assertEqual(exchange.read(1000).unwrap(), b"ok")

    def test_response_over_the_limit_is_an_endpoint_error(self) -> None:
        # A response without end must not use up the memory of the process.
        exchange = self.connections.start_exchange(self.call()).unwrap()
        failure = exchange.read(1).err()
        assert failure is not None
        self.assertEqual(failure.kind, FailureKind.ENDPOINT_ERROR)

    def test_abort_wakes_a_blocked_reader(self) -> None:
        # Otherwise a cancelled call would block a thread until its timeout.
        self.fake.scripts["GET /"] = lambda handler: handler.stall()
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

    def test_aborted_attempt_sends_no_call(self) -> None:
        abort = AbortHandle()
        abort.abort()
        failure = self.connections.start_exchange(self.call(), abort).err()
        assert failure is not None
        self.assertEqual(failure.kind, FailureKind.NOT_CONNECTED)
        self.assertEqual(self.fake.received, [])
