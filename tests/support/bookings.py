"""Bookings: non-idempotent requests with idempotency keys."""

from __future__ import annotations

import hashlib
import threading
from collections.abc import Callable
from typing import Any

from standins.launcher import Fleet, Process, Response
from tests.support.fleets import AUTHORIZATION

BOOKINGS_PATH = "/services/hajz-app/bookings"
ANSWERED = "answered"
BOOKING_BODY = {"hall": 1}

# One endpoint that ignores fencing tokens and one that checks them.
SERVICE_OPTIONS = ((), ("--checks-fencing",))
CLAIMS_PATH = "/objects/claims"


class BackgroundBooking:
    """A booking sent by a thread that waits for the response."""

    def __init__(self, send: Callable[[], Response]) -> None:
        self._outcomes: list[str] = []
        self._thread = threading.Thread(target=self._run, args=(send,))
        self._thread.start()

    def wait(self) -> str:
        """Returns what `read_outcome` returns, `reset` without a response."""
        self._thread.join(30.0)
        return self._outcomes[0]

    def _run(self, send: Callable[[], Response]) -> None:
        try:
            self._outcomes.append(read_outcome(send()))
        except OSError:
            self._outcomes.append("reset")


def send_booking(
    entry: Process,
    key: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    path: str = BOOKINGS_PATH,
) -> Response:
    """Sends a booking through an entry VM."""
    request_headers = {
        **AUTHORIZATION,
        "Idempotency-Key": key,
        **(headers or {}),
    }
    return entry.call("POST", path, body or BOOKING_BODY, request_headers)


def read_outcome(response: Response) -> str:
    """Returns ANSWERED for status 200, else the `outcome` of the refusal."""
    if response.status == 200:
        return ANSWERED
    return str(response.json()["outcome"])


def count_runs(fleet: Fleet, key: str) -> int:
    """Returns how often the booking of a key ran, over all endpoints."""
    return sum(
        fleet.processes_by_name[plan.name]
        .call("GET", "/runs")
        .json()["by_key"]
        .get(key, 0)
        for plan in fleet.plan.endpoints
        if plan.pool == "service"
    )


def look_up_outcome(entry: Process, key: str) -> dict[str, Any]:
    """Returns the response of an entry VM to the lookup of a key."""
    response = entry.call("GET", f"/v1/outcomes/{key}", None, AUTHORIZATION)
    outcome: dict[str, Any] = response.json()
    return outcome


def set_service_faults(fleet: Fleet, **faults: object) -> None:
    """Changes the faults of all endpoints of the plain service."""
    for plan in fleet.plan.endpoints:
        if plan.pool == "service":
            fleet.processes_by_name[plan.name].set_faults(**faults)


def is_claimed(fleet: Fleet, key: str) -> bool:
    """Returns whether the platform has stored a claim of a key."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    path = f"{CLAIMS_PATH}/booking-site.{digest}"
    return fleet.platform.call("GET", path).status == 200


__all__ = [
    "ANSWERED",
    "CLAIMS_PATH",
    "BOOKING_BODY",
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
