"""Runs an entry process from its start to its graceful stop."""

from __future__ import annotations

import signal
import threading
import time

from result import Err

from burdockspan.node import messages, queries
from burdockspan.node.assembly import EntryProcess, make_entry_process
from burdockspan.observe.logs import configure_logs, log_change, log_fault
from burdockspan.observe.threads import (
    log_failure,
    report_ended_threads,
    start_lasting_thread,
)
from burdockspan.settings import Settings

_TICK_INTERVAL_S = 0.05
# Time for running calls to end after SIGTERM. Streams can be long.
_STOP_TIMEOUT_S = 3600.0
# Time for ticks to disseminate the departure, and then for the node to stop.
_LEAVE_WAIT_S = 1.0
_OK = 0
_FAILED = 1


def run_entry(settings: Settings) -> int:
    """Runs an entry process until SIGTERM or SIGINT.

    A signal starts a graceful stop: new calls are refused, running calls may
    end, and the other entry VMs are informed.

    Returns:
      The exit code of the process.
    """
    configure_logs()
    result = make_entry_process(settings)
    if isinstance(result, Err):
        log_fault("entry process cannot start", problem=result.err_value)
        return _FAILED
    entry = result.ok_value
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    stopped = threading.Event()
    report_ended_threads(log_failure)
    _start(entry, stopped)
    log_change(
        "started", vm=settings.vm, caller_address=entry.caller_server.address
    )
    stop.wait()
    log_change("stopping", vm=settings.vm)
    _drain(entry)
    stopped.set()
    _close(entry)
    log_change("stopped", vm=settings.vm)
    return _OK


def _start(entry: EntryProcess, stopped: threading.Event) -> None:
    entry.write_retries.start()
    entry.platform_reader.start()
    for server in (entry.caller_server, entry.admin_server):
        start_lasting_thread(server.run, "http-server", stopped)
    start_lasting_thread(lambda: _tick(entry, stopped), "ticker", stopped)


def _tick(entry: EntryProcess, stopped: threading.Event) -> None:
    clock = entry.context.clock
    next_s = clock()
    while not stopped.is_set() and entry.node_handle.tell(messages.Tick()):
        # Missed ticks are not repeated, since each tick uses the current time.
        next_s = max(next_s + _TICK_INTERVAL_S, clock())
        stopped.wait(next_s - clock())


def _drain(entry: EntryProcess) -> None:
    """Refuses new calls, lets running ones end and announces the departure.

    Also waits for the retries of claim writes, in all at most _STOP_TIMEOUT_S.
    """
    entry.node_handle.read(queries.begin_stop, True)
    end_s = time.monotonic() + _STOP_TIMEOUT_S
    while time.monotonic() < end_s and not _is_idle(entry):
        time.sleep(_TICK_INTERVAL_S)
    while time.monotonic() < end_s and entry.write_retries.counts().waiting:
        time.sleep(_TICK_INTERVAL_S)
    entry.node_handle.tell(messages.AnnounceLeave())
    # Ticks disseminate the departure by gossip before the socket closes.
    time.sleep(_LEAVE_WAIT_S)


def _is_idle(entry: EntryProcess) -> bool:
    handling_calls = entry.caller_server.busy()
    return not handling_calls and entry.node_handle.read(queries.is_idle, True)


def _close(entry: EntryProcess) -> None:
    entry.caller_server.stop()
    entry.admin_server.stop()
    entry.platform_reader.stop()
    entry.write_retries.stop()
    entry.peer_server.close()
    entry.transport.close()
    entry.node_handle.stop(_LEAVE_WAIT_S)
    entry.effect_runner.close()
    entry.traces.close()
    entry.metrics.close()


__all__ = ["run_entry"]
