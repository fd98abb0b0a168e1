"""Stand-in for a prefill or decode engine.

KV memory stays reserved until `DELETE /attempts/<attempt>`, also after the
response is complete. With `--frees-on-disconnect` it is also released when the
connection of a stream is lost. Tokens are generated on a time schedule,
independently of the connection, so a lost stream can be resumed. An engine
with attempts refuses to change its role with 503.

Faults in addition to those of all stand-ins:
  full: reservations and prefills are refused as if no memory were free.
  leaving: reservations and prefills are refused, and the engine reports that
    it is leaving.
  stall_transfers: an import waits until its attempt is released.
  refuse_fencing: the next n orders are refused as if their tokens were stale.
  load_lag_s: age of the reported load, in seconds.
  cache_events_lag: number of newest cache events that are withheld.

`GET /seen` returns the requests received, `GET /stats` the work done in tokens.
"""

from __future__ import annotations

import argparse
import collections
import threading
from collections.abc import Iterator
from typing import Any

from standins import tokens
from standins.attempts import Attempt, AttemptTable
from standins.faults import Faults
from standins.load import LoadHistory, Orders, make_boot_id
from standins.messages import Request, Response, json_response
from standins.prefill import Prefiller, fetch_cache
from standins.server import serve

_COMPLETIONS = ("/v1/completions", "/v1/chat/completions")
_RECEIVED_LIMIT = 10_000


