"""Attempts and KV memory of the engine stand-in."""

from __future__ import annotations

import dataclasses
import threading
import time
from collections.abc import Iterator
from typing import Any

from standins import tokens

_CANCEL_CHECK_INTERVAL_S = 0.05


@dataclasses.dataclass
class Attempt:
    """One attempt known to the engine.

    Attributes:
      name: attempt ID.
      pieces: reserved KV memory, in pieces.
      running: whether prefill or decode is in progress.
      imported: prompt of the imported KV cache; None before the import.
      chat: whether the request is a chat completion.
      body: request body of the completion.
      started_s: start of decoding, in monotonic seconds; None before it.
    """

    name: str
    pieces: int
    running: bool = False
    imported: str | None = None
    chat: bool = False
    body: dict[str, Any] = dataclasses.field(default_factory=dict)
    started_s: float | None = None


class AttemptTable:
    """The attempts of an engine and the KV memory that they reserve.

    Attributes:
      pieces: KV memory of the engine, reserved or free, in pieces.
      generated_tokens: number of output tokens of all attempts so far.
    """

    def __init__(self, pieces: int, token_gap_s: float) -> None:
        self.pieces = pieces
        self._token_gap_s = token_gap_s
        self._lock = threading.RLock()
        self._by_name: dict[str, Attempt] = {}
        self.generated_tokens = 0

    def reserve(self, name: str, pieces: int) -> bool:
        """Reserves memory in place of any earlier reservation of the attempt.

        Returns:
          False if too little memory is free; the earlier reservation stays.
        """
        with self._lock:
            attempt = self._by_name.get(name)
            if pieces > self.free_pieces() + (attempt.pieces if attempt else 0):
                return False
            self._by_name[name] = Attempt(name, pieces)
            return True

    def add_prefill(self, name: str) -> Attempt:
        """Adds a running attempt without reserved memory."""
        attempt = Attempt(name, 0, running=True)
        with self._lock:
            self._by_name[name] = attempt
        return attempt

    def get(self, name: str) -> Attempt | None:
        """Returns an attempt, None if it is unknown."""
        with self._lock:
            return self._by_name.get(name)

    def release(self, name: str) -> None:
        """Removes an attempt and releases its memory."""
        with self._lock:
            self._by_name.pop(name, None)

    def is_current(self, attempt: Attempt) -> bool:
        """Returns whether the attempt has not been released or replaced."""
        return self.get(attempt.name) is attempt

    def start(self, attempt: Attempt, body: dict[str, Any], chat: bool) -> bool:
        """Starts decoding; returns False if it was already started."""
        with self._lock:
            if attempt.started_s is not None:
                return False
            attempt.started_s = time.monotonic()
            attempt.body = body
            attempt.running = True
            attempt.chat = chat
            return True

    def due_tokens(self, attempt: Attempt, first_index: int) -> Iterator[int]:
        """Yields the index of each output token when the token is due.

        Ends early when the attempt is released or replaced.
        """
        started_s = attempt.started_s or 0.0
        for index in range(first_index, tokens.requested_tokens(attempt.body)):
            due_s = started_s + (index + 1) * self._token_gap_s
            while self.is_current(attempt):
                left_s = due_s - time.monotonic()
                if left_s <= 0:
                    break
                time.sleep(min(left_s, _CANCEL_CHECK_INTERVAL_S))
            if not self.is_current(attempt):
                return
            with self._lock:
                self.generated_tokens += 1
            yield index
        attempt.running = False

    def free_pieces(self) -> int:
        """Returns the memory that is not reserved, in pieces."""
        with self._lock:
            reserved = sum(attempt.pieces for attempt in self._by_name.values())
            return self.pieces - reserved

    def count_running(self) -> int:
        """Returns the number of attempts in prefill or decode."""
        with self._lock:
            return sum(a.running for a in self._by_name.values())

    def as_json(self) -> list[dict[str, Any]]:
        """Returns the attempts in the form of `GET /attempts`."""
        with self._lock:
            return [
                {"attempt": attempt.name, "pieces": attempt.pieces}
                for attempt in self._by_name.values()
            ]


__all__ = ["Attempt", "AttemptTable"]
