"""A call as the HTTP layer submits it to the node."""

from __future__ import annotations

import dataclasses
import enum


class Priority(enum.Enum):
    """Class of a call, from the `Burdockspan-Priority` header."""

    URGENT = "urgent"
    PATIENT = "patient"


class CallKind(enum.Enum):
    """What a call needs: a prefill and a decode engine, or a plain service."""

    COMPLETION = "completion"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True)
class Submission:
    """One parsed call.

    Attributes:
      request_id: identity told to the caller, 32 hexadecimal digits.
      client: name of the client account.
      kind: completion or service call.
      target: model name, or service name for a service call.
      path: path that the endpoint is called with, from `/`.
      priority: urgent or patient.
      arrived_s: arrival on the monotonic clock.
      deadline_s: latest useful end on the monotonic clock.
      prompt_tokens: estimated tokens of the prompt; 0 for a service call.
      max_tokens: most tokens that may be generated; 0 for a service call.
      prefix: hashes of the prompt's leading blocks, the first block first.
      fingerprint: SHA-256 (hex) of client, target and canonical body; equal
        for a call that is sent again under another request identity.
      idempotent: whether the call may run more than once.
      streamed: whether the caller asked for server-sent events.
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
