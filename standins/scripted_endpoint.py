"""Stand-in for an endpoint of the users' platform, scripted by a test.

Runs in a thread of a test. A script is a function that gets a request and
returns steps: bytes to send, an event to wait for, or an action.
"""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import json
import socket
import socketserver
import struct
import threading
from collections.abc import Callable, Iterable
from typing import Any


class Action(enum.Enum):
    """A step of a script other than sending bytes.

    RESET: resets the connection.
    CLOSE: closes the connection.
    WAIT_FOR_CALLER: waits until the caller has closed the connection.
    """

    RESET = "reset"
    CLOSE = "close"
    WAIT_FOR_CALLER = "wait_for_caller"


@dataclasses.dataclass(frozen=True)
class Received:
    """A received request."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Returns the first value of a header."""
        name_lower = name.lower()
        return next(
            (v for k, v in self.headers if k.lower() == name_lower), None
        )


Step = bytes | Action | threading.Event
Script = Callable[[Received], Iterable[Step]]


def respond(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> Iterable[Step]:
    """Returns a complete response with a Content-Length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ["\r\n".join(lines).encode() + b"\r\n\r\n" + body]


def respond_json(status: int, value: Any) -> Iterable[Step]:
    """Returns a complete response with a JSON body."""
    return respond(status, json.dumps(value).encode())


def chunk(part: bytes) -> bytes:
    """Returns one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(part), part)


CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Response-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"


class ScriptedEndpoint:
    """An endpoint on 127.0.0.1.

    Attributes:
      id: endpoint ID.
      address: `ip:port`.
      script: script that handles requests.
      received: requests in the order of their arrival.
      caller_closed: set when a WAIT_FOR_CALLER step has ended.
    """

    def __init__(self, id: str, script: Script) -> None:
        self.id = id
        self.script = script
        self.received: list[Received] = []
        self.caller_closed = threading.Event()
        self._server = _Server(("127.0.0.1", 0), _make_handler(self))
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def close(self) -> None:
        """Stops listening; new connections are refused."""
        self._server.shutdown()
        self._server.server_close()

    def as_store_entry(
        self, service: str, zone: str, stage: str | None = None, **more: Any
    ) -> dict[str, Any]:
        """Returns the entry of this endpoint in the object store."""
        entry: dict[str, Any] = {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": 1_700_000_000_000,
        }
        if stage is not None:
            entry["stage"] = stage
        return {**entry, **more}


class _Server(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256


def _make_handler(endpoint: ScriptedEndpoint) -> type:
    class Handler(socketserver.StreamRequestHandler):
        disable_nagle_algorithm = True

        def handle(self) -> None:
            with contextlib.suppress(OSError, ValueError):
                while self._serve():
                    pass

        def _serve(self) -> bool:
            received = self._read()
            if received is None:
                return False
            endpoint.received.append(received)
            for step in endpoint.script(received):
                if isinstance(step, bytes):
                    self.wfile.write(step)
                elif isinstance(step, threading.Event):
                    step.wait(30.0)
                elif not self._act(step):
                    return False
            return True

        def _act(self, action: Action) -> bool:
            """Carries out an action; returns whether the script continues."""
            if action is Action.WAIT_FOR_CALLER:
                self.connection.settimeout(30.0)
                with contextlib.suppress(ConnectionError):
                    if not self.connection.recv(1):
                        endpoint.caller_closed.set()
                        return False
                endpoint.caller_closed.set()
            elif action is Action.RESET:
                # With a linger time of 0, close sends a reset.
                linger = struct.pack("ii", 1, 0)
                self.connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
                self.connection.close()
            return False

        def _read(self) -> Received | None:
            line = self.rfile.readline().decode("latin-1").rstrip("\r\n")
            if not line:
                return None
            method, target, _ = line.split(" ", 2)
            headers = []
            while text := self.rfile.readline().decode("latin-1").strip():
                name, _, value = text.partition(":")
                headers.append((name, value.strip()))
            length = next(
                (int(v) for k, v in headers if k.lower() == "content-length"), 0
            )
            body = self.rfile.read(length)
            return Received(method, target, tuple(headers), body)

    return Handler


__all__ = [
    "CHUNKED_HEAD",
    "LAST_CHUNK",
    "Action",
    "Received",
    "Script",
    "ScriptedEndpoint",
    "chunk",
    "respond",
    "respond_json",
]
