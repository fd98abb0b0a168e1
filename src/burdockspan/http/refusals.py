"""Responses, and refusals as RFC 9457 problem documents.

The problem documents also have the `error` member that OpenAI clients read.
"""

from __future__ import annotations

import dataclasses
import http
import json
import math
from collections.abc import Iterable
from typing import Any

from burdockspan.values.refusal import Execution, Reason, Refusal

_TYPE_PREFIX = "urn:burdockspan:refusal:"


@dataclasses.dataclass(frozen=True)
class Response:
    """A response to a caller.

    Attributes:
      status: HTTP status.
      headers: headers without the request identity.
      body: parts of the body; its `close`, if any, is called at the end.
      refusal: the refusal that the response carries, if any.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterable[bytes]
    refusal: Refusal | None = None


def make_problem_document(refusal: Refusal, request_id: str) -> bytes:
    """Returns the problem document of a refusal."""
    value: dict[str, Any] = {
        "type": _TYPE_PREFIX + refusal.reason.value,
        "title": _make_title(refusal.status),
        "status": refusal.status,
        "detail": refusal.detail,
        "outcome": refusal.execution.value,
        "reason": refusal.reason.value,
        "request_id": request_id,
        "error": {
            "message": refusal.detail,
            "type": _make_error_type(refusal.status),
            "code": refusal.reason.value,
            "param": refusal.field,
        },
    }
    if refusal.field is not None:
        value["field"] = refusal.field
    if refusal.limit is not None:
        value["limit"] = refusal.limit
    return json.dumps(value).encode()


def make_refusal_response(refusal: Refusal, request_id: str) -> Response:
    """Returns the response that carries a refusal."""
    body = make_problem_document(refusal, request_id)
    headers = [
        ("Content-Type", "application/problem+json"),
        ("Content-Length", str(len(body))),
    ]
    if refusal.retry_after_s is not None:
        # Retry-After has whole seconds; rounding up avoids a retry that comes
        # too early.
        seconds = max(1, math.ceil(refusal.retry_after_s))
        headers.append(("Retry-After", str(seconds)))
    else:
        # Without this header, OpenAI clients retry 409, 429 and 5xx.
        headers.append(("x-should-retry", "false"))
    if refusal.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    return Response(refusal.status, tuple(headers), [body], refusal)


def make_json_response(status: int, value: object) -> Response:
    """Returns a response with a JSON body."""
    body = json.dumps(value).encode()
    headers = (
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    )
    return Response(status, headers, [body])


def make_malformed_refusal(
    field: str, detail: str, limit: str | None = None, status: int = 400
) -> Refusal:
    """Returns the refusal of a malformed call, which did not run."""
    return Refusal(
        status,
        Execution.NOT_RUN,
        Reason.MALFORMED,
        detail,
        field=field,
        limit=limit,
    )


def make_stopped_refusal(execution: Execution, past_deadline: bool) -> Refusal:
    """Returns the refusal of a call that was stopped in progress."""
    if past_deadline:
        return Refusal(
            504,
            execution,
            Reason.DEADLINE,
            "the deadline passed before the answer was complete",
            field="Burdockspan-Deadline",
        )
    return Refusal(
        503,
        execution,
        Reason.CANCELLED,
        "the request was cancelled or is no longer current",
        retry_after_s=1.0,
    )


def make_status_line(status: int) -> str:
    """Returns the status line in the form that WSGI requires."""
    return f"{status} {_make_title(status)}"


def _make_title(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"


def _make_error_type(status: int) -> str:
    if status == 401:
        return "authentication_error"
    if status == 429:
        return "rate_limit_error"
    return "invalid_request_error" if status < 500 else "server_error"


__all__ = [
    "Response",
    "make_json_response",
    "make_malformed_refusal",
    "make_problem_document",
    "make_refusal_response",
    "make_status_line",
    "make_stopped_refusal",
]
