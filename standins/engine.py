"""Stand-in for a prefill or decode engine.

Decode memory is held from the reservation until `DELETE /attempts/<attempt>`,
also after the answer is complete, unless the process was started with
`--frees-on-disconnect` and a stream's connection is lost. Tokens become due by
time, so a paused or lost stream goes on and can be resumed. Faults beside the
shared ones: `full`, `leaving`, `stall_transfers`, `refuse_fencing`,
`load_lag_s`, `cache_events_lag` (newest events withheld).
"""

from __future__ import annotations

import argparse
import dataclasses
import http.client
import threading
import time
from collections.abc import Iterator
from typing import Any

from standins import tokens
from standins.faults import Faults
from standins.load import LoadHistory, Orders, make_boot
from standins.prefill import Prefiller
from standins.server import Answer, Exchange, json_answer, serve

_COMPLETIONS = ("/v1/completions", "/v1/chat/completions")
_TRANSFER_TIMEOUT_S = 30.0


@dataclasses.dataclass
class Attempt:
    """One attempt known to the engine."""

    name: str
    pieces: int
    running: bool = False
    imported: bool = False
    chat: bool = False
    body: dict[str, Any] = dataclasses.field(default_factory=dict)
    started_s: float | None = None


class Engine:
    """The HTTP interface of one engine."""

    def __init__(self, options: argparse.Namespace, faults: Faults) -> None:
        self.options = options
        self.faults = faults
        self.boot = make_boot()
        self.orders = Orders(faults)
        self.prefiller = Prefiller(
            options.prefill_tokens_per_s, options.cache_life_s
        )
        self._lock = threading.RLock()
        self._attempts: dict[str, Attempt] = {}
        self._seen: list[dict[str, Any]] = []
        self._refused = 0
        self._loads = LoadHistory(faults, self._load)

    def answer(self, exchange: Exchange) -> Answer | None:
        """Answers one call."""
        method, path = exchange.method, exchange.path
        first = path.strip("/").split("/")[0]
        if path == "/seen":
            with self._lock:
                return json_answer(200, {"requests": self._seen})
        if path == "/stats":
            return json_answer(200, self._stats())
        if path == "/health":
            return json_answer(200, {"boot": self.boot, "state": self._state()})
        if path == "/load":
            return json_answer(200, self._loads.report())
        if path == "/orders":
            return self.orders.answer(exchange.json())
        if first == "caches":
            data = self.prefiller.export(path.removeprefix("/caches/"))
            if data is None:
                return json_answer(404, {})
            return Answer(200, data, "application/octet-stream")
        if first == "cache_events":
            return self._cache_events(exchange)
        if first == "attempts":
            return self._attempts_call(exchange)
        if method == "POST":
            return self._work(exchange)
        return json_answer(404, {})

    def _work(self, exchange: Exchange) -> Answer | None:
        with self._lock:
            self._seen.append(
                {
                    "path": exchange.path,
                    "headers": exchange.headers,
                    "body": exchange.json(),
                }
            )
        if exchange.path == "/reservations":
            return self._reserve(exchange.json())
        if exchange.path == "/prefill":
            return self._prefill(exchange.json())
        if exchange.path == "/imports":
            return self._import(exchange.json())
        if exchange.path in _COMPLETIONS:
            return self._complete(exchange)
        return json_answer(404, {})

    def _refuse(self, status: int, reason: str) -> Answer:
        with self._lock:
            self._refused += 1
        return json_answer(status, {"outcome": "not_run", "reason": reason})

    def _reserve(self, call: dict[str, Any]) -> Answer:
        if self.faults.get("leaving"):
            return self._refuse(503, "leaving")
        name, pieces = str(call["attempt"]), int(call["pieces"])
        with self._lock:
            held = self._attempts.get(name)
            free = self._free_pieces() + (held.pieces if held else 0)
            if self.faults.get("full") or pieces > free:
                return self._refuse(409, "full")
            self._attempts[name] = Attempt(name, pieces)
        self._loads.sample()
        return json_answer(201, {"attempt": name, "pieces": pieces})

    def _prefill(self, call: dict[str, Any]) -> Answer:
        for fault, status in (("leaving", 503), ("full", 429)):
            if self.faults.get(fault):
                return self._refuse(status, fault)
        name = str(call["attempt"])
        attempt = Attempt(name, 0, running=True)
        with self._lock:
            self._attempts[name] = attempt
        self._loads.sample()
        done = self.prefiller.run(
            name, call["body"], lambda: self._is_current(attempt)
        )
        attempt.running = False
        self._loads.sample()
        if done is None:
            return json_answer(410, {"reason": "cancelled"})
        return json_answer(200, done)

    def _import(self, call: dict[str, Any]) -> Answer:
        with self._lock:
            attempt = self._attempts.get(str(call["attempt"]))
        if attempt is None:
            return self._refuse(409, "no_reservation")
        self.faults.hold_while(
            lambda: (
                bool(self.faults.get("stall_transfers"))
                and self._is_current(attempt)
            )
        )
        try:
            status = _fetch(str(call["source"]), str(call["cache"]))
        except OSError:
            return json_answer(502, {"reason": "source_unreachable"})
        if status != 200 or not self._is_current(attempt):
            return json_answer(404, {"reason": "expired"})
        attempt.imported = True
        return json_answer(200, {})

    def _complete(self, exchange: Exchange) -> Answer:
        name = exchange.headers.get("burdockspan-attempt", "")
        body = exchange.json()
        with self._lock:
            attempt = self._attempts.get(name)
            if attempt is None or not attempt.imported:
                return self._refuse(409, "no_cache")
            if attempt.started_s is not None:
                return json_answer(409, {"reason": "already_started"})
            attempt.started_s = time.monotonic()
            attempt.body = body
            attempt.running = True
            attempt.chat = exchange.path.endswith("chat/completions")
        self._loads.sample()
        if body.get("stream"):
            return self._stream(attempt, 0)
        for _ in self._due(attempt, 0):
            pass
        if not self._is_current(attempt):
            return json_answer(410, {"reason": "cancelled"})
        return json_answer(200, tokens.whole_answer(attempt.chat, name, body))

    def _stream(self, attempt: Attempt, first: int) -> Answer:
        return Answer(200, self._events(attempt, first), "text/event-stream")

    def _events(self, attempt: Attempt, first: int) -> Iterator[bytes]:
        complete = False
        try:
            for index in self._due(attempt, first):
                yield tokens.chunk_event(
                    attempt.chat, attempt.name, attempt.body, index
                )
            if not self._is_current(attempt):
                raise ConnectionAbortedError
            yield b"data: [DONE]\n\n"
            complete = True
        finally:
            if not complete and self.options.frees_on_disconnect:
                self._free(attempt.name)

    def _due(self, attempt: Attempt, first: int) -> Iterator[int]:
        """Yields token indexes as they become due, until cancelled."""
        gap_s = self.options.token_gap_ms / 1000
        started_s = attempt.started_s or 0.0
        for index in range(first, tokens.wanted_tokens(attempt.body)):
            while self._is_current(attempt):
                left_s = started_s + (index + 1) * gap_s - time.monotonic()
                if left_s <= 0:
                    break
                time.sleep(min(left_s, 0.05))
            if not self._is_current(attempt):
                return
            yield index
        attempt.running = False
        self._loads.sample()

    def _attempts_call(self, exchange: Exchange) -> Answer:
        parts = exchange.path.strip("/").split("/")
        if len(parts) == 1:
            return json_answer(200, self._attempts_json())
        if exchange.method == "DELETE":
            self._free(parts[1])
            return json_answer(200, {})
        with self._lock:
            attempt = self._attempts.get(parts[1])
        if attempt is None or attempt.started_s is None:
            return json_answer(404, {})
        return self._stream(attempt, int(exchange.query.get("after", -1)) + 1)

    def _free(self, name: str) -> None:
        with self._lock:
            self._attempts.pop(name, None)
        self.prefiller.forget(name)
        self._loads.sample()

    def _is_current(self, attempt: Attempt) -> bool:
        with self._lock:
            return self._attempts.get(attempt.name) is attempt

    def _free_pieces(self) -> int:
        held = sum(attempt.pieces for attempt in self._attempts.values())
        return int(self.options.pieces) - held

    def _state(self) -> str:
        return "leaving" if self.faults.get("leaving") else "live"

    def _load(self) -> dict[str, Any]:
        with self._lock:
            running = sum(a.running for a in self._attempts.values())
            serial = self.options.pool == "prefill"
            return {
                "boot": self.boot,
                "state": self._state(),
                "pieces": self.options.pieces if not serial else 0,
                "free_pieces": self._free_pieces() if not serial else 0,
                "running": min(running, 1) if serial else running,
                "waiting": max(running - 1, 0) if serial else 0,
            }

    def _attempts_json(self) -> dict[str, Any]:
        for name in self.prefiller.expire():
            self._free(name)
        with self._lock:
            held = [
                {"attempt": attempt.name, "pieces": attempt.pieces}
                for attempt in self._attempts.values()
            ]
        return {"boot": self.boot, "attempts": held}

    def _cache_events(self, exchange: Exchange) -> Answer:
        found = self.prefiller.events(int(exchange.query.get("after", "0")))
        withheld = int(self.faults.get("cache_events_lag") or 0)
        newest = found["last"] - withheld
        events = [e for e in found["events"] if e["sequence"] <= newest]
        body = {"boot": self.boot, "last": newest, "events": events}
        return json_answer(200, body)

    def _stats(self) -> dict[str, Any]:
        with self._lock:
            return {
                "name": self.options.name,
                "prefill_tokens": self.prefiller.done_tokens,
                "refused": self._refused,
                "orders": self.orders.taken,
            }


def _fetch(source: str, cache: str) -> int:
    connection = http.client.HTTPConnection(source, timeout=_TRANSFER_TIMEOUT_S)
    try:
        connection.request("GET", f"/caches/{cache}")
        response = connection.getresponse()
        response.read()
        return response.status
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


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
