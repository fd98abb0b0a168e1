"""Where an attempt of a request runs, and how an attempt can fail."""

from __future__ import annotations

import dataclasses
import enum

from burdockspan.values.endpoint import Endpoint
from burdockspan.values.ids import AttemptId


@dataclasses.dataclass(frozen=True)
class Placement:
    """The endpoints chosen for one attempt.

    Attributes:
      request_id: the request.
      attempt: identity of this attempt.
      pieces: decode memory to reserve; 0 for a service call.
      prefill: prefill engine of a completion.
      decode: decode engine of a completion.
      service: endpoint of a service call.
    """

    request_id: str
    attempt: AttemptId
    pieces: int = 0
    prefill: Endpoint | None = None
    decode: Endpoint | None = None
    service: Endpoint | None = None


class AttemptEvent(enum.Enum):
    """What the HTTP layer reports of an attempt, in the order it happens."""

    RESERVED = "reserved"
    PREFILL_SENT = "prefill_sent"
    PREFILLED = "prefilled"
    TRANSFERRED = "transferred"
    DECODE_SENT = "decode_sent"
    DISPATCHED = "dispatched"
    FIRST_BYTE = "first_byte"


class FailureKind(enum.Enum):
    """How an attempt failed at an endpoint."""

    FULL = "full"
    LEAVING = "leaving"
    NOT_CONNECTED = "not_connected"
    REFUSED = "refused"
    CACHE_EXPIRED = "cache_expired"
    CONNECTION_LOST = "connection_lost"
    UNRESPONSIVE = "silent"
    CRASHED = "crashed"
    ENDPOINT_ERROR = "endpoint_error"
    TIMED_OUT = "timed_out"


@dataclasses.dataclass(frozen=True)
class Failure:
    """A failed attempt.

    Attributes:
      kind: how it failed.
      endpoint: name of the endpoint at fault.
      detail: one sentence for a person.
      boot: boot identity that the endpoint named after its connection was
        lost; empty if it was not asked or did not answer.
    """

    kind: FailureKind
    endpoint: str
    detail: str = ""
    boot: str = ""


__all__ = ["AttemptEvent", "Failure", "FailureKind", "Placement"]
