"""Calls and answers of the stand-ins' HTTP interfaces."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Callable, Iterator
from typing import Any


@dataclasses.dataclass(frozen=True)
class Exchange:
    """One parsed call.

    Attributes:
      method: HTTP method.
      path: percent-decoded path without the query.
      query: first value of each query parameter.
      headers: headers by lower-case name.
      body: whole body.
      gone: tells whether the caller closed the connection.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    gone: Callable[[], bool]

    def json(self) -> dict[str, Any]:
        """Returns the body as a JSON object; empty when it is none."""
        try:
            value = json.loads(self.body or b"{}")
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}


@dataclasses.dataclass(frozen=True)
class Answer:
    """Status and body; an iterator is sent with chunked encoding."""

    status: int
    body: bytes | Iterator[bytes] = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Application = Callable[[Exchange], Answer | None]
"""Answers one call; None closes the connection without an answer."""


def json_answer(status: int, value: object) -> Answer:
    """Returns an answer with a JSON body."""
    return Answer(status, json.dumps(value).encode())


__all__ = ["Answer", "Application", "Exchange", "json_answer"]
