"""Stand-in for the object store of the users' platform, with faults.

Runs in a thread of a test, which sets the faults as attributes.
"""

from __future__ import annotations

import contextlib
import http.server
import json
import threading
import time
import urllib.parse
from collections.abc import Callable
from typing import Any

_PREFIX = "/v1/objects/"
_JSON = "application/json"


class ObjectStore:
    """An object store on 127.0.0.1.

    Attributes:
      address: `ip:port`.
      status: status of all responses; None responds normally.
      unresponsive: whether requests get no response.
      compacted: whether the next watch gets 410, as after a compaction.
      calls: method and path of each request, in order.
      era: rises each time the store comes back from a copy.
    """

    def __init__(self) -> None:
        self.status: int | None = None
        self.unresponsive = False
        self.compacted = False
        self.calls: list[tuple[str, str]] = []
        self.era = 1
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
        """Stops the server."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object."""
        with self._changed:
            self._write(kind, name, spec)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        with self._changed:
            stored = self._objects.pop((kind, name))
            self._add_event(kind, stored, removed=True)

    def copy(self) -> Callable[[], None]:
        """Copies the store; returns a function that restores the copy.

        What has been written since the copy is then gone, and its revisions are
        given out again.
        """
        with self._changed:
            revision, objects = self._revision, dict(self._objects)

        def restore() -> None:
            with self._changed:
                self.era += 1
                self._revision, self._objects = revision, dict(objects)
                self._events = [
                    event for event in self._events if event[0] <= revision
                ]
                self._changed.notify_all()

        return restore

    def read(self, kind: str) -> dict[str, Any]:
        """Returns the specs of the objects of a kind by name."""
        with self._changed:
            return {
                name: stored["spec"]
                for (object_kind, name), stored in self._objects.items()
                if object_kind == kind
            }

    def handle(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Returns the status and body of the response to a request."""
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        names = url.path.removeprefix(_PREFIX).split("/")
        if method == "GET" and "watch" in query:
            return self._watch(names[0], query)
        with self._changed:
            if method == "GET":
                return 200, self._list(names[0])
            if method == "POST":
                return self._create(names[0], body)
            if method == "DELETE":
                stored = self._objects.pop((names[0], names[1]), None)
                if stored is not None:
                    self._add_event(names[0], stored, removed=True)
                return (200, {}) if stored else (404, {})
            return self._replace(names[0], names[1], body)

    def _list(self, kind: str) -> dict[str, Any]:
        items = [
            stored
            for (object_kind, _), stored in self._objects.items()
            if object_kind == kind
        ]
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
        stored = self._objects.get((kind, name))
        if stored is None:
            return 404, {}
        expected = body["metadata"].get("revision")
        if expected not in (None, stored["metadata"]["revision"]):
            return 409, stored
        return 200, self._write(kind, name, body["spec"])

    def _write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        metadata = {"name": name, "revision": self._revision + 1}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind, name] = stored
        self._add_event(kind, stored, removed=False)
        return stored

    def _add_event(
        self, kind: str, stored: dict[str, Any], removed: bool
    ) -> None:
        self._revision += 1
        self._events.append((self._revision, kind, removed, stored))
        self._changed.notify_all()

    def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["watch"])
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000.0
        with self._changed:
            while True:
                if self.compacted or after > self._revision:
                    self.compacted = False
                    return 410, {}
                events = [
                    {"removed": removed, "object": stored}
                    for revision, object_kind, removed, stored in self._events
                    if object_kind == kind and revision > after
                ]
                left_s = end_s - time.monotonic()
                # When a test sets `status`, the wait ends, and the response
                # gets that status.
                if events or left_s <= 0 or self.status is not None:
                    return 200, {
                        "events": events,
                        "current_rev": self._revision,
                    }
                self._changed.wait(min(0.05, left_s))


def _make_handler(store: ObjectStore) -> type:
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, format: str, *args: Any) -> None:
            """Writes no access log."""

        def handle(self) -> None:
            # Callers may reset connections, also before a request.
            with contextlib.suppress(ConnectionError):
                super().handle()

        def _handle(self) -> None:
            length = int(self.headers.get("Content-Length") or 0)
            text = self.rfile.read(length)
            store.calls.append((self.command, self.path))
            status, value = 200, None
            if store.status is None:
                body = json.loads(text) if text else None
                status, value = store.handle(self.command, self.path, body)
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
            self.send_header("Store-Era", str(store.era))
            self.send_header("Content-Length", str(len(content)))
            self.end_headers()
            self.wfile.write(content)

        do_GET = do_POST = do_PUT = do_DELETE = _handle  # noqa: N815

    return Handler


__all__ = ["ObjectStore"]
