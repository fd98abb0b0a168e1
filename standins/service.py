"""Stand-in for a replica of a plain service.

Any other path runs the call. A call other than GET is counted by idempotency
key and attempt; `GET /runs` returns the counts, `GET /seen` the calls received,
also those that were refused.
`GET /status/<key>` tells how often the action of a key ran, `POST /orders`
takes an operator order. The query `chunks=N` asks for a chunked answer of N
parts, `bytes=N` for an answer padded by N bytes. Faults beside the shared
ones: `leaving`, `full`, `refuse_fencing` (next n calls), `load_lag_s`,
`work_s` (seconds that a call is running).
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import hashlib
import threading
import time
from collections.abc import Iterator
from typing import Any

from standins.faults import Faults
from standins.load import LoadHistory, Orders, make_boot
from standins.messages import Request, Response, json_response
from standins.server import serve

_SEEN_LIMIT = 10_000


class Service:
    """The HTTP interface of one replica."""

    def __init__(self, name: str, faults: Faults, checks: bool) -> None:
        self.name = name
        self.faults = faults
        self.boot = make_boot()
        self.checks = checks
        self.orders = Orders(faults)
        self._lock = threading.Lock()
        self._running = 0
        self._loads = LoadHistory(faults, self._load)
        self._fencing: dict[str, int] = {}
        self._runs: dict[str, list[str]] = {}
        self._seen: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=_SEEN_LIMIT
        )

    def answer(self, request: Request) -> Response | None:
        """Answers one call."""
        path = request.path
        if path == "/runs":
            with self._lock:
                return json_response(200, self._runs_json())
        if path == "/seen":
            with self._lock:
                return json_response(200, {"requests": list(self._seen)})
        if path == "/health":
            return json_response(
                200, {"boot": self.boot, "state": self._state()}
            )
        if path == "/load":
            return json_response(200, self._loads.report())
        if path == "/orders":
            return self.orders.answer(request.json())
        if path.startswith("/status/"):
            key = path.removeprefix("/status/")
            with self._lock:
                return json_response(
                    200, {"runs": len(self._runs.get(key, ()))}
                )
        return self._call(request)

    def _call(self, request: Request) -> Response:
        with self._lock:
            self._record(request)
        for fault, status in (("full", 429), ("leaving", 503)):
            if self.faults.get(fault):
                body = {"outcome": "not_run", "reason": fault}
                return json_response(status, body)
        key = request.headers.get("idempotency-key", "")
        attempt = request.headers.get("burdockspan-attempt", "")
        with self._lock:
            if not self._accepts_fencing(key, request):
                body = {"outcome": "not_run", "reason": "old_fencing"}
                return json_response(409, body)
            self._running += 1
            if request.method != "GET":
                self._runs.setdefault(key, []).append(attempt)
        self._loads.sample()
        digest = hashlib.sha256(request.body).hexdigest()
        value = {
            "service": self.name,
            "path": request.path,
            "digest": digest,
            "key": key,
            "padding": "x" * int(request.query.get("bytes", "0")),
        }
        time.sleep(self.faults.seconds("work_s"))
        with self._lock:
            self._running -= 1
        self._loads.sample()
        answer = json_response(200, value)
        chunks = int(request.query.get("chunks", "0"))
        if not chunks or not isinstance(answer.body, bytes):
            return answer
        return dataclasses.replace(answer, body=_split(answer.body, chunks))

    def _accepts_fencing(self, key: str, request: Request) -> bool:
        text = request.headers.get("burdockspan-fencing", "")
        if self.faults.spend("refuse_fencing"):
            return False
        if not (self.checks and key and text):
            return True
        if int(text) < self._fencing.get(key, 0):
            return False
        self._fencing[key] = int(text)
        return True

    def _record(self, request: Request) -> None:
        self._seen.append(
            {
                "method": request.method,
                "path": request.path,
                "query": request.query,
                "headers": request.headers,
                "body": request.body.decode(errors="replace"),
            }
        )

    def _runs_json(self) -> dict[str, Any]:
        return {
            "by_key": {key: len(runs) for key, runs in self._runs.items()},
            "attempts_by_key": self._runs,
        }

    def _state(self) -> str:
        return "leaving" if self.faults.get("leaving") else "live"

    def _load(self) -> dict[str, Any]:
        return {
            "boot": self.boot,
            "state": self._state(),
            "pieces": 0,
            "free_pieces": 0,
            "running": self._running,
            "waiting": 0,
        }


def _split(body: bytes, parts: int) -> Iterator[bytes]:
    size = -(-len(body) // parts)
    for start in range(0, len(body), size):
        yield body[start : start + size]


def main() -> None:
    """Runs the stand-in until it is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--checks-fencing", action="store_true")
    options = parser.parse_args()
    faults = Faults(options.seed)
    service = Service(options.name, faults, options.checks_fencing)
    control = frozenset({"/runs", "/seen"})
    serve(options.port, service.answer, faults, control)


if __name__ == "__main__":
    main()
