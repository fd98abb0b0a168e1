"""Retries failed writes of claims in the background."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable

from absl import logging
from result import Err, Result

from burdockspan.object_api.objects import PlatformError
from burdockspan.object_api.retries import Backoff, backoff_delay_s
from burdockspan.observe.threads import run_repeatedly
from burdockspan.values.clock import Clock
from burdockspan.values.randomness import RandomFloat

WRITE_RETRY_BACKOFF = Backoff(0.2, 5.0)
WAITING_WRITES_LIMIT = 10_000
_IDLE_WAIT_S = 1.0
# With at most eight tries per second, a long queue after an outage leaves most
# of the platform's write limit to new claims.
_BATCH_SIZE = 4
_BATCH_INTERVAL_S = 0.5

Write = Callable[[], Result[None, PlatformError]]
"""Tries a write once; must be safe to repeat. CONFLICT ends the retries."""


@dataclasses.dataclass(frozen=True)
class QueuedWrite:
    """A write in the queue.

    Attributes:
      write: tries the write once.
      due_s: time of the next try, monotonic seconds.
      failures: number of failed tries.
      tries_limit: maximum number of tries; None to retry until written.
    """

    write: Write
    due_s: float
    failures: int = 0
    tries_limit: int | None = None


@dataclasses.dataclass(frozen=True)
class WriteRetryCounts:
    """Numbers of writes in each state since the process started.

    Attributes:
      waiting: writes in the queue or being tried.
      written: writes that succeeded.
      conflicts: writes that ended with CONFLICT.
      given_up: writes that reached their limit of tries.
      dropped: writes that were not queued because the queue was full.
    """

    waiting: int = 0
    written: int = 0
    conflicts: int = 0
    given_up: int = 0
    dropped: int = 0


@dataclasses.dataclass(frozen=True)
class WriteRetries:
    """A bounded queue of writes with a thread that retries them.

    Attributes:
      add: queues a write with its maximum number of tries; returns False if
        the queue is full. A claim whose write is not queued stays held, so
        other calls with its key are refused as `unknown`.
      run_due: tries up to four writes that are due; returns the seconds until
        it should be called again, None if the queue is empty.
      start: starts the thread that calls `run_due`.
      stop: ends the thread.
      counts: returns the counts.
    """

    add: Callable[[Write, int | None], bool]
    run_due: Callable[[], float | None]
    start: Callable[[], None]
    stop: Callable[[], None]
    counts: Callable[[], WriteRetryCounts]


class _Queue:
    def __init__(
        self, clock: Clock, random_float: RandomFloat, limit: int
    ) -> None:
        self._clock = clock
        self._random_float = random_float
        self._limit = limit
        self._lock = threading.Lock()
        self._writes: list[QueuedWrite] = []
        self._being_tried = 0
        self._counts = WriteRetryCounts()
        self.added = threading.Event()

    def add(self, write: Write, tries_limit: int | None) -> bool:
        with self._lock:
            if len(self._writes) + self._being_tried >= self._limit:
                self._count("dropped")
                return False
            due_s = self._clock() + backoff_delay_s(
                WRITE_RETRY_BACKOFF, 1, self._random_float
            )
            self._writes.append(QueuedWrite(write, due_s, 0, tries_limit))
        self.added.set()
        return True

    def run_due(self) -> float | None:
        now_s = self._clock()
        with self._lock:
            self._writes.sort(key=lambda queued: queued.due_s)
            due = [queued for queued in self._writes if queued.due_s <= now_s]
            del due[_BATCH_SIZE:]
            del self._writes[: len(due)]
            self._being_tried += len(due)
        for queued in due:
            self._finish(queued, _try_write(queued.write))
        with self._lock:
            if not self._writes:
                return None
            next_s = (
                min(queued.due_s for queued in self._writes) - self._clock()
            )
            return max(_BATCH_INTERVAL_S, next_s)

    def counts(self) -> WriteRetryCounts:
        with self._lock:
            waiting = len(self._writes) + self._being_tried
            return dataclasses.replace(self._counts, waiting=waiting)

    def _finish(
        self, queued: QueuedWrite, outcome: Result[None, PlatformError]
    ) -> None:
        with self._lock:
            self._being_tried -= 1
            if not isinstance(outcome, Err):
                self._count("written")
                return
            if outcome.err_value is PlatformError.CONFLICT:
                self._count("conflicts")
                return
            failures = queued.failures + 1
            if (
                queued.tries_limit is not None
                and failures >= queued.tries_limit
            ):
                self._count("given_up")
                return
            delay_s = backoff_delay_s(
                WRITE_RETRY_BACKOFF, failures + 1, self._random_float
            )
            due_s = self._clock() + delay_s
            self._writes.append(
                dataclasses.replace(queued, due_s=due_s, failures=failures)
            )

    def _count(self, name: str) -> None:
        value = getattr(self._counts, name) + 1
        self._counts = dataclasses.replace(self._counts, **{name: value})


def _try_write(write: Write) -> Result[None, PlatformError]:
    try:
        return write()
    except Exception:
        # The other writes of the queue must not be lost with this one.
        logging.exception("a retried write failed")
        return Err(PlatformError.UNCERTAIN)


def make_write_retries(
    clock: Clock, random_float: RandomFloat, limit: int = WAITING_WRITES_LIMIT
) -> WriteRetries:
    """Returns an empty queue whose thread is not started.

    Args:
      clock: monotonic seconds.
      random_float: jitter of the backoff.
      limit: maximum number of writes in the queue.
    """
    queue = _Queue(clock, random_float, limit)
    stopping = threading.Event()

    def run() -> None:
        while not stopping.is_set():
            queue.added.clear()
            next_s = queue.run_due()
            if next_s is None:
                queue.added.wait(_IDLE_WAIT_S)
            else:
                stopping.wait(min(next_s, _IDLE_WAIT_S))

    def stop() -> None:
        stopping.set()
        queue.added.set()

    thread = threading.Thread(
        target=lambda: run_repeatedly(run, "settlement", stopping),
        name="settlement",
        daemon=True,
    )
    return WriteRetries(
        queue.add, queue.run_due, thread.start, stop, queue.counts
    )


__all__ = [
    "WAITING_WRITES_LIMIT",
    "WriteRetries",
    "WriteRetryCounts",
    "Write",
    "make_write_retries",
]
