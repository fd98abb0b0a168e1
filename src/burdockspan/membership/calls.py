"""Messages between an entry VM and the owner of a pool about one call."""

from __future__ import annotations

import dataclasses
import enum

from burdockspan.values.ids import AttemptId


class CallStep(enum.IntEnum):
    """Type of a message about a call; values as in peer.thrift.

    REQUEST: requests endpoints from the owner; repeated while the call waits.
    QUEUED: the call is in the owner's queue.
    GRANT: the owner grants the named endpoints.
    REFUSE: the owner refuses the call.
    RESERVED: the engine has confirmed the requester's reservation.
    TRANSFERRED: the KV cache has left the prefill engine.
    FULL: the decode engine refused the reservation because it is full.
    ENDED: the requester's attempt has ended, or its call no longer waits.
    """

    REQUEST = 1
    QUEUED = 2
    GRANT = 3
    REFUSE = 4
    RESERVED = 5
    TRANSFERRED = 6
    FULL = 7
    ENDED = 8


@dataclasses.dataclass(frozen=True)
class CallNeeds:
    """Resources that a call needs.

    Attributes:
      service: name of the service.
      completion: whether it needs a prefill and a decode engine.
      urgent: whether its priority is urgent.
      pieces: pieces of decode memory; 1 for a service call.
      prompt_tokens: tokens of its prompt.
      max_tokens: maximum number of output tokens.
      remaining_ms: time until its deadline when the message was sent.
      prefix: hashes of the leading blocks of its prompt.
      excluded: endpoints at which an attempt of it has failed.
    """

    service: str
    completion: bool
    urgent: bool
    pieces: int
    prompt_tokens: int
    max_tokens: int
    remaining_ms: int
    prefix: tuple[int, ...] = ()
    excluded: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class CallMessage:
    """Message about a call.

    Attributes:
      step: type of the message.
      attempt: identity of the attempt that the requester will make.
      needs: resources that the call needs, in REQUEST.
      prefill: granted prefill engine.
      decode: granted decode engine, or the engine that is full.
      endpoint: granted endpoint of a plain service.
      status: HTTP status of a refusal.
      reason: reason of a refusal.
      detail: sentence that explains a refusal.
      retry_after_ms: time after which a retry may succeed, in REFUSE.
    """

    step: CallStep
    attempt: AttemptId
    needs: CallNeeds | None = None
    prefill: str | None = None
    decode: str | None = None
    endpoint: str | None = None
    status: int | None = None
    reason: str | None = None
    detail: str | None = None
    retry_after_ms: int | None = None


__all__ = [
    "CallMessage",
    "CallNeeds",
    "CallStep",
]
