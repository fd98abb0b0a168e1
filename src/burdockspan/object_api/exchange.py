"""Exchanges with the platform under rate and time limits."""

from __future__ import annotations

import dataclasses
import json
import urllib.parse
from collections.abc import Callable
from typing import Any, TypeVar

from result import Err, Ok, Result

from burdockspan.object_api.calls import Budget, CallLimiter
from burdockspan.object_api.eras import EraTracker, parse_era
from burdockspan.object_api.objects import (
    PlatformError,
    VersionedObject,
    parse_versioned,
)
from burdockspan.object_api.retries import retry_read
from burdockspan.object_api.transport import ExchangeFailure, Request, Transport
from burdockspan.values.clock import Clock
from burdockspan.values.json_reader import read_json
from burdockspan.values.randomness import RandomFloat

T = TypeVar("T")
_HTTP_OK = 200


@dataclasses.dataclass(frozen=True)
class TimeLimits:
    """Time limits of platform calls, in seconds.

    Attributes:
      call_s: one attempt of an object or VM list call.
      read_s: time after which no further attempt of a read starts.
      watch_margin_s: time limit of a watch beyond the time for which the
        platform waits for changes.
      weights_s: one download of weights.
    """

    call_s: float = 1.0
    read_s: float = 1.0
    watch_margin_s: float = 1.0
    weights_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class CallContext:
    """Dependencies and settings that the calls of a client share."""

    transport: Transport
    limiter: CallLimiter
    clock: Clock
    random_float: RandomFloat
    time_limits: TimeLimits
    sleep: Callable[[float], None]
    eras: EraTracker


def send_read(
    context: CallContext,
    operation: str,
    kind: str,
    path: str,
    parse: Callable[[Any], T | None],
) -> Result[T, PlatformError]:
    """Reads and parses; retries a few times while the result is UNAVAILABLE."""
    request = Request("GET", path, context.time_limits.call_s)
    return retry_read(
        lambda: parse_response(
            send_once(context, operation, kind, request), parse
        ),
        context.clock,
        context.sleep,
        context.random_float,
        context.time_limits.read_s,
    )


def send_write(
    context: CallContext,
    operation: str,
    target: tuple[str, str],
    value: Any,
    condition: tuple[str, str],
) -> Result[VersionedObject, PlatformError]:
    """Sends a conditional write once; a malformed response is UNCERTAIN."""
    kind, name = target
    body = json.dumps(value, separators=(",", ":")).encode()
    path = object_path(kind, name)
    request = Request(
        "PUT", path, context.time_limits.call_s, body, (condition,)
    )
    response = send_once(context, operation, kind, request)
    written = parse_response(response, lambda v: parse_versioned(name, v))
    if response.is_ok() and written.is_err():
        return Err(PlatformError.UNCERTAIN)
    return written


def send_once(
    context: CallContext, operation: str, kind: str, request: Request
) -> Result[bytes, PlatformError]:
    """Performs one call under the rate limit and counts it; no retries.

    A response of an earlier era than the latest known one counts as none.
    """
    writing = request.method != "GET"
    budget = Budget.WRITE if writing else Budget.READ
    if not context.limiter.admit(operation, budget, kind):
        return Err(PlatformError.LIMITED)
    outcome = _exchange(context, request, writing)
    error = outcome.err()
    context.limiter.record(error.value if error else "ok")
    return outcome


def _exchange(
    context: CallContext, request: Request, writing: bool
) -> Result[bytes, PlatformError]:
    exchanged = context.transport(request)
    no_response = (
        PlatformError.UNCERTAIN if writing else PlatformError.UNAVAILABLE
    )
    if isinstance(exchanged, Err):
        not_sent = exchanged.err_value is ExchangeFailure.NOT_SENT
        return Err(PlatformError.UNAVAILABLE if not_sent else no_response)
    response = exchanged.ok_value
    if not context.eras.observe(parse_era(response.headers)):
        return Err(no_response)
    if response.status == _HTTP_OK:
        return Ok(response.body)
    if response.status >= 500:
        # A proxy may send the error although the platform applied the write.
        return Err(no_response)
    errors = {
        404: PlatformError.NOT_FOUND,
        412: PlatformError.CONFLICT,
        429: PlatformError.LIMITED,
    }
    return Err(errors.get(response.status, PlatformError.MALFORMED))


def parse_response(
    response: Result[bytes, PlatformError], parse: Callable[[Any], T | None]
) -> Result[T, PlatformError]:
    """Parses a JSON response; `parse` returns None if it is malformed."""
    if isinstance(response, Err):
        return response
    read = read_json(response.ok_value)
    try:
        value = None if isinstance(read, Err) else parse(read.ok_value)
    except ValueError:
        value = None
    return Err(PlatformError.MALFORMED) if value is None else Ok(value)


def object_path(kind: str, name: str) -> str:
    """Returns the URL path of an object."""
    return f"/objects/{quote_segment(kind)}/{quote_segment(name)}"


def quote_segment(text: str) -> str:
    """Returns text quoted as one segment of a URL path."""
    return urllib.parse.quote(text, safe="")


__all__ = [
    "CallContext",
    "TimeLimits",
    "object_path",
    "parse_response",
    "quote_segment",
    "send_once",
    "send_read",
    "send_write",
]
