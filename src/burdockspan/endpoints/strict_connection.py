"""Connections that read responses strictly, and within their time limits.

A response with an incomplete header section is rejected: the standard library
treats the end of the connection as the end of the header section. A response
that lost some of its headers then looks complete: without Content-Length, its
body seems to end with the connection. So does one with a malformed header,
which hides those that follow it, or with a malformed length.
"""

from __future__ import annotations

import functools
import http
import http.client
import re
from typing import Any

from urllib3.connection import HTTPConnection
from urllib3.util.response import assert_header_parsing

from burdockspan.endpoints.call_timer import CallTimer
from burdockspan.endpoints.timed_reader import make_timed_reader

_QUOTED_LENGTH = 100
_EMPTY_LINES = (b"\r\n", b"\n")


class _LastLineRecorder:
    """Wraps a file object and records the last line that was read."""

    def __init__(self, raw: Any) -> None:
        self.raw = raw
        self.last_line = b""

    def readline(self, *arguments: int) -> bytes:
        self.last_line = self.raw.readline(*arguments)
        return self.last_line

    def __getattr__(self, name: str) -> Any:
        return getattr(self.raw, name)


class _StrictHTTPResponse(http.client.HTTPResponse):
    def __init__(
        self, sock: Any, *args: Any, timer: CallTimer, **kwargs: Any
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        self.fp = make_timed_reader(sock, self.fp, timer)

    def begin(self) -> None:
        recorder = _LastLineRecorder(self.fp)
        self.fp = recorder  # type: ignore[assignment]
        try:
            super().begin()
        finally:
            if self.fp is recorder:
                self.fp = recorder.raw
        if recorder.last_line not in _EMPTY_LINES:
            raise http.client.IncompleteRead(recorder.last_line)
        # The parser of the standard library drops the lines that follow a
        # malformed one.
        assert_header_parsing(self.msg)
        _check_framing(self.msg)

    def _read_status(self) -> tuple[str, int, str]:
        # The standard library skips interim responses with status 100 only.
        while True:
            version, status, reason = super()._read_status()  # type: ignore[misc]
            is_interim = 100 < status < 200
            if not is_interim or status == http.HTTPStatus.SWITCHING_PROTOCOLS:
                return version, status, reason
            http.client.parse_headers(self.fp)


def _check_framing(headers: http.client.HTTPMessage) -> None:
    """Checks the headers that say where the body ends.

    Raises:
      http.client.HTTPException: the end of the body is unknown. The standard
        library would take the end of the connection for it.
    """
    for length in headers.get_all("Content-Length", []):
        if not re.fullmatch(r"[0-9]+", length.strip()):
            raise http.client.HTTPException(
                f"malformed Content-Length: {length[:_QUOTED_LENGTH]!r}"
            )
    codings = headers.get_all("Transfer-Encoding", [])
    if codings and [coding.strip().lower() for coding in codings] != [
        "chunked"
    ]:
        raise http.client.HTTPException(
            f"unknown Transfer-Encoding: {codings[0][:_QUOTED_LENGTH]!r}"
        )


class WholeHeadConnection(HTTPConnection):
    """A connection whose responses have complete header sections.

    Reading a response raises `http.client.IncompleteRead` if the connection
    ends before the empty line after the headers, and
    `urllib3.exceptions.HeaderParsingError` if a header is malformed. urllib3
    writes the name of the class into its errors, which the details of refusals
    and log lines quote.
    """

    timer: CallTimer

    def start_call(self, timer: CallTimer) -> None:
        """Sets the time limits of the next request and its response."""
        self.timer = timer
        self.response_class = functools.partial(  # type: ignore[assignment]
            _StrictHTTPResponse, timer=timer
        )

    def send(self, data: Any) -> None:
        """Sends a part of the request."""
        self.sock.settimeout(self.timer.send_limit_s())
        super().send(data)


__all__ = ["WholeHeadConnection"]
