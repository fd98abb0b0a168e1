"""Malformed input is refused, is not forwarded, and leaves nothing running."""

from __future__ import annotations

import socket

from standins.scripted_endpoint import ScriptedEndpoint, respond
from tests.gateway.case import GatewayCase
from tests.support.gateways import make_document, wait_for

_OK = respond(200, b"done", {"Response-Stamp": "s"})
_HEAD = b"Host: app.example\r\nRequest-Id: r1\r\n"


class TestBadInput(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        self.endpoint: ScriptedEndpoint = self.add_endpoint(lambda _: _OK)

    def send(self, data: bytes) -> tuple[int, bytes]:
        """Sends bytes; returns the status and all received bytes."""
        with self.gateway.connect() as caller:
            caller.sendall(data)
            received = b""
            while part := caller.recv(65_536):
                received += part
        return int(received.split(b" ", 2)[1]), received

    def assert_refused(self, data: bytes, status: int) -> None:
        """Checks the status, and that no request was forwarded or runs."""
        received_status, received = self.send(data)
        self.assertEqual(received_status, status, received)
        self.assertEqual(received.count(b"HTTP/1."), 1)
        self.assertEqual(self.endpoint.received, [])
        wait_for(lambda: self.gateway.components.in_flight.count == 0)

    def test_conflicting_lengths_are_refused(self) -> None:
        """Guards against request smuggling by two different lengths."""
        for lengths in (
            b"Content-Length: 3\r\nContent-Length: 5\r\n",
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length: 3, 5\r\n",
            b"Content-Length: -1\r\n",
            b"Content-Length: +3\r\n",
        ):
            with self.subTest(lengths):
                head = b"POST /pay/x HTTP/1.1\r\n" + _HEAD + lengths + b"\r\n"
                self.assert_refused(
                    head + b"abcGET /read/x HTTP/1.1\r\n\r\n", 400
                )

    def test_unknown_transfer_coding_is_refused(self) -> None:
        """Guards against a body whose end two parsers locate differently."""
        head = b"POST /pay/x HTTP/1.1\r\n" + _HEAD
        coding = b"Transfer-Encoding: xchunked\r\n\r\n"
        self.assert_refused(head + coding + b"0\r\n\r\n", 501)

    def test_malformed_heads_are_refused(self) -> None:
        """Guards against heads that an endpoint may parse differently."""
        for head in (
            b"GET /read/x HTTP/1.1\r\n" + _HEAD + b"A b: c\r\n\r\n",
            b"GET /read/x HTTP/1.1\r\n" + _HEAD + b" folded: c\r\n\r\n",
            b"GET /read/\xff HTTP/1.1\r\n" + _HEAD + b"\r\n",
            b"GET /read/x HTTP/1.1\r\n" + _HEAD + b"Host: other\r\n\r\n",
            b"\x16\x03\x01\x02\x00\r\n\r\n",
        ):
            with self.subTest(head):
                self.assert_refused(head, 400)

    def test_headers_over_the_limit_are_refused(self) -> None:
        """Guards against heads that exhaust the memory."""
        head = b"GET /read/x HTTP/1.1\r\n" + _HEAD
        self.assert_refused(head + b"A: " + b"x" * 5000 + b"\r\n\r\n", 431)

    def test_body_over_the_limit_is_refused(self) -> None:
        """Guards against bodies that exhaust the memory."""
        head = b"POST /pay/x HTTP/1.1\r\n" + _HEAD
        self.assert_refused(head + b"Content-Length: 200001\r\n\r\n", 413)

    def test_lowered_body_limit_spares_a_body_that_is_being_read(self) -> None:
        """Guards against a refusal of a body that was allowed at its start."""
        with self.gateway.connect() as caller:
            caller.sendall(
                b"POST /pay/x HTTP/1.1\r\n"
                + _HEAD
                + b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                + b"5\r\nfirst\r\n"
            )
            document = make_document(2)
            document["limits"]["max_body_bytes"] = 8
            self.gateway.configure(document)
            self.assertEqual(self.gateway.call("GET", "/read/x").status, 200)
            caller.sendall(b"6\r\nsecond\r\n0\r\n\r\n")
            received = b""
            while part := caller.recv(65_536):
                received += part
        self.assertIn(b"HTTP/1.1 200", received)

    def test_slow_head_times_out(self) -> None:
        """Guards against connections whose head never ends."""
        self.assert_refused(b"GET /read/x HTTP/1.1\r\nHost: app", 408)

    def test_malformed_deadline_is_refused(self) -> None:
        """Guards against a malformed deadline that is ignored."""
        response = self.gateway.call(
            "GET", "/read/x", headers={"Deadline-Ms": "soon"}
        )
        self.assertEqual(response.status, 400)
        self.assertIn(b"Deadline-Ms", response.body)
        self.assertEqual(self.endpoint.received, [])

    def test_request_without_a_route_is_not_found(self) -> None:
        """Guards against requests that go to an arbitrary service."""
        for target in ("/other/x", "/", "/read"):
            self.assertEqual(self.gateway.call("GET", target).status, 404)
        other = {"Host": "elsewhere.example"}
        response = self.gateway.call("GET", "/read/x", headers=other)
        self.assertEqual(response.status, 404)

    def test_body_that_looks_like_a_request_stays_a_body(self) -> None:
        """Guards against a body that is forwarded as a second request."""
        body = b"GET /read/smuggled HTTP/1.1\r\n" + _HEAD + b"\r\n"
        response = self.gateway.call("POST", "/pay/x", body)
        self.assertEqual(response.status, 200)
        self.assertEqual(len(self.endpoint.received), 1)
        self.assertEqual(self.endpoint.received[0].body, body)

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        """Guards against responses in another order than their requests."""
        with self.gateway.connect() as caller:
            first_request = b"GET /read/1 HTTP/1.1\r\n" + _HEAD + b"\r\n"
            second_request = b"GET /nowhere HTTP/1.1\r\n" + _HEAD
            caller.sendall(
                first_request + second_request + b"Connection: close\r\n\r\n"
            )
            received = b""
            while part := caller.recv(65_536):
                received += part
        ok_index = received.index(b"HTTP/1.1 200")
        self.assertLess(ok_index, received.index(b"HTTP/1.1 404"))

    def test_partial_body_is_dropped_when_its_caller_leaves(self) -> None:
        """Guards against partial bodies that are kept without their caller."""
        with self.gateway.connect() as caller:
            head = b"POST /pay/x HTTP/1.1\r\n" + _HEAD
            caller.sendall(head + b"Content-Length: 100\r\n\r\nhalf")
            caller.shutdown(socket.SHUT_WR)
            self.assertEqual(caller.recv(10), b"")
        self.assertEqual(self.endpoint.received, [])
