from __future__ import annotations

import socket
import time
import unittest

from burdockspan.endpoints.connections import make_connections
from burdockspan.endpoints.exchange import Call
from burdockspan.endpoints.failures import EndpointError
from burdockspan.endpoints.sockets import SilenceWatch, Watched
from burdockspan.values.placement import FailureKind
from tests.support.caller import WAIT_S, wait_until
from tests.support.endpoint_fake import EndpointFake, Handler


class SilenceWatchTest(unittest.TestCase):
    def make_stream(self) -> tuple[Watched, socket.socket]:
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        return Watched(ours, 2.0), theirs

    def test_only_streams_that_wait_too_long_are_shut_down(self) -> None:
        # Guards slow callers: while one blocks its relay, nothing is read
        # and the endpoint is not silent.
        watch = SilenceWatch(lambda: 100.0)
        self.addCleanup(watch.close)
        slow_caller, other = self.make_stream()
        recent, _ = self.make_stream()
        silent, _ = self.make_stream()
        recent.waiting_since_s = 99.0
        silent.waiting_since_s = 97.0
        for stream in (slow_caller, recent, silent):
            watch.add(stream)
        wait_until(self, lambda: silent.expired)
        self.assertEqual(silent.sock.recv(1), b"")
        self.assertFalse(slow_caller.expired)
        self.assertFalse(recent.expired)
        other.sendall(b"x")
        self.assertEqual(slow_caller.sock.recv(1), b"x")

    def test_watch_starts_again_after_it_was_idle(self) -> None:
        watch = SilenceWatch(lambda: 100.0)
        self.addCleanup(watch.close)
        first, _ = self.make_stream()
        watch.add(first)
        watch.remove(first)
        wait_until(self, lambda: not watch._running)
        second, _ = self.make_stream()
        second.waiting_since_s = 1.0
        watch.add(second)
        wait_until(self, lambda: second.expired)

    def test_silent_stream_is_told_from_a_lost_one(self) -> None:
        fake = EndpointFake()
        self.addCleanup(fake.stop)
        connections = make_connections(time.monotonic, lambda: WAIT_S)
        self.addCleanup(connections.close)

        def fall_silent(one: Handler) -> None:
            one.begin_stream()
            one.send_tokens(0, 1)
            one.stall()

        def break_off(one: Handler) -> None:
            one.begin_stream()
            one.break_off()

        fake.scripts["GET /silent"] = fall_silent
        fake.scripts["GET /lost"] = break_off
        for path, limit_s, kind in (
            ("/silent", 0.1, FailureKind.UNRESPONSIVE),
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
