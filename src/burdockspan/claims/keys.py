"""Validation of idempotency keys and their creation time."""

from __future__ import annotations

import re

from result import Err, Ok, Result

from burdockspan.claims import refusals
from burdockspan.values.refusal import Refusal

KEY_LIMIT_CHARACTERS = 255
FUTURE_LIMIT_S = 300.0
_VISIBLE_ASCII = re.compile(rf"[\x21-\x7e]{{1,{KEY_LIMIT_CHARACTERS}}}")
_UUID_V7 = re.compile(
    r"([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}",
    re.IGNORECASE,
)


def creation_time_s(key: str) -> float | None:
    """Returns the wall time in a UUIDv7 key, None for any other key."""
    match = _UUID_V7.fullmatch(key)
    if match is None:
        return None
    return int(match[1] + match[2], 16) / 1000.0


def check_key(
    key: str, wall_now_s: float, retention_s: float
) -> Result[None, Refusal]:
    """Refuses keys that are malformed, expired or created in the future."""
    if not _VISIBLE_ASCII.fullmatch(key):
        limit = f"{KEY_LIMIT_CHARACTERS} characters"
        detail = "The idempotency key is not 1 to 255 visible ASCII characters."
        return Err(refusals.key_invalid(detail, limit))
    created_s = creation_time_s(key)
    if created_s is None:
        return Ok(None)
    if created_s > wall_now_s + FUTURE_LIMIT_S:
        limit = f"{FUTURE_LIMIT_S:.0f} s in the future"
        detail = "The idempotency key is dated in the future."
        return Err(refusals.key_invalid(detail, limit))
    if created_s < wall_now_s - retention_s:
        return Err(refusals.key_expired(f"{retention_s:.0f} s"))
    return Ok(None)


__all__ = [
    "FUTURE_LIMIT_S",
    "KEY_LIMIT_CHARACTERS",
    "check_key",
    "creation_time_s",
]
