"""Prefills, exported KV caches and prefix cache of the engine stand-in."""

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
_CANCEL_CHECK_INTERVAL_S = 0.02
_BLOCK_TOKENS = tokens.BLOCK_CHARACTERS // 4


@dataclasses.dataclass(frozen=True)
class Cache:
    """The KV cache of a finished prefill, exportable until it expires."""

    name: str
    attempt: str
    prompt: str
    expires_s: float


class Prefiller:
    """Runs one prefill at a time, at a fixed number of tokens per second."""

    def __init__(self, tokens_per_s: float, cache_life_s: float) -> None:
        self._tokens_per_s = tokens_per_s
        self._cache_life_s = cache_life_s
        self._prefill_lock = threading.Lock()
        self._lock = threading.Lock()
        self._caches: dict[str, Cache] = {}
        self._stored_blocks: set[int] = set()
        self._events: list[dict[str, Any]] = []
        self._tokens_by_outcome = {"done": 0, "cancelled": 0, "exported": 0}

    def run(
        self, attempt: str, body: dict[str, Any], is_current: Callable[[], bool]
    ) -> dict[str, Any] | None:
        """Prefills after all earlier prefills have ended.

        Args:
          attempt: attempt ID.
          body: request body of the completion.
          is_current: returns whether the attempt has not been cancelled.

        Returns:
          The JSON body of the response, None if the attempt was cancelled.
        """
        prompt = tokens.prompt_text(body)
        blocks = tokens.block_hashes(prompt)
        total = tokens.count_tokens(prompt)
        with self._prefill_lock:
            cached = min(
                total, self._count_cached_blocks(blocks) * _BLOCK_TOKENS
            )
            elapsed_s = _wait_for_prefill(
                (total - cached) / self._tokens_per_s, is_current
            )
            if not is_current():
                self._add_tokens(
                    "cancelled", round(elapsed_s * self._tokens_per_s)
                )
                return None
        self._add_tokens("done", total - cached)
        with self._lock:
            self._store_blocks(blocks)
            name = secrets.token_hex(8)
            expires_s = time.monotonic() + self._cache_life_s
            self._caches[name] = Cache(name, attempt, prompt, expires_s)
        return {
            "cache": name,
            "tokens": total,
            "cached_tokens": cached,
            "life_s": self._cache_life_s,
        }

    def export(self, name: str) -> bytes | None:
        """Returns the bytes of a cache, None if it has expired.

        The first line is the length of the prompt in bytes. The prompt follows,
        then padding in proportion to its tokens.
        """
        with self._lock:
            cache = self._caches.get(name)
        if cache is None or cache.expires_s < time.monotonic():
            return None
        count = tokens.count_tokens(cache.prompt)
        self._add_tokens("exported", count)
        prompt = cache.prompt.encode()
        padding = b"k" * (count * _CACHE_BYTES_PER_TOKEN)
        return b"%d\n%s%s" % (len(prompt), prompt, padding)

    def remove_caches(self, attempt: str) -> None:
        """Removes the caches of an attempt."""
        with self._lock:
            self._caches = {
                name: cache
                for name, cache in self._caches.items()
                if cache.attempt != attempt
            }

    def remove_expired(self) -> set[str]:
        """Removes expired caches; returns their attempts."""
        now_s = time.monotonic()
        with self._lock:
            expired = [c for c in self._caches.values() if c.expires_s < now_s]
            for cache in expired:
                del self._caches[cache.name]
        return {cache.attempt for cache in expired}

    def list_events(self, after: int) -> dict[str, Any]:
        """Returns the prefix cache events after a sequence number."""
        with self._lock:
            newer = [e for e in self._events if e["sequence"] > after]
            return {"last": len(self._events), "events": newer}

    def stats(self) -> dict[str, int]:
        """Returns the tokens of finished, cancelled and exported prefills."""
        with self._lock:
            return {
                f"prefill_{outcome}_tokens": count
                for outcome, count in self._tokens_by_outcome.items()
            }

    def _add_tokens(self, outcome: str, count: int) -> None:
        with self._lock:
            self._tokens_by_outcome[outcome] += count

    def _count_cached_blocks(self, blocks: list[int]) -> int:
        with self._lock:
            count = 0
            while count < len(blocks) and blocks[count] in self._stored_blocks:
                count += 1
        return count

    def _store_blocks(self, blocks: list[int]) -> None:
        new_blocks = [
            block for block in blocks if block not in self._stored_blocks
        ]
        if new_blocks:
            self._stored_blocks.update(new_blocks)
            sequence = len(self._events) + 1
            self._events.append(
                {"sequence": sequence, "kind": "stored", "blocks": new_blocks}
            )


def _wait_for_prefill(
    duration_s: float, is_current: Callable[[], bool]
) -> float:
    """Waits for the duration or a cancellation; returns the time waited."""
    started_s = time.monotonic()
    while is_current():
        left_s = started_s + duration_s - time.monotonic()
        if left_s <= 0:
            return duration_s
        time.sleep(min(left_s, _CANCEL_CHECK_INTERVAL_S))
    return min(duration_s, time.monotonic() - started_s)


def fetch_cache(source: str, cache: str) -> str | None:
    """Fetches a cache from the engine at `ip:port`.

    Returns:
      The prompt of the cache, None if the cache has expired.
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
