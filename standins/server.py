"""Threaded HTTP/1.1 server with keep-alive that all stand-ins share."""

from __future__ import annotations

import contextlib
import http.server
import itertools
import os
import select
import socket
import sys
import time
import urllib.parse
from collections.abc import Callable, Iterator
from typing import Any

from standins.faults import Faults
from standins.messages import Application, Request, Response, json_response

CRASH_STATUS = 3
_POLLS = frozenset({"/attempts", "/cache_events", "/health", "/load"})


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 1024

    def __init__(
        self,
        port: int,
        application: Application,
        faults: Faults,
        control: frozenset[str],
    ) -> None:
        self.application = application
        self.faults = faults
        self.control = control
        self.connections: set[int] = set()
        self.numbers = itertools.count(1)
        super().__init__(("127.0.0.1", port), _Handler)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Prints errors other than connections that clients reset."""
        if not isinstance(sys.exception(), OSError):
            super().handle_error(request, client_address)


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    server: _Server

    def setup(self) -> None:
        super().setup()
        self.number = next(self.server.numbers)
        self.previous = b""
        self.server.connections.add(self.number)

    def finish(self) -> None:
        self.server.connections.discard(self.number)
        with contextlib.suppress(OSError):
            super().finish()

    def log_message(self, format: str, *args: Any) -> None:
        """Writes no access log."""

    def _serve(self) -> None:
        request = self._read()
        faults = self.server.faults
        if request.path == "/faults":
            self._serve_faults(request)
            return
        if self._is_control(request.path):
            self._send(self._apply(request))
            return
        faults.hold(self.number)
        marker = faults.get("crash_marker")
        if marker and str(marker).encode() in request.body:
            os._exit(CRASH_STATUS)
        faulty = self._may_fault(request.path)
        if faulty and self.previous and faults.spend("late_duplicate"):
            self.wfile.write(self.previous)
            self.wfile.flush()
        answer = self._apply(request)
        if faulty:
            time.sleep(faults.seconds("slow_s"))
        faults.hold(self.number)
        if faulty and request.method != "GET" and faults.loses_answer():
            answer = None
        self._send(answer, faulty and faults.spend("truncate"))

    do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = _serve  # noqa: N815

    def _apply(self, request: Request) -> Response | None:
        try:
            return self.server.application(request)
        except (KeyError, TypeError, ValueError) as error:
            return json_response(400, {"reason": f"malformed call: {error!r}"})

    def _read(self) -> Request:
        parts = urllib.parse.urlsplit(self.path)
        length = int(self.headers.get("Content-Length") or 0)
        return Request(
            self.command,
            urllib.parse.unquote(parts.path),
            dict(urllib.parse.parse_qsl(parts.query)),
            {name.lower(): value for name, value in self.headers.items()},
            self.rfile.read(length),
            self._caller_gone,
        )

    def _is_control(self, path: str) -> bool:
        return path in self.server.control or path.startswith("/control/")

    def _may_fault(self, path: str) -> bool:
        # Polls would use up the counted faults that a test meant for a call.
        only = str(self.server.faults.get("only_path") or "")
        return path not in _POLLS and path.startswith(only)

    def _serve_faults(self, request: Request) -> None:
        faults = self.server.faults
        if request.method == "POST":
            # The connection that carries the change is never silenced.
            others = self.server.connections - {self.number}
            faults.change(request.json(), others)
        self._send(json_response(200, faults.as_json()))
        if faults.get("crash"):
            os._exit(CRASH_STATUS)

    def _caller_gone(self) -> bool:
        try:
            readable, _, _ = select.select([self.connection], [], [], 0)
            if not readable:
                return False
            return not self.connection.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            return True

    def _send(self, answer: Response | None, truncated: bool = False) -> None:
        if answer is None:
            self._abort()
            return
        try:
            if isinstance(answer.body, bytes):
                self._send_whole(answer, answer.body, truncated)
            else:
                self._send_chunks(answer, answer.body, truncated)
        except OSError:
            self.close_connection = True

    def _send_whole(
        self, answer: Response, body: bytes, truncated: bool
    ) -> None:
        head = self._head(answer, f"Content-Length: {len(body)}")
        self.previous = head + body
        self.wfile.write(head + (body[: len(body) // 2] if truncated else body))
        self.wfile.flush()
        if truncated:
            self._abort()

    def _send_chunks(
        self, answer: Response, chunks: Iterator[bytes], truncated: bool
    ) -> None:
        self.wfile.write(self._head(answer, "Transfer-Encoding: chunked"))
        try:
            for index, chunk in enumerate(chunks):
                self.server.faults.hold(self.number)
                if truncated and index == 2:
                    self._abort()
                    return
                self.wfile.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
                self.wfile.flush()
        except ConnectionAbortedError:
            self._abort()
            return
        finally:
            close = getattr(chunks, "close", None)
            if close is not None:
                close()
        self.wfile.write(b"0\r\n\r\n")
        self.wfile.flush()

    def _head(self, answer: Response, framing: str) -> bytes:
        phrase = self.responses.get(answer.status, ("Unknown",))[0]
        lines = [f"HTTP/1.1 {answer.status} {phrase}", framing]
        lines.append(f"Content-Type: {answer.content_type}")
        lines.extend(f"{name}: {value}" for name, value in answer.headers)
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _abort(self) -> None:
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_RDWR)


def serve(
    port: int,
    application: Application,
    faults: Faults,
    control: frozenset[str] = frozenset(),
    bound: Callable[[int], None] | None = None,
) -> None:
    """Serves on 127.0.0.1 until the process ends; port 0 picks a free one.

    Prints `listening on 127.0.0.1:N` when ready. Calls of the paths in
    `control`, and below `/control/`, are exempt from faults. `bound` is called
    with the port before the line is printed.
    """
    server = _Server(port, application, faults, control)
    if bound is not None:
        bound(server.server_port)
    print(f"listening on 127.0.0.1:{server.server_port}", flush=True)
    server.serve_forever(poll_interval=0.1)


__all__ = ["CRASH_STATUS", "serve"]
