"""Refusals of calls with an idempotency key.

Their execution describes the action that the key identifies, not only the
refused call. So it is `unknown` if the claim could not be read: an earlier call
with the same key may have run.
"""

from __future__ import annotations

from burdockspan.values.refusal import Execution, Reason, Refusal

KEY_HEADER = "Idempotency-Key"
HELD_RETRY_AFTER_S = 1.0
PLATFORM_RETRY_AFTER_S = 1.0


def platform_unavailable() -> Refusal:
    """Refusal of a call whose claim could not be made or read."""
    return Refusal(
        503,
        Execution.UNKNOWN,
        Reason.PLATFORM_UNAVAILABLE,
        "The claim of this idempotency key could not be made or read; an "
        "earlier call with the key may have run.",
        retry_after_s=PLATFORM_RETRY_AFTER_S,
    )


def claim_unreadable() -> Refusal:
    """Refusal of a call whose claim is not a valid record."""
    return Refusal(
        409,
        Execution.UNKNOWN,
        Reason.KEY_OUTCOME_UNKNOWN,
        "The claim of this idempotency key is not a valid record.",
        field=KEY_HEADER,
    )


def key_reused() -> Refusal:
    """Refusal of a call whose body differs from that of the key's claim."""
    return Refusal(
        422,
        Execution.NOT_RUN,
        Reason.KEY_REUSED,
        "The idempotency key was used with another body.",
        field=KEY_HEADER,
    )


def key_in_progress() -> Refusal:
    """Refusal of a call while another one holds the claim of its key."""
    return Refusal(
        409,
        Execution.UNKNOWN,
        Reason.KEY_IN_PROGRESS,
        "Another call with this idempotency key is in progress, or its holder "
        "failed before it recorded an outcome.",
        retry_after_s=HELD_RETRY_AFTER_S,
        field=KEY_HEADER,
    )


def answer_not_stored() -> Refusal:
    """Refusal of a repeated call whose response was too large to store."""
    return Refusal(
        409,
        Execution.RAN,
        Reason.KEY_ANSWER_NOT_STORED,
        "The call ran; its answer was too large to be stored.",
        field=KEY_HEADER,
    )


def outcome_unknown() -> Refusal:
    """Refusal of a repeated call that may have run."""
    return Refusal(
        409,
        Execution.UNKNOWN,
        Reason.KEY_OUTCOME_UNKNOWN,
        "A call with this idempotency key was sent and its outcome is unknown.",
        field=KEY_HEADER,
    )


def claim_lost() -> Refusal:
    """Refusal of a call whose claim the store may have lost."""
    return Refusal(
        409,
        Execution.UNKNOWN,
        Reason.KEY_OUTCOME_UNKNOWN,
        "The store has lost its latest writes. A call with this idempotency "
        "key may have run before; a call that was not sent before needs a new "
        "key.",
        field=KEY_HEADER,
    )


def key_invalid(detail: str, limit: str | None = None) -> Refusal:
    """Refusal of a malformed key, with which no call can have run."""
    return Refusal(
        400,
        Execution.NOT_RUN,
        Reason.KEY_INVALID,
        detail,
        field=KEY_HEADER,
        limit=limit,
    )


def key_expired(limit: str) -> Refusal:
    """Refusal of a key so old that its claim may have been pruned."""
    return Refusal(
        422,
        Execution.UNKNOWN,
        Reason.KEY_EXPIRED,
        "The idempotency key is older than the retention period; a call with "
        "it may have run.",
        field=KEY_HEADER,
        limit=limit,
    )


__all__ = [
    "HELD_RETRY_AFTER_S",
    "KEY_HEADER",
    "PLATFORM_RETRY_AFTER_S",
    "answer_not_stored",
    "claim_lost",
    "claim_unreadable",
    "key_expired",
    "key_in_progress",
    "key_invalid",
    "key_reused",
    "outcome_unknown",
    "platform_unavailable",
]
