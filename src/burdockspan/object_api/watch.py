"""One merged long-poll watch for several kinds of objects."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable

from result import Err, Result

from burdockspan.object_api.objects import PlatformError, WatchBatch, WatchEvent
from burdockspan.object_api.retries import Backoff, RandomFloat, backoff_delay_s

# Spreads the watchers of a fleet after an outage, while a configuration still
# arrives within 6 s.
WATCH_BACKOFF = Backoff(0.1, 4.0)
# Bounds the calls of one watcher when changes follow each other closely.
_LEAST_INTERVAL_S = 0.05
# A silent connection is noticed at the end of a poll, which has to leave time
# for a configuration to arrive within 6 s. Two watchers in each of 7 zones then
# make 5 calls/s.
_POLL_S = 3.0


@dataclasses.dataclass(frozen=True)
class WatchState:
    """Position of a watch: version seen, and failures in a row."""

    after: int = 0
    failures: int = 0


@dataclasses.dataclass(frozen=True)
class WatchStep:
    """What follows from one watch call.

    Attributes:
      state: the new position.
      events: events not seen before, by ascending version.
      delay_s: time before the next call.
    """

    state: WatchState
    events: tuple[WatchEvent, ...]
    delay_s: float


@dataclasses.dataclass(frozen=True)
class Watch:
    """A running watch.

    Attributes:
      start: starts the thread.
      stop: ends it; a waiting call may last until its time limit.
      state: returns the position.
    """

    start: Callable[[], None]
    stop: Callable[[], None]
    state: Callable[[], WatchState]


def advance(
    state: WatchState,
    outcome: Result[WatchBatch, PlatformError],
    random_float: RandomFloat,
) -> WatchStep:
    """Returns what follows from one call; a version never moves back."""
    if isinstance(outcome, Err) or outcome.ok_value.version < state.after:
        failures = state.failures + 1
        pause_s = backoff_delay_s(WATCH_BACKOFF, failures, random_float)
        return WatchStep(WatchState(state.after, failures), (), pause_s)
    batch = outcome.ok_value
    fresh = [event for event in batch.events if event.version > state.after]
    fresh.sort(key=lambda event: event.version)
    after = max([batch.version, *(event.version for event in fresh)])
    return WatchStep(WatchState(after), tuple(fresh), _LEAST_INTERVAL_S)


def make_watch(
    poll: Callable[
        [tuple[str, ...], int, float], Result[WatchBatch, PlatformError]
    ],
    kinds: tuple[str, ...],
    deliver: Callable[[tuple[WatchEvent, ...]], None],
    random_float: RandomFloat,
    poll_s: float = _POLL_S,
) -> Watch:
    """Returns a watch that is not started yet.

    Args:
      poll: the client's `watch`.
      kinds: kinds to watch, merged into one call.
      deliver: receives new events, on the watch's thread.
      random_float: jitter of the backoff.
      poll_s: how long one call waits for changes.
    """
    stopping = threading.Event()
    current = [WatchState()]

    def run() -> None:
        while not stopping.is_set():
            step = advance(
                current[0], poll(kinds, current[0].after, poll_s), random_float
            )
            current[0] = step.state
            if step.events and not stopping.is_set():
                deliver(step.events)
            stopping.wait(step.delay_s)

    thread = threading.Thread(target=run, name="platform-watch", daemon=True)
    return Watch(thread.start, stopping.set, lambda: current[0])


__all__ = [
    "WATCH_BACKOFF",
    "Watch",
    "WatchState",
    "WatchStep",
    "advance",
    "make_watch",
]
