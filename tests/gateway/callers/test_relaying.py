"""Requests are forwarded unchanged; responses are complete or truncated."""

from __future__ import annotations

import socket
import threading

from standins.scripted_endpoint import (
    CHUNKED_HEAD,
    Action,
    Received,
    Step,
    chunk,
    respond,
)
from tests.gateway.case import GatewayCase
from tests.support.gateways import wait_for

_STAMP = {"Response-Stamp": "s1", "Request-Id": "r1"}
_OK = respond(200, b"done", _STAMP)


class TestRequests(GatewayCase):
    def test_method_target_and_body_are_forwarded_unchanged(self) -> None:
        """Guards against decoding of paths and bodies in the router."""
        endpoint = self.add_endpoint(lambda _: _OK)
        target = "/read/a%2Fb//c%20d?q=%41&r=+"
        body = bytes(range(256)) * 4
        response = self.gateway.call("PATCH", target, body)
        received = endpoint.received[0]
        self.assertEqual((received.method, received.target), ("PATCH", target))
        self.assertEqual((received.body, response.body), (body, b"done"))

    def test_chunked_body_is_forwarded_completely(self) -> None:
        """Guards against a chunked body that is dropped or not decoded."""
        endpoint = self.add_endpoint(lambda _: _OK)
        with self.gateway.connect() as caller:
            caller.sendall(
                b"POST /read/x HTTP/1.1\r\nHost: app.example\r\n"
                b"Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
                + chunk(b"ab")
                + chunk(b"cd")
                + b"0\r\n\r\n"
            )
            self.assertIn(b"200", caller.recv(65_536))
        self.assertEqual(endpoint.received[0].body, b"abcd")

    def test_headers_of_the_router_are_not_taken_from_callers(self) -> None:
        """Guards against callers that control endpoints with their headers."""
        endpoint = self.add_endpoint(lambda _: _OK)
        set_by_caller = {
            "Kv-Hold": "h",
            "Kv-Source": "1.2.3.4:5/x",
            "Kv-Backup": "1.2.3.4:5",
            "Kv-Fetch": "1.2.3.4:5",
            "Pin-Ms": "4000",
            "Stage": "prefill",
            "Request-Priority": "0",
            "Expect-Version": "3",
            "Expect-Instance": "other",
            "Connection": "X-Private, Request-Id",
            "X-Private": "1",
            "X-Kept": "2",
        }
        self.gateway.call("GET", "/read/x", headers=set_by_caller)
        received = endpoint.received[0]
        for name in ("Kv-Hold", "Kv-Source", "Kv-Backup", "Kv-Fetch"):
            self.assertIsNone(received.header(name))
        for name in ("Pin-Ms", "Stage", "Request-Priority", "X-Private"):
            self.assertIsNone(received.header(name))
        self.assertEqual(received.header("Expect-Instance"), "i-1")
        self.assertEqual(received.header("Request-Id"), "r1")
        self.assertEqual(received.header("X-Kept"), "2")

    def test_deadline_is_the_remaining_time(self) -> None:
        """Guards against endpoints that run a request beyond its deadline."""
        endpoint = self.add_endpoint(lambda _: _OK)
        self.gateway.call("GET", "/read/x", headers={"Deadline-Ms": "900"})
        remaining_ms = int(endpoint.received[0].header("Deadline-Ms") or 0)
        self.assertTrue(0 < remaining_ms <= 900, remaining_ms)

    def test_large_body_is_forwarded_completely(self) -> None:
        """Guards against the rest of a body that is read as a new request."""
        received_body = threading.Event()

        def script(received: Received) -> list[bytes]:
            self.assertEqual(len(received.body), 150_000)
            received_body.set()
            return list(_OK)  # type: ignore[arg-type]

        self.add_endpoint(script)
        response = self.gateway.call("POST", "/pay/x", b"x" * 150_000)
        self.assertEqual(response.status, 200)
        self.assertTrue(received_body.is_set())


