"""Connections of a server that stay open between requests."""

from __future__ import annotations

import contextlib
import http.client
import socket
import threading
import time
import unittest
from collections.abc import Callable, Iterable
from typing import Any
from unittest import mock

from burdockspan.http.listener import Server, make_server
from tests.support.gateways import wait_for


def _answer(_: dict[str, Any], start_response: Any) -> Iterable[bytes]:
    start_response("200 OK", [("Content-Length", "0")])
    return [b""]


class TestInactiveConnections(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        self.server = make_server(
            _answer, "127.0.0.1:0", 2, clock=lambda: self.now_s
        )
        thread = threading.Thread(target=self.server.run)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.server.stop)

    def connect(self) -> http.client.HTTPConnection:
        """Opens a connection that has carried a request."""
        connection = self.enterContext(
            contextlib.closing(
                http.client.HTTPConnection(self.server.address, timeout=20)
            )
        )
        self.call(connection)
        return connection

    def call(self, connection: http.client.HTTPConnection) -> None:
        """Sends a request on an open connection."""
        connection.request("GET", "/")
        response = connection.getresponse()
        self.assertEqual((response.status, response.read()), (200, b""))

    def test_step_of_the_time_of_day_closes_no_connection(self) -> None:
        """Guards against idle times that are measured in the time of day."""
        connection = self.connect()
        for days in (365, 730):
            later_s = time.time() + days * 86_400
            with mock.patch("time.time", lambda now_s=later_s: now_s):
                self.connect()
                self.connect()
        sock = connection.sock
        self.call(connection)
        self.assertIs(connection.sock, sock)

    def test_inactive_connection_is_closed_after_its_limit(self) -> None:
        """Guards against connections that are kept for ever."""
        connection = self.connect()
        self.now_s += 119.0
        self.connect()
        sock = connection.sock
        self.call(connection)
        self.assertIs(connection.sock, sock)
        # A worker thread may record the activity after the first step.
        for _ in range(2):
            self.now_s += 121.0
            self.connect()
        wait_for(lambda: sock.recv(1) == b"")


class TestStop(unittest.TestCase):
    def connect(self, server: Server) -> socket.socket:
        """Opens a connection that no one has accepted yet."""
        host, _, port = server.address.rpartition(":")
        address = (host, int(port))
        return self.enterContext(socket.create_connection(address, 20))

    def run_server(self, server: Server) -> None:
        """Runs a server until it has closed its connections."""
        thread = threading.Thread(target=server.run, daemon=True)
        thread.start()
        thread.join(20)
        server.stop()
        self.assertFalse(thread.is_alive())
        self.assertTrue(server.has_closed())

    def check_waiting_requests(
        self, server: Server, close: Callable[[], None]
    ) -> None:
        """Checks that requests sent before the close are answered."""
        callers = [self.connect(server) for _ in range(20)]
        for caller in callers:
            caller.sendall(b"GET / HTTP/1.1\r\n\r\n")
        close()
        self.run_server(server)
        for caller in callers:
            self.assertIn(b" 200 OK", caller.recv(65_536))
            self.assertEqual(caller.recv(1), b"")

    def test_waiting_requests_are_answered_before_the_close(self) -> None:
        """Guards against requests that a stopping server never reads."""
        server = make_server(_answer, "127.0.0.1:0", 2)
        self.check_waiting_requests(server, server.close_when_idle)

    def test_waiting_requests_are_answered_before_connections_close(
        self,
    ) -> None:
        """Guards against requests in the queue of a closed listener."""
        server = make_server(_answer, "127.0.0.1:0", 2)
        self.check_waiting_requests(server, server.close_idle)

    def test_connections_are_served_while_another_is_in_use(self) -> None:
        """Guards against callers that are refused before the server ends."""
        entered, proceed = threading.Event(), threading.Event()
        self.addCleanup(proceed.set)

        def answer(environ: dict[str, Any], start_response: Any) -> Any:
            if environ["PATH_INFO"] == "/slow":
                entered.set()
                proceed.wait(20)
            return _answer(environ, start_response)

        server = make_server(answer, "127.0.0.1:0", 2)
        thread = threading.Thread(target=server.run)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.stop)
        slow_caller = self.connect(server)
        slow_caller.sendall(b"GET /slow HTTP/1.1\r\n\r\n")
        self.assertTrue(entered.wait(20))
        idle_caller = self.connect(server)
        server.close_when_idle()
        for _ in range(3):
            for caller in (idle_caller, self.connect(server)):
                caller.sendall(b"GET / HTTP/1.1\r\n\r\n")
                self.assertIn(b" 200 OK", caller.recv(65_536))
        proceed.set()
        self.assertIn(b" 200 OK", slow_caller.recv(65_536))
        wait_for(server.has_closed)

    def test_server_without_a_request_closes_at_once(self) -> None:
        """Guards against a stop that waits although nothing is in use."""
        server = make_server(_answer, "127.0.0.1:0", 2)
        idle_caller = self.connect(server)
        server.close_when_idle()
        self.run_server(server)
        self.assertEqual(idle_caller.recv(1), b"")


if __name__ == "__main__":
    unittest.main()
