"""Requests as received, their callers, and the answers to them."""

from __future__ import annotations

import dataclasses
import http
import json
import threading
from collections.abc import Callable, Iterable

_PROBLEM_TYPE = "application/problem+json"


class TruncatedError(ConnectionError):
    """Ends an answer whose rest cannot be had, so that it looks cut off."""


class CallerConnection:
    """The connection of one request's caller.

    Attributes:
      gone: whether the caller has closed its connection.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listeners: list[Callable[[], None]] = []
        self.gone = False

    def notify_when_gone(self, listener: Callable[[], None]) -> None:
        """Calls a function once the caller has gone, now if it has."""
        with self._lock:
            if not self.gone:
                self._listeners.append(listener)
                return
        listener()

    def mark_gone(self) -> None:
        """Notes that the caller has gone."""
        with self._lock:
            if self.gone:
                return
            self.gone = True
            listeners, self._listeners = self._listeners, []
        for listener in listeners:
            listener()


@dataclasses.dataclass(frozen=True)
class RawRequest:
    """A request as it was received.

    Attributes:
      method: HTTP method.
      target: path and query, not decoded.
      headers: all headers in their order.
      body: whole body, without its transfer coding.
      client: IP address of the caller.
      arrived_s: when its head had been read, monotonic seconds.
      caller: the caller's connection.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    client: str
    arrived_s: float
    caller: CallerConnection


@dataclasses.dataclass(frozen=True)
class Response:
    """The answer to a request.

    Attributes:
      status: HTTP status.
      headers: headers, none of which concerns only the connection.
      body: its parts; raises `TruncatedError` if the rest cannot be had.
      close: called once the answer has been sent or given up.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterable[bytes]
    close: Callable[[], None] = lambda: None


def make_problem(
    status: int, reason: str, detail: str, retry_after_s: float | None = None
) -> Response:
    """Returns a refusal of this router, RFC 9457."""
    value = {"status": status, "reason": reason, "detail": detail}
    body = json.dumps(value).encode()
    headers = [
        ("Content-Type", _PROBLEM_TYPE),
        ("Content-Length", str(len(body))),
    ]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.2f}"))
    return Response(status, tuple(headers), (body,))


def make_status_line(status: int) -> str:
    """Returns a status with its reason phrase."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


__all__ = [
    "CallerConnection",
    "RawRequest",
    "Response",
    "TruncatedError",
    "make_problem",
    "make_status_line",
]
