"""Completions that a thread reads while the test goes on."""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import json
import socket
import struct
import threading
from collections.abc import Callable
from typing import Any

from standins.launcher import Process
from tests.support.fleets import AUTHORIZATION, MODEL

_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True)
class CallResult:
    """What the caller of a completion received.

    Attributes:
      status: HTTP status; 0 if the connection failed before it.
      text: text of all received tokens.
      is_complete: whether the response ended regularly.
      errors: error events of the stream, or the refusal.
      is_broken: whether the connection ended before the body did.
    """

    status: int = 0
    text: str = ""
    is_complete: bool = False
    errors: tuple[dict[str, Any], ...] = ()
    is_broken: bool = False


class RunningCall:
    """A completion whose response a thread reads."""

    def __init__(self, entry: Process, body: dict[str, Any]) -> None:
        self.body = body
        self.result = CallResult()
        self._token_count = 0
        self._result_changed = threading.Condition()
        self._reading_allowed = threading.Event()
        self._reading_allowed.set()
        host, _, port = entry.address.rpartition(":")
        self._connection = http.client.HTTPConnection(
            host, int(port), timeout=_TIMEOUT_S
        )
        self._connection.connect()
        assert self._connection.sock is not None
        self._socket: socket.socket = self._connection.sock
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def wait_for_tokens(self, count: int) -> None:
        """Waits until this many tokens of a stream have been received."""
        with self._result_changed:
            is_reached_or_ended = self._result_changed.wait_for(
                lambda: (
                    self._token_count >= count or not self._thread.is_alive()
                ),
                _TIMEOUT_S,
            )
            if not is_reached_or_ended or self._token_count < count:
                raise AssertionError(
                    f"fewer than {count} tokens: {self.result}"
                )

    def pause(self) -> None:
        """Pauses the reading until `resume`."""
        self._reading_allowed.clear()

    def resume(self) -> None:
        """Continues the reading after `pause`."""
        self._reading_allowed.set()

    def disconnect(self, reset: bool = False) -> None:
        """Closes the connection as its caller, optionally with a TCP reset."""
        if reset:
            linger = struct.pack("ii", 1, 0)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        with contextlib.suppress(OSError):
            if not reset:
                self._socket.shutdown(socket.SHUT_RDWR)
            # Closes the descriptor although the response still refers to it.
            socket.close(self._socket.detach())

    def wait(self) -> CallResult:
        """Waits for the end of the call; returns its result."""
        self._thread.join(_TIMEOUT_S)
        if self._thread.is_alive():
            raise AssertionError(f"call did not end: {self.result}")
        return self.result

    def _run(self) -> None:
        try:
            with contextlib.closing(self._connection):
                self._read()
        except (OSError, ValueError, http.client.HTTPException):
            self._update_result(
                lambda result: dataclasses.replace(result, is_broken=True)
            )
        finally:
            with self._result_changed:
                self._result_changed.notify_all()

    def _read(self) -> None:
        data = json.dumps(self.body)
        headers = {"Content-Type": "application/json", **AUTHORIZATION}
        self._connection.request("POST", "/v1/completions", data, headers)
        response = self._connection.getresponse()
        status = response.status
        self._update_result(
            lambda result: dataclasses.replace(result, status=status)
        )
        if status != 200 or not self.body.get("stream"):
            value = json.loads(response.read())
            self._update_result(lambda result: _add_completion(result, value))
            return
        lines: list[str] = []
        while line := response.readline():
            self._reading_allowed.wait(_TIMEOUT_S)
            if line.strip():
                lines.append(line.decode().rstrip("\n"))
                continue
            event, lines = lines, []
            self._update_result(
                lambda result, event=event: _add_event(result, event)
            )
        if response.chunk_left is not None:  # type: ignore[attr-defined]
            # The connection ended before the last chunk.
            self._update_result(
                lambda result: dataclasses.replace(result, is_broken=True)
            )

    def _update_result(
        self, update: Callable[[CallResult], CallResult]
    ) -> None:
        with self._result_changed:
            self.result = update(self.result)
            if self.result.text:
                # Each token of the stand-in ends with its only space.
                self._token_count = self.result.text.count(" ")
            self._result_changed.notify_all()


def start_call(
    entry: Process, prompt: str, max_tokens: int = 50, stream: bool = True
) -> RunningCall:
    """Starts a completion through an entry VM."""
    body = {
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": stream,
    }
    return RunningCall(entry, body)


def _add_completion(result: CallResult, value: dict[str, Any]) -> CallResult:
    if result.status != 200:
        return dataclasses.replace(result, errors=(value,))
    text = value["choices"][0]["text"]
    return dataclasses.replace(result, text=text, is_complete=True)


def _add_event(result: CallResult, event: list[str]) -> CallResult:
    """Adds a server-sent event, given as its lines."""
    data = [
        line.removeprefix("data: ")
        for line in event
        if line.startswith("data: ")
    ]
    if "event: error" in event:
        errors = (*result.errors, json.loads(data[0]))
        return dataclasses.replace(result, errors=errors)
    if data == ["[DONE]"]:
        return dataclasses.replace(result, is_complete=True)
    text = json.loads(data[0])["choices"][0]["text"]
    return dataclasses.replace(result, text=result.text + text)


__all__ = ["CallResult", "RunningCall", "start_call"]
