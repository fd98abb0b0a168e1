"""Threaded HTTP/1.1 server with keep-alive and faults, for all stand-ins."""

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

CRASH_EXIT_CODE = 3
_CHUNKS_BEFORE_TRUNCATION = 2
_POLL_PATHS = frozenset({"/attempts", "/cache_events", "/health", "/load"})


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 1024

    def __init__(
        self,
        port: int,
        application: Application,
        faults: Faults,
        control_paths: frozenset[str],
    ) -> None:
        self.application = application
        self.faults = faults
        self.control_paths = control_paths
        self.open_connection_ids: set[int] = set()
        self.new_connection_ids = itertools.count(1)
        super().__init__(("127.0.0.1", port), _Handler)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Prints errors, except for connections that callers reset."""
        if not isinstance(sys.exception(), OSError):
            super().handle_error(request, client_address)


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    # Buffers writes, so that the head and the body of a response are sent
    # together at the flush.
    wbufsize = -1
    server: _Server

    def setup(self) -> None:
        super().setup()
        self.connection_id = next(self.server.new_connection_ids)
        self.previous_response = b""
        self.server.open_connection_ids.add(self.connection_id)

    def finish(self) -> None:
        self.server.open_connection_ids.discard(self.connection_id)
        with contextlib.suppress(OSError):
            super().finish()

    def log_message(self, format: str, *args: Any) -> None:
        """Writes no access log."""

    def _handle(self) -> None:
        request = self._read()
        faults = self.server.faults
        if request.path == "/faults":
            self._handle_faults(request)
            return
        if self._is_control(request.path):
            self._send(self._run_application(request))
            return
        faults.wait_while_frozen(self.connection_id)
        marker = faults.get("crash_marker")
        if marker and str(marker).encode() in request.body:
            os._exit(CRASH_EXIT_CODE)
        is_faultable = self._is_faultable(request.path)
        if (
            is_faultable
            and self.previous_response
            and faults.consume("late_duplicate")
        ):
            self.wfile.write(self.previous_response)
            self.wfile.flush()
        response = self._run_application(request)
        if is_faultable:
            time.sleep(faults.get_seconds("slow_s"))
        faults.wait_while_frozen(self.connection_id)
        if is_faultable and request.method != "GET" and faults.drops_response():
            response = None
        self._send(response, is_faultable and faults.consume("truncate"))

    do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = _handle  # noqa: N815

    def _run_application(self, request: Request) -> Response | None:
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
            self._has_caller_closed,
        )

    def _is_control(self, path: str) -> bool:
        return path in self.server.control_paths or path.startswith("/control/")

    def _is_faultable(self, path: str) -> bool:
        # Polls of entry VMs would use up the counts of faults that a test
        # intends for its own requests.
        path_prefix = str(self.server.faults.get("only_path") or "")
        return path not in _POLL_PATHS and path.startswith(path_prefix)

    def _handle_faults(self, request: Request) -> None:
        faults = self.server.faults
        if request.method == "POST":
            # The connection of this request stays responsive.
            other_connections = self.server.open_connection_ids - {
                self.connection_id
            }
            faults.update(request.json(), other_connections)
        self._send(json_response(200, faults.as_json()))
        if faults.get("crash"):
            os._exit(CRASH_EXIT_CODE)

    def _has_caller_closed(self) -> bool:
        try:
            readable, _, _ = select.select([self.connection], [], [], 0)
            if not readable:
                return False
            return not self.connection.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            return True

    def _send(
        self, response: Response | None, is_truncated: bool = False
    ) -> None:
        if response is None:
            self._abort()
            return
        try:
            if isinstance(response.body, bytes):
                self._send_whole(response, response.body, is_truncated)
            else:
                self._send_chunks(response, response.body, is_truncated)
        except OSError:
            self.close_connection = True

    def _send_whole(
        self, response: Response, body: bytes, is_truncated: bool
    ) -> None:
        head = self._head(response, f"Content-Length: {len(body)}")
        self.previous_response = head + body
        self.wfile.write(
            head + (body[: len(body) // 2] if is_truncated else body)
        )
        self.wfile.flush()
        if is_truncated:
            self._abort()

    def _send_chunks(
        self, response: Response, chunks: Iterator[bytes], is_truncated: bool
    ) -> None:
        self.wfile.write(self._head(response, "Transfer-Encoding: chunked"))
        try:
            for index, chunk in enumerate(chunks):
                self.server.faults.wait_while_frozen(self.connection_id)
                if is_truncated and index == _CHUNKS_BEFORE_TRUNCATION:
                    self._abort()
                    return
                self.wfile.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
                self.wfile.flush()
        except ConnectionAbortedError:
            # The application ends the response before it is complete.
            self._abort()
            return
        finally:
            close = getattr(chunks, "close", None)
            if close is not None:
                close()
        self.wfile.write(b"0\r\n\r\n")
        self.wfile.flush()

    def _head(self, response: Response, framing: str) -> bytes:
        phrase = self.responses.get(response.status, ("Unknown",))[0]
        lines = [f"HTTP/1.1 {response.status} {phrase}", framing]
        lines.append(f"Content-Type: {response.content_type}")
        lines.extend(f"{name}: {value}" for name, value in response.headers)
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
    control_paths: frozenset[str] = frozenset(),
    on_bound: Callable[[int], None] | None = None,
) -> None:
    """Serves on 127.0.0.1 until the process ends.

    Prints `listening on 127.0.0.1:N` when it is ready.

    Args:
      port: TCP port; 0 selects a free one.
      application: request handler.
      faults: faults to inject.
      control_paths: paths that are exempt from faults, like all paths below
        `/control/`.
      on_bound: called with the port before the server reports that it is
        ready.
    """
    server = _Server(port, application, faults, control_paths)
    if on_bound is not None:
        on_bound(server.server_port)
    print(f"listening on 127.0.0.1:{server.server_port}", flush=True)
    server.serve_forever(poll_interval=0.1)


__all__ = ["CRASH_EXIT_CODE", "serve"]
