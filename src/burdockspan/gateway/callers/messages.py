"""Raw requests, their callers' connections, and responses."""

from __future__ import annotations

import dataclasses
import http
import json
import threading
from collections.abc import Callable, Iterable

from burdockspan.gateway.values import RelayNote

_PROBLEM_TYPE = "application/problem+json"


class TruncatedError(ConnectionError):
    """The rest of a response is unavailable.

    The connection is closed without the end of the body, so that the caller
    sees that the response is truncated.
    """


class CallerConnection:
    """The state of the connection that a request arrived on.

    Attributes:
      gone: whether the caller has closed its connection.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listeners: list[Callable[[], None]] = []
        self.gone = False

    def notify_when_gone(self, listener: Callable[[], None]) -> None:
        """Calls `listener` once the caller has gone, at once if it has."""
        with self._lock:
            if not self.gone:
                self._listeners.append(listener)
                return
        listener()

    def record_gone(self) -> None:
        """Records that the caller has gone, and calls the listeners."""
        with self._lock:
            if self.gone:
                return
            self.gone = True
            listeners, self._listeners = self._listeners, []
        for listener in listeners:
            listener()


@dataclasses.dataclass(frozen=True)
class RawRequest:
    """A request as received.

    Attributes:
      method: HTTP method.
      target: path and query, percent-encoded as received.
      headers: all headers in their order.
      body: whole body, without its transfer coding.
      client: IP address of the caller.
      arrived_s: when the request's head was complete, in monotonic seconds.
      caller: the caller's connection.
      relay: note of the VM that relayed it; None if it came from a caller.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = dataclasses.field(repr=False)
    body: bytes = dataclasses.field(repr=False)
    client: str
    arrived_s: float
    caller: CallerConnection
    relay: RelayNote | None = None


@dataclasses.dataclass(frozen=True)
class Response:
    """The response to a caller.

    Attributes:
      status: HTTP status.
      headers: headers, without hop-by-hop ones.
      body: parts of the body; raises `TruncatedError` if the rest of them is
        unavailable.
      close: called once the response has been sent or abandoned.
      not_run: whether the request certainly has not run.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterable[bytes]
    close: Callable[[], None] = lambda: None
    not_run: bool = False


def make_problem(
    status: int, reason: str, detail: str, retry_after_s: float | None = None
) -> Response:
    """Returns an error response of this router (RFC 9457)."""
    value = {"status": status, "reason": reason, "detail": detail}
    body = json.dumps(value).encode()
    headers = [
        ("Content-Type", _PROBLEM_TYPE),
        ("Content-Length", str(len(body))),
    ]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.2f}"))
    return Response(
        status, tuple(headers), (body,), not_run=reason == "not_run"
    )


def make_status_line(status: int) -> str:
    """Returns a status code with its reason phrase."""
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
