"""Stand-in for a prefill or decode engine.

Decode memory is held from the reservation until `DELETE /attempts/<attempt>`,
also after the answer is complete, unless the process was started with
`--frees-on-disconnect` and a stream's connection is lost. Tokens become due by
time, so a paused or lost stream goes on and can be resumed. An engine that
holds attempts refuses to change its role with 503. Faults beside the
shared ones: `full`, `leaving`, `stall_transfers`, `refuse_fencing` (next n
orders), `load_lag_s`, `cache_events_lag` (newest events withheld).

`GET /seen` returns the bodies received, `GET /stats` the work done in tokens.
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
from standins.load import LoadHistory, Orders, make_boot
from standins.messages import Request, Response, json_response
from standins.prefill import Prefiller, fetch_cache
from standins.server import serve

_COMPLETIONS = ("/v1/completions", "/v1/chat/completions")
_SEEN_LIMIT = 10_000


class Engine:
    """The HTTP interface of one engine."""

    def __init__(self, options: argparse.Namespace, faults: Faults) -> None:
        self.options = options
        self.faults = faults
        self.boot = make_boot()
        self.role = options.pool
        self.orders = Orders(faults, self._apply)
        self.attempts = AttemptTable(
            options.pieces if options.pool == "decode" else 0,
            options.token_gap_ms / 1000,
        )
        self.prefiller = Prefiller(
            options.prefill_tokens_per_s, options.cache_life_s
        )
        self._lock = threading.Lock()
        self._seen: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=_SEEN_LIMIT
        )
        self._refused = 0
        self._loads = LoadHistory(faults, self._load)

    def answer(self, request: Request) -> Response | None:
        """Answers one call."""
        method, path = request.method, request.path
        first = path.strip("/").split("/")[0]
        if path == "/seen":
            with self._lock:
                return json_response(200, {"requests": list(self._seen)})
        if path == "/stats":
            return json_response(200, self._stats())
        if path == "/health":
            return json_response(
                200,
                {
                    "boot": self.boot,
                    "state": self._state(),
                    "role": self.role,
                },
            )
        if path == "/load":
            return json_response(200, self._loads.report())
        if path == "/orders":
            return self.orders.answer(request.json())
        if first == "caches":
            data = self.prefiller.export(path.removeprefix("/caches/"))
            if data is None:
                return json_response(404, {})
            return Response(200, data, "application/octet-stream")
        if first == "cache_events":
            return self._cache_events(request)
        if first == "attempts":
            return self._attempts_call(request)
        if method == "POST":
            return self._work(request)
        return json_response(404, {})

    def _work(self, request: Request) -> Response | None:
        with self._lock:
            self._seen.append(
                {
                    "path": request.path,
                    "headers": request.headers,
                    "body": request.json(),
                }
            )
        if request.path == "/reservations":
            return self._reserve(request.json())
        if request.path == "/prefill":
            return self._prefill(request.json())
        if request.path == "/imports":
            return self._import(request.json())
        if request.path in _COMPLETIONS:
            return self._complete(request)
        return json_response(404, {})

    def _refuse(self, status: int, reason: str) -> Response:
        with self._lock:
            self._refused += 1
        return json_response(status, {"outcome": "not_run", "reason": reason})

    def _reserve(self, call: dict[str, Any]) -> Response:
        if self.faults.get("leaving"):
            return self._refuse(503, "leaving")
        name, pieces = str(call["attempt"]), int(call["pieces"])
        if self.faults.get("full") or not self.attempts.reserve(name, pieces):
            return self._refuse(409, "full")
        self._loads.sample()
        return json_response(201, {"attempt": name, "pieces": pieces})

    def _prefill(self, call: dict[str, Any]) -> Response:
        for fault, status in (("leaving", 503), ("full", 429)):
            if self.faults.get(fault):
                return self._refuse(status, fault)
        if self.role != "prefill":
            return self._refuse(503, "wrong_role")
        self._expire_caches()
        attempt = self.attempts.add_prefill(str(call["attempt"]))
        self._loads.sample()
        done = self.prefiller.run(
            attempt.name,
            call["body"],
            lambda: self.attempts.is_current(attempt),
        )
        attempt.running = False
        self._loads.sample()
        if done is None:
            return json_response(410, {"reason": "cancelled"})
        return json_response(200, done)

    def _import(self, call: dict[str, Any]) -> Response:
        attempt = self.attempts.get(str(call["attempt"]))
        if attempt is None:
            return self._refuse(409, "no_reservation")
        self.faults.hold_while(
            lambda: (
                bool(self.faults.get("stall_transfers"))
                and self.attempts.is_current(attempt)
            )
        )
        if not self.attempts.is_current(attempt):
            return json_response(404, {"reason": "cancelled"})
        try:
            prompt = fetch_cache(str(call["source"]), str(call["cache"]))
        except OSError:
            return json_response(502, {"reason": "source_unreachable"})
        if prompt is None or not self.attempts.is_current(attempt):
            return json_response(404, {"reason": "expired"})
        attempt.imported = prompt
        return json_response(200, {})

    def _complete(self, request: Request) -> Response:
        attempt = self.attempts.get(
            request.headers.get("burdockspan-attempt", "")
        )
        if attempt is None or attempt.imported is None:
            return self._refuse(409, "no_cache")
        # The tokens follow from the KV cache, whatever the body says.
        body = {**request.json(), "prompt": attempt.imported}
        chat = request.path.endswith("chat/completions")
        if not self.attempts.start(attempt, body, chat):
            return json_response(409, {"reason": "already_started"})
        self._loads.sample()
        if body.get("stream"):
            return self._stream(attempt, 0)
        collections.deque(self.attempts.due(attempt, 0), maxlen=0)
        self._loads.sample()
        if not self.attempts.is_current(attempt):
            return json_response(410, {"reason": "cancelled"})
        return json_response(200, tokens.whole_answer(chat, attempt.name, body))

    def _stream(self, attempt: Attempt, first: int) -> Response:
        return Response(200, self._events(attempt, first), "text/event-stream")

    def _events(self, attempt: Attempt, first: int) -> Iterator[bytes]:
        complete = False
        try:
            for index in self.attempts.due(attempt, first):
                yield tokens.chunk_event(
                    attempt.chat, attempt.name, attempt.body, index
                )
            if not self.attempts.is_current(attempt):
                raise ConnectionAbortedError
            self._loads.sample()
            yield b"data: [DONE]\n\n"
            complete = True
        finally:
            if not complete and self.options.frees_on_disconnect:
                self._free(attempt.name)

    def _attempts_call(self, request: Request) -> Response:
        parts = request.path.strip("/").split("/")
        if len(parts) == 1:
            self._expire_caches()
            held = self.attempts.as_json()
            return json_response(200, {"boot": self.boot, "attempts": held})
        if request.method == "DELETE":
            self._free(parts[1])
            return json_response(200, {})
        attempt = self.attempts.get(parts[1])
        if attempt is None or attempt.started_s is None:
            return json_response(404, {})
        return self._stream(attempt, int(request.query.get("after", -1)) + 1)

    def _apply(self, order: dict[str, Any]) -> bool:
        role = order.get("role", self.role)
        if role != self.role:
            self._expire_caches()
            if self.attempts.as_json():
                return False
            self.role = role
            pieces = self.options.pieces if role == "decode" else 0
            self.attempts.pieces = pieces
            self._loads.sample()
        return True

    def _expire_caches(self) -> None:
        for name in self.prefiller.expire():
            self.attempts.free(name)

    def _free(self, name: str) -> None:
        self.attempts.free(name)
        self.prefiller.forget(name)
        self._loads.sample()

    def _state(self) -> str:
        return "leaving" if self.faults.get("leaving") else "live"

    def _load(self) -> dict[str, Any]:
        running = self.attempts.count_running()
        serial = self.role == "prefill"
        return {
            "boot": self.boot,
            "state": self._state(),
            "pieces": self.attempts.pieces,
            "free_pieces": self.attempts.free_pieces(),
            "running": min(running, 1) if serial else running,
            "waiting": max(running - 1, 0) if serial else 0,
        }

    def _cache_events(self, request: Request) -> Response:
        found = self.prefiller.events(int(request.query.get("after", "0")))
        withheld = int(self.faults.get("cache_events_lag") or 0)
        newest = found["last"] - withheld
        events = [e for e in found["events"] if e["sequence"] <= newest]
        body = {"boot": self.boot, "last": newest, "events": events}
        return json_response(200, body)

    def _stats(self) -> dict[str, Any]:
        return {
            "name": self.options.name,
            **self.prefiller.stats(),
            "generated_tokens": self.attempts.generated_tokens,
            "refused": self._refused,
            "orders": self.orders.taken,
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
    serve(options.port, engine.answer, faults, frozenset({"/seen", "/stats"}))


if __name__ == "__main__":
    main()
