"""Connections of a server that stay open between requests."""

from __future__ import annotations

import contextlib
import http.client
import threading
import time
import unittest
from collections.abc import Iterable
from typing import Any
from unittest import mock

from burdockspan.http.listener import make_server
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


if __name__ == "__main__":
    unittest.main()
