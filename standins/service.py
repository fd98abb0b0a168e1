"""Stand-in for an endpoint of a plain service.

`GET /seen` returns the requests received, including refused ones. `GET /runs`
returns how often requests other than GET ran, by idempotency key, with their
attempts; `GET /status/<key>` returns the count of one key. `POST /orders`
receives an order. Every other path runs the service. The query `chunks=N` asks
for a chunked response of N parts, `bytes=N` for a response padded by N bytes.

Faults in addition to those of all stand-ins:
  leaving: requests are refused, and the endpoint reports that it is leaving.
  full: requests are refused as over the limit of the endpoint.
  refuse_fencing: the next n requests or orders are refused as if their fencing
    tokens were stale.
  load_lag_s: age of the reported load, in seconds.
  work_s: time that a request runs, in seconds.
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
from standins.load import LoadHistory, Orders, make_boot_id
from standins.messages import Request, Response, json_response
from standins.server import serve

_RECEIVED_LIMIT = 10_000


class Service:
    """The HTTP interface of one endpoint."""

    def __init__(self, name: str, faults: Faults, checks_fencing: bool) -> None:
        self.name = name
        self.faults = faults
        self.boot_id = make_boot_id()
        self.checks_fencing = checks_fencing
        self.orders = Orders(faults)
        self._lock = threading.Lock()
        self._running = 0
        self._loads = LoadHistory(faults, self._measure_load)
        self._fencing_token_by_key: dict[str, int] = {}
        self._attempts_by_key: dict[str, list[str]] = {}
        self._received: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=_RECEIVED_LIMIT
        )

    def handle(self, request: Request) -> Response | None:
        """Handles one request."""
        path = request.path
        if path == "/runs":
            with self._lock:
                return json_response(200, self._runs_json())
        if path == "/seen":
            with self._lock:
                return json_response(200, {"requests": list(self._received)})
        if path == "/health":
            return json_response(
                200, {"boot": self.boot_id, "state": self._health_state()}
            )
        if path == "/load":
            return json_response(200, self._loads.get_report())
        if path == "/orders":
            return self.orders.handle(request.json())
        if path.startswith("/status/"):
            key = path.removeprefix("/status/")
            with self._lock:
                return json_response(
                    200, {"runs": len(self._attempts_by_key.get(key, ()))}
                )
        return self._handle_call(request)

    def _handle_call(self, request: Request) -> Response:
        with self._lock:
            self._record_request(request)
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
                self._attempts_by_key.setdefault(key, []).append(attempt)
        self._loads.record()
        digest = hashlib.sha256(request.body).hexdigest()
        value = {
            "service": self.name,
            "path": request.path,
            "digest": digest,
            "key": key,
            "padding": "x" * int(request.query.get("bytes", "0")),
        }
        time.sleep(self.faults.get_seconds("work_s"))
        with self._lock:
            self._running -= 1
        self._loads.record()
        response = json_response(200, value)
        chunks = int(request.query.get("chunks", "0"))
        if not chunks or not isinstance(response.body, bytes):
            return response
        return dataclasses.replace(response, body=_split(response.body, chunks))

    def _accepts_fencing(self, key: str, request: Request) -> bool:
        text = request.headers.get("burdockspan-fencing", "")
        if self.faults.consume("refuse_fencing"):
            return False
        if not (self.checks_fencing and key and text):
            return True
        if int(text) < self._fencing_token_by_key.get(key, 0):
            return False
        self._fencing_token_by_key[key] = int(text)
        return True

    def _record_request(self, request: Request) -> None:
        self._received.append(
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
            "by_key": {
                key: len(attempts)
                for key, attempts in self._attempts_by_key.items()
            },
            "attempts_by_key": self._attempts_by_key,
        }

    def _health_state(self) -> str:
        return "leaving" if self.faults.get("leaving") else "live"

    def _measure_load(self) -> dict[str, Any]:
        return {
            "boot": self.boot_id,
            "state": self._health_state(),
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
    control_paths = frozenset({"/runs", "/seen"})
    serve(options.port, service.handle, faults, control_paths)


if __name__ == "__main__":
    main()
