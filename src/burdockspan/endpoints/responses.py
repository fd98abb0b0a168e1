"""Strict parsing of the responses of endpoints.

A response that is malformed or belongs to another attempt becomes a Failure,
so that no part of it is sent to a caller.
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
    """Result of a prefill.

    Attributes:
      cache: name of the KV cache at the prefill engine.
      tokens: number of tokens of the prompt.
      cached_tokens: how many of them came from the prefix cache.
      lifetime_s: time until the prefill engine drops the KV cache.
    """

    cache: str
    tokens: int
    cached_tokens: int
    lifetime_s: float


@dataclasses.dataclass(frozen=True)
class EngineAttempt:
    """An attempt that has reserved memory at an engine."""

    attempt: AttemptId
    pieces: int


@dataclasses.dataclass(frozen=True)
class Health:
    """Result of a health check; the role is None if it reports none."""

    boot: str
    leaving: bool
    role: Pool | None = None


@dataclasses.dataclass(frozen=True)
class RawResponse:
    """Status and complete body of a response.

    Attributes:
      status: HTTP status.
      body: the whole body.
      reused: whether its connection has carried an earlier call.
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


def classify_refusal(
    endpoint: Endpoint, response: RawResponse
) -> Failure | None:
    """Returns the failure if the endpoint refused the call without running it.

    That is the case only for statuses 409, 429 and 503 with
    `outcome: not_run` in a JSON body.
    """
    if response.status not in (409, 429, 503):
        return None
    value = parse_object(response.body)
    if value is None or value.get("outcome") != "not_run":
        return None
    kinds = {409: FailureKind.FULL, 503: FailureKind.LEAVING}
    kind = kinds.get(response.status, FailureKind.REFUSED)
    detail = f"endpoint refused with {response.status}"
    return make_failure(endpoint, kind, detail)


def make_protocol_failure(endpoint: Endpoint, detail: str) -> Failure:
    """Returns the failure of a response that violates the protocol."""
    return make_failure(endpoint, FailureKind.ENDPOINT_ERROR, detail)


def classify_error_response(
    endpoint: Endpoint, response: RawResponse
) -> Failure:
    """Returns the failure of a response with an unexpected status."""
    refusal = classify_refusal(endpoint, response)
    if refusal is not None:
        return refusal
    return make_protocol_failure(
        endpoint, f"endpoint answered {response.status}"
    )


def expect_object(
    endpoint: Endpoint, response: RawResponse, status: int
) -> Result[dict[str, Any], Failure]:
    """Returns the JSON object of a response with the expected status."""
    if response.status != status:
        return Err(classify_error_response(endpoint, response))
    value = parse_object(response.body)
    if value is None:
        return Err(make_protocol_failure(endpoint, "answer is no JSON object"))
    return Ok(value)


def expect_success(
    endpoint: Endpoint, attempt: AttemptId, response: RawResponse, status: int
) -> Result[None, Failure]:
    """Checks the status, and that the body names no other attempt."""
    if response.status != status:
        return Err(classify_error_response(endpoint, response))
    return check_attempt(endpoint, attempt, parse_object(response.body) or {})


def check_attempt(
    endpoint: Endpoint, attempt: AttemptId, value: dict[str, Any]
) -> Result[None, Failure]:
    """Fails if a JSON response names another attempt."""
    response_attempt = value.get("attempt", str(attempt))
    if response_attempt != str(attempt):
        return Err(
            make_protocol_failure(
                endpoint, f"answer of attempt {response_attempt}"
            )
        )
    return Ok(None)


def parse_object(body: bytes) -> dict[str, Any] | None:
    """Returns the JSON object of a body, or None if it is not one."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


def parse_prefill_result(
    endpoint: Endpoint, attempt: AttemptId, response: RawResponse
) -> Result[PrefillResult, Failure]:
    """Returns the result of a prefill."""
    parsed = expect_object(endpoint, response, 200)
    if isinstance(parsed, Err):
        return parsed
    value = parsed.ok_value
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
    """Returns boot identity and attempts of an engine."""
    boot, items = value.get("boot"), value.get("attempts")
    malformed = Err(
        make_protocol_failure(endpoint, "list of attempts is malformed")
    )
    if not isinstance(boot, str) or not isinstance(items, list):
        return malformed
    attempts = []
    for item in items:
        if not isinstance(item, dict) or not is_count(item.get("pieces")):
            return malformed
        parsed = parse_attempt_id(str(item.get("attempt")))
        if isinstance(parsed, Err):
            return malformed
        attempts.append(EngineAttempt(parsed.ok_value, item["pieces"]))
    return Ok((boot, tuple(attempts)))


def parse_health(
    endpoint: Endpoint, value: dict[str, Any]
) -> Result[Health, Failure]:
    """Returns the result of a health check."""
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
    """Whether a JSON value is a non-negative integer."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


__all__ = [
    "EngineAttempt",
    "Health",
    "PrefillResult",
    "RawResponse",
    "check_attempt",
    "classify_error_response",
    "classify_refusal",
    "expect_object",
    "expect_success",
    "is_count",
    "make_protocol_failure",
    "may_have_run",
    "parse_attempts",
    "parse_health",
    "parse_object",
    "parse_prefill_result",
]
