"""Serves explanations at the metrics address of a VM."""

from __future__ import annotations

import json
import random
from collections.abc import Iterable
from typing import Any

from result import Err, Ok, Result

from burdockspan.gateway.callers.messages import (
    CallerConnection,
    RawRequest,
    make_status_line,
)
from burdockspan.gateway.context import Context
from burdockspan.gateway.explanation.explanation import explain, summarize

PATH = "/explain"
BODY_LIMIT_BYTES = 64 * 1024
_FIELDS = frozenset(("method", "target", "headers"))
_CLIENT = "127.0.0.1"


def serve_explanation(
    context: Context, environ: dict[str, Any], start_response: Any
) -> Iterable[bytes]:
    """Answers a request for an explanation, as a WSGI application."""
    if environ["REQUEST_METHOD"] != "POST":
        return _respond(
            start_response, 405, {"field": "method", "detail": "must be POST"}
        )
    decoded = _decode(environ, context.clock())
    outcome = "malformed" if isinstance(decoded, Err) else "decoded"
    context.registry.count("explanation", outcome)
    if isinstance(decoded, Err):
        field, detail = decoded.err_value
        return _respond(start_response, 400, {"field": field, "detail": detail})
    call = context.platform.decode_call(decoded.ok_value)
    if isinstance(call, Err):
        value = {"field": "headers", "detail": call.err_value}
        return _respond(start_response, 400, value)
    explanation = explain(context, call.ok_value, random.Random().random)
    value = {"summary": summarize(explanation), **explanation}
    return _respond(start_response, 200, value)


def _decode(
    environ: dict[str, Any], now_s: float
) -> Result[RawRequest, tuple[str, str]]:
    """Returns the request to explain, or the wrong field and what it must be.

    The detail repeats no value, since one may be a key.
    """
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > BODY_LIMIT_BYTES:
        return Err(("body", f"must have at most {BODY_LIMIT_BYTES} bytes"))
    try:
        value = json.loads(environ["wsgi.input"].read(length))
    except (ValueError, RecursionError):
        return Err(("body", "must be JSON"))
    if not isinstance(value, dict):
        return Err(("body", "must be an object"))
    if value.keys() - _FIELDS:
        return Err(("body", "must have only method, target and headers"))
    method, target = value.get("method"), value.get("target")
    if not (isinstance(method, str) and method.isascii() and method.isalpha()):
        return Err(("method", "must be an HTTP method"))
    if not (
        isinstance(target, str) and target.isascii() and target.startswith("/")
    ):
        return Err(("target", "must be ASCII and begin with a slash"))
    headers = value.get("headers")
    if not isinstance(headers, list) or not all(map(_is_header, headers)):
        return Err(("headers", "must be a list of names and values"))
    return Ok(
        RawRequest(
            method=method,
            target=target,
            headers=tuple((name, text) for name, text in headers),
            body=b"",
            client=_CLIENT,
            arrived_s=now_s,
            caller=CallerConnection(),
        )
    )


def _is_header(item: object) -> bool:
    return (
        isinstance(item, list)
        and len(item) == len(("name", "value"))
        and all(isinstance(text, str) for text in item)
    )


def _respond(start_response: Any, status: int, value: Any) -> Iterable[bytes]:
    body = json.dumps(value).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response(make_status_line(status), headers)
    return [body]


__all__ = ["BODY_LIMIT_BYTES", "PATH", "serve_explanation"]
