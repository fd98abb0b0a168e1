"""Runs a fleet on loopback and shows how burdockspan handles a few requests.

Usage: python3 scripts/demo.py [--keep] [--skip-build]

Builds dist/burdockspan; starts stand-ins for the platform, two prefill and two
decode engines, a plain service and a collector, and four entry processes;
accepts the configuration of examples/atlas.yaml on the command line; then sends
a streamed completion, a completion without streaming, and the same booking
through two entry processes. Prints the responses and the trace of one request.
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
from typing import Any

_ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(_ROOT))

from standins import launcher  # noqa: E402
from standins.launcher import EndpointPlan, Fleet, FleetPlan, Process  # noqa: E402

_BINARY = _ROOT / "dist" / "burdockspan"
_QUESTIONNAIRE = _ROOT / "examples" / "atlas.yaml"
_MODEL_SERVICE = "qalam-models"
_PLAIN_SERVICE = "hajz-app"
_ZONES = ("fes-a", "meknes-b", "tanger-c")
_AUTHORIZATION = {"Authorization": "Bearer demo-token"}
_TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736"
_TRACEPARENT = f"00-{_TRACE_ID}-00f067aa0ba902b7-01"
_EXPORT_TIMEOUT_S = 20.0


def main() -> int:
    """Runs the demo; returns the exit code."""
    parser = argparse.ArgumentParser(description="Runs a fleet on loopback.")
    parser.add_argument(
        "--keep",
        action="store_true",
        help="keep the fleet running until it is stopped",
    )
    parser.add_argument(
        "--skip-build",
        action="store_true",
        help="use the existing dist/burdockspan",
    )
    options = parser.parse_args()
    if not options.skip_build:
        build = _ROOT / "scripts" / "build.py"
        subprocess.run([sys.executable, str(build)], check=True)
    with launcher.run_fleet(_make_plan()) as fleet:
        _accept_configuration(fleet.platform)
        fleet.wait_until_ready()
        _wait_until_usable(fleet)
        _show_calls(fleet)
        _show_trace(fleet)
        if options.keep:
            _wait_for_signal(fleet)
        _stop_entries(fleet)
    print("\nall processes have stopped")
    return 0


def _make_plan() -> FleetPlan:
    engine_options = ("--token-gap-ms", "20")
    # The collector stand-in decodes OTLP with a package of the build.
    python_path = str(_ROOT / "build" / "zipapp")
    return FleetPlan(
        endpoints=(
            EndpointPlan("prefill-1", _MODEL_SERVICE, "prefill", _ZONES[0]),
            EndpointPlan("prefill-2", _MODEL_SERVICE, "prefill", _ZONES[1]),
            EndpointPlan(
                "decode-1", _MODEL_SERVICE, "decode", _ZONES[0], engine_options
            ),
            EndpointPlan(
                "decode-2", _MODEL_SERVICE, "decode", _ZONES[1], engine_options
            ),
            EndpointPlan("hajz-1", _PLAIN_SERVICE, "service", _ZONES[2]),
        ),
        zone_by_entry_name={
            "entry-1": _ZONES[0],
            "entry-2": _ZONES[0],
            "entry-3": _ZONES[1],
            "entry-4": _ZONES[2],
        },
        command=(sys.executable, str(_BINARY)),
        region="maghreb-north",
        trace_ratio=0.01,
        environment={**os.environ, "PYTHONPATH": python_path},
    )


def _accept_configuration(platform: Process) -> None:
    command = [
        sys.executable,
        str(_BINARY),
        *("config", "accept", str(_QUESTIONNAIRE), "--base", "0"),
        *("--operator", "amal", "--platform", f"http://{platform.address}"),
    ]
    completed = subprocess.run(
        command, check=True, capture_output=True, text=True
    )
    print("\n$ burdockspan config accept examples/atlas.yaml --base 0 ...")
    print(completed.stdout.splitlines()[0])


def _wait_until_usable(fleet: Fleet) -> None:
    def all_usable() -> bool:
        for entry in fleet.entries:
            status = launcher.call(
                entry.admin_address, "GET", "/admin/status"
            ).json()
            usable = [row for row in status["endpoints"] if row["usable"]]
            if len(usable) < len(fleet.plan.endpoints):
                return False
        return True

    launcher.wait_until(all_usable, "all endpoints are usable")


def _show_calls(fleet: Fleet) -> None:
    first, second, third, fourth = fleet.entries
    completion = {"model": "qalam-large", "prompt": "A letter to the society"}
    trace_headers = {**_AUTHORIZATION, "traceparent": _TRACEPARENT}
    streamed = first.call(
        "POST",
        "/v1/completions",
        {**completion, "max_tokens": 6, "stream": True},
        trace_headers,
    )
    print(f"\nstreamed completion through {first.name}: {streamed.status}")
    print(streamed.body.decode().strip())
    whole = second.call(
        "POST",
        "/v1/completions",
        {**completion, "max_tokens": 6},
        _AUTHORIZATION,
    )
    print(f"\nwhole completion through {second.name}: {whole.status}")
    print(json.dumps(whole.json(), indent=1))
    booking_headers = {**_AUTHORIZATION, "Idempotency-Key": "booking-2026-0001"}
    for entry in (third, fourth):
        booking = entry.call(
            "POST",
            "/services/hajz-app/bookings",
            {"hall": "Batha"},
            booking_headers,
        )
        replayed = booking.headers.get("idempotency-replayed", "false")
        print(
            f"\norder through {entry.name}: {booking.status}, "
            f"replayed: {replayed}\n{booking.body.decode()}"
        )
    runs = fleet.processes_by_name["hajz-1"].call("GET", "/runs").json()
    print(f"\nruns at the service by key: {runs['by_key']}")
    outcome = first.call(
        "GET", "/v1/outcomes/booking-2026-0001", None, _AUTHORIZATION
    ).json()
    print(f"lookup through {first.name}: {outcome['outcome']}")


def _show_trace(fleet: Fleet) -> None:
    spans: list[dict[str, Any]] = []

    def is_exported() -> bool:
        exported = fleet.collector.call("GET", "/traces").json()["spans"]
        spans[:] = [span for span in exported if span["traceId"] == _TRACE_ID]
        return any(span["name"] == "relay" for span in spans)

    launcher.wait_until(
        is_exported, "the trace has been exported", _EXPORT_TIMEOUT_S
    )
    print("\ntrace of the streamed completion:")
    trace_start_ns = min(int(span["startTimeUnixNano"]) for span in spans)
    for span in sorted(spans, key=lambda span: span["startTimeUnixNano"]):
        start_ns = int(span["startTimeUnixNano"])
        duration_ms = (int(span["endTimeUnixNano"]) - start_ns) / 1e6
        start_ms = (start_ns - trace_start_ns) / 1e6
        endpoint = _find_attribute(span, "endpoint")
        name = span["name"]
        print(f"  {start_ms:8.1f} ms  {duration_ms:8.1f} ms  {name} {endpoint}")


def _find_attribute(span: dict[str, Any], name: str) -> str:
    for attribute in span.get("attributes", ()):
        if attribute["key"] == name:
            return str(attribute["value"].get("stringValue", ""))
    return ""


def _wait_for_signal(fleet: Fleet) -> None:
    print("\nrunning; Ctrl-C or SIGTERM stops it")
    print(f"  platform http://{fleet.platform.address}")
    for entry in fleet.entries:
        print(
            f"  {entry.name} http://{entry.address} admin {entry.admin_address}"
        )
    stop = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stop.set())
    stop.wait()


def _stop_entries(fleet: Fleet) -> None:
    for entry in fleet.entries:
        entry.signal(signal.SIGTERM)
    for entry in fleet.entries:
        code = entry.popen.wait(timeout=30)
        print(f"{entry.name} stopped with exit code {code}")


if __name__ == "__main__":
    sys.exit(main())
