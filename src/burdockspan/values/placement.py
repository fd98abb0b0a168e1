"""Placement, progress and failure of an attempt."""

from __future__ import annotations

import dataclasses
import enum

from burdockspan.values.endpoint import Endpoint
from burdockspan.values.ids import AttemptId


@dataclasses.dataclass(frozen=True)
class Placement:
    """Endpoints chosen for one attempt.

    Attributes:
      request_id: identity of the request.
      attempt: identity of the attempt.
      pieces: KV memory to reserve at the decode engine; 0 for a service call.
      prefill: prefill engine of a completion; None for a service call.
      decode: decode engine of a completion; None for a service call.
      service: endpoint of a service call; None for a completion.
    """

    request_id: str
    attempt: AttemptId
    pieces: int = 0
    prefill: Endpoint | None = None
    decode: Endpoint | None = None
    service: Endpoint | None = None


class AttemptEvent(enum.Enum):
    """Progress of an attempt that the HTTP layer reports, in this order.

    A completion reports all events but DISPATCHED. A service call reports only
    DISPATCHED and FIRST_BYTE.
    """

    RESERVED = "reserved"
    PREFILL_SENT = "prefill_sent"
    PREFILLED = "prefilled"
    TRANSFERRED = "transferred"
    DECODE_SENT = "decode_sent"
    DISPATCHED = "dispatched"
    FIRST_BYTE = "first_byte"


class FailureKind(enum.Enum):
    """How an attempt failed at an endpoint.

    FULL: the endpoint refused the call because it is full.
    LEAVING: the endpoint refused the call because it is leaving.
    NOT_CONNECTED: no byte of the call was sent.
    REFUSED: the endpoint refused the call for another reason.
    CACHE_EXPIRED: the prefill engine no longer has the KV cache.
    CONNECTION_LOST: the connection failed; the call may have been sent in part.
    UNRESPONSIVE: the response or its next part did not arrive in time.
    CRASHED: the connection failed and the endpoint then refused new ones.
    ENDPOINT_ERROR: the response is an error or violates the protocol.
    TIMED_OUT: the decode engine did not import the KV cache in time.
    """

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
      endpoint: name of the endpoint that failed.
      detail: one sentence for operators and callers.
      boot: boot identity that the endpoint reported after its connection was
        lost; empty if it was not queried or did not respond.
      limit: name of the time limit that ended the call; empty if none did.
    """

    kind: FailureKind
    endpoint: str
    detail: str = ""
    boot: str = ""
    limit: str = ""


__all__ = ["AttemptEvent", "Failure", "FailureKind", "Placement"]
