"""Prefill work, KV caches and the prefix cache of the engine stand-in."""

from __future__ import annotations

import dataclasses
import http.client
import secrets
import threading
import time
from collections.abc import Callable
from typing import Any

from standins import tokens

_CACHE_BYTES_PER_TOKEN = 16
_TRANSFER_TIMEOUT_S = 30.0
_BLOCK_TOKENS = tokens.BLOCK_CHARACTERS // 4


@dataclasses.dataclass(frozen=True)
class Cache:
    """A finished prefill that can be exported until it expires."""

    name: str
    attempt: str
    text: str
    expires_s: float


class Prefiller:
    """Runs one prefill at a time at a fixed speed."""

    def __init__(self, tokens_per_s: float, life_s: float) -> None:
        self._tokens_per_s = tokens_per_s
        self._life_s = life_s
        self._turn = threading.Lock()
        self._lock = threading.Lock()
        self._caches: dict[str, Cache] = {}
        self._blocks: set[int] = set()
        self._events: list[dict[str, Any]] = []
        self._tokens = {"done": 0, "cancelled": 0, "exported": 0}

    def run(
        self, attempt: str, body: dict[str, Any], current: Callable[[], bool]
    ) -> dict[str, Any] | None:
        """Prefills in turn; None when the attempt was cancelled."""
        text = tokens.prompt_text(body)
        blocks = tokens.block_hashes(text)
        total = tokens.count_tokens(text)
        with self._turn:
            cached = min(total, self._cached_blocks(blocks) * _BLOCK_TOKENS)
            worked_s = _work((total - cached) / self._tokens_per_s, current)
            if not current():
                self._count("cancelled", round(worked_s * self._tokens_per_s))
                return None
        self._count("done", total - cached)
        with self._lock:
            self._remember(blocks)
            name = secrets.token_hex(8)
            expires_s = time.monotonic() + self._life_s
            self._caches[name] = Cache(name, attempt, text, expires_s)
        return {
            "cache": name,
            "tokens": total,
            "cached_tokens": cached,
            "life_s": self._life_s,
        }

    def export(self, name: str) -> bytes | None:
        """Returns a cache's bytes, None once it has expired.

        They begin with the prompt, whose length is in the first line.
        """
        with self._lock:
            cache = self._caches.get(name)
        if cache is None or cache.expires_s < time.monotonic():
            return None
        count = tokens.count_tokens(cache.text)
        self._count("exported", count)
        text = cache.text.encode()
        padding = b"k" * (count * _CACHE_BYTES_PER_TOKEN)
        return b"%d\n%s%s" % (len(text), text, padding)

    def forget(self, attempt: str) -> None:
        """Drops the caches of an attempt."""
        with self._lock:
            self._caches = {
                name: cache
                for name, cache in self._caches.items()
                if cache.attempt != attempt
            }

    def expire(self) -> set[str]:
        """Drops expired caches and returns the attempts they belonged to."""
        now_s = time.monotonic()
        with self._lock:
            expired = [c for c in self._caches.values() if c.expires_s < now_s]
            for cache in expired:
                del self._caches[cache.name]
        return {cache.attempt for cache in expired}

    def events(self, after: int) -> dict[str, Any]:
        """Returns prefix cache events after a sequence number."""
        with self._lock:
            newer = [e for e in self._events if e["sequence"] > after]
            return {"last": len(self._events), "events": newer}

    def stats(self) -> dict[str, int]:
        """Returns the tokens prefilled, cancelled and exported."""
        with self._lock:
            return {
                f"prefill_{what}_tokens": count
                for what, count in self._tokens.items()
            }

    def _count(self, what: str, count: int) -> None:
        with self._lock:
            self._tokens[what] += count

    def _cached_blocks(self, blocks: list[int]) -> int:
        with self._lock:
            count = 0
            while count < len(blocks) and blocks[count] in self._blocks:
                count += 1
        return count

    def _remember(self, blocks: list[int]) -> None:
        new = [block for block in blocks if block not in self._blocks]
        if new:
            self._blocks.update(new)
            sequence = len(self._events) + 1
            self._events.append(
                {"sequence": sequence, "kind": "stored", "blocks": new}
            )


def _work(duration_s: float, current: Callable[[], bool]) -> float:
    """Works until done or cancelled; returns the seconds worked."""
    started_s = time.monotonic()
    while current():
        left_s = started_s + duration_s - time.monotonic()
        if left_s <= 0:
            return duration_s
        time.sleep(min(left_s, 0.02))
    return min(duration_s, time.monotonic() - started_s)


def fetch_cache(source: str, cache: str) -> str | None:
    """Reads a cache from the engine at `ip:port`.

    Returns:
      The prompt that the cache was made of, None if it has expired.
    """
    connection = http.client.HTTPConnection(source, timeout=_TRANSFER_TIMEOUT_S)
    try:
        connection.request("GET", f"/caches/{cache}")
        response = connection.getresponse()
        data = response.read()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()
    if response.status != 200:
        return None
    length, _, rest = data.partition(b"\n")
    return rest[: int(length)].decode()


__all__ = ["Cache", "Prefiller", "fetch_cache"]
