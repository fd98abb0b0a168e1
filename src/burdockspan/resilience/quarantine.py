"""Requests that crash endpoints."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping

_CRASHES_TO_REFUSE = 2

Crash = tuple[str, str]
"""An endpoint and the boot id of its process that crashed."""


class Decision(enum.Enum):
    """How a request is treated.

    SINGLE allows one running copy at a time.
    """

    ALLOW = "allow"
    SINGLE = "single"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True)
class CrashRecords:
    """Crashes by request fingerprint, with the wall time of their expiry.

    Attributes:
      by_fingerprint: expiry (seconds since 1970) by crash, by fingerprint.
        Wall time is used because crash records travel between VMs.
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
    """Returns the crash records with one more crash."""
    return merge(crash_records, CrashRecords({fingerprint: {crash: expires_s}}))


def merge(crash_records: CrashRecords, other: CrashRecords) -> CrashRecords:
    """Returns the union; of two expiries of one crash, the later counts."""
    merged = {
        key: dict(row) for key, row in crash_records.by_fingerprint.items()
    }
    for fingerprint, crashes in other.by_fingerprint.items():
        row = merged.setdefault(fingerprint, {})
        for crash, expires_s in crashes.items():
            row[crash] = max(expires_s, row.get(crash, expires_s))
    return CrashRecords(merged)


def prune(crash_records: CrashRecords, now_s: float) -> CrashRecords:
    """Returns the crash records that have not expired."""
    rows = {
        fingerprint: {
            crash: expires_s
            for crash, expires_s in crashes.items()
            if expires_s > now_s
        }
        for fingerprint, crashes in crash_records.by_fingerprint.items()
    }
    return CrashRecords({key: row for key, row in rows.items() if row})


def decide(
    crash_records: CrashRecords,
    fingerprint: str,
    now_s: float,
    crashes_to_refuse: int = _CRASHES_TO_REFUSE,
) -> Decision:
    """Returns how a request is treated at `now_s`, on the clock of expiry."""
    crashes = crash_records.by_fingerprint.get(fingerprint, {})
    live = sum(expires_s > now_s for expires_s in crashes.values())
    if live >= crashes_to_refuse:
        return Decision.REFUSE
    return Decision.SINGLE if live else Decision.ALLOW


__all__ = [
    "Crash",
    "CrashRecords",
    "Decision",
    "add",
    "decide",
    "merge",
    "prune",
]
