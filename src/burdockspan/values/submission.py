"""Calls that the HTTP layer submits to the node."""

from __future__ import annotations

import dataclasses
import enum


class Priority(enum.Enum):
    """Priority of a call, from the `Burdockspan-Priority` header."""

    URGENT = "urgent"
    PATIENT = "patient"


class CallKind(enum.Enum):
    """Whether a call needs prefill and decode engines or a plain service."""

    COMPLETION = "completion"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True)
class Submission:
    """A parsed call.

    Attributes:
      request_id: identity returned to the caller, 32 hexadecimal digits.
      client: name of the client account.
      kind: completion or service call.
      target: model name of a completion; service name of a service call.
      path: path of the call to the endpoint, starting with `/`.
      priority: urgent or patient.
      arrived_s: time of arrival on the monotonic clock.
      deadline_s: deadline on the monotonic clock.
      prompt_tokens: estimated tokens of the prompt; 0 for a service call.
      max_tokens: maximum number of generated tokens; 0 for a service call.
      prefix: hashes of the leading blocks of the prompt, in order.
      fingerprint: SHA-256 (hex) of client, target and canonical body; the same
        when the caller repeats the call under another request identity.
      idempotent: whether the call may run more than once.
      streamed: whether the caller requested server-sent events.
    """

    request_id: str
    client: str
    kind: CallKind
    target: str
    path: str
    priority: Priority
    arrived_s: float
    deadline_s: float
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix: tuple[int, ...] = ()
    fingerprint: str = ""
    idempotent: bool = True
    streamed: bool = False


__all__ = ["CallKind", "Priority", "Submission"]
