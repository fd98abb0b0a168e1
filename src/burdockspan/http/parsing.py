"""Parsing of the headers and bodies of requests."""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
import json
import math
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from burdockspan.configuration.document import Client, Configuration, Policy
from burdockspan.http.refusals import make_malformed_refusal
from burdockspan.values.refusal import Execution, Reason, Refusal
from burdockspan.values.submission import Priority

KEY_LIMIT_CHARS = 255
_DEADLINE_LIMIT_S = 86_400.0
_KEY_HEADER = "Idempotency-Key"
_DEADLINE_HEADER = "Burdockspan-Deadline"
_PRIORITY_HEADER = "Burdockspan-Priority"


@dataclasses.dataclass(frozen=True)
class Request:
    """An HTTP request of a caller.

    Attributes:
      request_id: identity returned to the caller.
      method: HTTP method.
      path: decoded path, starting with `/`.
      query: query string without `?`.
      environ: WSGI environment.
      arrived_s: time of arrival on the monotonic clock.
      caller_gone: returns whether the caller has closed its connection.
    """

    request_id: str
    method: str
    path: str
    query: str
    environ: dict[str, Any]
    arrived_s: float
    caller_gone: Callable[[], bool]


@dataclasses.dataclass(frozen=True)
class CallOptions:
    """Priority and deadline of a call."""

    priority: Priority
    deadline_s: float


def make_request(
    environ: dict[str, Any], request_id: str, now_s: float
) -> Request:
    """Returns the request of a WSGI environment."""
    path = environ.get("PATH_INFO") or "/"
    return Request(
        request_id=request_id,
        method=environ["REQUEST_METHOD"],
        path=path.encode("latin-1").decode("utf-8", "replace"),
        query=environ.get("QUERY_STRING", ""),
        environ=environ,
        arrived_s=now_s,
        caller_gone=environ.get("waitress.client_disconnected", lambda: False),
    )


def get_header(request: Request, name: str) -> str | None:
    """Returns a header of the request, None if it is absent."""
    key = "HTTP_" + name.upper().replace("-", "_")
    value: str | None = request.environ.get(key)
    return value


def authenticate(
    request: Request, configuration: Configuration
) -> Result[Client, Refusal]:
    """Returns the client account that the bearer token belongs to."""
    scheme, _, token = (get_header(request, "Authorization") or "").partition(
        " "
    )
    digest = hashlib.sha256(token.strip().encode("latin-1")).hexdigest()
    match = None
    for client in configuration.clients:
        if hmac.compare_digest(client.key_sha256, digest):
            match = client
    if match is None or scheme.lower() != "bearer":
        return Err(
            Refusal(
                401,
                Execution.NOT_RUN,
                Reason.UNAUTHENTICATED,
                "Authorization must carry the bearer token of a known client",
                field="Authorization",
            )
        )
    return Ok(match)


def read_body(request: Request, policy: Policy) -> Result[bytes, Refusal]:
    """Reads the body of a request, up to the size limit of the policy."""
    text = request.environ.get("CONTENT_LENGTH") or "0"
    if not (text.isascii() and text.isdecimal()):
        return Err(
            make_malformed_refusal(
                "Content-Length",
                "Content-Length must be one decimal number",
            )
        )
    limit = policy.body_limit_bytes
    if int(text) > limit:
        return Err(make_too_large_refusal(limit))
    body: bytes = request.environ["wsgi.input"].read(int(text))
    if len(body) != int(text):
        return Err(
            make_malformed_refusal(
                "body", "body is shorter than Content-Length"
            )
        )
    return Ok(body)


def make_too_large_refusal(limit_bytes: int) -> Refusal:
    """Returns the refusal of a body that exceeds the size limit."""
    return Refusal(
        413,
        Execution.NOT_RUN,
        Reason.BODY_TOO_LARGE,
        f"body is longer than {limit_bytes} bytes",
        field="body",
        limit=f"{limit_bytes} bytes",
    )


def parse_call_options(
    request: Request,
    policy: Policy,
    default: Priority,
) -> Result[CallOptions, Refusal]:
    """Parses priority and deadline of a call."""
    priority = default
    text = get_header(request, _PRIORITY_HEADER)
    if text is not None:
        by_value = {member.value: member for member in Priority}
        if text not in by_value:
            return Err(
                make_malformed_refusal(
                    _PRIORITY_HEADER,
                    f"{_PRIORITY_HEADER} must be urgent or patient",
                    "urgent or patient",
                )
            )
        priority = by_value[text]
    seconds = policy.patient_deadline_s
    if priority is Priority.URGENT:
        seconds = policy.urgent_deadline_s
    text = get_header(request, _DEADLINE_HEADER)
    if text is not None:
        parsed = _parse_deadline(text)
        if isinstance(parsed, Err):
            return parsed
        seconds = parsed.ok_value
    return Ok(CallOptions(priority, request.arrived_s + seconds))


def _parse_deadline(text: str) -> Result[float, Refusal]:
    limit = f"more than 0 and at most {_DEADLINE_LIMIT_S:.0f} seconds"
    malformed = make_malformed_refusal(
        _DEADLINE_HEADER,
        f"{_DEADLINE_HEADER} must be a decimal number of seconds from now",
        limit,
    )
    digits = text.removeprefix("-").replace(".", "", 1)
    if not (digits.isascii() and digits.isdecimal()):
        return Err(malformed)
    seconds = float(text)
    if not math.isfinite(seconds) or seconds > _DEADLINE_LIMIT_S:
        return Err(malformed)
    if seconds <= 0:
        return Err(
            Refusal(
                400,
                Execution.NOT_RUN,
                Reason.DEADLINE,
                f"{_DEADLINE_HEADER} {text} has already passed",
                field=_DEADLINE_HEADER,
                limit=limit,
            )
        )
    return Ok(seconds)


def parse_key(request: Request) -> Result[str | None, Refusal]:
    """Returns the idempotency key, None if there is none."""
    key = get_header(request, _KEY_HEADER)
    return Ok(None) if key is None else check_key(key)


def check_key(key: str) -> Result[str | None, Refusal]:
    """Checks length and characters of an idempotency key."""
    limit = f"1 to {KEY_LIMIT_CHARS} printable ASCII characters"
    if (
        not 0 < len(key) <= KEY_LIMIT_CHARS
        or not key.isascii()
        or not key.isprintable()
    ):
        return Err(
            Refusal(
                400,
                Execution.NOT_RUN,
                Reason.KEY_INVALID,
                f"{_KEY_HEADER} must have {limit}",
                field=_KEY_HEADER,
                limit=limit,
            )
        )
    return Ok(key)


def parse_json_object(body: bytes) -> Result[dict[str, Any], Refusal]:
    """Returns the JSON object of a body."""
    try:
        value = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        return Err(make_malformed_refusal("body", f"body is not JSON: {error}"))
    if not isinstance(value, dict):
        return Err(make_malformed_refusal("body", "body must be a JSON object"))
    return Ok(value)


def make_fingerprint(client: str, target: str, body: object) -> str:
    """Returns the SHA-256 (hex) of client, target and canonical body."""
    text = json.dumps([client, target, body], sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not JSON")


__all__ = [
    "KEY_LIMIT_CHARS",
    "CallOptions",
    "Request",
    "authenticate",
    "check_key",
    "get_header",
    "make_fingerprint",
    "make_request",
    "make_too_large_refusal",
    "parse_call_options",
    "parse_json_object",
    "parse_key",
    "read_body",
]
