"""Faults that a stand-in injects on request.

`POST /faults` merges a JSON object into the current faults; a value of `null`,
`false` or `0` switches a fault off again. `GET /faults` returns them.

Shared by all stand-ins:
  crash: the process exits after this call's answer.
  crash_marker: the process exits when a body that contains the text arrives.
  freeze: nothing is read, answered or streamed until it is switched off.
  silent_open: the same, for connections open when it is switched on.
  slow_s: seconds before each answer.
  lose_answers: the next n calls other than GET are applied and not answered.
  lose_probability: the same, with a seeded probability for each call.
  truncate: the next n answers end in the middle of their body.
  late_duplicate: before the next n answers that are not the first of their
    connection, the connection's previous answer is sent again.
  only_path: the faults from slow_s on only apply to paths with this prefix.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from typing import Any


class Faults:
    """Current faults of one stand-in process, safe for all its threads."""

    def __init__(self, seed: int) -> None:
        self._changed = threading.Condition()
        self._by_name: dict[str, Any] = {}
        self._draw = random.Random(seed)
        self._silent: frozenset[int] = frozenset()

    def change(self, changes: dict[str, Any], connections: set[int]) -> None:
        """Merges changes; `connections` are those open at this moment."""
        with self._changed:
            for name, value in changes.items():
                if value in (None, False, 0):
                    self._by_name.pop(name, None)
                else:
                    self._by_name[name] = value
            if "silent_open" in changes:
                silent = bool(changes["silent_open"])
                self._silent = frozenset(connections if silent else ())
            self._changed.notify_all()

    def get(self, name: str) -> Any:
        """Returns the value of a fault, None when it is off."""
        with self._changed:
            return self._by_name.get(name)

    def seconds(self, name: str) -> float:
        """Returns a fault's value as seconds, 0 when it is off."""
        return float(self.get(name) or 0.0)

    def spend(self, name: str) -> bool:
        """Returns whether a counted fault applies, and counts it down."""
        with self._changed:
            left = int(self._by_name.get(name, 0))
            if left > 1:
                self._by_name[name] = left - 1
            else:
                self._by_name.pop(name, None)
            return left > 0

    def loses_answer(self) -> bool:
        """Returns whether the answer of an applied write is dropped."""
        if self.spend("lose_answers"):
            return True
        with self._changed:
            probability = float(self._by_name.get("lose_probability", 0.0))
            return self._draw.random() < probability

    def hold(self, connection: int) -> None:
        """Blocks while the process is frozen or the connection silent."""
        with self._changed:
            while self._by_name.get("freeze") or connection in self._silent:
                self._changed.wait()

    def hold_while(self, active: Callable[[], bool]) -> None:
        """Blocks while `active()` holds; checked on every fault change."""
        while active():
            with self._changed:
                self._changed.wait(0.02)

    def as_json(self) -> dict[str, Any]:
        """Returns the faults that are on."""
        with self._changed:
            return dict(self._by_name)


__all__ = ["Faults"]
