"""Requests that crash endpoints."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping

_STRIKES_TO_REFUSE = 2

Crash = tuple[str, str]
"""An endpoint and the boot id of its process that crashed."""


class Verdict(enum.Enum):
    """How a request is treated.

    SINGLE allows one running copy at a time.
    """

    ALLOW = "allow"
    SINGLE = "single"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True)
class Strikes:
    """Crashes by request fingerprint, with the wall time of their expiry.

    Attributes:
      by_fingerprint: expiry (seconds since 1970) by crash, by fingerprint.
        Wall time is used because strikes travel between VMs.
    """

    by_fingerprint: Mapping[str, Mapping[Crash, float]] = dataclasses.field(
        default_factory=dict
    )


def add(
    strikes: Strikes, fingerprint: str, crash: Crash, expires_s: float
) -> Strikes:
    """Returns the strikes with one more crash."""
    return merge(strikes, Strikes({fingerprint: {crash: expires_s}}))


def merge(strikes: Strikes, other: Strikes) -> Strikes:
    """Returns the union; of two expiries of one crash, the later counts."""
    merged = {key: dict(row) for key, row in strikes.by_fingerprint.items()}
    for fingerprint, crashes in other.by_fingerprint.items():
        row = merged.setdefault(fingerprint, {})
        for crash, expires_s in crashes.items():
            row[crash] = max(expires_s, row.get(crash, expires_s))
    return Strikes(merged)


def prune(strikes: Strikes, now_s: float) -> Strikes:
    """Returns the strikes that have not expired."""
    rows = {
        fingerprint: {
            crash: expires_s
            for crash, expires_s in crashes.items()
            if expires_s > now_s
        }
        for fingerprint, crashes in strikes.by_fingerprint.items()
    }
    return Strikes({key: row for key, row in rows.items() if row})


def judge(
    strikes: Strikes,
    fingerprint: str,
    now_s: float,
    strikes_to_refuse: int = _STRIKES_TO_REFUSE,
) -> Verdict:
    """Returns how a request is treated at `now_s`, on the clock of expiry."""
    crashes = strikes.by_fingerprint.get(fingerprint, {})
    live = sum(expires_s > now_s for expires_s in crashes.values())
    if live >= strikes_to_refuse:
        return Verdict.REFUSE
    return Verdict.SINGLE if live else Verdict.ALLOW


__all__ = ["Crash", "Strikes", "Verdict", "add", "judge", "merge", "prune"]
