"""Counted and bounded exchanges with the platform, and their outcomes."""

from __future__ import annotations

import dataclasses
import json
import urllib.parse
from collections.abc import Callable
from typing import Any, TypeVar

from result import Err, Ok, Result

from burdockspan.object_api.calls import Budget, CallLimiter
from burdockspan.object_api.objects import (
    PlatformError,
    VersionedObject,
    parse_versioned,
)
from burdockspan.object_api.retries import RandomFloat, retry_read
from burdockspan.object_api.transport import ExchangeFailure, Request, Transport
from burdockspan.values.clock import Clock

T = TypeVar("T")
_HTTP_OK = 200


@dataclasses.dataclass(frozen=True)
class CallTimes:
    """Time limits of platform calls, in seconds.

    Attributes:
      call_s: one attempt of an object or VM list call.
      read_s: no retry of a read starts later than this.
      watch_margin_s: added to the time that a watch asks to wait.
      weights_s: one download of weights.
    """

    call_s: float = 1.0
    read_s: float = 1.0
    watch_margin_s: float = 1.0
    weights_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class Sender:
    """What every call of a client shares."""

    transport: Transport
    account: CallLimiter
    clock: Clock
    random_float: RandomFloat
    times: CallTimes
    sleep: Callable[[float], None]


def read(
    sender: Sender,
    operation: str,
    kind: str,
    path: str,
    parse: Callable[[Any], T | None],
) -> Result[T, PlatformError]:
    """Reads and parses, with bounded retries while unavailable."""
    call = Request("GET", path, sender.times.call_s)
    return retry_read(
        lambda: parsed(send(sender, operation, kind, call), parse),
        sender.clock,
        sender.sleep,
        sender.random_float,
        sender.times.read_s,
    )


def write(
    sender: Sender,
    operation: str,
    target: tuple[str, str],
    value: Any,
    condition: tuple[str, str],
) -> Result[VersionedObject, PlatformError]:
    """Writes once under a condition; a malformed answer is UNCERTAIN."""
    kind, name = target
    body = json.dumps(value, separators=(",", ":")).encode()
    path = object_path(kind, name)
    call = Request("PUT", path, sender.times.call_s, body, (condition,))
    answer = send(sender, operation, kind, call)
    written = parsed(answer, lambda v: parse_versioned(name, v))
    if answer.is_ok() and written.is_err():
        return Err(PlatformError.UNCERTAIN)
    return written


def send(
    sender: Sender, operation: str, kind: str, call: Request
) -> Result[bytes, PlatformError]:
    """Performs one call that is counted and bounded; never repeats it."""
    writing = call.method != "GET"
    budget = Budget.WRITE if writing else Budget.READ
    if not sender.account.admit(operation, budget, kind):
        return Err(PlatformError.LIMITED)
    outcome = _judge(sender.transport, call, writing)
    error = outcome.err()
    sender.account.record(error.value if error else "ok")
    return outcome


def _judge(
    transport: Transport, call: Request, writing: bool
) -> Result[bytes, PlatformError]:
    exchanged = transport(call)
    lost = PlatformError.UNCERTAIN if writing else PlatformError.UNAVAILABLE
    if isinstance(exchanged, Err):
        not_sent = exchanged.err_value is ExchangeFailure.NOT_SENT
        return Err(PlatformError.UNAVAILABLE if not_sent else lost)
    reply = exchanged.ok_value
    if reply.status == _HTTP_OK:
        return Ok(reply.body)
    if reply.status >= 500:
        # A proxy may answer for a platform that has applied the write.
        return Err(lost)
    errors = {
        404: PlatformError.NOT_FOUND,
        412: PlatformError.CONFLICT,
        429: PlatformError.LIMITED,
    }
    return Err(errors.get(reply.status, PlatformError.MALFORMED))


def parsed(
    answer: Result[bytes, PlatformError], parse: Callable[[Any], T | None]
) -> Result[T, PlatformError]:
    """Parses a JSON answer; `parse` returns None when it is malformed."""
    if isinstance(answer, Err):
        return answer
    try:
        value = parse(json.loads(answer.ok_value))
    except ValueError:
        value = None
    return Err(PlatformError.MALFORMED) if value is None else Ok(value)


def object_path(kind: str, name: str) -> str:
    """Returns the path of an object."""
    return f"/objects/{quoted(kind)}/{quoted(name)}"


def quoted(text: str) -> str:
    """Returns text as one segment of a path."""
    return urllib.parse.quote(text, safe="")


__all__ = [
    "CallTimes",
    "Sender",
    "object_path",
    "parsed",
    "quoted",
    "read",
    "send",
    "write",
]
