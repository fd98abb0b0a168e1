from __future__ import annotations

import http.client
import io
import json
import socket
import tempfile
import threading
import unittest
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from waitress.channel import HTTPChannel

from burdockspan.http.admin import make_admin_application
from burdockspan.http.refusals import make_refusal_response, make_status_line
from burdockspan.http.server import (
    CALLER_SOCKET_OPTIONS,
    Server,
    make_admin_server,
    make_caller_server,
)
from burdockspan.values.refusal import Execution, Reason, Refusal
from tests.support.caller import WAIT_S, HttpServerTestCase, serve, wait_until
from tests.support.endpoint_fake import TOKENS, Handler, script_engine
from tests.support.router_fake import RouterFake

_PART = b"x" * 65_536


class ServerTest(unittest.TestCase):
    def start(self, application: Callable[..., Any]) -> Server:
        server = make_caller_server(
            application, "127.0.0.1:0", 4, lambda: 8_000_000
        )
        serve(self, server)
        return server

    def connect(self, server: Server) -> socket.socket:
        host, _, port = server.address.rpartition(":")
        sock = socket.create_connection((host, int(port)), WAIT_S)
        self.addCleanup(sock.close)
        return sock

    def test_handler_detects_a_disconnected_caller(self) -> None:
        # waitress detects a disconnect only while it reads from the connection.
        started, detected = threading.Event(), threading.Event()

        def application(environ: Any, start_response: Any) -> list[bytes]:
            start_response("204 No Content", [])
            started.set()
            caller_gone = environ["waitress.client_disconnected"]
            wait_until(self, caller_gone)
            detected.set()
            return []

        sock = self.connect(self.start(application))
        sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
        self.assertTrue(started.wait(WAIT_S))
        sock.close()
        self.assertTrue(detected.wait(WAIT_S))

    def test_buffer_for_a_slow_reader_is_limited(self) -> None:
        total, buffered_bytes, received_bytes = 1000, [0], [0]
        buffer_full, ended = threading.Event(), threading.Event()
        flush = HTTPChannel._flush_outbufs_below_high_watermark

        def detect_full_buffer(channel: Any) -> None:
            if channel.total_outbufs_len > channel.adj.outbuf_high_watermark:
                buffer_full.set()
            flush(channel)

        def application(_: Any, start_response: Any) -> Iterator[bytes]:
            start_response("200 OK", [("Content-Type", "text/plain")])
            for count in range(total):
                buffered_bytes.append(count * len(_PART) - received_bytes[0])
                yield _PART
            ended.set()

        name = "_flush_outbufs_below_high_watermark"
        with mock.patch.object(HTTPChannel, name, detect_full_buffer):
            sock = self.connect(self.start(application))
            sock.sendall(b"GET / HTTP/1.0\r\n\r\n")
            wait_until(self, lambda: buffer_full.is_set() or ended.is_set())
            while part := sock.recv(1 << 20):
                received_bytes[0] += len(part)
        self.assertGreater(received_bytes[0], total * len(_PART))
        # 2 MiB in the process and the buffers of both sockets.
        self.assertLess(max(buffered_bytes), 32 * 1024 * 1024)

    def test_large_bodies_are_not_buffered_in_a_file(self) -> None:
        # VMs have no disks for such a file.
        def application(environ: Any, start_response: Any) -> list[bytes]:
            body = environ["wsgi.input"].read()
            start_response("200 OK", [("Content-Length", str(len(body)))])
            return [body]

        server = self.start(application)
        body = b"y" * 3_000_000
        with mock.patch.object(tempfile, "TemporaryFile") as create_file:
            connection = http.client.HTTPConnection(
                server.address, timeout=WAIT_S
            )
            connection.request("POST", "/", body)
            self.assertEqual(connection.getresponse().read(), body)
            connection.close()
        create_file.assert_not_called()

    def test_caller_sockets_have_keepalive_options(self) -> None:
        # The options make the kernel detect a lost caller after 20 s.
        options: list[list[int]] = []
        accept = socket.socket.accept

        def record(sock: socket.socket) -> Any:
            pair = accept(sock)
            accepted.append(pair[0])
            return pair

        accepted: list[socket.socket] = []

        def application(_: Any, start_response: Any) -> list[bytes]:
            options.append(
                [
                    accepted[-1].getsockopt(level, name)
                    for level, name, _ in CALLER_SOCKET_OPTIONS
                ]
            )
            start_response("204 No Content", [])
            return []

        with mock.patch.object(socket.socket, "accept", record):
            sock = self.connect(self.start(application))
            sock.sendall(b"GET / HTTP/1.0\r\n\r\n")
            while sock.recv(1000):
                pass
        expected = [value for _, _, value in CALLER_SOCKET_OPTIONS]
        self.assertEqual(options, [expected])

    def test_open_calls_finish_after_stop_accepting(self) -> None:
        entered, proceed = threading.Event(), threading.Event()

        def application(_: Any, start_response: Any) -> list[bytes]:
            entered.set()
            proceed.wait(WAIT_S)
            start_response("200 OK", [("Content-Length", "4")])
            return [b"done"]

        server = self.start(application)
        sock = self.connect(server)
        sock.sendall(b"GET / HTTP/1.0\r\n\r\n")
        self.assertTrue(entered.wait(WAIT_S))
        server.stop_accepting()
        wait_until(self, lambda: not _accepts(server))
        proceed.set()
        text = b""
        while part := sock.recv(1000):
            text += part
        self.assertTrue(text.endswith(b"done"))


