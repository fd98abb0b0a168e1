"""Claim records: stored objects that say who may run a non-idempotent call."""

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
_FIELD_NAMES = frozenset(
    {"body_digest", "holder", "state", "status", "content_type", "body"}
)


class ClaimState(enum.Enum):
    """State of a claim.

    HELD: the holder may have dispatched the call, or may still dispatch it.
    GIVEN_UP: the holder did not dispatch the call and never will.
    DONE: the call ran and its response was received.
    UNKNOWN: the call was dispatched and may have run.
    LOST: the store may have lost an earlier claim of the key, whose call may
      have run.
    """

    HELD = "held"
    GIVEN_UP = "given_up"
    DONE = "done"
    UNKNOWN = "unknown"
    LOST = "lost"


@dataclasses.dataclass(frozen=True)
class ReceivedResponse:
    """Response of an endpoint to the claimed call.

    Attributes:
      status: HTTP status.
      content_type: media type.
      body: complete body; None if it is too large to be stored.
    """

    status: int
    content_type: str
    body: bytes | None


@dataclasses.dataclass(frozen=True)
class ClaimRecord:
    """A claim on an idempotency key, as it is stored.

    Attributes:
      body_digest: SHA-256 (hex) of the call's body.
      holder: attempt that made the claim.
      state: state of the claimed call.
      status: HTTP status of the response; set if and only if the state is
        DONE.
      content_type: content type of the stored response.
      body: body of the stored response; None if it was over 64 KB or there is
        none.
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
      version: version of the stored object, combined with the era in which it
        was written; sent as the fencing token.
      record: the claim as it was written.
    """

    client: str
    key: str
    version: int
    record: ClaimRecord


@dataclasses.dataclass(frozen=True)
class Replay:
    """A claim in state DONE whose stored response is sent again."""

    record: ClaimRecord


def object_name(client: str, key: str) -> str:
    """Returns the name of the claim's object; its kind is `claims`."""
    return f"{client}.{hashlib.sha256(key.encode()).hexdigest()}"


def finished_record(
    record: ClaimRecord, state: ClaimState, response: ReceivedResponse | None
) -> ClaimRecord:
    """Returns the record after the call, without a body that is too large."""
    if state is not ClaimState.DONE or response is None:
        return dataclasses.replace(record, state=state)
    body = response.body
    if body is not None and len(body) > STORED_BODY_LIMIT_BYTES:
        body = None
    return dataclasses.replace(
        record,
        state=state,
        status=response.status,
        content_type=None if body is None else response.content_type,
        body=body,
    )


def execution_of(record: ClaimRecord | None) -> Execution:
    """Returns whether the call of a claim ran, as known when it was read.

    Without a claim, this is `unknown`: a call that has been sent may still
    claim the key, and the claim of an old key may have been pruned.
    """
    if record is None:
        return Execution.UNKNOWN
    return {
        ClaimState.HELD: Execution.UNKNOWN,
        ClaimState.GIVEN_UP: Execution.NOT_RUN,
        ClaimState.DONE: Execution.RAN,
        ClaimState.UNKNOWN: Execution.UNKNOWN,
        ClaimState.LOST: Execution.UNKNOWN,
    }[record.state]


def encode_record(record: ClaimRecord) -> dict[str, Any]:
    """Returns the record as JSON values, with the body in base64."""
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
    """Parses a record from JSON values; returns the problem if malformed."""
    if not isinstance(value, dict) or set(value) != _FIELD_NAMES:
        return Err(f"claim needs exactly {', '.join(sorted(_FIELD_NAMES))}")
    digest, holder = value["body_digest"], value["holder"]
    if not isinstance(digest, str) or not _DIGEST.fullmatch(digest):
        return Err("body_digest is not 64 lower-case hexadecimal digits")
    if not isinstance(holder, str):
        return Err("holder is not a string")
    attempt = parse_attempt_id(holder)
    if isinstance(attempt, Err):
        return attempt
    if value["state"] not in {state.value for state in ClaimState}:
        return Err(f"state {value['state']!r} is unknown")
    state = ClaimState(value["state"])
    response = _decode_response(state, value)
    if isinstance(response, Err):
        return response
    return Ok(ClaimRecord(digest, attempt.ok_value, state, *response.ok_value))


_ResponseFields = tuple[int | None, str | None, bytes | None]


def _decode_response(
    state: ClaimState, value: dict[str, Any]
) -> Result[_ResponseFields, str]:
    status, media_type, encoded = (
        value["status"],
        value["content_type"],
        value["body"],
    )
    if state is not ClaimState.DONE:
        if (status, media_type, encoded) != (None, None, None):
            return Err(f"state {state.value} must not have a response")
        return Ok((None, None, None))
    if type(status) is not int or not 100 <= status <= 599:
        return Err(f"status {status!r} is not an HTTP status")
    if encoded is None and media_type is None:
        return Ok((status, None, None))
    if not isinstance(media_type, str) or not isinstance(encoded, str):
        return Err("content_type and body are not both strings")
    try:
        body = base64.b64decode(encoded, validate=True)
    except (binascii.Error, ValueError):
        return Err("body is not base64")
    if len(body) > STORED_BODY_LIMIT_BYTES:
        return Err(f"body is over {STORED_BODY_LIMIT_BYTES} bytes")
    return Ok((status, media_type, body))


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
