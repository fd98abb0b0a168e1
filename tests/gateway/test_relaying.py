"""Requests pass unchanged, and an answer is whole or looks cut off."""

from __future__ import annotations

import socket
import threading

from standins.scripted_endpoint import (
    CHUNKED_HEAD,
    Action,
    Received,
    chunk,
    respond,
)
from tests.gateway.case import GatewayCase
from tests.support.gateways import wait_for

_STAMP = {"Response-Stamp": "s1", "Request-Id": "r1"}
_OK = respond(200, b"done", _STAMP)


class TestRequests(GatewayCase):
    def test_target_body_and_method_arrive_unchanged(self) -> None:
        """Guards against decoding of paths and bodies on the way."""
        endpoint = self.add_endpoint(lambda _: _OK)
        target = "/read/a%2Fb//c%20d?q=%41&r=+"
        body = bytes(range(256)) * 4
        answer = self.gateway.call("PATCH", target, body)
        got = endpoint.received[0]
        self.assertEqual((got.method, got.target), ("PATCH", target))
        self.assertEqual((got.body, answer.body), (body, b"done"))

    def test_chunked_body_arrives_whole(self) -> None:
        """Guards against a chunked body that is dropped or passed raw."""
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

    def test_headers_of_the_router_never_pass_from_a_caller(self) -> None:
        """Guards against callers that steer endpoints by their headers."""
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
        got = endpoint.received[0]
        for name in ("Kv-Hold", "Kv-Source", "Kv-Backup", "Kv-Fetch"):
            self.assertIsNone(got.header(name))
        for name in ("Pin-Ms", "Stage", "Request-Priority", "X-Private"):
            self.assertIsNone(got.header(name))
        self.assertEqual(got.header("Expect-Instance"), "i-1")
        self.assertEqual(got.header("Request-Id"), "r1")
        self.assertEqual(got.header("X-Kept"), "2")

    def test_deadline_is_what_is_left(self) -> None:
        """Guards against endpoints that work longer than anyone waits."""
        endpoint = self.add_endpoint(lambda _: _OK)
        self.gateway.call("GET", "/read/x", headers={"Deadline-Ms": "900"})
        left_ms = int(endpoint.received[0].header("Deadline-Ms") or 0)
        self.assertTrue(0 < left_ms <= 900, left_ms)

    def test_answer_before_the_whole_body_gets_the_rest(self) -> None:
        """Guards against another request where the rest of a body is due."""
        seen = threading.Event()

        def script(received: Received) -> list[bytes]:
            self.assertEqual(len(received.body), 150_000)
            seen.set()
            return list(_OK)  # type: ignore[arg-type]

        self.add_endpoint(script)
        answer = self.gateway.call("POST", "/pay/x", b"x" * 150_000)
        self.assertEqual(answer.status, 200)
        self.assertTrue(seen.is_set())


