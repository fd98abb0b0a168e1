"""Connections that refuse an answer whose head breaks off.

The standard library takes the end of the connection for the end of the head.
An answer that lost the rest of its headers then looks complete: without its
length, its body seems to end with the connection.
"""

from __future__ import annotations

import http.client
from typing import Any

from urllib3.connection import HTTPConnection

_ENDS_OF_HEAD = (b"\r\n", b"\n")


class _LineRecorder:
    """Passes everything on, and keeps the last line that was read."""

    def __init__(self, raw: Any) -> None:
        self.raw = raw
        self.last_line = b""

    def readline(self, *arguments: int) -> bytes:
        self.last_line = self.raw.readline(*arguments)
        return self.last_line

    def __getattr__(self, name: str) -> Any:
        return getattr(self.raw, name)


class _Response(http.client.HTTPResponse):
    def begin(self) -> None:
        recorder = _LineRecorder(self.fp)
        self.fp = recorder  # type: ignore[assignment]
        try:
            super().begin()
        finally:
            if self.fp is recorder:
                self.fp = recorder.raw
        if recorder.last_line not in _ENDS_OF_HEAD:
            raise http.client.IncompleteRead(recorder.last_line)


class WholeHeadConnection(HTTPConnection):
    """A connection whose answers have whole heads.

    Reading an answer raises `http.client.IncompleteRead` if its head breaks
    off.
    """

    response_class = _Response


__all__ = ["WholeHeadConnection"]
