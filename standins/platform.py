"""Stand-in for the platform: objects, watch, VM list and weights.

`PUT /control/vms {"vms": [...]}` sets the VM list,
`PUT /control/weights/<model>/<version>` stores weights, `GET /calls` returns
the number of calls by kind and by caller. `PUT /control/copy` copies the store,
and `PUT /control/restore` lets it come back from that copy: what was written
since is gone, its versions are given out again, and `Platform-Era`, in all
answers, rises by one.

Faults in addition to those of all stand-ins: `down` (true closes connections,
"error" responds with 503), `cut_off` (list of VM names whose calls hang and are
not applied), `vm_list_lag_s` (delay of a new VM list).
"""

from __future__ import annotations

import argparse
import base64
import collections
import dataclasses
import json
import threading
import time
from typing import Any

from standins.faults import Faults
from standins.messages import Request, Response, json_response
from standins.server import serve

_VALUE_LIMIT_BYTES = 1_000_000
_VM_LIST_KEY = ("vms", "list")


class Store:
    """Versioned objects; deleted objects remain as tombstones for watches."""

    def __init__(self) -> None:
        self.changed = threading.Condition(threading.RLock())
        self.version = 0
        self.era = 1
        self._objects: dict[tuple[str, str], tuple[int, Any]] = {}
        self._copy = (0, dict(self._objects))

    def copy(self) -> None:
        """Copies the contents, to come back from them later."""
        with self.changed:
            self._copy = (self.version, dict(self._objects))

    def restore(self) -> None:
        """Comes back from the last copy."""
        with self.changed:
            self.version, self._objects = self._copy[0], dict(self._copy[1])
            self.era += 1
            self.changed.notify_all()

    def get(self, kind: str, name: str) -> tuple[int, Any] | None:
        """Returns version and value, None if the object does not exist."""
        with self.changed:
            stored = self._objects.get((kind, name))
        return stored if stored and stored[1] is not None else None

    def write(
        self, kind: str, name: str, value: Any, match: str, none_match: str
    ) -> int | None:
        """Writes an object if its conditions are met.

        Args:
          kind: kind of the object.
          name: name of the object.
          value: new value; None deletes the object.
          match: version that the object must have; empty for any.
          none_match: "*" if the object must not exist.

        Returns:
          The new version, None if a condition is not met.
        """
        with self.changed:
            current = self.get(kind, name)
            if none_match == "*" and current is not None:
                return None
            if match and (current is None or str(current[0]) != match):
                return None
            self.version += 1
            self._objects[(kind, name)] = (self.version, value)
            self.changed.notify_all()
            return self.version

    def list_events(self, kinds: list[str], after: int) -> list[dict[str, Any]]:
        """Returns the current state of the objects written after a version."""
        with self.changed:
            events = [
                {"kind": kind, "name": name, "version": version, "value": value}
                for (kind, name), (version, value) in self._objects.items()
                if kind in kinds and version > after
            ]
        return sorted(events, key=lambda event: event["version"])

    def list_by_prefix(self, kind: str, prefix: str) -> list[dict[str, Any]]:
        """Returns the objects of a kind whose names have a prefix."""
        return [
            {key: event[key] for key in ("name", "version", "value")}
            for event in self.list_events([kind], 0)
            if event["value"] is not None and event["name"].startswith(prefix)
        ]

    def wait(self, kinds: list[str], after: int, timeout_s: float) -> None:
        """Blocks until there is an event or the timeout has expired."""
        end_s = time.monotonic() + timeout_s
        with self.changed:
            while not self.list_events(kinds, after):
                left_s = end_s - time.monotonic()
                if left_s <= 0:
                    return
                self.changed.wait(left_s)


