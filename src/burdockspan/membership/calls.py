"""Messages between an entry VM and the owner of a pool about one call."""

from __future__ import annotations

import dataclasses
import enum

from burdockspan.values.ids import AttemptId


class CallStep(enum.IntEnum):
    """What a message says of a call; values as in peer.thrift.

    REQUEST: asks the owner for endpoints; repeated while the call waits.
    QUEUED: the owner holds the call in its queue.
    GRANT: the owner grants the named endpoints.
    REFUSE: the owner refuses the call.
    RESERVED: the requester's reservation was confirmed by the engine.
    TRANSFERRED: the KV cache has left the prefill engine.
    FULL: the decode engine refused the reservation as full.
    ENDED: the requester's attempt has ended, or waits no longer.
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
    """What a call needs.

    Attributes:
      service: name of the service.
      completion: whether it needs a prefill and a decode engine.
      urgent: whether it is urgent.
      pieces: decode memory; 1 for a service call.
      prompt_tokens: tokens of its prompt.
      max_tokens: most tokens of its answer.
      remaining_ms: time left until its deadline when the message was sent.
      prefix: hashes of the leading blocks of its prompt.
      excluded: endpoints that failed it.
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
    """One message about a call.

    Attributes:
      step: what it says.
      attempt: identity of the attempt that the requester will make.
      needs: what the call needs, in REQUEST.
      prefill: granted prefill engine.
      decode: granted decode engine, or the engine that is full.
      endpoint: granted endpoint of a plain service.
      status: HTTP status of a refusal.
      reason: reason of a refusal.
      detail: one sentence about a refusal.
      retry_after_ms: when coming back helps, in REFUSE.
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
