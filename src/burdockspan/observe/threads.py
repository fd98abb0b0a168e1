"""Threads that last as long as their process.

An exception that ends such a thread would leave a process that seems to live
and no longer does a part of its work. The function of the thread runs again
instead, after a delay that grows while it fails.
"""

from __future__ import annotations

import dataclasses
import sys
import threading
import time
import traceback
from collections.abc import Callable

from absl import logging

from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry
from burdockspan.values.clock import Clock

_MIN_DELAY_S = 0.1
_MAX_DELAY_S = 5.0
# A function that has run for this time begins again with the shortest delay.
_SOUND_S = 30.0
# The end of the traceback, which names the place of the failure.
_MAX_TRACE_CHARACTERS = 2000


@dataclasses.dataclass(frozen=True)
class ThreadFailure:
    """An exception that a function of a thread raised.

    Attributes:
      thread: name of the thread.
      failures: consecutive failures, this one included.
      delay_s: time until the function runs again, in seconds; None if it does
        not.
      error: type and text of the exception.
      trace: the end of its traceback.
    """

    thread: str
    failures: int
    delay_s: float | None
    error: str
    trace: str


ReportFailure = Callable[[ThreadFailure], None]
"""Logs and counts a failure; called in the thread that failed."""


def make_failure_report(log: WriteEvent, registry: Registry) -> ReportFailure:
    """Returns a report to an event log and a counter."""

    def report(failure: ThreadFailure) -> None:
        registry.count("thread", f"failed_{failure.thread}")
        log(
            "thread failed",
            thread=failure.thread,
            failures=failure.failures,
            restart_s=failure.delay_s,
            error=failure.error,
            trace=failure.trace,
        )

    return report


def log_failure(failure: ThreadFailure) -> None:
    """Reports a failure to the process log, where there is no event log."""
    logging.error(
        "thread %s failed %d times in a row, runs again in %s s: %s",
        failure.thread,
        failure.failures,
        failure.delay_s,
        failure.trace,
    )


def run_repeatedly(
    run: Callable[[], None],
    name: str,
    stopped: threading.Event,
    report: ReportFailure = log_failure,
    clock: Clock = time.monotonic,
) -> None:
    """Runs a function until it returns, or until it fails after `stopped`.

    Args:
      run: returns when the thread has nothing more to do.
      name: name of the thread.
      stopped: set when the process ends.
      report: receives each failure.
      clock: monotonic clock, in seconds.
    """
    failures = 0
    while True:
        started_s = clock()
        try:
            run()
            return
        except Exception as error:
            if clock() - started_s >= _SOUND_S:
                failures = 0
            failures += 1
            delay_s = min(_MAX_DELAY_S, _MIN_DELAY_S * 2.0 ** min(failures, 10))
            report(
                ThreadFailure(
                    name,
                    failures,
                    delay_s,
                    f"{type(error).__name__}: {error}"[:_MAX_TRACE_CHARACTERS],
                    traceback.format_exc()[-_MAX_TRACE_CHARACTERS:],
                )
            )
        if stopped.wait(delay_s):
            return


def start_lasting_thread(
    run: Callable[[], None],
    name: str,
    stopped: threading.Event,
    report: ReportFailure = log_failure,
) -> threading.Thread:
    """Starts a thread that runs a function as `run_repeatedly` does."""
    thread = threading.Thread(
        target=lambda: run_repeatedly(run, name, stopped, report),
        name=name,
        daemon=True,
    )
    thread.start()
    return thread


def report_ended_threads(report: ReportFailure) -> None:
    """Reports exceptions that end any other thread of the process."""

    def hook(args: threading.ExceptHookArgs) -> None:
        if args.exc_type is SystemExit:
            return
        trace = "".join(
            traceback.format_exception(
                args.exc_type, args.exc_value, args.exc_traceback
            )
        )
        name = args.thread.name if args.thread else "unknown"
        # Names of threads that a library numbers would make a counter each.
        kind = name.rstrip("0123456789-")
        report(
            ThreadFailure(
                kind or "unknown",
                1,
                None,
                f"{args.exc_type.__name__}: {args.exc_value}",
                trace[-_MAX_TRACE_CHARACTERS:],
            )
        )
        sys.stderr.write(trace)

    threading.excepthook = hook


__all__ = [
    "ReportFailure",
    "ThreadFailure",
    "log_failure",
    "make_failure_report",
    "report_ended_threads",
    "run_repeatedly",
    "start_lasting_thread",
]