class Engine:
    """The HTTP interface of one engine."""

    def __init__(self, options: argparse.Namespace, faults: Faults) -> None:
        self.options = options
        self.faults = faults
        self.boot_id = make_boot_id()
        self.role = options.pool
        self.orders = Orders(faults, self._apply_order)
        self.attempts = AttemptTable(
            options.pieces if options.pool == "decode" else 0,
            options.token_gap_ms / 1000,
        )
        self.prefiller = Prefiller(
            options.prefill_tokens_per_s, options.cache_life_s
        )
        self._lock = threading.Lock()
        self._received: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=_RECEIVED_LIMIT
        )
        self._refused = 0
        self._loads = LoadHistory(faults, self._measure_load)

    def handle(self, request: Request) -> Response | None:
        """Handles one request."""
        method, path = request.method, request.path
        first_segment = path.strip("/").split("/")[0]
        if path == "/seen":
            with self._lock:
                return json_response(200, {"requests": list(self._received)})
        if path == "/stats":
            return json_response(200, self._stats())
        if path == "/health":
            return json_response(
                200,
                {
                    "boot": self.boot_id,
                    "state": self._health_state(),
                    "role": self.role,
                },
            )
        if path == "/load":
            return json_response(200, self._loads.get_report())
        if path == "/orders":
            return self.orders.handle(request.json())
        if first_segment == "caches":
            data = self.prefiller.export(path.removeprefix("/caches/"))
            if data is None:
                return json_response(404, {})
            return Response(200, data, "application/octet-stream")
        if first_segment == "cache_events":
            return self._handle_cache_events(request)
        if first_segment == "attempts":
            return self._handle_attempts(request)
        if method == "POST":
            return self._handle_post(request)
        return json_response(404, {})

    def _handle_post(self, request: Request) -> Response | None:
        with self._lock:
            self._received.append(
                {
                    "path": request.path,
                    "headers": request.headers,
                    "body": request.json(),
                }
            )
        if request.path == "/reservations":
            return self._handle_reservation(request.json())
        if request.path == "/prefill":
            return self._handle_prefill(request.json())
        if request.path == "/imports":
            return self._handle_import(request.json())
        if request.path in _COMPLETIONS:
            return self._handle_completion(request)
        return json_response(404, {})

    def _refuse(self, status: int, reason: str) -> Response:
        with self._lock:
            self._refused += 1
        return json_response(status, {"outcome": "not_run", "reason": reason})

    def _handle_reservation(self, message: dict[str, Any]) -> Response:
        if self.faults.get("leaving"):
            return self._refuse(503, "leaving")
        name, pieces = str(message["attempt"]), int(message["pieces"])
        if self.faults.get("full") or not self.attempts.reserve(name, pieces):
            return self._refuse(409, "full")
        self._loads.record()
        return json_response(201, {"attempt": name, "pieces": pieces})

    def _handle_prefill(self, message: dict[str, Any]) -> Response:
        for fault, status in (("leaving", 503), ("full", 429)):
            if self.faults.get(fault):
                return self._refuse(status, fault)
        if self.role != "prefill":
            return self._refuse(503, "wrong_role")
        self._expire_caches()
        attempt = self.attempts.add_prefill(str(message["attempt"]))
        self._loads.record()
        result = self.prefiller.run(
            attempt.name,
            message["body"],
            lambda: self.attempts.is_current(attempt),
        )
        attempt.running = False
        self._loads.record()
        if result is None:
            return json_response(410, {"reason": "cancelled"})
        return json_response(200, result)

    def _handle_import(self, message: dict[str, Any]) -> Response:
        attempt = self.attempts.get(str(message["attempt"]))
        if attempt is None:
            return self._refuse(409, "no_reservation")
        self.faults.wait_while(
            lambda: (
                bool(self.faults.get("stall_transfers"))
                and self.attempts.is_current(attempt)
            )
        )
        if not self.attempts.is_current(attempt):
            return json_response(404, {"reason": "cancelled"})
        try:
            prompt = fetch_cache(str(message["source"]), str(message["cache"]))
        except OSError:
            return json_response(502, {"reason": "source_unreachable"})
        if prompt is None or not self.attempts.is_current(attempt):
            return json_response(404, {"reason": "expired"})
        attempt.imported = prompt
        return json_response(200, {})

    def _handle_completion(self, request: Request) -> Response:
        attempt = self.attempts.get(
            request.headers.get("burdockspan-attempt", "")
        )
        if attempt is None or attempt.imported is None:
            return self._refuse(409, "no_cache")
        # The output depends on the imported KV cache, not on the prompt of the
        # request body, so a wrong cache shows in the output.
        body = {**request.json(), "prompt": attempt.imported}
        chat = request.path.endswith("chat/completions")
        if not self.attempts.start(attempt, body, chat):
            return json_response(409, {"reason": "already_started"})
        self._loads.record()
        if body.get("stream"):
            return self._stream(attempt, 0)
        # Waits until all tokens have been generated.
        collections.deque(self.attempts.due_tokens(attempt, 0), maxlen=0)
        self._loads.record()
        if not self.attempts.is_current(attempt):
            return json_response(410, {"reason": "cancelled"})
        return json_response(
            200, tokens.make_completion(chat, attempt.name, body)
        )

    def _stream(self, attempt: Attempt, first_index: int) -> Response:
        return Response(
            200, self._stream_events(attempt, first_index), "text/event-stream"
        )

    def _stream_events(
        self, attempt: Attempt, first_index: int
    ) -> Iterator[bytes]:
        complete = False
        try:
            for index in self.attempts.due_tokens(attempt, first_index):
                yield tokens.make_token_event(
                    attempt.chat, attempt.name, attempt.body, index
                )
            if not self.attempts.is_current(attempt):
                # Closes the connection without the end of the stream.
                raise ConnectionAbortedError
            self._loads.record()
            yield b"data: [DONE]\n\n"
            complete = True
        finally:
            if not complete and self.options.frees_on_disconnect:
                self._release(attempt.name)

    def _handle_attempts(self, request: Request) -> Response:
        parts = request.path.strip("/").split("/")
        if len(parts) == 1:
            self._expire_caches()
            attempts = self.attempts.as_json()
            return json_response(
                200, {"boot": self.boot_id, "attempts": attempts}
            )
        if request.method == "DELETE":
            self._release(parts[1])
            return json_response(200, {})
        attempt = self.attempts.get(parts[1])
        if attempt is None or attempt.started_s is None:
            return json_response(404, {})
        return self._stream(attempt, int(request.query.get("after", -1)) + 1)

    def _apply_order(self, order: dict[str, Any]) -> bool:
        role = order.get("role", self.role)
        if role != self.role:
            self._expire_caches()
            if self.attempts.as_json():
                return False
            self.role = role
            pieces = self.options.pieces if role == "decode" else 0
            self.attempts.pieces = pieces
            self._loads.record()
        return True

    def _expire_caches(self) -> None:
        for name in self.prefiller.remove_expired():
            self.attempts.release(name)

    def _release(self, name: str) -> None:
        self.attempts.release(name)
        self.prefiller.remove_caches(name)
        self._loads.record()

    def _health_state(self) -> str:
        return "leaving" if self.faults.get("leaving") else "live"

    def _measure_load(self) -> dict[str, Any]:
        running = self.attempts.count_running()
        is_serial = self.role == "prefill"
        return {
            "boot": self.boot_id,
            "state": self._health_state(),
            "pieces": self.attempts.pieces,
            "free_pieces": self.attempts.free_pieces(),
            "running": min(running, 1) if is_serial else running,
            "waiting": max(running - 1, 0) if is_serial else 0,
        }

    def _handle_cache_events(self, request: Request) -> Response:
        recorded = self.prefiller.list_events(
            int(request.query.get("after", "0"))
        )
        lag = int(self.faults.get("cache_events_lag") or 0)
        newest = recorded["last"] - lag
        events = [e for e in recorded["events"] if e["sequence"] <= newest]
        body = {"boot": self.boot_id, "last": newest, "events": events}
        return json_response(200, body)

    def _stats(self) -> dict[str, Any]:
        return {
            "name": self.options.name,
            **self.prefiller.stats(),
            "generated_tokens": self.attempts.generated_tokens,
            "refused": self._refused,
            "orders": self.orders.accepted,
        }


def main() -> None:
    """Runs the stand-in until it is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--pool", choices=("prefill", "decode"), required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--pieces", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--token-gap-ms", type=float, default=5.0)
    parser.add_argument("--prefill-tokens-per-s", type=float, default=200_000.0)
    parser.add_argument("--cache-life-s", type=float, default=0.8)
    parser.add_argument("--frees-on-disconnect", action="store_true")
    options = parser.parse_args()
    faults = Faults(options.seed)
    engine = Engine(options, faults)
    serve(options.port, engine.handle, faults, frozenset({"/seen", "/stats"}))


if __name__ == "__main__":
    main()
