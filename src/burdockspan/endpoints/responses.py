"""Strict parsing of the answers of endpoints.

An answer that is of the wrong attempt or shape becomes a Failure, so that no
part of it reaches a caller.
"""

from __future__ import annotations

import dataclasses
import json
from typing import Any

from result import Err, Ok, Result

from burdockspan.endpoints.failures import make_failure
from burdockspan.values.endpoint import Endpoint, Pool
from burdockspan.values.ids import AttemptId, parse_attempt_id
from burdockspan.values.placement import Failure, FailureKind


@dataclasses.dataclass(frozen=True)
class PrefillResult:
    """A finished prefill.

    Attributes:
      cache: name of the KV cache at the prefill engine.
      tokens: tokens of the prompt.
      cached_tokens: tokens that a prefix cache supplied.
      lifetime_s: how long the cache survives.
    """

    cache: str
    tokens: int
    cached_tokens: int
    lifetime_s: float


@dataclasses.dataclass(frozen=True)
class EngineAttempt:
    """An attempt that holds memory at an engine."""

    attempt: AttemptId
    pieces: int


@dataclasses.dataclass(frozen=True)
class Health:
    """Answer of a health check; the role is None if it names none."""

    boot: str
    leaving: bool
    role: Pool | None = None


@dataclasses.dataclass(frozen=True)
class RawResponse:
    """Status and complete body of an answer.

    Attributes:
      status: HTTP status.
      body: the whole body.
      reused: whether its connection had served another call before.
    """

    status: int
    body: bytes
    reused: bool = False


def may_have_run(failure: Failure) -> bool:
    """Whether the endpoint may have started the call that failed."""
    return failure.kind not in (
        FailureKind.NOT_CONNECTED,
        FailureKind.FULL,
        FailureKind.LEAVING,
        FailureKind.REFUSED,
    )


def classify_refusal(endpoint: Endpoint, answer: RawResponse) -> Failure | None:
    """Returns the failure of an answer that refused before it started.

    Only 409, 429 and 503 with `outcome: not_run` in a JSON body count.
    """
    if answer.status not in (409, 429, 503):
        return None
    value = parse_object(answer.body)
    if value is None or value.get("outcome") != "not_run":
        return None
    kinds = {409: FailureKind.FULL, 503: FailureKind.LEAVING}
    kind = kinds.get(answer.status, FailureKind.REFUSED)
    detail = f"endpoint refused with {answer.status}"
    return make_failure(endpoint, kind, detail)


def make_protocol_failure(endpoint: Endpoint, detail: str) -> Failure:
    """Returns the failure of an answer of the wrong shape."""
    return make_failure(endpoint, FailureKind.ENDPOINT_ERROR, detail)


def classify_error_response(endpoint: Endpoint, answer: RawResponse) -> Failure:
    """Returns the failure of an answer with an unexpected status."""
    refused = classify_refusal(endpoint, answer)
    if refused is not None:
        return refused
    return make_protocol_failure(endpoint, f"endpoint answered {answer.status}")


def expect_object(
    endpoint: Endpoint, answer: RawResponse, status: int
) -> Result[dict[str, Any], Failure]:
    """Returns the JSON object of an answer with the expected status."""
    if answer.status != status:
        return Err(classify_error_response(endpoint, answer))
    value = parse_object(answer.body)
    if value is None:
        return Err(make_protocol_failure(endpoint, "answer is no JSON object"))
    return Ok(value)


def expect_done(
    endpoint: Endpoint, attempt: AttemptId, answer: RawResponse, status: int
) -> Result[None, Failure]:
    """Accepts a status; a body that names another attempt is a failure."""
    if answer.status != status:
        return Err(classify_error_response(endpoint, answer))
    return check_attempt(endpoint, attempt, parse_object(answer.body) or {})


def check_attempt(
    endpoint: Endpoint, attempt: AttemptId, value: dict[str, Any]
) -> Result[None, Failure]:
    """Fails if a JSON answer names another attempt."""
    named = value.get("attempt", str(attempt))
    if named != str(attempt):
        return Err(
            make_protocol_failure(endpoint, f"answer of attempt {named}")
        )
    return Ok(None)


def parse_object(body: bytes) -> dict[str, Any] | None:
    """Returns a JSON object, or None if the text is not one."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


def parse_prefill_result(
    endpoint: Endpoint, attempt: AttemptId, answer: RawResponse
) -> Result[PrefillResult, Failure]:
    """Returns what a prefill reports."""
    found = expect_object(endpoint, answer, 200)
    if isinstance(found, Err):
        return found
    value = found.ok_value
    checked = check_attempt(endpoint, attempt, value)
    if isinstance(checked, Err):
        return checked
    cache, tokens = value.get("cache"), value.get("tokens")
    cached, lifetime_s = value.get("cached_tokens", 0), value.get("life_s")
    if (
        not isinstance(cache, str)
        or not cache
        or not is_count(tokens)
        or not is_count(cached)
        or isinstance(lifetime_s, bool)
        or not isinstance(lifetime_s, int | float)
        or lifetime_s < 0
    ):
        return Err(
            make_protocol_failure(endpoint, "prefill answer is malformed")
        )
    return Ok(PrefillResult(cache, tokens or 0, cached, float(lifetime_s)))


def parse_attempts(
    endpoint: Endpoint, value: dict[str, Any]
) -> Result[tuple[str, tuple[EngineAttempt, ...]], Failure]:
    """Returns boot identity and attempts."""
    boot, rows = value.get("boot"), value.get("attempts")
    bad = Err(make_protocol_failure(endpoint, "list of attempts is malformed"))
    if not isinstance(boot, str) or not isinstance(rows, list):
        return bad
    attempts = []
    for row in rows:
        if not isinstance(row, dict) or not is_count(row.get("pieces")):
            return bad
        parsed = parse_attempt_id(str(row.get("attempt")))
        if isinstance(parsed, Err):
            return bad
        attempts.append(EngineAttempt(parsed.ok_value, row["pieces"]))
    return Ok((boot, tuple(attempts)))


def parse_health(
    endpoint: Endpoint, value: dict[str, Any]
) -> Result[Health, Failure]:
    """Returns the state of an endpoint."""
    boot, state = value.get("boot"), value.get("state")
    if not isinstance(boot, str) or state not in ("live", "leaving"):
        return Err(
            make_protocol_failure(endpoint, "health answer is malformed")
        )
    return Ok(Health(boot, state == "leaving", _parse_role(value.get("role"))))


def _parse_role(value: object) -> Pool | None:
    roles = {pool.value: pool for pool in (Pool.PREFILL, Pool.DECODE)}
    return roles.get(value) if isinstance(value, str) else None


def is_count(value: object) -> bool:
    """Whether a JSON value is a whole number from 0."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


__all__ = [
    "EngineAttempt",
    "Health",
    "PrefillResult",
    "RawResponse",
    "check_attempt",
    "classify_error_response",
    "classify_refusal",
    "expect_done",
    "expect_object",
    "is_count",
    "make_protocol_failure",
    "may_have_run",
    "parse_attempts",
    "parse_health",
    "parse_object",
    "parse_prefill_result",
]
