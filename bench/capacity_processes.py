"""Memory and processor time of real entry processes on the loopback device."""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import threading
import time
from collections.abc import Iterator, Sequence

from bench.slopes import fit_line
from standins.launcher import FleetPlan, Process, wait_until
from tests.support.fleets import (
    AUTHORIZATION,
    MODEL,
    make_plan,
    read_status,
    running_fleet,
)

_ENTRIES = 3
# `standins.launcher` gives entry processes 64 threads; each stream needs one.
_STREAMS = (0, 15, 30, 60)
_TOKEN_GAP_MS = 63
_MAX_TOKENS = 3_000
_START_INTERVAL_S = 0.1
_SETTLE_S = 3.0
_MEASURED_S = 10.0
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def make_tables() -> Iterator[str]:
    """Yields a table of idle processes and one of a process with streams."""
    with running_fleet(_make_plan()) as fleet:
        time.sleep(_SETTLE_S)
        yield _measure_idle(fleet.entries)
        yield _measure_streams(fleet.entries[0])


def _make_plan() -> FleetPlan:
    plan = make_plan(
        entries=_ENTRIES,
        prefill=1,
        decode=1,
        services=(),
        token_gap_ms=_TOKEN_GAP_MS,
    )
    # A single decode engine has memory for all streams, which keeps the fleet
    # at 7 processes.
    return dataclasses.replace(
        plan,
        endpoints=tuple(
            dataclasses.replace(
                endpoint, options=(*endpoint.options, "--pieces", "200")
            )
            for endpoint in plan.endpoints
        ),
    )


def _measure_idle(entries: Sequence[Process]) -> str:
    before = [_read_processor_s(entry) for entry in entries]
    time.sleep(_MEASURED_S)
    after = [_read_processor_s(entry) for entry in entries]
    lines = [
        f"idle entry processes of a fleet of {len(entries)}, 2 endpoints "
        f"(over {_MEASURED_S:.0f} s; ms of processor time per second, "
        "resident MB)"
    ]
    for entry, old_s, new_s in zip(entries, before, after, strict=True):
        ms_per_s = (new_s - old_s) / _MEASURED_S * 1000
        resident_mb = _read_resident_mb(entry)
        lines.append(f"  {entry.name} {ms_per_s:10.1f} {resident_mb:10.1f}")
    return "\n".join(lines) + "\n"


def _measure_streams(entry: Process) -> str:
    rows = []
    started = 0
    stop = threading.Event()
    for count in _STREAMS:
        for _ in range(count - started):
            threading.Thread(
                target=_stream, args=(entry, stop), daemon=True
            ).start()
            time.sleep(_START_INTERVAL_S)
        started = count
        wait_until(
            lambda count=count: _count_relaying(entry) >= count,
            f"{count} streams run",
        )
        time.sleep(_SETTLE_S)
        before_s = _read_processor_s(entry)
        time.sleep(_MEASURED_S)
        ms_per_s = (_read_processor_s(entry) - before_s) / _MEASURED_S * 1000
        rows.append((count, ms_per_s, _read_resident_mb(entry)))
    stop.set()
    lines = [
        f"streams of one entry process, {_TOKEN_GAP_MS} ms between tokens "
        "(ms of processor time per second with the relay, resident MB)"
    ]
    lines += [
        f"  {n:6d} {ms_per_s:10.1f} {mb:10.1f}" for n, ms_per_s, mb in rows
    ]
    counts = [row[0] for row in rows]
    time_line = fit_line(counts, [row[1] for row in rows])
    memory_line = fit_line(counts, [row[2] for row in rows])
    lines.append(
        f"  line: {time_line.base:.1f} ms/s + {time_line.slope:.2f} ms/s, "
        f"{memory_line.base:.1f} MB + {memory_line.slope:.3f} MB for each"
    )
    return "\n".join(lines) + "\n"


def _stream(entry: Process, stop: threading.Event) -> None:
    connection = http.client.HTTPConnection(entry.address, timeout=60)
    body = {
        "model": MODEL,
        "prompt": "A letter to the society",
        "max_tokens": _MAX_TOKENS,
        "stream": True,
    }
    # The fleet ends while streams run.
    fleet_ended = contextlib.suppress(OSError, http.client.HTTPException)
    with contextlib.closing(connection), fleet_ended:
        connection.request(
            "POST", "/v1/completions", json.dumps(body), AUTHORIZATION
        )
        response = connection.getresponse()
        while not stop.is_set() and response.read1(65_536):
            pass


def _count_relaying(entry: Process) -> int:
    return int(read_status(entry)["requests"].get("relaying", 0))


def _read_processor_s(entry: Process) -> float:
    text = pathlib.Path(f"/proc/{entry.popen.pid}/stat").read_text()
    # Fields 14 and 15 are user and system time. The process name, field 2, may
    # contain spaces, so the fields after it are split.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def _read_resident_mb(entry: Process) -> float:
    text = pathlib.Path(f"/proc/{entry.popen.pid}/status").read_text()
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise RuntimeError(f"no resident size of {entry.name}")


__all__ = ["make_tables"]
