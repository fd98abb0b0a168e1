"""Log of structured events that never blocks its callers.

Events enter a queue of limited length, and one thread writes them as lines.
Events that exceed the queue or the rate limit are dropped and counted.
"""

from __future__ import annotations

import collections
import json
import sys
import threading
from collections.abc import Callable
from typing import Any, TextIO

from burdockspan.values.clock import Clock

# A VM under peak load writes about 60 events a second. The limit is higher,
# since failures cause more events.
_EVENTS_PER_S = 400.0
_BURST_EVENTS = 1200.0
_QUEUE_LIMIT_EVENTS = 4000
_FLUSH_INTERVAL_S = 0.25


class EventLog:
    """A log that writes its events on a thread of its own."""

    def __init__(
        self, vm: str, clock: Clock, wall_clock: Clock, stream: TextIO
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._wall_clock = wall_clock
        self._stream = stream
        self._lock = threading.Lock()
        self._events: collections.deque[dict[str, Any]] = collections.deque()
        self._rate_tokens = _BURST_EVENTS
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
        """Queues an event; drops it if the queue is full or the rate too high.

        Args:
          event: name of the event.
          **fields: fields of the line beside VM, time and event.
        """
        time_s = self._wall_clock()
        with self._lock:
            if (
                not self._take_token()
                or len(self._events) >= _QUEUE_LIMIT_EVENTS
            ):
                self._dropped += 1
                return
            was_empty = not self._events
            self._events.append(
                {"time": round(time_s, 3), "event": event, **fields}
            )
        if was_empty:
            self._wake.set()

    def close(self) -> None:
        """Writes the queued events and ends the thread."""
        self._closed = True
        self._wake.set()
        self._thread.join(timeout=1.0)

    @property
    def dropped(self) -> int:
        """Events dropped since the last `lines dropped` event."""
        return self._dropped

    def _take_token(self) -> bool:
        now_s = self._clock()
        added = (now_s - self._refilled_s) * _EVENTS_PER_S
        self._rate_tokens = min(_BURST_EVENTS, self._rate_tokens + added)
        self._refilled_s = now_s
        if self._rate_tokens < 1.0:
            return False
        self._rate_tokens -= 1.0
        return True

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            closed = self._closed
            self._flush()
            if closed:
                return
            # Events that follow within this time are written together.
            threading.Event().wait(_FLUSH_INTERVAL_S)

    def _flush(self) -> None:
        with self._lock:
            events, self._events = list(self._events), collections.deque()
            dropped, self._dropped = self._dropped, 0
        if dropped:
            time_s = round(self._wall_clock(), 3)
            events.append(
                {"time": time_s, "event": "lines dropped", "count": dropped}
            )
        text = "".join(map(self._format, events))
        try:
            self._stream.write(text)
            self._stream.flush()
        except (OSError, ValueError):
            # The reader has closed the stream. The events count as dropped,
            # and the process continues.
            self._dropped += len(events)

    def _format(self, event: dict[str, Any]) -> str:
        """Returns the line of an event, without the fields that have none."""
        line = {"vm": self._vm, **event}
        try:
            return json.dumps(line, default=str) + "\n"
        except Exception as error:
            # A value of any type may be a field, and must not end the thread.
            kept = {name: line[name] for name in ("vm", "time", "event")}
            return json.dumps({**kept, "unwritten": repr(error)}) + "\n"


WriteEvent = Callable[..., None]
"""Writes an event: its name, then its fields by keyword."""


def make_event_log(
    vm: str,
    clock: Clock,
    wall_clock: Clock,
    stream: TextIO | None = None,
) -> EventLog:
    """Returns a log to a stream, by default standard output."""
    return EventLog(vm, clock, wall_clock, stream or sys.stdout)


__all__ = ["EventLog", "WriteEvent", "make_event_log"]