class TestResponses(GatewayCase):
    def test_status_stamp_and_body_are_forwarded_unchanged(self) -> None:
        """Guards against error responses that the router rewrites."""
        self.add_endpoint(lambda _: respond(418, b"\x00\xff", _STAMP))
        response = self.gateway.call("POST", "/pay/x", b"1")
        self.assertEqual((response.status, response.body), (418, b"\x00\xff"))
        self.assertEqual(response.headers["Response-Stamp"], "s1")

    def test_response_that_closes_its_connection_is_complete(self) -> None:
        """Guards against a complete response that becomes a 500.

        The HTTP client library closes the socket with the last byte of such a
        response.
        """
        head = (
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
            b"Response-Stamp: s\r\nContent-Length: 4\r\n\r\n"
        )
        self.add_endpoint(lambda _: [head, b"done", Action.CLOSE])
        for method, target in (("POST", "/pay/x"), ("GET", "/read/x")):
            response = self.gateway.call(method, target)
            self.assertEqual((response.status, response.body), (200, b"done"))

    def test_response_to_another_request_is_dropped(self) -> None:
        """Guards against responses that reach the wrong request."""
        other = {"Response-Stamp": "s", "Request-Id": "other"}
        self.add_endpoint(lambda _: respond(200, b"secret", other))
        response = self.gateway.call("POST", "/pay/x", b"1")
        self.assertEqual(response.status, 502)
        self.assertNotIn(b"secret", response.body)

    def test_truncated_body_is_a_failure(self) -> None:
        """Guards against a truncated response that looks complete."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
        self.add_endpoint(lambda _: [head + b"part", Action.CLOSE])
        self.assertEqual(self.gateway.call("POST", "/pay/x").status, 502)

    def test_response_with_malformed_framing_is_a_failure(self) -> None:
        """Guards against a malformed length that counts as none at all.

        The body would then seem to end where its connection does.
        """
        framings = (
            "Content-Length: 9x",
            "Content-Length: -9",
            "Content-Length: 4, 9",
            "Transfer-Encoding: gzip, chunked",
            "Transfer-Encoding: unknown",
        )
        steps: list[Step] = []
        self.add_endpoint(lambda _: steps)
        for framing in framings:
            head = f"HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n{framing}\r\n\r\n"
            steps[:] = [head.encode() + b"part", Action.CLOSE]
            status = self.gateway.call("POST", "/pay/x", b"1").status
            self.assertEqual(status, 502, framing)

    def test_response_delimited_by_a_close_is_complete(self) -> None:
        """Guards against rejecting a response without a length."""
        head = b"HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n\r\n"
        self.add_endpoint(lambda _: [head + b"all", Action.CLOSE])
        response = self.gateway.call("POST", "/pay/x")
        self.assertEqual((response.status, response.body), (200, b"all"))

    def test_truncated_head_is_a_failure(self) -> None:
        """Guards against an endpoint that crashes in the middle of a head."""
        for head in (
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n",
            b"HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Le",
        ):
            with self.subTest(head):
                self.add_endpoint(lambda _, head=head: [head, Action.CLOSE])
                self.assertEqual(
                    self.gateway.call("POST", "/pay/x").status, 502
                )

    def test_success_without_a_stamp_is_a_failure(self) -> None:
        """Guards against a success that does not come from an endpoint."""
        self.add_endpoint(lambda _: respond(200, b"done"))
        self.assertEqual(self.gateway.call("POST", "/pay/x").status, 502)

    def test_response_delimited_by_a_reset_is_a_failure(self) -> None:
        """Guards against a truncated response without a length."""
        head = b"HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n\r\n"
        self.add_endpoint(lambda _: [head + b"part", Action.RESET])
        self.assertEqual(self.gateway.call("POST", "/pay/x").status, 502)

    def test_bytes_after_a_response_are_dropped(self) -> None:
        """Guards against surplus bytes that become the next response."""
        spare = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nspare"
        self.add_endpoint(lambda _: [*_OK, spare])
        for _ in range(3):
            response = self.gateway.call("POST", "/pay/x")
            self.assertEqual((response.status, response.body), (200, b"done"))

    def test_malformed_response_is_a_failure(self) -> None:
        """Guards against malformed bytes that reach a caller."""
        self.add_endpoint(lambda _: [b"\x00garbage\r\n\r\n", Action.CLOSE])
        self.assertEqual(self.gateway.call("POST", "/pay/x").status, 502)

    def test_truncated_stream_is_not_terminated(self) -> None:
        """Guards against a last chunk after a truncated stream."""
        self.add_endpoint(
            lambda _: [CHUNKED_HEAD + chunk(b"id: 1\n\n"), Action.RESET],
            service="llm",
        )
        response = self.gateway.call("POST", "/draft/x", b"p")
        self.assertEqual(response.status, 200)
        self.assertFalse(response.complete)

    def test_truncated_stream_is_reset_for_http_1_0(self) -> None:
        """Guards against a close, which ends a complete body in HTTP/1.0."""
        self.add_endpoint(
            lambda _: [CHUNKED_HEAD + chunk(b"id: 1\n\n"), Action.RESET],
            service="llm",
        )
        with self.gateway.connect() as caller:
            caller.sendall(
                b"POST /draft/x HTTP/1.0\r\nHost: app.example\r\n"
                b"Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
            )
            with self.assertRaises(ConnectionResetError):
                while caller.recv(65_536):
                    pass


class TestClosedConnections(GatewayCase):
    def test_closed_connection_aborts_the_attempt(self) -> None:
        """Guards against running requests whose caller has gone."""
        endpoint = self.add_endpoint(lambda _: [Action.WAIT_FOR_CALLER])
        caller = self.gateway.connect()
        caller.sendall(
            b"POST /pay/x HTTP/1.1\r\nHost: app.example\r\n"
            b"Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
        )
        wait_for(lambda: bool(endpoint.received))
        caller.shutdown(socket.SHUT_RDWR)
        caller.close()
        self.assertTrue(endpoint.caller_closed.wait(5.0))
        wait_for(lambda: self.gateway.components.in_flight.count == 0)

    def test_closed_connection_removes_a_queued_generation(self) -> None:
        """Guards against a queue that keeps requests without a caller."""
        full_engine = self.add_endpoint(
            lambda _: respond(503), "i-full", service="llm"
        )
        caller = self.gateway.connect()
        caller.sendall(
            b"POST /draft/x HTTP/1.1\r\nHost: app.example\r\n"
            b"Token-Count: 100,10\r\n"
            b"Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
        )
        wait_for(lambda: bool(full_engine.received))
        caller.close()
        wait_for(lambda: self.gateway.components.in_flight.count == 0)
        queue = self.gateway.components.context.admission_queues.for_service(
            "llm"
        )
        self.assertEqual(queue.length(), 0)
