"""Puts one unreadable entry beside those of the replicas, then a final fault.

All processes are killed and started again, as at the end of a day. Without the
entry the fleet recovers.
"""

from __future__ import annotations

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import (
    ZONES,
    Case,
    Replica,
    is_troubled,
    make_configuration,
    make_route,
    run_case,
)

SERVICE = "hajz-app"
# `recovery_s` of raqs-booking.
RECOVERY_S = 12.0
# Processes are started again after a short delay.
RESTART_DELAY_S = 0.5


def make_foreign_entry() -> dict[str, object]:
    """Returns an entry of another writer: its `slots` is no number of slots.

    It is valid JSON, an integer of 401 digits, which no integer or float type
    of the usual sizes holds.
    """
    return {
        "service": SERVICE,
        "address": "127.0.0.1:9",
        "zone": ZONES[0],
        "version": "v1",
        "slots": 10**400,
        "state": "ready",
        "cold_remaining_ms": 0,
        "seq": 1,
    }


def serve_for(case: Case, duration_s: float) -> list[int]:
    """Sends requests to all gateways in turn; returns the statuses."""
    end_s = time.monotonic() + duration_s
    statuses = []
    while time.monotonic() < end_s:
        for gateway in case.gateways:
            statuses.append(case.send(gateway, "GET", "/lookup/hall").status)
            time.sleep(0.1)
    return statuses


def check(case: Case) -> bool:
    """Returns whether the fleet does not recover from the final fault."""
    case.store.put(
        "config", "main", make_configuration(1, [make_route("lookup")])
    )
    for number, zone in enumerate(ZONES):
        replica = Replica(f"i-{number}", case.record)
        case.store.put("servers", replica.id, replica.make_entry(SERVICE, zone))
    case.start()
    statuses = serve_for(case, 3.0)
    if is_troubled():
        case.store.put("servers", "i-foreign", make_foreign_entry())
        case.record.write("an entry of another writer is in the store")
    statuses += serve_for(case, 4.0)
    for gateway in case.gateways:
        gateway.kill()
    case.record.write("final fault: all processes are killed")
    time.sleep(RESTART_DELAY_S)
    for gateway in case.gateways:
        gateway.start()
    case.record.write("all processes are started again")
    time.sleep(RECOVERY_S)
    ready = [gateway.is_ready() for gateway in case.gateways]
    case.record.write(f"ready after recovery_s: {ready}")
    later_statuses = serve_for(case, 8.0)
    before = statuses.count(200) / len(statuses)
    after = later_statuses.count(200) / len(later_statuses)
    case.record.write(
        f"served before the final fault: {statuses.count(200)} of "
        f"{len(statuses)}; later than recovery_s after it: "
        f"{later_statuses.count(200)} of {len(later_statuses)}"
    )
    return before >= 0.25 and after < 0.25


if __name__ == "__main__":
    sys.exit(run_case(__file__, 3, check))
