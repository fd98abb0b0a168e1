from __future__ import annotations

import socket
import time
import unittest

from burdockspan.endpoints.connections import make_connections
from burdockspan.endpoints.exchange import Call
from burdockspan.endpoints.failures import EndpointError
from burdockspan.endpoints.sockets import IdleTimeoutMonitor, MonitoredStream
from burdockspan.values.placement import FailureKind
from tests.support.caller import WAIT_S, wait_until
from tests.support.endpoint_fake import EndpointFake, Handler


class IdleTimeoutMonitorTest(unittest.TestCase):
    def make_stream(self) -> tuple[MonitoredStream, socket.socket]:
        monitored, peer = socket.socketpair()
        self.addCleanup(monitored.close)
        self.addCleanup(peer.close)
        return MonitoredStream(monitored, 2.0), peer

    def test_only_streams_past_their_idle_timeout_are_shut_down(self) -> None:
        # While a slow caller blocks the relay, nothing is read from the
        # endpoint, which must not count as idle then.
        monitor = IdleTimeoutMonitor(lambda: 100.0)
        self.addCleanup(monitor.close)
        slow_caller, slow_caller_peer = self.make_stream()
        recent, _ = self.make_stream()
        overdue, _ = self.make_stream()
        recent.waiting_since_s = 99.0
        overdue.waiting_since_s = 97.0
        for stream in (slow_caller, recent, overdue):
            monitor.add(stream)
        wait_until(self, lambda: overdue.expired)
        self.assertEqual(overdue.sock.recv(1), b"")
        self.assertFalse(slow_caller.expired)
        self.assertFalse(recent.expired)
        slow_caller_peer.sendall(b"x")
        self.assertEqual(slow_caller.sock.recv(1), b"x")

    def test_monitor_starts_again_after_its_thread_ended(self) -> None:
        monitor = IdleTimeoutMonitor(lambda: 100.0)
        self.addCleanup(monitor.close)
        first, _ = self.make_stream()
        monitor.add(first)
        monitor.remove(first)
        wait_until(self, lambda: not monitor._running)
        second, _ = self.make_stream()
        second.waiting_since_s = 1.0
        monitor.add(second)
        wait_until(self, lambda: second.expired)

    def test_idle_timeout_is_distinguished_from_a_lost_connection(self) -> None:
        fake = EndpointFake()
        self.addCleanup(fake.stop)
        connections = make_connections(time.monotonic, lambda: WAIT_S)
        self.addCleanup(connections.close)

        def stall(handler: Handler) -> None:
            handler.start_stream()
            handler.send_tokens(0, 1)
            handler.stall()

        def close_early(handler: Handler) -> None:
            handler.start_stream()
            handler.close_early()

        fake.scripts["GET /stalled"] = stall
        fake.scripts["GET /lost"] = close_early
        for path, limit_s, kind in (
            ("/stalled", 0.1, FailureKind.UNRESPONSIVE),
            ("/lost", WAIT_S, FailureKind.CONNECTION_LOST),
        ):
            call = Call(
                fake.as_endpoint(),
                "GET",
                path,
                idle_timeout_s=limit_s,
                streamed=True,
            )
            with self.subTest(path=path):
                exchange = connections.start_exchange(call).unwrap()
                with self.assertRaises(EndpointError) as caught:
                    list(exchange.iterate())
                self.assertEqual(caught.exception.failure.kind, kind)
                exchange.close()
