"""Times of other callers while a third of the endpoints never end an answer.

Run with `python -m bench.endless_answers`. It starts a gateway process and six
endpoints, sends the same load undisturbed and with two endpoints that answer
each request with bytes without end, and prints what the callers got.
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import http.client
import itertools
import pathlib
import re
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator

from burdockspan.platform import headers
from standins.object_store import ObjectStore
from standins.scripted_endpoint import (
    CHUNKED_HEAD,
    Received,
    Script,
    ScriptedEndpoint,
    Step,
    respond,
)
from tests.support.gateways import HOST, make_document, make_route, wait_for

_ENDPOINTS = 6
_ENDLESS_ENDPOINTS = 2
_ROUTE_TIME_S = 2.0
# Time for the gateway's refusal to reach a caller.
_TOLERANCE_S = 0.5
_WARM_UP_S = 1.0
_SERVICE_TIME_S = 0.02
_PAUSE_S = 0.02
_OK_HEAD = f"HTTP/1.1 200 OK\r\n{headers.RESPONSE_STAMP}: s\r\n".encode()
# What precedes bytes without end, and the bytes.
_ENDLESS = (
    (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    (_OK_HEAD + b"X-Slow: ", b"x"),
    (b"", b"\x00"),
    (CHUNKED_HEAD, b"0"),
    (CHUNKED_HEAD + b"0\r\n", b"A: b\r\n"),
)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a caller got.

    Attributes:
      endpoint: endpoint that answered; empty if none did.
      status: HTTP status; 0 without an answer by the route's time.
      taken_s: time until the end of the answer.
    """

    endpoint: str
    status: int
    taken_s: float


def main() -> None:
    """Runs both loads and prints their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=30.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--threads", type=int, default=64)
    parser.add_argument("--kind", choices=("safe", "unsafe"), default="safe")
    options = parser.parse_args()
    sys.stdout.write(
        f"{options.rate:g} {options.kind} requests/s for {options.seconds:g} s,"
        f" route of {_ROUTE_TIME_S:g} s, {options.threads} threads\n"
        f"{'load':<13}{'requests':>9}{'sound':>7}{'p50 ms':>8}{'p99 ms':>8}"
        f"{'refused':>9}{'no answer':>11}{'peak MB':>9}\n"
    )
    for name in ("undisturbed", "endless"):
        sys.stdout.write(_run(name, options))
        sys.stdout.flush()


def _run(name: str, options: argparse.Namespace) -> str:
    disturbed, over = threading.Event(), threading.Event()
    store = ObjectStore()
    endpoints = [
        ScriptedEndpoint(f"i-{number}", _make_script(number, disturbed, over))
        for number in range(_ENDPOINTS)
    ]
    for endpoint in endpoints:
        entry = endpoint.as_store_entry("app", "zone-a")
        store.put("servers", endpoint.id, entry)
    route = make_route(
        "load",
        kind=options.kind,
        timeout_ms=int(_ROUTE_TIME_S * 1000),
        max_attempts=2 if options.kind == "safe" else 1,
    )
    store.put("config", "main", make_document(routes=[route]))
    with tempfile.TemporaryDirectory() as folder:
        process, port = _start(pathlib.Path(folder), store, options.threads)
        try:
            wait_for(lambda: _call(port, 0).status == 200)
            _send_load(port, options.rate, _WARM_UP_S)
            if name == "endless":
                disturbed.set()
            outcomes = _send_load(port, options.rate, options.seconds)
            peak_mb = _read_peak_mb(process.pid)
        finally:
            over.set()
            process.kill()
            process.wait()
            for endpoint in endpoints:
                endpoint.close()
            store.close()
    return _format(name, outcomes, peak_mb)


def _make_script(
    number: int, disturbed: threading.Event, over: threading.Event
) -> Script:
    endless = itertools.cycle(_ENDLESS)

    def script(received: Received) -> Iterator[Step]:
        if number >= _ENDLESS_ENDPOINTS or not disturbed.is_set():
            if received.target != "/health":
                over.wait(_SERVICE_TIME_S)
            yield from respond(
                200,
                b"done",
                {headers.RESPONSE_STAMP: "s", "Served-By": str(number)},
            )
            return
        first, part = next(endless)
        yield first
        while not over.wait(_PAUSE_S):
            yield part

    return script


def _start(
    folder: pathlib.Path, store: ObjectStore, threads: int
) -> tuple[subprocess.Popen[bytes], int]:
    """Starts a gateway and returns its process and the callers' port."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
    caller_port, ready_port = (item.getsockname()[1] for item in sockets)
    for item in sockets:
        item.close()
    settings = folder / "settings.yaml"
    settings.write_text(
        "vm: vm-1\navailability_zone: zone-a\n"
        f"caller_address: 127.0.0.1:{caller_port}\n"
        f"ready_address: 127.0.0.1:{ready_port}\n"
        f"store_address: {store.address}\nthreads: {threads}\n"
    )
    with (folder / "log").open("w") as log:
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "burdockspan",
                "gateway",
                "--settings",
                str(settings),
            ],
            stdout=log,
            stderr=log,
        )
    return process, caller_port


def _send_load(port: int, rate: float, seconds: float) -> list[Outcome]:
    """Sends requests at a rate, whether earlier ones have ended or not."""
    outcomes: list[Outcome] = []
    timer = threading.Event()
    threads = []
    started_s = time.monotonic()
    for number in range(int(rate * seconds)):
        timer.wait(max(0.0, started_s + number / rate - time.monotonic()))
        thread = threading.Thread(
            target=lambda number=number: outcomes.append(_call(port, number))
        )
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()
    return outcomes


def _call(port: int, number: int) -> Outcome:
    limit_s = _ROUTE_TIME_S + _TOLERANCE_S
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=limit_s)
    headers = {
        "Host": HOST,
        "Request-Id": f"r{time.monotonic_ns()}-{number}",
        "Deadline-Ms": str(int(_ROUTE_TIME_S * 1000)),
    }
    started_s = time.monotonic()
    try:
        connection.request("POST", "/load/x", b"1", headers)
        response = connection.getresponse()
        response.read()
    except (OSError, http.client.HTTPException):
        return Outcome("", 0, time.monotonic() - started_s)
    finally:
        connection.close()
    taken_s = time.monotonic() - started_s
    endpoint = response.headers.get("Served-By", "")
    return Outcome(endpoint, response.status, taken_s)


def _read_peak_mb(pid: int) -> float:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    match = re.search(r"VmHWM:\s+(\d+) kB", status)
    return int(match[1]) / 1024 if match else 0.0


def _format(name: str, outcomes: list[Outcome], peak_mb: float) -> str:
    sound = [item.taken_s * 1000 for item in outcomes if item.endpoint]
    counts = collections.Counter(
        "no answer" if item.status == 0 else "refused"
        for item in outcomes
        if not item.endpoint
    )
    p50, p99 = statistics.median(sound), statistics.quantiles(sound, n=100)[98]
    shares = [counts[key] / len(outcomes) for key in ("refused", "no answer")]
    return (
        f"{name:<13}{len(outcomes):>9}{len(sound):>7}{p50:>8.0f}{p99:>8.0f}"
        f"{shares[0]:>9.1%}{shares[1]:>11.1%}{peak_mb:>9.0f}\n"
    )


if __name__ == "__main__":
    main()
