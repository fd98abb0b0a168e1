"""The object that records who may run a non-idempotent call."""

from __future__ import annotations

import base64
import binascii
import dataclasses
import enum
import hashlib
import re
from typing import Any

from result import Err, Ok, Result

from burdockspan.object_api.calls import CLAIMS_KIND
from burdockspan.values.ids import AttemptId, parse_attempt_id
from burdockspan.values.refusal import Execution

STORED_BODY_LIMIT_BYTES = 64 * 1024
_DIGEST = re.compile(r"[0-9a-f]{64}")
_FIELDS = frozenset(
    {"body_digest", "holder", "state", "status", "content_type", "body"}
)


class ClaimState(enum.Enum):
    """State of a claim.

    HELD: its holder may have dispatched the call, or may still do so.
    GIVEN_UP: its holder did not dispatch the call and never will.
    DONE: the call ran and its answer was received.
    UNKNOWN: the call was dispatched and may have run.
    """

    HELD = "held"
    GIVEN_UP = "given_up"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class ReceivedResponse:
    """Answer of an endpoint to the claimed call.

    Attributes:
      status: HTTP status.
      content_type: media type.
      body: whole body; None if it was too large to be kept.
    """

    status: int
    content_type: str
    body: bytes | None


@dataclasses.dataclass(frozen=True)
class ClaimRecord:
    """One claim.

    Attributes:
      body_digest: SHA-256 (hex) of the call's body.
      holder: attempt that made the claim.
      state: what is known of the call.
      status: HTTP status of the answer; set if and only if the state is DONE.
      content_type: content type of a stored answer.
      body: stored answer; None when it was over 64 KB or there is none.
    """

    body_digest: str
    holder: AttemptId
    state: ClaimState
    status: int | None = None
    content_type: str | None = None
    body: bytes | None = None


@dataclasses.dataclass(frozen=True)
class HeldClaim:
    """A claim that this process holds.

    Attributes:
      client: name of the client account.
      key: idempotency key.
      version: platform version of the claim; sent as the fencing token.
      record: the claim as it was written.
    """

    client: str
    key: str
    version: int
    record: ClaimRecord


@dataclasses.dataclass(frozen=True)
class Replay:
    """A finished claim whose stored answer is sent again."""

    record: ClaimRecord


def object_name(client: str, key: str) -> str:
    """Returns the name of the claim's object of kind `claims`."""
    return f"{client}.{hashlib.sha256(key.encode()).hexdigest()}"


def finished_record(
    record: ClaimRecord, state: ClaimState, answer: ReceivedResponse | None
) -> ClaimRecord:
    """Returns the record after the call; a large answer is left out."""
    if state is not ClaimState.DONE or answer is None:
        return dataclasses.replace(record, state=state)
    body = answer.body
    if body is not None and len(body) > STORED_BODY_LIMIT_BYTES:
        body = None
    return dataclasses.replace(
        record,
        state=state,
        status=answer.status,
        content_type=None if body is None else answer.content_type,
        body=body,
    )


def execution_of(record: ClaimRecord | None) -> Execution:
    """Returns what a claim says of its call at the moment it was read.

    No claim is `unknown`: a call that is on its way may still claim the key,
    and the claim of an old key may have been pruned.
    """
    if record is None:
        return Execution.UNKNOWN
    return {
        ClaimState.HELD: Execution.UNKNOWN,
        ClaimState.GIVEN_UP: Execution.NOT_RUN,
        ClaimState.DONE: Execution.RAN,
        ClaimState.UNKNOWN: Execution.UNKNOWN,
    }[record.state]


def encode_record(record: ClaimRecord) -> dict[str, Any]:
    """Returns the record as JSON values; the body in base64."""
    body = record.body
    return {
        "body_digest": record.body_digest,
        "holder": str(record.holder),
        "state": record.state.value,
        "status": record.status,
        "content_type": record.content_type,
        "body": None if body is None else base64.b64encode(body).decode(),
    }


def decode_record(value: object) -> Result[ClaimRecord, str]:
    """Returns the record of JSON values, or what is wrong with them."""
    if not isinstance(value, dict) or set(value) != _FIELDS:
        return Err(f"claim needs exactly {', '.join(sorted(_FIELDS))}")
    digest, holder = value["body_digest"], value["holder"]
    if not isinstance(digest, str) or not _DIGEST.fullmatch(digest):
        return Err("body_digest is not 64 lower-case hexadecimal digits")
    if not isinstance(holder, str):
        return Err("holder is not a text")
    attempt = parse_attempt_id(holder)
    if isinstance(attempt, Err):
        return attempt
    if value["state"] not in {state.value for state in ClaimState}:
        return Err(f"state {value['state']!r} is unknown")
    state = ClaimState(value["state"])
    answer = _decode_answer(state, value)
    if isinstance(answer, Err):
        return answer
    return Ok(ClaimRecord(digest, attempt.ok_value, state, *answer.ok_value))


_AnswerFields = tuple[int | None, str | None, bytes | None]


def _decode_answer(
    state: ClaimState, value: dict[str, Any]
) -> Result[_AnswerFields, str]:
    status, kind, text = value["status"], value["content_type"], value["body"]
    if state is not ClaimState.DONE:
        if (status, kind, text) != (None, None, None):
            return Err(f"state {state.value} has an answer")
        return Ok((None, None, None))
    if type(status) is not int or not 100 <= status <= 599:
        return Err(f"status {status!r} is not an HTTP status")
    if text is None and kind is None:
        return Ok((status, None, None))
    if not isinstance(kind, str) or not isinstance(text, str):
        return Err("content_type and body are not both texts")
    try:
        body = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return Err("body is not base64")
    if len(body) > STORED_BODY_LIMIT_BYTES:
        return Err(f"body is over {STORED_BODY_LIMIT_BYTES} bytes")
    return Ok((status, kind, body))


__all__ = [
    "STORED_BODY_LIMIT_BYTES",
    "CLAIMS_KIND",
    "ReceivedResponse",
    "ClaimRecord",
    "ClaimState",
    "HeldClaim",
    "Replay",
    "decode_record",
    "encode_record",
    "execution_of",
    "finished_record",
    "object_name",
]
