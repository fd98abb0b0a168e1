"""Orders with idempotency keys against a fleet of real processes."""

from __future__ import annotations

import hashlib
import threading
from collections.abc import Callable
from typing import Any

from standins.launcher import Fleet, Process, Response
from tests.support.fleets import AUTHORIZATION

BOOKINGS_PATH = "/services/hajz-app/bookings"
ANSWERED = "answered"
BOOKING = {"hall": 1}

# One replica that ignores fencing tokens and one that checks them.
SERVICE_OPTIONS = ((), ("--checks-fencing",))
CLAIMS_PATH = "/objects/claims"


class BackgroundBooking:
    """An order that is under way in a thread."""

    def __init__(self, send: Callable[[], Response]) -> None:
        self._outcome: list[str] = []
        self._thread = threading.Thread(target=self._run, args=(send,))
        self._thread.start()

    def wait(self) -> str:
        """Returns the word of the answer, `reset` when there was none."""
        self._thread.join(30.0)
        return self._outcome[0]

    def _run(self, send: Callable[[], Response]) -> None:
        try:
            self._outcome.append(read_outcome(send()))
        except OSError:
            self._outcome.append("reset")


def send_booking(
    entry: Process,
    key: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    path: str = BOOKINGS_PATH,
) -> Response:
    """Sends an order through an entry VM."""
    sent = {**AUTHORIZATION, "Idempotency-Key": key, **(headers or {})}
    return entry.call("POST", path, body or BOOKING, sent)


def read_outcome(response: Response) -> str:
    """Returns the outcome word of a refusal, ANSWERED for an answer."""
    if response.status == 200:
        return ANSWERED
    return str(response.json()["outcome"])


def count_runs(fleet: Fleet, key: str) -> int:
    """Returns how often the action of a key ran, at all replicas."""
    return sum(
        fleet.processes_by_name[plan.name]
        .call("GET", "/runs")
        .json()["by_key"]
        .get(key, 0)
        for plan in fleet.plan.endpoints
        if plan.pool == "service"
    )


def look_up_outcome(entry: Process, key: str) -> dict[str, Any]:
    """Returns what an entry VM says about a key."""
    response = entry.call("GET", f"/v1/outcomes/{key}", None, AUTHORIZATION)
    found: dict[str, Any] = response.json()
    return found


def set_service_faults(fleet: Fleet, **faults: object) -> None:
    """Changes the faults of all replicas of the plain service."""
    for plan in fleet.plan.endpoints:
        if plan.pool == "service":
            fleet.processes_by_name[plan.name].set_faults(**faults)


def is_claimed(fleet: Fleet, key: str) -> bool:
    """Returns whether the platform holds a claim of a key."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    path = f"{CLAIMS_PATH}/booking-site.{digest}"
    return fleet.platform.call("GET", path).status == 200


__all__ = [
    "ANSWERED",
    "CLAIMS_PATH",
    "BOOKING",
    "BOOKINGS_PATH",
    "SERVICE_OPTIONS",
    "BackgroundBooking",
    "count_runs",
    "set_service_faults",
    "is_claimed",
    "look_up_outcome",
    "read_outcome",
    "send_booking",
]