class Platform:
    """The HTTP interface of the platform."""

    def __init__(
        self, faults: Faults, reads_per_s: int, writes_per_s: int
    ) -> None:
        self.faults = faults
        self.store = Store()
        self.weights: dict[str, Any] = {}
        self.limits = {"read": reads_per_s, "write": writes_per_s}
        self._lock = threading.Lock()
        self._call_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._calls_per_second: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )

    def handle(self, request: Request) -> Response | None:
        """Handles one call; the answer names the era in which it arrived.

        So a write that an answer of an era confirms is not lost by the rise to
        that era.
        """
        era = ("Platform-Era", str(self.store.era))
        response = self._answer(request)
        if response is None:
            return None
        headers = (*response.headers, era)
        return dataclasses.replace(response, headers=headers)

    def _answer(self, request: Request) -> Response | None:
        if request.path == "/calls":
            return json_response(200, self._calls_json())
        if request.path.startswith("/control/"):
            return self._handle_control(request)
        caller = request.headers.get("burdockspan-vm", "")
        parts = request.path.strip("/").split("/", 2)
        is_admitted = self._admit(_classify(request.method, parts), caller)
        down = self.faults.get("down")
        if down:
            return json_response(503, {}) if down == "error" else None
        if caller in (self.faults.get("cut_off") or ()):
            self.faults.wait_while(
                lambda: (
                    caller in (self.faults.get("cut_off") or ())
                    and not request.caller_closed()
                )
            )
            return None
        if not is_admitted:
            return Response(429, b"{}", headers=(("Retry-After", "1"),))
        return self._route(request, parts)

    def _route(self, request: Request, parts: list[str]) -> Response:
        if parts[0] == "objects" and len(parts) == 3:
            return self._handle_object(request, parts[1], parts[2])
        if parts[0] == "objects" and len(parts) == 2:
            prefix = request.query.get("prefix", "")
            objects = self.store.list_by_prefix(parts[1], prefix)
            return json_response(200, {"objects": objects})
        if parts[0] == "watch":
            return self._handle_watch(request)
        if parts[0] == "vms":
            stored = self.store.get(*_VM_LIST_KEY) or (0, {"vms": []})
            return json_response(200, {"version": stored[0], **stored[1]})
        if parts[0] == "weights" and len(parts) == 3:
            weights = self.weights.get("/".join(parts[1:]))
            return json_response(200 if weights else 404, weights or {})
        return json_response(404, {})

    def _handle_object(
        self, request: Request, kind: str, name: str
    ) -> Response:
        if request.method == "GET":
            stored = self.store.get(kind, name)
            if stored is None:
                return json_response(404, {})
            return json_response(
                200, {"version": stored[0], "value": stored[1]}
            )
        if len(request.body) > _VALUE_LIMIT_BYTES:
            return json_response(413, {})
        is_delete = request.method == "DELETE"
        if is_delete and self.store.get(kind, name) is None:
            return json_response(404, {})
        value = None if is_delete else json.loads(request.body)
        match = request.headers.get("if-match", "")
        none_match = request.headers.get("if-none-match", "")
        version = self.store.write(kind, name, value, match, none_match)
        if version is None:
            return json_response(412, {})
        return json_response(200, {"version": version, "value": value})

    def _handle_watch(self, request: Request) -> Response:
        kinds = request.query.get("kinds", "").split(",")
        after = int(request.query.get("after", "0"))
        if after > self.store.version:
            return json_response(410, {})
        self.store.wait(
            kinds, after, float(request.query.get("timeout_s", "0"))
        )
        with self.store.changed:
            events = self.store.list_events(kinds, after)
            version = self.store.version
        return json_response(200, {"version": version, "events": events})

    def _handle_control(self, request: Request) -> Response:
        parts = request.path.split("/")
        if parts[2] == "weights":
            data = base64.b64encode(request.body).decode()
            self.weights["/".join(parts[3:])] = {"bytes": data}
            return json_response(200, {})
        if parts[2] == "copy":
            self.store.copy()
            return json_response(200, {})
        if parts[2] == "restore":
            self.store.restore()
            return json_response(200, {})
        value = request.json()
        lag_s = self.faults.get_seconds("vm_list_lag_s")
        if lag_s:
            timer = threading.Timer(
                lag_s, self.store.write, (*_VM_LIST_KEY, value, "", "")
            )
            timer.daemon = True
            timer.start()
        else:
            self.store.write(*_VM_LIST_KEY, value, "", "")
        return json_response(200, {})

    def _admit(self, kind: str, caller: str) -> bool:
        """Counts a call; returns whether it is within the rate limit."""
        operation = "write" if kind in ("put", "delete") else "read"
        second = int(time.monotonic())
        with self._lock:
            self._call_counts[(kind, caller)] += 1
            self._calls_per_second[(second, operation)] += 1
            limit = self.limits[operation]
            return (
                not limit
                or self._calls_per_second[(second, operation)] <= limit
            )

    def _calls_json(self) -> dict[str, Any]:
        by_kind: collections.Counter[str] = collections.Counter()
        by_caller: dict[str, dict[str, int]] = {}
        with self._lock:
            for (kind, caller), count in self._call_counts.items():
                by_kind[kind] += count
                by_caller.setdefault(caller, {})[kind] = count
            peaks = {
                operation: max(
                    (
                        count
                        for (
                            _,
                            counted,
                        ), count in self._calls_per_second.items()
                        if counted == operation
                    ),
                    default=0,
                )
                for operation in self.limits
            }
        return {
            "total": sum(by_kind.values()),
            "by_kind": by_kind,
            "by_caller": by_caller,
            "peak_per_s": peaks,
        }


def _classify(method: str, parts: list[str]) -> str:
    if parts[0] != "objects":
        return parts[0]
    if method == "GET":
        return "get" if len(parts) == 3 else "list"
    return method.lower()


def main() -> None:
    """Runs the stand-in until it is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--reads-per-s", type=int, default=0)
    parser.add_argument("--writes-per-s", type=int, default=0)
    options = parser.parse_args()
    faults = Faults(options.seed)
    platform = Platform(faults, options.reads_per_s, options.writes_per_s)
    serve(options.port, platform.handle, faults, frozenset({"/calls"}))


if __name__ == "__main__":
    main()
