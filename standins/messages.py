"""Calls and answers of the stand-ins' HTTP interfaces."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Callable, Iterator
from typing import Any


@dataclasses.dataclass(frozen=True)
class Request:
    """One parsed call.

    Attributes:
      method: HTTP method.
      path: percent-decoded path without the query.
      query: first value of each query parameter.
      headers: headers by lower-case name.
      body: whole body.
      caller_closed: tells whether the caller closed the connection.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    caller_closed: Callable[[], bool]

    def json(self) -> dict[str, Any]:
        """Returns the body as a JSON object; empty when it is none."""
        try:
            value = json.loads(self.body or b"{}")
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}


@dataclasses.dataclass(frozen=True)
class Response:
    """Status and body; an iterator is sent with chunked encoding."""

    status: int
    body: bytes | Iterator[bytes] = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Application = Callable[[Request], Response | None]
"""Answers one call; None closes the connection without an answer."""


def json_response(status: int, value: object) -> Response:
    """Returns an answer with a JSON body."""
    return Response(status, json.dumps(value).encode())


__all__ = ["Application", "Request", "Response", "json_response"]
