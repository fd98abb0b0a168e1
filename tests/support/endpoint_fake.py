"""In-process endpoint whose responses a test scripts."""

from __future__ import annotations

import dataclasses
import http.server
import json
import threading
from collections.abc import Callable
from typing import Any

from burdockspan.values.endpoint import Endpoint, Pool

Script = Callable[["Handler"], None]
TOKENS = 5
# The start of the head of a chunked response.
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"


@dataclasses.dataclass(frozen=True)
class ReceivedRequest:
    """A request that the endpoint received."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    client: tuple[str, int]


class Handler(http.server.BaseHTTPRequestHandler):
    """Handles a request by the script with the longest matching prefix."""

    protocol_version = "HTTP/1.1"
    server: EndpointFake
    body: bytes

    def handle_one_request(self) -> None:
        try:
            super().handle_one_request()
        except OSError:
            self.close_connection = True

    def handle_request(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        self.body = self.rfile.read(length)
        request_line = f"{self.command} {self.path}"
        self.server.received.append(
            ReceivedRequest(
                self.command,
                self.path,
                dict(self.headers),
                self.body,
                self.client_address,
            )
        )
        matching = [
            prefix
            for prefix in self.server.scripts
            if request_line.startswith(prefix)
        ]
        if not matching:
            self.send(404, {"detail": "not scripted"})
            return
        self.server.scripts[max(matching, key=len)](self)

    do_GET = do_HEAD = do_POST = do_DELETE = do_PUT = handle_request  # noqa: N815

    def send(
        self, status: int, value: Any, headers: dict[str, str] | None = None
    ) -> None:
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.send_response(status)
        response_headers = {
            "Content-Type": "application/json",
            **(headers or {}),
        }
        response_headers.setdefault("Content-Length", str(len(body)))
        for name, header_value in response_headers.items():
            self.send_header(name, header_value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)

    def start_stream(self, media_type: str = "text/event-stream") -> None:
        """Sends the head of a chunked response."""
        self.send_response(200)
        self.send_header("Content-Type", media_type)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def send_chunk(self, data: bytes) -> None:
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))

    def send_tokens(self, first: int, stop: int) -> None:
        for index in range(first, stop):
            self.send_chunk(make_token_event(index))

    def end_stream(self) -> None:
        """Sends the last event of a completion and the last chunk."""
        self.send_chunk(b"data: [DONE]\n\n")
        self.wfile.write(b"0\r\n\r\n")

    def stall(self) -> None:
        """Sends nothing more until the endpoint is stopped."""
        self.server.closing.wait()
        self.close_connection = True

    def close_early(self) -> None:
        """Closes the connection without the rest of the response."""
        self.close_connection = True

    def log_message(self, format: str, *args: Any) -> None:
        del format, args


class EndpointFake(http.server.ThreadingHTTPServer):
    """An endpoint on a free port of the loopback interface.

    Attributes:
      name: name of the endpoint.
      received: requests in the order of their arrival.
      scripts: scripts by prefix of the method and path.
      closing: set when the endpoint is stopped.
    """

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, name: str = "endpoint-1") -> None:
        super().__init__(("127.0.0.1", 0), Handler)
        self.name = name
        self.received: list[ReceivedRequest] = []
        self.scripts: dict[str, Script] = {}
        # Handlers that have stalled return when it is set.
        self.closing = threading.Event()
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        self.serve_forever(poll_interval=0.01)

    def stop(self) -> None:
        self.closing.set()
        self.shutdown()
        self.server_close()

    def count(self, request_line: str) -> int:
        """Returns the number of requests by a prefix of method and path."""
        return sum(
            f"{request.method} {request.path}".startswith(request_line)
            for request in list(self.received)
        )

    def as_endpoint(self, pool: Pool = Pool.SERVICE) -> Endpoint:
        """Returns this endpoint as a value of the router."""
        port = self.server_address[1]
        address = f"127.0.0.1:{port}"
        return Endpoint(self.name, address, "lm", pool, "zone-a")


def repeat(part: bytes, first: bytes = b"", pause_s: float = 0.02) -> Script:
    """Returns a script that sends `first`, then `part` without end.

    Args:
      part: sent again and again.
      first: sent once.
      pause_s: pause between two parts.
    """

    def script(handler: Handler) -> None:
        handler.close_connection = True
        handler.wfile.write(first)
        while not handler.server.closing.wait(pause_s):
            handler.wfile.write(part)

    return script


def make_token_event(index: int) -> bytes:
    """Returns the server-sent event of one token of a text completion."""
    choice = {"index": 0, "text": f"t{index} ", "finish_reason": None}
    value = {
        "id": "c",
        "object": "text_completion",
        "created": 0,
        "model": "m1",
        "choices": [choice],
    }
    return f"id: {index}\ndata: {json.dumps(value)}\n\n".encode()


def make_completion(text: str = "t0 t1 ") -> dict[str, Any]:
    """Returns a text completion without streaming."""
    choice = {"index": 0, "text": text, "finish_reason": "stop"}
    return {
        "id": "c",
        "object": "text_completion",
        "created": 0,
        "model": "m1",
        "choices": [choice],
    }


def script_engine(fake: EndpointFake) -> None:
    """Scripts an endpoint that serves the engine protocol without faults."""
    fake.scripts.update(
        {
            "POST /reservations": lambda handler: handler.send(201, {}),
            "POST /prefill": lambda handler: handler.send(
                200,
                {"cache": "k1", "tokens": 3, "cached_tokens": 0, "life_s": 5},
            ),
            "POST /imports": lambda handler: handler.send(200, {}),
            "POST /v1/": _complete,
            "GET /health": lambda handler: handler.send(
                200, {"boot": "b1", "state": "live"}
            ),
            "GET /attempts": lambda handler: handler.send(
                200, {"boot": "b1", "attempts": []}
            ),
        }
    )


def _complete(handler: Handler) -> None:
    if json.loads(handler.body).get("stream"):
        handler.start_stream()
        handler.send_tokens(0, TOKENS)
        handler.end_stream()
    else:
        handler.send(200, make_completion())


__all__ = [
    "CHUNKED_HEAD",
    "TOKENS",
    "EndpointFake",
    "Handler",
    "make_completion",
    "make_token_event",
    "repeat",
    "script_engine",
]