class TestAnswers(GatewayCase):
    def test_status_stamp_and_body_pass_unchanged(self) -> None:
        """Guards against failures of an endpoint that are rewritten."""
        self.add_endpoint(lambda _: respond(418, b"\x00\xff", _STAMP))
        answer = self.gateway.call("POST", "/pay/x", b"1")
        self.assertEqual((answer.status, answer.body), (418, b"\x00\xff"))
        self.assertEqual(answer.headers["Response-Stamp"], "s1")

    def test_answer_that_closes_its_connection_is_complete(self) -> None:
        """Guards against a complete answer that becomes a 500.

        The library closes the socket with the last byte of such an answer.
        """
        head = (
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
            b"Response-Stamp: s\r\nContent-Length: 4\r\n\r\n"
        )
        self.add_endpoint(lambda _: [head, b"done", Action.CLOSE])
        for method, target in (("POST", "/pay/x"), ("GET", "/read/x")):
            answer = self.gateway.call(method, target)
            self.assertEqual((answer.status, answer.body), (200, b"done"))

    def test_answer_of_another_request_is_dropped(self) -> None:
        """Guards against crossed answers on a connection."""
        other = {"Response-Stamp": "s", "Request-Id": "other"}
        self.add_endpoint(lambda _: respond(200, b"secret", other))
        answer = self.gateway.call("POST", "/pay/x", b"1")
        self.assertEqual(answer.status, 502)
        self.assertNotIn(b"secret", answer.body)

    def test_short_body_is_no_success(self) -> None:
        """Guards against a truncated answer that looks complete."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
        self.add_endpoint(lambda _: [head + b"part", Action.CLOSE])
        self.assertEqual(self.gateway.call("POST", "/pay/x").status, 502)

    def test_unframed_answer_that_is_closed_is_complete(self) -> None:
        """Guards against refusing an answer that ends with its connection."""
        head = b"HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n\r\n"
        self.add_endpoint(lambda _: [head + b"all", Action.CLOSE])
        answer = self.gateway.call("POST", "/pay/x")
        self.assertEqual((answer.status, answer.body), (200, b"all"))

    def test_head_that_breaks_off_is_no_success(self) -> None:
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

    def test_success_without_a_stamp_is_no_success(self) -> None:
        """Guards against a success that no endpoint has signed."""
        self.add_endpoint(lambda _: respond(200, b"done"))
        self.assertEqual(self.gateway.call("POST", "/pay/x").status, 502)

    def test_unframed_answer_that_is_reset_is_not_complete(self) -> None:
        """Guards against an answer whose rest was lost."""
        head = b"HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n\r\n"
        self.add_endpoint(lambda _: [head + b"part", Action.RESET])
        self.assertEqual(self.gateway.call("POST", "/pay/x").status, 502)

    def test_bytes_after_an_answer_belong_to_no_request(self) -> None:
        """Guards against spare bytes that become the next answer."""
        spare = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nspare"
        self.add_endpoint(lambda _: [*_OK, spare])
        for _ in range(3):
            answer = self.gateway.call("POST", "/pay/x")
            self.assertEqual((answer.status, answer.body), (200, b"done"))

    def test_bytes_that_are_no_answer_are_a_failure(self) -> None:
        """Guards against garbage that reaches a caller."""
        self.add_endpoint(lambda _: [b"\x00garbage\r\n\r\n", Action.CLOSE])
        self.assertEqual(self.gateway.call("POST", "/pay/x").status, 502)

    def test_broken_stream_looks_cut_off(self) -> None:
        """Guards against a last chunk after a stream that broke off."""
        self.add_endpoint(
            lambda _: [CHUNKED_HEAD + chunk(b"id: 1\n\n"), Action.RESET],
            service="llm",
        )
        answer = self.gateway.call("POST", "/draft/x", b"p")
        self.assertEqual(answer.status, 200)
        self.assertFalse(answer.complete)

    def test_broken_stream_looks_cut_off_to_an_old_caller(self) -> None:
        """Guards against HTTP/1.0, where a plain close means complete."""
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


class TestCallersWhoLeave(GatewayCase):
    def test_endpoint_hears_of_a_caller_that_closed(self) -> None:
        """Guards against work for a caller that has gone."""
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

    def test_waiting_generation_ends_with_its_caller(self) -> None:
        """Guards against a line that keeps callers that have gone."""
        full = self.add_endpoint(
            lambda _: respond(503), "i-full", service="llm"
        )
        caller = self.gateway.connect()
        caller.sendall(
            b"POST /draft/x HTTP/1.1\r\nHost: app.example\r\n"
            b"Token-Count: 100,10\r\n"
            b"Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
        )
        wait_for(lambda: bool(full.received))
        caller.close()
        wait_for(lambda: self.gateway.components.in_flight.count == 0)
        line = self.gateway.components.context.admission_queues.for_service(
            "llm"
        )
        self.assertEqual(line.length(), 0)
