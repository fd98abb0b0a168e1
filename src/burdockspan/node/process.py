"""Runs an entry process from its start to its graceful stop."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable

from result import Err

from burdockspan.node import messages, queries
from burdockspan.node.assembly import EntryProcess, make_entry_process
from burdockspan.observe.logs import configure_logs, log_change, log_fault
from burdockspan.settings import Settings

_TICK_S = 0.05
# Running calls get this long to end after SIGTERM; a stream may be long.
_STOP_LIMIT_S = 3600.0
_LEAVE_WAIT_S = 1.0
_OK = 0
_FAILED = 1


def run_entry(settings: Settings) -> int:
    """Runs an entry process until SIGTERM or SIGINT.

    A signal starts a graceful stop: new calls are refused, running calls end,
    and the other entry VMs are told.

    Returns:
      The exit code of the process.
    """
    configure_logs()
    made = make_entry_process(settings)
    if isinstance(made, Err):
        log_fault("entry process cannot start", problem=made.err_value)
        return _FAILED
    parts = made.ok_value
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    stopped = threading.Event()
    _start(parts, stopped)
    log_change(
        "started", vm=settings.vm, caller_address=parts.caller_server.address
    )
    stop.wait()
    log_change("stopping", vm=settings.vm)
    _drain(parts)
    stopped.set()
    _close(parts)
    log_change("stopped", vm=settings.vm)
    return _OK


def _start(parts: EntryProcess, stopped: threading.Event) -> None:
    parts.write_retries.start()
    parts.platform_reader.start()
    for server in (parts.caller_server, parts.admin_server):
        _start_thread(server.run, "http-server")
    _start_thread(lambda: _tick(parts, stopped), "ticker")


def _tick(parts: EntryProcess, stopped: threading.Event) -> None:
    clock = parts.context.clock
    next_s = clock()
    while not stopped.is_set() and parts.node_handle.tell(messages.Tick()):
        # A late tick is not made up for, since each tick sees the real time.
        next_s = max(next_s + _TICK_S, clock())
        stopped.wait(next_s - clock())


def _drain(parts: EntryProcess) -> None:
    """Refuses new calls and waits until the running ones have ended."""
    parts.node_handle.read(queries.begin_stop, True)
    end_s = time.monotonic() + _STOP_LIMIT_S
    while time.monotonic() < end_s and not _is_idle(parts):
        time.sleep(_TICK_S)
    while time.monotonic() < end_s and parts.write_retries.counts().waiting:
        time.sleep(_TICK_S)
    parts.node_handle.tell(messages.Leave())
    # Ticks spread the departure by gossip before the socket closes.
    time.sleep(_LEAVE_WAIT_S)


def _is_idle(parts: EntryProcess) -> bool:
    answering = parts.caller_server.busy()
    return not answering and parts.node_handle.read(queries.is_idle, True)


def _close(parts: EntryProcess) -> None:
    parts.caller_server.stop()
    parts.admin_server.stop()
    parts.platform_reader.stop()
    parts.write_retries.stop()
    parts.peer_server.close()
    parts.transport.close()
    parts.node_handle.stop(_LEAVE_WAIT_S)
    parts.effect_runner.close()
    parts.traces.close()
    parts.metrics.close()


def _start_thread(run: Callable[[], None], name: str) -> None:
    threading.Thread(target=run, name=name, daemon=True).start()


__all__ = ["run_entry"]
