"""HTTP requests and responses of the stand-ins."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Callable, Iterator
from typing import Any


@dataclasses.dataclass(frozen=True)
class Request:
    """A parsed HTTP request.

    Attributes:
      method: HTTP method.
      path: percent-decoded path without the query.
      query: first value of each query parameter.
      headers: headers by lower-case name.
      body: complete body.
      caller_closed: returns whether the caller closed the connection.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    caller_closed: Callable[[], bool]

    def json(self) -> dict[str, Any]:
        """Returns the body as a JSON object; empty if it is not one."""
        try:
            value = json.loads(self.body or b"{}")
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}


@dataclasses.dataclass(frozen=True)
class Response:
    """An HTTP response; an iterator body is sent with chunked encoding.

    The iterator raises ConnectionAbortedError to close the connection before
    the response is complete.
    """

    status: int
    body: bytes | Iterator[bytes] = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Application = Callable[[Request], Response | None]
"""Handles one request; None closes the connection without a response."""


def json_response(status: int, value: object) -> Response:
    """Returns a response with a JSON body."""
    return Response(status, json.dumps(value).encode())


__all__ = ["Application", "Request", "Response", "json_response"]
