"""Structured lines about decisions, bounded and never blocking.

Callers put lines into a queue of bounded length; one thread writes them. Lines
that find the queue full, or exceed the rate, are dropped and counted.
"""

from __future__ import annotations

import collections
import json
import sys
import threading
from collections.abc import Callable
from typing import Any, TextIO

from burdockspan.values.clock import Clock

# A VM at its peak makes some 60 lines a second; the rest is for faults.
_LINES_PER_S = 400.0
_BURST_LINES = 1200.0
_QUEUE_LINES = 4000
_FLUSH_S = 0.25


class EventLog:
    """A log whose lines are written by its own thread."""

    def __init__(
        self, vm: str, clock: Clock, wall_clock: Clock, stream: TextIO
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._wall_clock = wall_clock
        self._stream = stream
        self._lock = threading.Lock()
        self._lines: collections.deque[dict[str, Any]] = collections.deque()
        self._tokens = _BURST_LINES
        self._refilled_s = clock()
        self._dropped = 0
        self._wake = threading.Event()
        self._closed = False
        self._thread = threading.Thread(
            target=self._run, name="decision-log", daemon=True
        )

    def start(self) -> None:
        """Starts the writing thread."""
        self._thread.start()

    def write(self, event: str, **fields: Any) -> None:
        """Queues a line; drops it if there is no room."""
        at = self._wall_clock()
        with self._lock:
            if not self._take() or len(self._lines) >= _QUEUE_LINES:
                self._dropped += 1
                return
            first = not self._lines
            self._lines.append({"time": round(at, 3), "event": event, **fields})
        if first:
            self._wake.set()

    def close(self) -> None:
        """Writes what is queued and ends the thread."""
        self._closed = True
        self._wake.set()
        self._thread.join(timeout=1.0)

    @property
    def dropped(self) -> int:
        """Lines dropped since the last line that reported them."""
        return self._dropped

    def _take(self) -> bool:
        now_s = self._clock()
        earned = (now_s - self._refilled_s) * _LINES_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + earned)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            closed = self._closed
            self._flush()
            if closed:
                return
            # Lines of a moment are written together.
            threading.Event().wait(_FLUSH_S)

    def _flush(self) -> None:
        with self._lock:
            lines, self._lines = list(self._lines), collections.deque()
            dropped, self._dropped = self._dropped, 0
        if dropped:
            at = round(self._wall_clock(), 3)
            lines.append(
                {"time": at, "event": "lines dropped", "count": dropped}
            )
        text = "".join(
            json.dumps({"vm": self._vm, **line}, default=str) + "\n"
            for line in lines
        )
        try:
            self._stream.write(text)
            self._stream.flush()
        except (OSError, ValueError):
            # Whoever read the log has gone; serving goes on without it.
            self._dropped += len(lines)


WriteEvent = Callable[..., None]
"""Writes a line: the event, then its fields by keyword."""


def make_event_log(
    vm: str,
    clock: Clock,
    wall_clock: Clock,
    stream: TextIO | None = None,
) -> EventLog:
    """Returns a log to a stream, by default standard output."""
    return EventLog(vm, clock, wall_clock, stream or sys.stdout)


__all__ = ["EventLog", "WriteEvent", "make_event_log"]
