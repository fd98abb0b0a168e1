"""Values of claims on idempotency keys."""

from __future__ import annotations

import dataclasses
import enum

from burdockspan.values.ids import AttemptId


class ClaimState(enum.Enum):
    """State of a claim."""

    HELD = "held"
    GIVEN_UP = "given_up"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class ClaimRecord:
    """A claim as the platform stores it.

    Attributes:
      body_digest: SHA-256 (hex) of the call that made the claim.
      holder: identity of the holder.
      state: state of the claim.
      status: HTTP status of the answer; 0 before there is one.
      content_type: media type of the answer.
      body: answer; None if there is none or it is too large to store.
    """

    body_digest: str
    holder: AttemptId
    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


@dataclasses.dataclass(frozen=True)
class Answer:
    """The answer that settles a claim.

    Attributes:
      status: HTTP status.
      content_type: media type.
      body: body; None if it is too large to store.
    """

    status: int
    content_type: str
    body: bytes | None


@dataclasses.dataclass(frozen=True)
class Held:
    """A claim held by this process.

    Attributes:
      client: client account.
      key: idempotency key.
      version: platform version of the claim; the fencing token.
      record: the claim.
    """

    client: str
    key: str
    version: int
    record: ClaimRecord


@dataclasses.dataclass(frozen=True)
class Replay:
    """A finished claim, whose answer is sent again."""

    record: ClaimRecord


__all__ = ["Answer", "ClaimRecord", "ClaimState", "Held", "Replay"]
