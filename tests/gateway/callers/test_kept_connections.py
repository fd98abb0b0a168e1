"""Connections that callers keep open between their requests."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
import unittest
from typing import Any
from unittest import mock

from burdockspan.gateway.callers.channel_reaper import ChannelReaper
from burdockspan.gateway.callers.connection_log import make_close_recorder
from burdockspan.gateway.callers.response_buffers import (
    ResponseBufferLimits,
    ResponseBuffers,
)
from burdockspan.gateway.values import RequestLimits
from burdockspan.observe.registry import make_registry
from standins.scripted_endpoint import ScriptedEndpoint, respond
from tests.support.gateways import HOST, make_document, run_gateway, wait_for

_REQUEST = (
    f"GET /read/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\n\r\n"
).encode()
_OK = respond(200, b"done", {"Response-Stamp": "s"})
_CHANNELS = 10_000
_CHECK_INTERVAL_S = 0.25


class _SilentSocket:
    """A socket without unread bytes."""

    def recv(self, *_: int) -> bytes:
        """Raises what a socket raises instead of waiting."""
        raise BlockingIOError


class _FakeChannel:
    """An idle connection, as the reaper sees one."""

    def __init__(self, now_s: float) -> None:
        self.requests: list[Any] = []
        self.request: Any = None
        self.requests_lock = threading.Lock()
        self.server = mock.Mock()
        self.total_outbufs_len = 0
        self.idle_since_s = now_s
        self.idle_limit_s = 0.0
        self.last_activity = now_s
        self.will_close = False
        self.addr = ("192.0.2.1", 80)
        self.socket: socket.socket | _SilentSocket = _SilentSocket()

    def is_stalled(self) -> bool:
        """Returns whether the reader keeps memory that others need."""
        return False

    def paused_since_s(self) -> float | None:
        """Returns since when a worker waits; an idle connection has none."""
        return None

    def wake_writer(self) -> None:
        """Lets a worker go on; an idle connection has none."""

    def handle_close(self) -> None:
        """Records that the connection is closed."""
        self.will_close = True


class TestIdleTime(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        self.limits = RequestLimits(4096, 4096, 1.0, 2.0)
        self.log = mock.Mock()
        self.registry = make_registry()
        self.reaper = ChannelReaper(
            lambda: self.limits,
            lambda: self.now_s,
            make_close_recorder(self.log, self.registry),
            ResponseBuffers(ResponseBufferLimits(), self.registry),
            80,
        )

    def check(self, channels: list[_FakeChannel]) -> None:
        """Advances the clock to the next check, and runs it."""
        self.now_s += _CHECK_INTERVAL_S
        self.reaper.close_expired(channels)

    def test_idle_time_counts_from_the_last_answer(self) -> None:
        """Guards against closing connections that carry short requests.

        Each request starts and ends between two checks.
        """
        channels = [_FakeChannel(self.now_s) for _ in range(_CHANNELS)]
        for _ in range(20):
            self.check(channels)
            for index, channel in enumerate(channels):
                offset_s = _CHECK_INTERVAL_S * index / _CHANNELS
                channel.idle_since_s = self.now_s + offset_s
        self.assertEqual(sum(channel.will_close for channel in channels), 0)
        for _ in range(14):
            self.check(channels)
            # The margin of the idle timeout is half of it.
            self.assertEqual(
                [channel.will_close for channel in channels],
                [self.now_s - item.idle_since_s > 3.0 for item in channels],
            )
        self.assertTrue(all(channel.will_close for channel in channels))

    def test_raised_limit_holds_at_once(self) -> None:
        """Guards against an earlier limit that outlives a longer one."""
        channel = _FakeChannel(self.now_s)
        channel.idle_limit_s = 0.5
        for _ in range(11):
            self.check([channel])
        self.assertFalse(channel.will_close)

    def test_closed_connection_is_logged_and_counted(self) -> None:
        """Guards against a close that no line explains."""
        channel = _FakeChannel(self.now_s)
        channel.idle_limit_s = 4.0
        self.now_s += 6.0
        self.check([channel])
        self.log.assert_called_once_with(
            "connection closed",
            reason="idle",
            client="192.0.2.1",
            waited_s=6.25,
            limit_s=4.0,
        )
        self.assertIn(
            b'burdockspan_events_total{event="connection_closed",'
            b'outcome="idle"} 1.0',
            self.registry.render(),
        )

    def test_many_closed_connections_share_a_line(self) -> None:
        """Guards against a log that is full of closed connections."""
        channels = [
            _FakeChannel(self.now_s + index / _CHANNELS)
            for index in range(_CHANNELS)
        ]
        self.now_s += 4.0
        self.check(channels)
        self.log.assert_called_once_with(
            "connections closed",
            reason="idle",
            count=_CHANNELS,
            shortest_waited_s=3.25,
            longest_waited_s=4.25,
            limit_s=2.0,
        )

    def test_answer_that_is_not_read_ends_its_connection(self) -> None:
        """Guards against memory for callers that stopped reading."""
        channel = _FakeChannel(self.now_s)
        channel.total_outbufs_len = 1
        self.now_s += 119.0
        self.check([channel])
        self.assertFalse(channel.will_close)
        self.now_s += 1.0
        self.check([channel])
        self.assertTrue(channel.will_close)

    def test_connection_with_unread_bytes_stays_open(self) -> None:
        """Guards against dropping a request that has reached the socket."""
        near, far = socket.socketpair()
        with near, far:
            channel = _FakeChannel(self.now_s)
            channel.socket = near
            far.sendall(b"G")
            for _ in range(20):
                self.check([channel])
            self.assertFalse(channel.will_close)
            near.recv(1)
            self.check([channel])
            self.assertTrue(channel.will_close)

    def test_half_read_request_with_unread_bytes_is_not_refused(self) -> None:
        """Guards against a timeout for a request that has arrived."""
        near, far = socket.socketpair()
        with near, far:
            channel = _FakeChannel(self.now_s)
            channel.socket = near
            request = mock.Mock(started_s=self.now_s, error=None)
            request.headers_finished = False
            channel.request = request
            far.sendall(b"\r\n")
            for _ in range(5):
                self.check([channel])
            self.assertIsNone(request.error)


class TestCallers(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        self.gateway = self.enterContext(
            contextlib.contextmanager(run_gateway)(
                make_document(), clock=lambda: self.now_s
            )
        )
        self.answer = _OK
        self.endpoint = self.gateway.add_endpoint(
            ScriptedEndpoint("i-1", lambda _: self.answer)
        )

    def connect(self) -> socket.socket:
        """Opens a connection that is closed after the test."""
        return self.enterContext(self.gateway.connect())

    def send(self, caller: socket.socket) -> bytes:
        """Sends a request on an open connection; returns the answer."""
        caller.sendall(_REQUEST)
        received = b""
        while not received.endswith(b"\r\n\r\ndone"):
            part = caller.recv(65_536)
            self.assertNotEqual(part, b"", "connection was closed")
            received += part
        # The connection is idle once the server has counted the answer.
        wait_for(lambda: not self.gateway.components.ingress.busy())
        return received

    def configure_idle_timeout(self, timeout_ms: int) -> None:
        """Puts a configuration with another idle timeout in force."""
        document = make_document(self.gateway.configuration_version() + 1)
        document["limits"]["idle_timeout_ms"] = timeout_ms
        self.gateway.configure(document)

    def run_check(self) -> None:
        """Makes the server check its connections."""
        self.gateway.call("GET", "/nowhere")

    def test_connection_in_use_stays_open(self) -> None:
        """Guards against closing a connection under its caller.

        No request is in progress at the time of any check.
        """
        caller = self.connect()
        for _ in range(80):
            self.send(caller)
            self.now_s += 0.3
            self.run_check()
        self.assertEqual(len(self.endpoint.received), 80)

    def test_slow_request_is_logged(self) -> None:
        """Guards against a refused request without the limit that ended it."""
        self.connect().sendall(_REQUEST[:-2])
        ingress = self.gateway.components.ingress

        def is_logged() -> bool:
            self.now_s += 0.1
            self.gateway.call("GET", "/nowhere")
            return bool(self.gateway.events_named("connection closed"))

        wait_for(is_logged)
        event = self.gateway.events_named("connection closed")[0]
        self.assertEqual(event["reason"], "header_time")
        self.assertEqual(event["limit_s"], 0.3)
        wait_for(lambda: not ingress.busy())

    def test_connections_that_a_stop_closes_are_logged(self) -> None:
        """Guards against a stop that does not say what it cut off."""
        ended = threading.Event()
        self.addCleanup(ended.set)
        self.send(self.connect())
        self.answer = [ended, *_OK]
        self.connect().sendall(_REQUEST)
        wait_for(lambda: len(self.endpoint.received) == 2)
        ingress = self.gateway.components.ingress
        ingress.stop()
        wait_for(ingress.has_closed)
        reasons = [
            event["reason"]
            for event in self.gateway.events_named("connection closed")
        ]
        self.assertEqual(reasons, ["stop", "cut_off"])

    def test_step_of_the_time_of_day_closes_no_connection(self) -> None:
        """Guards against idle times that are measured in the time of day."""
        caller = self.connect()
        self.send(caller)
        for days in (365, 730):
            later_s = time.time() + days * 86_400
            with mock.patch("time.time", lambda now_s=later_s: now_s):
                self.run_check()
                self.run_check()
        self.send(caller)

    def test_long_idle_timeout_of_the_operator_holds(self) -> None:
        """Guards against a fixed idle timeout below the operator's."""
        self.configure_idle_timeout(3_600_000)
        caller = self.connect()
        self.send(caller)
        later_s = time.time() + 1800
        with mock.patch("time.time", lambda: later_s):
            self.now_s += 1800
            self.run_check()
            self.run_check()
        self.send(caller)

    def test_lowered_limit_spares_callers_of_the_earlier_one(self) -> None:
        """Guards against a configuration that closes connections in use."""
        caller, silent_caller = self.connect(), self.connect()
        self.send(caller)
        self.configure_idle_timeout(2000)
        for _ in range(3):
            self.now_s += 4.0
            self.run_check()
        self.send(silent_caller)
        # The answer under the new limit ends the promise of the earlier one.
        self.assertIn(b"Keep-Alive: timeout=2\r\n", self.send(caller))
        for _ in range(2):
            self.now_s += 2.0
            self.run_check()
        self.assertEqual(caller.recv(100), b"")

    def test_answers_state_the_idle_timeout_in_whole_seconds(self) -> None:
        """Guards against callers that do not know how long they may wait."""
        caller = self.connect()
        answer = self.send(caller)
        self.assertEqual(answer.count(b"Keep-Alive: timeout=15\r\n"), 1)
        self.configure_idle_timeout(1999)
        self.assertIn(b"Keep-Alive: timeout=1\r\n", self.send(caller))
        self.configure_idle_timeout(999)
        self.assertNotIn(b"Keep-Alive", self.send(caller))

    def test_limit_lowered_during_an_answer_is_not_applied_to_it(self) -> None:
        """Guards against a shorter limit than the answer has stated."""
        body = b"x" * 16_000_000 + b"done"
        self.answer = respond(200, body, {"Response-Stamp": "s"})
        caller = self.connect()
        caller.sendall(_REQUEST)
        received = caller.recv(1000)
        self.assertIn(b"Keep-Alive: timeout=15\r\n", received)
        self.configure_idle_timeout(2000)
        self.assertTrue(self.gateway.components.ingress.busy())
        while not received.endswith(b"done"):
            received = received[-4:] + caller.recv(1_000_000)
        wait_for(lambda: not self.gateway.components.ingress.busy())
        self.answer = _OK
        for _ in range(2):
            self.now_s += 2.0
            self.run_check()
        self.assertIn(b"done", self.send(caller))

    def test_keep_alive_of_an_endpoint_is_not_forwarded(self) -> None:
        """Guards against two Keep-Alive headers in one answer."""
        self.answer = respond(
            200, b"done", {"Response-Stamp": "s", "Keep-Alive": "timeout=99"}
        )
        answer = self.send(self.connect())
        self.assertEqual(answer.lower().count(b"keep-alive"), 1)
        self.assertIn(b"Keep-Alive: timeout=15\r\n", answer)

    def test_closing_answer_states_no_idle_timeout(self) -> None:
        """Guards against Keep-Alive on a connection that closes."""
        self.gateway.components.context.graceful_stop.begin()
        answer = self.send(self.connect())
        self.assertIn(b"Connection: close\r\n", answer)
        self.assertNotIn(b"Keep-Alive", answer)


if __name__ == "__main__":
    unittest.main()
