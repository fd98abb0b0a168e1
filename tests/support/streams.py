"""Streamed completions that a test or a thread reads."""

from __future__ import annotations

import http.client
import json
import socket
import threading

from standins import tokens
from standins.launcher import Process
from tests.support.fleets import AUTHORIZATION, MODEL

_TIMEOUT_S = 60.0
_DONE = b"data: [DONE]"


class Stream:
    """A streamed completion.

    Attributes:
      status: HTTP status of the response.
    """

    def __init__(
        self,
        entry: Process,
        prompt: str,
        max_tokens: int,
        receive_bytes: int | None = None,
    ) -> None:
        self._body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        self._connection = http.client.HTTPConnection(
            entry.address, timeout=_TIMEOUT_S
        )
        if receive_bytes is not None:
            self._connection.sock = _connect(entry.address, receive_bytes)
        self._connection.request(
            "POST",
            "/v1/completions",
            json.dumps(self._body),
            {**AUTHORIZATION, "Content-Type": "application/json"},
        )
        self._response = self._connection.getresponse()
        self._lines: list[bytes] = []
        self._thread: threading.Thread | None = None
        self.status = self._response.status

    def read_first_token(self) -> None:
        """Reads up to the first token."""
        while not self._lines or not self._lines[-1].startswith(b"data:"):
            line = self._response.readline()
            if not line:
                raise AssertionError(f"no token arrived: status {self.status}")
            self._lines.append(line)

    def start_reading(self) -> None:
        """Reads the rest of the stream in a thread."""
        self._thread = threading.Thread(target=self._read)
        self._thread.start()

    def find_problem(self) -> str | None:
        """Returns what is wrong with the complete stream, None if nothing."""
        if self._thread is None:
            self._read()
        else:
            self._thread.join(_TIMEOUT_S)
        lines = [line.strip() for line in self._lines if line.strip()]
        if not lines or lines[-1] != _DONE:
            return f"incomplete after {len(lines)} lines: {lines[-1:]!r}"
        text = "".join(
            json.loads(line[6:])["choices"][0]["text"]
            for line in lines[:-1]
            if line.startswith(b"data: ")
        )
        expected = tokens.expected_text(self._body)
        return None if text == expected else f"wrong text: {text[-40:]!r}"

    def _read(self) -> None:
        try:
            while line := self._response.readline():
                self._lines.append(line)
        except (OSError, http.client.HTTPException) as error:
            self._lines.append(repr(error).encode())
        finally:
            self._connection.close()


def _connect(address: str, receive_bytes: int) -> socket.socket:
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    connection.settimeout(_TIMEOUT_S)
    connection.connect((host, int(port)))
    return connection


__all__ = ["Stream"]
