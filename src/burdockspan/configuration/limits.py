"""The limits in the questionnaire and the policy fields that they set."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from burdockspan.configuration.converters import (
    BYTES,
    SECONDS,
    count,
    quantity,
    share,
)
from burdockspan.configuration.document import Policy
from burdockspan.configuration.fields import (
    Convert,
    Section,
    check_keys,
    read_field,
)

_DAY_S = 86400.0

LIMITS: Mapping[str, tuple[str, Convert[Any]]] = {
    "first_token": (
        "first_token_target_s",
        quantity(SECONDS, "s", 0.01, 60.0),
    ),
    "token_gap": ("token_gap_target_s", quantity(SECONDS, "ms", 0.001, 10.0)),
    "urgent_deadline": (
        "urgent_deadline_s",
        quantity(SECONDS, "s", 0.1, 3600.0),
    ),
    "patient_deadline": (
        "patient_deadline_s",
        quantity(SECONDS, "s", 0.1, _DAY_S),
    ),
    "patient_share": ("patient_share", share),
    "queue": ("queue_limit", count(1, 100_000)),
    "retry_ratio": ("retry_ratio", share),
    "retry_burst": ("retry_burst", count(0, 1000)),
    "attempts": ("attempts_limit", count(1, 3)),
    "body": (
        "body_limit_bytes",
        quantity(BYTES, "MB", 1e3, 64e6),
    ),
    "key_retention": (
        "key_retention_s",
        quantity(SECONDS, "h", 3600.0, 90 * _DAY_S),
    ),
    "connect_timeout": (
        "connect_timeout_s",
        quantity(SECONDS, "s", 0.01, 10.0),
    ),
    "first_byte_timeout": (
        "first_byte_timeout_s",
        quantity(SECONDS, "s", 0.1, 600.0),
    ),
    "stream_silence": (
        "stream_silence_s",
        quantity(SECONDS, "s", 0.1, 60.0),
    ),
    "quarantine": ("quarantine_s", quantity(SECONDS, "s", 1.0, _DAY_S)),
}
"""Policy field and converter of each key of `limits`."""


def read_policy(section: Section) -> tuple[Policy, frozenset[str]]:
    """Returns the policy and the keys that were answered."""
    check_keys(section, LIMITS)
    values: dict[str, Any] = {}
    for key, (field, convert) in LIMITS.items():
        default = getattr(Policy, field, None)
        value: Any = read_field(section, key, convert, default)
        values[field] = int(value) if field.endswith("_bytes") else value
    given = {key for key in LIMITS if section.values.get(key) is not None}
    return Policy(**values), frozenset(given)


__all__ = ["LIMITS", "read_policy"]
