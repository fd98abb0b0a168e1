"""Requests that arrive after SIGTERM in a zone without another VM.

The load balancer still sends connections to the only VM of a zone, so that
streams would start shortly before the process ends.
"""

from __future__ import annotations

import contextlib
import dataclasses
import math
import socket
import threading
import time
import unittest

from burdockspan.gateway import process
from burdockspan.gateway.graceful_stop import GracefulStop
from burdockspan.gateway.values import RequestKind
from standins.scripted_endpoint import Action, ScriptedEndpoint, respond
from tests.gateway.admission.test_bursts import ROUTE
from tests.gateway.case import GatewayCase
from tests.support.gateways import make_document, run_gateway, wait_for

_HEAD = (
    b"GET /read/x HTTP/1.1\r\nHost: app.example\r\n"
    b"Request-Id: r1\r\nDeadline-Ms: 2000\r\n"
)
_OK = respond(200, b"done", {"Response-Stamp": "s"})


class TestGracefulStop(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        self.graceful_stop = GracefulStop(8.0, lambda: self.now_s)

    def test_all_requests_are_accepted_before_the_stop(self) -> None:
        """Guards against refusals by a process that is not stopping."""
        self.assertTrue(self.graceful_stop.accepts(ROUTE, math.inf))
        self.assertEqual(self.graceful_stop.deadline_s, math.inf)

    def test_late_stream_is_refused(self) -> None:
        """Guards against streams that the end of the process truncates."""
        self.graceful_stop.begin()
        self.now_s += 2.0
        self.assertTrue(self.graceful_stop.accepts(ROUTE, math.inf))
        self.now_s += 1.0
        self.assertFalse(self.graceful_stop.accepts(ROUTE, math.inf))

    def test_short_request_is_accepted_while_it_can_end(self) -> None:
        """Guards against refusals of requests that take milliseconds."""
        plain_route = dataclasses.replace(
            ROUTE, kind=RequestKind.NON_IDEMPOTENT
        )
        self.graceful_stop.begin()
        self.now_s += 5.0
        self.assertTrue(
            self.graceful_stop.accepts(plain_route, self.now_s + 1.2)
        )
        self.now_s += 2.0
        self.assertFalse(
            self.graceful_stop.accepts(plain_route, self.now_s + 1.2)
        )

    def test_second_signal_does_not_extend_the_stop(self) -> None:
        """Guards against a process that runs beyond its grace period."""
        self.graceful_stop.begin()
        deadline_s = self.graceful_stop.deadline_s
        self.now_s += 5.0
        self.graceful_stop.begin()
        self.assertEqual(self.graceful_stop.deadline_s, deadline_s)
        self.assertTrue(self.graceful_stop.has_left_rotation())


class TestRefusals(GatewayCase):
    def test_refusal_is_immediate_with_a_retry_delay(self) -> None:
        """Guards against a stopping VM that lets its callers wait."""
        endpoint = self.add_endpoint(lambda _: respond(200, b""), service="llm")
        graceful_stop = self.gateway.components.context.graceful_stop
        graceful_stop.begin()
        graceful_stop._started_s -= 4.0
        response = self.gateway.call("POST", "/draft/x", b"p")
        self.assertEqual(response.status, 503)
        self.assertEqual(response.headers["Connection"], "close")
        retry_after_s = float(response.headers["Retry-After"])
        self.assertAlmostEqual(retry_after_s, 8.0, delta=0.5)
        self.assertEqual(endpoint.received, [])


def _receive_all(caller: socket.socket) -> bytes:
    """Returns what arrives until the connection ends, also by a reset."""
    received = b""
    with contextlib.suppress(ConnectionError):
        while part := caller.recv(65_536):
            received += part
    return received


class TestConnections(GatewayCase):
    """Connections at the end of a stop whose VM has left rotation."""

    def setUp(self) -> None:
        super().setUp()
        self.endpoint = self.add_endpoint(lambda _: _OK)
        self.components = self.gateway.components
        self.graceful_stop = self.components.context.graceful_stop

    def begin_stop(self) -> None:
        """Begins a stop 4 s ago; 3.5 s of it are left."""
        self.graceful_stop.begin()
        self.graceful_stop._started_s -= 4.0
        self.graceful_stop.deadline_s -= 4.0

    def connect(self) -> socket.socket:
        """Opens a connection that has carried a request."""
        caller = self.enterContext(self.gateway.connect())
        caller.sendall(_HEAD + b"\r\n")
        received = b""
        while not received.endswith(b"done"):
            received += caller.recv(65_536)
        wait_for(lambda: not self.components.ingress.busy())
        return caller

    def test_request_after_the_last_one_is_answered_or_not_run(self) -> None:
        """Guards against requests that are passed on and then lost."""
        caller = self.connect()
        ended = threading.Event()
        self.endpoint.script = lambda _: [ended, *_OK]
        self.begin_stop()
        process._drain(self.components, lambda: None)
        with contextlib.suppress(ConnectionError):
            caller.sendall(_HEAD + b"\r\n")
            caller.settimeout(0.5)
            with contextlib.suppress(TimeoutError):
                caller.recv(1, socket.MSG_PEEK)
        process.stop(self.components)
        caller.settimeout(20)
        answered = _receive_all(caller).count(b" 200 OK")
        ended.set()
        self.assertEqual(len(self.endpoint.received), 1 + answered)

    def test_half_read_request_is_answered(self) -> None:
        """Guards against closing while a caller sends its request."""
        caller = self.enterContext(self.gateway.connect())
        caller.sendall(_HEAD)
        self.begin_stop()
        sent = []

        def send_rest() -> None:
            if not sent:
                sent.append(caller.sendall(b"\r\n"))

        process._drain(self.components, send_rest)
        process.stop(self.components)
        received = _receive_all(caller)
        self.assertTrue(received.startswith(b"HTTP/1.1 200 OK"), received)
        self.assertIn(b"Connection: close\r\n", received)

    def test_half_read_request_is_refused_at_its_limit(self) -> None:
        """Guards against a stop that waits for a silent caller."""
        caller = self.enterContext(self.gateway.connect())
        caller.sendall(_HEAD)
        self.begin_stop()
        process._drain(self.components, lambda: None)
        self.assertLess(time.monotonic(), self.graceful_stop.deadline_s)
        process.stop(self.components)
        self.assertIn(b" 408 ", _receive_all(caller))

    def test_stop_ends_at_its_deadline(self) -> None:
        """Guards against a process that an endpoint keeps from ending."""
        self.add_endpoint(
            lambda _: [Action.WAIT_FOR_CALLER], "i-2", service="llm"
        )
        idle_caller = self.connect()
        caller = self.enterContext(self.gateway.connect())
        caller.sendall(_HEAD.replace(b"GET /read", b"POST /draft") + b"\r\n")
        wait_for(lambda: self.components.in_flight.count == 1)
        self.begin_stop()
        self.graceful_stop.deadline_s = time.monotonic() + 0.5
        process._drain(self.components, lambda: None)
        late_s = time.monotonic() - self.graceful_stop.deadline_s
        self.assertTrue(0.0 <= late_s < 0.5, late_s)
        # Well before the request in progress reaches its own deadline.
        idle_caller.settimeout(0.2)
        self.assertEqual(idle_caller.recv(1), b"")


class TestRotation(unittest.TestCase):
    def test_callers_are_served_until_the_vm_has_left_rotation(self) -> None:
        """Guards against a VM that refuses callers who still come to it."""
        now_s = 100.0
        gateway = self.enterContext(
            contextlib.contextmanager(run_gateway)(
                make_document(), clock=lambda: now_s
            )
        )
        gateway.add_endpoint(ScriptedEndpoint("i-1", lambda _: _OK))
        gateway.components.context.graceful_stop.begin()
        answers = []

        def call() -> None:
            nonlocal now_s
            now_s += 0.7
            if now_s < 103.0:
                answers.append(
                    gateway.call("GET", "/read/x", b"", {"Deadline-Ms": "2000"})
                )

        process._drain(gateway.components, call)
        self.assertEqual([answer.status for answer in answers], [200] * 4)
        self.assertEqual(
            [answer.headers["Connection"] for answer in answers], ["close"] * 4
        )
        with self.assertRaises(ConnectionError):
            gateway.call("GET", "/read/x")
