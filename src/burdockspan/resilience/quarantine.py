"""Quarantine of requests that crash endpoints."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping

_CRASHES_TO_REFUSE = 2

Crash = tuple[str, str]
"""Name of an endpoint and boot identity of its process that crashed."""


class Decision(enum.Enum):
    """Decision of the quarantine on a request.

    ALLOW: the request may run.
    SINGLE: it may run, but only one copy of it at a time.
    REFUSE: it is refused.
    """

    ALLOW = "allow"
    SINGLE = "single"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True)
class CrashRecords:
    """Crash records by request fingerprint.

    Attributes:
      by_fingerprint: for each fingerprint, the expiry of each crash record in
        seconds, all on the same clock. VMs whose clocks differ pass each other
        the remaining time instead (`membership.shared`).
    """

    by_fingerprint: Mapping[str, Mapping[Crash, float]] = dataclasses.field(
        default_factory=dict
    )


def add(
    crash_records: CrashRecords,
    fingerprint: str,
    crash: Crash,
    expires_s: float,
) -> CrashRecords:
    """Returns the crash records with one more added."""
    return merge(crash_records, CrashRecords({fingerprint: {crash: expires_s}}))


def merge(crash_records: CrashRecords, other: CrashRecords) -> CrashRecords:
    """Returns the union; if a crash has two expiries, the later is kept."""
    merged = {
        fingerprint: dict(crashes)
        for fingerprint, crashes in crash_records.by_fingerprint.items()
    }
    for fingerprint, crashes in other.by_fingerprint.items():
        expiry_by_crash = merged.setdefault(fingerprint, {})
        for crash, expires_s in crashes.items():
            expiry_by_crash[crash] = max(
                expires_s, expiry_by_crash.get(crash, expires_s)
            )
    return CrashRecords(merged)


def prune(crash_records: CrashRecords, now_s: float) -> CrashRecords:
    """Returns the crash records that have not expired."""
    unexpired = {
        fingerprint: {
            crash: expires_s
            for crash, expires_s in crashes.items()
            if expires_s > now_s
        }
        for fingerprint, crashes in crash_records.by_fingerprint.items()
    }
    return CrashRecords(
        {
            fingerprint: crashes
            for fingerprint, crashes in unexpired.items()
            if crashes
        }
    )


def forget(crash_records: CrashRecords, fingerprint: str) -> CrashRecords:
    """Returns the crash records without those of a request."""
    return CrashRecords(
        {
            name: crashes
            for name, crashes in crash_records.by_fingerprint.items()
            if name != fingerprint
        }
    )


def decide(
    crash_records: CrashRecords,
    fingerprint: str,
    now_s: float,
    crashes_to_refuse: int = _CRASHES_TO_REFUSE,
) -> Decision:
    """Returns the decision on a request.

    Args:
      crash_records: crash records of all requests.
      fingerprint: fingerprint of the request.
      now_s: present time, on the clock of the expiries.
      crashes_to_refuse: number of crashes after which the request is refused.
    """
    crashes = crash_records.by_fingerprint.get(fingerprint, {})
    count = sum(expires_s > now_s for expires_s in crashes.values())
    if count >= crashes_to_refuse:
        return Decision.REFUSE
    return Decision.SINGLE if count else Decision.ALLOW


__all__ = [
    "Crash",
    "CrashRecords",
    "Decision",
    "add",
    "decide",
    "forget",
    "merge",
    "prune",
]
