"""Prefill work, KV caches and the prefix cache of the engine stand-in."""

from __future__ import annotations

import dataclasses
import secrets
import threading
import time
from collections.abc import Callable
from typing import Any

from standins import tokens

_CACHE_BYTES_PER_TOKEN = 16
_BLOCK_TOKENS = tokens.BLOCK_CHARACTERS // 4


@dataclasses.dataclass(frozen=True)
class Cache:
    """A finished prefill that can be exported until it expires."""

    name: str
    attempt: str
    tokens: int
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
        self.done_tokens = 0

    def run(
        self, attempt: str, body: dict[str, Any], current: Callable[[], bool]
    ) -> dict[str, Any] | None:
        """Prefills in turn; None when the attempt was cancelled."""
        text = tokens.prompt_text(body)
        blocks = tokens.block_hashes(text)
        total = tokens.count_tokens(text)
        with self._turn:
            cached = min(total, self._cached_blocks(blocks) * _BLOCK_TOKENS)
            if not _work((total - cached) / self._tokens_per_s, current):
                return None
        with self._lock:
            self.done_tokens += total - cached
            self._remember(blocks)
            name = secrets.token_hex(8)
            expires_s = time.monotonic() + self._life_s
            self._caches[name] = Cache(name, attempt, total, expires_s)
        return {
            "cache": name,
            "tokens": total,
            "cached_tokens": cached,
            "life_s": self._life_s,
        }

    def export(self, name: str) -> bytes | None:
        """Returns a cache's bytes, None once it has expired."""
        with self._lock:
            cache = self._caches.get(name)
        if cache is None or cache.expires_s < time.monotonic():
            return None
        return b"k" * (cache.tokens * _CACHE_BYTES_PER_TOKEN)

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


def _work(duration_s: float, current: Callable[[], bool]) -> bool:
    end_s = time.monotonic() + duration_s
    while current():
        left_s = end_s - time.monotonic()
        if left_s <= 0:
            return True
        time.sleep(min(left_s, 0.02))
    return False


__all__ = ["Cache", "Prefiller"]
