"""Long-poll watch for changes of objects of several kinds."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable

from result import Err, Result

from burdockspan.object_api.objects import PlatformError, WatchBatch, WatchEvent
from burdockspan.object_api.retries import Backoff, backoff_delay_s
from burdockspan.observe.threads import run_repeatedly
from burdockspan.values.randomness import RandomFloat

# The longest delay of 4 s spreads the calls of all watchers after an outage,
# and still lets a new configuration arrive within 6 s.
WATCH_BACKOFF = Backoff(0.1, 4.0)
# Limits the calls of one watcher when changes follow each other closely.
_MIN_INTERVAL_S = 0.05
# A connection that fails during a poll is only detected at the end of the poll.
# Polls are short, so that a new configuration still arrives within 6 s. With
# polls of 3 s, two watchers in each of 7 zones make 5 calls/s.
_POLL_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True)
class WatchState:
    """Position of a watch.

    Attributes:
      after: last version received.
      failures: consecutive failures.
      era: era of the store in which that version was given out; None before
        the first response that names one.
    """

    after: int = 0
    failures: int = 0
    era: int | None = None


@dataclasses.dataclass(frozen=True)
class WatchStep:
    """Result of one watch call.

    Attributes:
      state: the new state of the watch.
      events: events newer than the previous state, by ascending version.
      delay_s: time before the next call.
    """

    state: WatchState
    events: tuple[WatchEvent, ...]
    delay_s: float


@dataclasses.dataclass(frozen=True)
class Watch:
    """A running watch.

    Attributes:
      start: starts the thread of the watch.
      stop: ends the thread, after the call in progress has returned.
      state: returns the state of the watch.
    """

    start: Callable[[], None]
    stop: Callable[[], None]
    state: Callable[[], WatchState]


def advance(
    state: WatchState,
    outcome: Result[WatchBatch, PlatformError],
    random_float: RandomFloat,
    era: int | None = None,
) -> WatchStep:
    """Returns the result of one watch call.

    The version never goes back within an era of the store. In a new era the
    watch begins again, since versions are given out again.

    Args:
      state: the state before the call.
      outcome: response of the platform.
      random_float: jitter of the backoff.
      era: latest known era of the store.
    """
    if era is None:
        era = state.era
    if state.era is not None and era != state.era:
        return WatchStep(WatchState(era=era), (), _MIN_INTERVAL_S)
    if isinstance(outcome, Err) or outcome.ok_value.version < state.after:
        failures = state.failures + 1
        delay_s = backoff_delay_s(WATCH_BACKOFF, failures, random_float)
        return WatchStep(WatchState(state.after, failures, era), (), delay_s)
    batch = outcome.ok_value
    new_events = [
        event for event in batch.events if event.version > state.after
    ]
    new_events.sort(key=lambda event: event.version)
    after = max([batch.version, *(event.version for event in new_events)])
    return WatchStep(
        WatchState(after, 0, era), tuple(new_events), _MIN_INTERVAL_S
    )


def make_watch(
    poll: Callable[
        [tuple[str, ...], int, float], Result[WatchBatch, PlatformError]
    ],
    kinds: tuple[str, ...],
    deliver: Callable[[tuple[WatchEvent, ...]], None],
    random_float: RandomFloat,
    poll_s: float = _POLL_TIMEOUT_S,
    latest_era: Callable[[], int | None] = lambda: None,
) -> Watch:
    """Returns a watch that is not started yet.

    Args:
      poll: the `watch` function of the client.
      kinds: kinds of objects to watch; one call covers all of them.
      deliver: called with new events, on the thread of the watch.
      random_float: jitter of the backoff.
      poll_s: how long one call waits for changes.
      latest_era: returns the latest known era of the store.
    """
    stopping = threading.Event()
    current = [WatchState()]

    def run() -> None:
        while not stopping.is_set():
            outcome = poll(kinds, current[0].after, poll_s)
            step = advance(current[0], outcome, random_float, latest_era())
            current[0] = step.state
            if step.events and not stopping.is_set():
                deliver(step.events)
            stopping.wait(step.delay_s)

    thread = threading.Thread(
        target=lambda: run_repeatedly(run, "platform-watch", stopping),
        name="platform-watch",
        daemon=True,
    )
    return Watch(thread.start, stopping.set, lambda: current[0])


__all__ = [
    "WATCH_BACKOFF",
    "Watch",
    "WatchState",
    "WatchStep",
    "advance",
    "make_watch",
]
