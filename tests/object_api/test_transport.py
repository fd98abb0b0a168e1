"""Exchanges with a platform that sends bytes without end."""

from __future__ import annotations

import time
import unittest

from burdockspan.object_api.transport import (
    ExchangeFailure,
    Request,
    Transport,
    make_transport,
)
from tests.support.endpoint_fake import (
    CHUNKED_HEAD,
    EndpointFake,
    Handler,
    repeat,
)

_TIME_LIMIT_S = 0.3
# Time for a thread to be scheduled and for a response to be received.
_TOLERANCE_S = 2.0
_OK_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = CHUNKED_HEAD + b"\r\n"
_SCRIPTS = {
    "interim answers": repeat(b"HTTP/1.1 100 Continue\r\n\r\n"),
    "a header": repeat(b"x", _OK_HEAD + b"X-Slow: "),
    "a status line": repeat(b"\x00"),
    "a chunk size": repeat(b"0", _CHUNKED),
    "trailers": repeat(b"A: b\r\n", _CHUNKED + b"0\r\n"),
    "a body in chunks": repeat(b"1\r\nx\r\n", _CHUNKED),
    "a body with a length": repeat(
        b"x", _OK_HEAD + b"Content-Length: 65536\r\n\r\n"
    ),
}


class TransportTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fake = EndpointFake()
        self.addCleanup(self.fake.stop)

    def make(self) -> Transport:
        port = self.fake.server_address[1]
        return make_transport(f"127.0.0.1:{port}", {}, time.monotonic)

    def test_endless_responses_end_at_the_time_limit(self) -> None:
        """Guards against a watcher that a slow platform holds for ever."""
        for method in ("GET", "PUT"):
            transport = self.make()
            for name, script in _SCRIPTS.items():
                with self.subTest(name, method=method):
                    self.fake.scripts[f"{method} /"] = script
                    started_s = time.monotonic()
                    exchanged = transport(Request(method, "/", _TIME_LIMIT_S))
                    taken_s = time.monotonic() - started_s
                    self.assertIs(exchanged.err(), ExchangeFailure.NO_RESPONSE)
                    self.assertLess(taken_s, _TIME_LIMIT_S + _TOLERANCE_S)

    def test_writes_are_never_sent_twice(self) -> None:
        """Guards against a write that is repeated on another connection."""
        for method in ("PUT", "POST", "DELETE"):
            with self.subTest(method):
                transport = self.make()
                self.fake.scripts["GET /"] = lambda handler: handler.send(
                    200, {}
                )
                self.fake.scripts[f"{method} /"] = lambda handler: (
                    handler.close_early()
                )
                self.assertTrue(transport(Request("GET", "/", 5.0)).is_ok())
                lost = transport(Request(method, "/", 5.0))
                self.assertIs(lost.err(), ExchangeFailure.NO_RESPONSE)
                self.assertEqual(self.fake.count(f"{method} /"), 1)

    def test_incomplete_head_is_no_response(self) -> None:
        """Guards against a response whose length was lost with its head."""

        def close_in_head(handler: Handler) -> None:
            handler.wfile.write(_OK_HEAD + b"Content-Ty")
            handler.close_early()

        self.fake.scripts["GET /"] = close_in_head
        exchanged = self.make()(Request("GET", "/", 5.0))
        self.assertIs(exchanged.err(), ExchangeFailure.NO_RESPONSE)

    def test_refused_connection_is_not_sent(self) -> None:
        """Guards against an uncertain write that was never sent."""
        transport = self.make()
        self.fake.stop()
        exchanged = transport(Request("PUT", "/", 5.0))
        self.assertIs(exchanged.err(), ExchangeFailure.NOT_SENT)


if __name__ == "__main__":
    unittest.main()
