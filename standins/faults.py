"""Fault injection of the stand-ins.

`POST /faults` merges a JSON object into the active faults; a value of `null`,
`false` or `0` disables a fault. `GET /faults` returns the active faults.

Faults of all stand-ins:
  crash: the process exits after the response to this request.
  crash_marker: the process exits on a request body that contains the text.
  freeze: no request is handled and no response sent while it is active.
  silent_open: like freeze, for the connections that are open at activation.
  slow_s: delay of each response, in seconds.
  lose_answers: the next n requests other than GET are applied, but their
    connections are closed without a response.
  lose_probability: like lose_answers, but for each request other than GET with
    this probability, from a seeded random source.
  truncate: the next n responses end in the middle of their body.
  late_duplicate: before each of the next n responses that are not the first
    on their connection, the previous response is sent again.
  only_path: restricts slow_s, lose_answers, lose_probability, truncate and
    late_duplicate to paths with this prefix.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from typing import Any

_POLL_INTERVAL_S = 0.02


class Faults:
    """Active faults of one stand-in process; thread-safe."""

    def __init__(self, seed: int) -> None:
        self._changed = threading.Condition()
        self._by_name: dict[str, Any] = {}
        self._random = random.Random(seed)
        self._unresponsive_ids: frozenset[int] = frozenset()

    def update(
        self, changes: dict[str, Any], open_connection_ids: set[int]
    ) -> None:
        """Merges changes; `silent_open` affects the given connections."""
        with self._changed:
            for name, value in changes.items():
                if value in (None, False, 0):
                    self._by_name.pop(name, None)
                else:
                    self._by_name[name] = value
            if "silent_open" in changes:
                is_active = bool(changes["silent_open"])
                self._unresponsive_ids = frozenset(
                    open_connection_ids if is_active else ()
                )
            self._changed.notify_all()

    def get(self, name: str) -> Any:
        """Returns the value of a fault, None if it is not active."""
        with self._changed:
            return self._by_name.get(name)

    def get_seconds(self, name: str) -> float:
        """Returns the value of a fault in seconds, 0 if it is not active."""
        return float(self.get(name) or 0.0)

    def consume(self, name: str) -> bool:
        """Uses up one count of a fault; returns whether there was one."""
        with self._changed:
            left = int(self._by_name.get(name, 0))
            if left > 1:
                self._by_name[name] = left - 1
            else:
                self._by_name.pop(name, None)
            return left > 0

    def drops_response(self) -> bool:
        """Decides whether to drop a response; uses up one `lose_answers`."""
        if self.consume("lose_answers"):
            return True
        with self._changed:
            probability = float(self._by_name.get("lose_probability", 0.0))
            return self._random.random() < probability

    def wait_while_frozen(self, connection_id: int) -> None:
        """Blocks while the process is frozen or the connection unresponsive."""
        with self._changed:
            while (
                self._by_name.get("freeze")
                or connection_id in self._unresponsive_ids
            ):
                self._changed.wait()

    def wait_while(self, active: Callable[[], bool]) -> None:
        """Blocks while `active()` is true."""
        while active():
            with self._changed:
                self._changed.wait(_POLL_INTERVAL_S)

    def as_json(self) -> dict[str, Any]:
        """Returns the active faults."""
        with self._changed:
            return dict(self._by_name)


__all__ = ["Faults"]
