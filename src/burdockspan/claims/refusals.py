"""Refusals of calls with an idempotency key.

The execution word is about the action that the key names, so a refusal that
could not read the claim says `unknown`: an earlier call with the same key may
have run.
"""

from __future__ import annotations

from burdockspan.values.refusal import Execution, Reason, Refusal

KEY_HEADER = "Idempotency-Key"
HELD_RETRY_AFTER_S = 1.0
PLATFORM_RETRY_AFTER_S = 1.0


def platform_unavailable() -> Refusal:
    """Refuses a call whose claim could not be made or read."""
    return Refusal(
        503,
        Execution.UNKNOWN,
        Reason.PLATFORM_UNAVAILABLE,
        "The claim of this idempotency key could not be made or read; an "
        "earlier call with the key may have run.",
        retry_after_s=PLATFORM_RETRY_AFTER_S,
    )


def claim_unreadable() -> Refusal:
    """Refuses a call whose claim is not a valid record."""
    return Refusal(
        409,
        Execution.UNKNOWN,
        Reason.KEY_OUTCOME_UNKNOWN,
        "The claim of this idempotency key is not a valid record.",
        field=KEY_HEADER,
    )


def key_reused() -> Refusal:
    """Refuses a body that differs from that of the key's claim."""
    return Refusal(
        422,
        Execution.NOT_RUN,
        Reason.KEY_REUSED,
        "The idempotency key was used with another body.",
        field=KEY_HEADER,
    )


def key_in_progress() -> Refusal:
    """Refuses a call while another one holds the key's claim."""
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
    """Refuses a repeat of a call whose answer was too large to store."""
    return Refusal(
        409,
        Execution.RAN,
        Reason.KEY_ANSWER_NOT_STORED,
        "The call ran; its answer was too large to be stored.",
        field=KEY_HEADER,
    )


def outcome_unknown() -> Refusal:
    """Refuses a repeat of a call that may have run."""
    return Refusal(
        409,
        Execution.UNKNOWN,
        Reason.KEY_OUTCOME_UNKNOWN,
        "A call with this idempotency key was sent and its outcome is unknown.",
        field=KEY_HEADER,
    )


def key_invalid(detail: str, limit: str | None = None) -> Refusal:
    """Refuses a key that no call can have been made with."""
    return Refusal(
        400,
        Execution.NOT_RUN,
        Reason.KEY_INVALID,
        detail,
        field=KEY_HEADER,
        limit=limit,
    )


def key_expired(limit: str) -> Refusal:
    """Refuses a dated key whose claim may have been pruned."""
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
    "claim_unreadable",
    "key_expired",
    "key_in_progress",
    "key_invalid",
    "key_reused",
    "outcome_unknown",
    "platform_unavailable",
]