class ConcurrencyTest(HttpServerTestCase):
    calls_limit = 2

    def test_calls_over_the_limit_are_refused_at_once(self) -> None:
        # Guards against calls that wait in the queue of waitress while all
        # threads are busy, and against a call that still counts towards the
        # limit after its end.
        proceed = threading.Event()
        self.addCleanup(proceed.set)

        def decode(handler: Handler) -> None:
            handler.start_stream()
            handler.send_tokens(0, 1)
            proceed.wait(WAIT_S)
            handler.send_tokens(1, TOKENS)
            handler.end_stream()

        self.decode.scripts["POST /v1/"] = decode
        body = {"model": "m1", "prompt": "p", "max_tokens": 5, "stream": True}
        streams = [
            self.open("POST", "/v1/completions", body)[1] for _ in range(2)
        ]
        for _ in range(3):
            answer = self.complete()
            self.assertEqual(answer.status, 503)
            self.assertEqual(answer.headers["Retry-After"], "1")
            self.assertEqual(answer.json()["reason"], "overloaded")
            self.assertEqual(answer.json()["outcome"], "not_run")
        # An earlier call with the same key may have run.
        keyed = self.complete({"Idempotency-Key": "k"})
        self.assertEqual(keyed.json()["outcome"], "unknown")
        proceed.set()
        for stream in streams:
            self.assertTrue(stream.read().endswith(b"data: [DONE]\n\n"))
        script_engine(self.decode)
        self.wait_until(lambda: self.complete().status == 200)
        # A caller that disconnects during a stream ends its call as well.
        for _ in range(4):
            self.wait_until(self.open_and_disconnect)
        self.wait_until(lambda: self.complete().status == 200)

    def open_and_disconnect(self) -> bool:
        body = {"model": "m1", "prompt": "p", "max_tokens": 5, "stream": True}
        connection, response = self.open("POST", "/v1/completions", body)
        response.close()
        connection.close()
        return response.status == 200


def _accepts(server: Server) -> bool:
    host, _, port = server.address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), WAIT_S).close()
    except ConnectionError:
        # Refused, or reset if the listener closed during the handshake.
        return False
    return True


class AdminTest(unittest.TestCase):
    def get(self, router: RouterFake, path: str) -> tuple[int, Any]:
        server = make_admin_server(
            make_admin_application(router.make()), "127.0.0.1:0"
        )
        serve(self, server)
        connection = http.client.HTTPConnection(server.address, timeout=WAIT_S)
        connection.request("GET", path)
        response = connection.getresponse()
        value = json.loads(response.read())
        connection.close()
        return response.status, value

    def test_admin_server_reports_status_health_and_readiness(self) -> None:
        router = RouterFake()
        self.assertEqual(
            self.get(router, "/admin/status"), (200, {"generation": 1})
        )
        self.assertEqual(self.get(router, "/admin/health")[0], 200)
        self.assertEqual(self.get(router, "/admin/ready")[0], 200)
        router.is_ready = False
        self.assertEqual(self.get(router, "/admin/ready")[0], 503)
        self.assertEqual(self.get(router, "/admin/health")[0], 200)
        self.assertEqual(self.get(router, "/admin/other")[0], 404)


class ApplicationTest(HttpServerTestCase):
    def test_exception_in_the_router_refuses_with_unknown_outcome(self) -> None:
        def fail(event: object) -> bool:
            raise RuntimeError("broken")

        self.router.is_current = fail
        with mock.patch("burdockspan.http.application.log_fault"):
            answer = self.complete()
        self.assertEqual(answer.status, 500)
        self.assertEqual(answer.json()["outcome"], "unknown")
        self.assertEqual(len(self.router.finished()), 1)
        self.assertEqual(self.router.released(), ["decode-1"])

    def test_refusal_of_the_node_is_returned_completely(self) -> None:
        self.router.refusal = Refusal(
            429, Execution.NOT_RUN, Reason.CLIENT_LIMIT, "too many", 1.2
        )
        answer = self.complete(stream=True)
        problem = answer.json()
        self.assertEqual(answer.headers["Retry-After"], "2")
        self.assertEqual(problem["error"]["type"], "rate_limit_error")
        self.assertEqual(problem["reason"], "client_limit")
        self.assertEqual(
            problem["request_id"], answer.headers["Burdockspan-Request-Id"]
        )
        self.assertEqual(self.router.finished(), [(Execution.NOT_RUN, 429)])

    def test_status_without_a_phrase_gets_a_generic_one(self) -> None:
        self.assertEqual(make_status_line(799), "799 Status")
        refusal = Refusal(503, Execution.RAN, Reason.INTERNAL, "x")
        body = b"".join(make_refusal_response(refusal, "r").body)
        self.assertEqual(json.load(io.BytesIO(body))["outcome"], "ran")
