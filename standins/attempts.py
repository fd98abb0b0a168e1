"""Attempts and decode memory of the engine stand-in."""

from __future__ import annotations

import dataclasses
import threading
import time
from collections.abc import Iterator
from typing import Any

from standins import tokens

_LONGEST_SLEEP_S = 0.05


@dataclasses.dataclass
class Attempt:
    """One attempt known to the engine.

    Attributes:
      name: attempt identity.
      pieces: decode memory that it holds.
      running: whether it is prefilling or generating.
      imported: prompt of the KV cache that has arrived; None before.
      chat: whether it answers a chat completion.
      body: body of the completion.
      started_s: when it started to generate, monotonic.
    """

    name: str
    pieces: int
    running: bool = False
    imported: str | None = None
    chat: bool = False
    body: dict[str, Any] = dataclasses.field(default_factory=dict)
    started_s: float | None = None


class AttemptTable:
    """Attempts by name; memory is held until an attempt is freed."""

    def __init__(self, pieces: int, token_gap_s: float) -> None:
        self.pieces = pieces
        self._token_gap_s = token_gap_s
        self._lock = threading.RLock()
        self._by_name: dict[str, Attempt] = {}
        self.generated_tokens = 0

    def reserve(self, name: str, pieces: int) -> bool:
        """Holds memory for an attempt; False when there is too little."""
        with self._lock:
            held = self._by_name.get(name)
            if pieces > self.free_pieces() + (held.pieces if held else 0):
                return False
            self._by_name[name] = Attempt(name, pieces)
            return True

    def add_prefill(self, name: str) -> Attempt:
        """Adds a running attempt that holds no decode memory."""
        attempt = Attempt(name, 0, running=True)
        with self._lock:
            self._by_name[name] = attempt
        return attempt

    def get(self, name: str) -> Attempt | None:
        """Returns an attempt, None when it is not held."""
        with self._lock:
            return self._by_name.get(name)

    def free(self, name: str) -> None:
        """Forgets an attempt and frees its memory."""
        with self._lock:
            self._by_name.pop(name, None)

    def is_current(self, attempt: Attempt) -> bool:
        """Returns whether the attempt has not been freed."""
        return self.get(attempt.name) is attempt

    def start(self, attempt: Attempt, body: dict[str, Any], chat: bool) -> bool:
        """Starts to generate; False when it has started before."""
        with self._lock:
            if attempt.started_s is not None:
                return False
            attempt.started_s = time.monotonic()
            attempt.body = body
            attempt.running = True
            attempt.chat = chat
            return True

    def due(self, attempt: Attempt, first: int) -> Iterator[int]:
        """Yields token indexes as they become due, until it is freed."""
        started_s = attempt.started_s or 0.0
        for index in range(first, tokens.wanted_tokens(attempt.body)):
            due_s = started_s + (index + 1) * self._token_gap_s
            while self.is_current(attempt):
                left_s = due_s - time.monotonic()
                if left_s <= 0:
                    break
                time.sleep(min(left_s, _LONGEST_SLEEP_S))
            if not self.is_current(attempt):
                return
            with self._lock:
                self.generated_tokens += 1
            yield index
        attempt.running = False

    def free_pieces(self) -> int:
        """Returns the decode memory that no attempt holds."""
        with self._lock:
            held = sum(attempt.pieces for attempt in self._by_name.values())
            return self.pieces - held

    def count_running(self) -> int:
        """Returns the attempts that prefill or generate."""
        with self._lock:
            return sum(a.running for a in self._by_name.values())

    def as_json(self) -> list[dict[str, Any]]:
        """Returns the attempts as `GET /attempts` lists them."""
        with self._lock:
            return [
                {"attempt": attempt.name, "pieces": attempt.pieces}
                for attempt in self._by_name.values()
            ]


__all__ = ["Attempt", "AttemptTable"]
