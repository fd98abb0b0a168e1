"""Stand-in for the object store of the users' platform, with faults.

Runs in a thread of a test. Objects are kept by kind and name; a watch waits
for a change. Faults are set as attributes.
"""

from __future__ import annotations

import contextlib
import http.server
import json
import threading
import time
import urllib.parse
from typing import Any

_PREFIX = "/v1/objects/"
_JSON = "application/json"


class ObjectStore:
    """An object store on 127.0.0.1.

    Attributes:
      address: `ip:port`.
      status: answers every call with this status; None serves.
      unresponsive: whether calls get no answer.
      compacted: whether watches find their history gone, once.
      calls: method and path of each call, in order.
    """

    def __init__(self) -> None:
        self.status: int | None = None
        self.unresponsive = False
        self.compacted = False
        self.calls: list[tuple[str, str]] = []
        self._revision = 1
        self._changed = threading.Condition()
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), _make_handler(self)
        )
        self._server.daemon_threads = True
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def close(self) -> None:
        """Stops serving."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object as the operator or a replica does."""
        with self._changed:
            self._write(kind, name, spec)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        with self._changed:
            held = self._objects.pop((kind, name))
            self._note(kind, held, removed=True)

    def read(self, kind: str) -> dict[str, Any]:
        """Returns the contents of a kind by name."""
        with self._changed:
            return {
                name: held["spec"]
                for (one, name), held in self._objects.items()
                if one == kind
            }

    def answer(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Returns the status and body of one call."""
        parts = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        names = parts.path.removeprefix(_PREFIX).split("/")
        if method == "GET" and "watch" in query:
            return self._watch(names[0], query)
        with self._changed:
            if method == "GET":
                return 200, self._list(names[0])
            if method == "POST":
                return self._create(names[0], body)
            if method == "DELETE":
                held = self._objects.pop((names[0], names[1]), None)
                if held is not None:
                    self._note(names[0], held, removed=True)
                return (200, {}) if held else (404, {})
            return self._replace(names[0], names[1], body)

    def _list(self, kind: str) -> dict[str, Any]:
        items = [v for (one, _), v in self._objects.items() if one == kind]
        return {
            "items": items,
            "has_more": False,
            "current_rev": self._revision,
        }

    def _create(self, kind: str, body: Any) -> tuple[int, Any]:
        name = body["metadata"]["name"]
        if (kind, name) in self._objects:
            return 409, self._objects[kind, name]
        return 200, self._write(kind, name, body["spec"])

    def _replace(self, kind: str, name: str, body: Any) -> tuple[int, Any]:
        held = self._objects.get((kind, name))
        if held is None:
            return 404, {}
        expected = body["metadata"].get("revision")
        if expected not in (None, held["metadata"]["revision"]):
            return 409, held
        return 200, self._write(kind, name, body["spec"])

    def _write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        metadata = {"name": name, "revision": self._revision + 1}
        held = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind, name] = held
        self._note(kind, held, removed=False)
        return held

    def _note(self, kind: str, held: dict[str, Any], removed: bool) -> None:
        self._revision += 1
        self._events.append((self._revision, kind, removed, held))
        self._changed.notify_all()

    def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["watch"])
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000.0
        with self._changed:
            while True:
                if self.compacted:
                    self.compacted = False
                    return 410, {}
                found = [
                    {"removed": removed, "object": held}
                    for revision, one, removed, held in self._events
                    if one == kind and revision > after
                ]
                left_s = end_s - time.monotonic()
                if found or left_s <= 0 or self.status is not None:
                    return 200, {
                        "events": found,
                        "current_rev": self._revision,
                    }
                self._changed.wait(min(0.05, left_s))


def _make_handler(store: ObjectStore) -> type:
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, format: str, *args: Any) -> None:
            """Writes no access log."""

        def _serve(self) -> None:
            length = int(self.headers.get("Content-Length") or 0)
            text = self.rfile.read(length)
            store.calls.append((self.command, self.path))
            status, value = 200, None
            if store.status is None:
                body = json.loads(text) if text else None
                status, value = store.answer(self.command, self.path, body)
            if store.status is not None:
                status, value = store.status, {}
            if store.unresponsive:
                self.close_connection = True
                threading.Event().wait(30.0)
                return
            with contextlib.suppress(OSError):
                self._send(status, json.dumps(value).encode())

        def _send(self, status: int, content: bytes) -> None:
            self.send_response(status)
            self.send_header("Content-Type", _JSON)
            self.send_header("Content-Length", str(len(content)))
            self.end_headers()
            self.wfile.write(content)

        do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815

    return Handler


__all__ = ["ObjectStore"]
