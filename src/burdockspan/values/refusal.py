"""Refusals, which state whether the refused call ran."""

from __future__ import annotations

import dataclasses
import enum


class Execution(enum.Enum):
    """Whether a refused call ran; the `outcome` field of a refusal."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a call was refused; the `reason` field of a refusal."""

    MALFORMED = "malformed"
    BODY_TOO_LARGE = "body_too_large"
    PROMPT_TOO_LARGE = "prompt_too_large"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PATH = "unknown_path"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_INVALID = "idempotency_key_invalid"
    KEY_REUSED = "idempotency_key_reused"
    KEY_EXPIRED = "idempotency_key_expired"
    KEY_IN_PROGRESS = "idempotency_key_in_progress"
    KEY_ANSWER_NOT_STORED = "idempotency_key_answer_not_stored"
    KEY_OUTCOME_UNKNOWN = "idempotency_key_outcome_unknown"
    CLIENT_LIMIT = "client_limit"
    OVERLOADED = "overloaded"
    NO_ENDPOINT = "no_endpoint"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    NO_CONFIGURATION = "no_configuration"
    STOPPING = "stopping"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    ENDPOINT_FAILED = "endpoint_failed"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A refused call.

    Attributes:
      status: HTTP status.
      execution: whether the call ran.
      reason: machine-readable reason.
      detail: one sentence for the caller.
      retry_after_s: delay in seconds after which a retry can succeed; None if
        a retry cannot succeed.
      field: invalid header or body field, if there is one.
      limit: the limit that was exceeded, as text with its unit.
    """

    status: int
    execution: Execution
    reason: Reason
    detail: str
    retry_after_s: float | None = None
    field: str | None = None
    limit: str | None = None


__all__ = ["Execution", "Reason", "Refusal"]
