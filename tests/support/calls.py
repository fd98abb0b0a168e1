"""Calls of a fleet that run beside a test, read part by part."""

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
class Outcome:
    """What a caller received.

    Attributes:
      status: HTTP status; 0 if the connection broke before it.
      text: the text of all tokens received.
      done: whether the answer came to its regular end.
      errors: error events of a stream, or the refusal.
      broken: whether the connection ended before the body did.
    """

    status: int = 0
    text: str = ""
    done: bool = False
    errors: tuple[dict[str, Any], ...] = ()
    broken: bool = False


class RunningCall:
    """One completion whose answer a thread reads."""

    def __init__(self, entry: Process, body: dict[str, Any]) -> None:
        self.body = body
        self.outcome = Outcome()
        self._events = 0
        self._changed = threading.Condition()
        self._paused = threading.Event()
        self._paused.set()
        host, _, port = entry.address.rpartition(":")
        self._connection = http.client.HTTPConnection(
            host, int(port), timeout=_TIMEOUT_S
        )
        self._connection.connect()
        assert self._connection.sock is not None
        self._sock: socket.socket = self._connection.sock
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def wait_events(self, count: int) -> None:
        """Waits until this many events of a stream have arrived."""
        with self._changed:
            arrived = self._changed.wait_for(
                lambda: self._events >= count or not self._thread.is_alive(),
                _TIMEOUT_S,
            )
            if not arrived or self._events < count:
                raise AssertionError(f"no {count} events: {self.outcome}")

    def pause(self) -> None:
        """Stops reading until `go_on`."""
        self._paused.clear()

    def go_on(self) -> None:
        """Reads again after `pause`."""
        self._paused.set()

    def close(self, reset: bool = False) -> None:
        """Closes the caller's connection, with a TCP reset if asked."""
        if reset:
            linger = struct.pack("ii", 1, 0)
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        with contextlib.suppress(OSError):
            if not reset:
                self._sock.shutdown(socket.SHUT_RDWR)
            # The descriptor goes at once, although a response still names it.
            socket.close(self._sock.detach())

    def wait(self) -> Outcome:
        """Waits for the end of the call and returns what arrived."""
        self._thread.join(_TIMEOUT_S)
        if self._thread.is_alive():
            raise AssertionError(f"call did not end: {self.outcome}")
        return self.outcome

    def _run(self) -> None:
        try:
            with contextlib.closing(self._connection):
                self._read()
        except (OSError, ValueError, http.client.HTTPException):
            self._change(lambda old: dataclasses.replace(old, broken=True))
        finally:
            with self._changed:
                self._changed.notify_all()

    def _read(self) -> None:
        data = json.dumps(self.body)
        headers = {"Content-Type": "application/json", **AUTHORIZATION}
        self._connection.request("POST", "/v1/completions", data, headers)
        response = self._connection.getresponse()
        status = response.status
        self._change(lambda old: dataclasses.replace(old, status=status))
        if status != 200 or not self.body.get("stream"):
            value = json.loads(response.read())
            self._change(lambda old: _take_whole(old, value))
            return
        event: list[str] = []
        while line := response.readline():
            self._paused.wait(_TIMEOUT_S)
            if line.strip():
                event.append(line.decode().rstrip("\n"))
                continue
            lines, event = event, []
            self._change(lambda old, lines=lines: _take_event(old, lines))
        if response.chunk_left is not None:  # type: ignore[attr-defined]
            # The connection ended before the last chunk.
            self._change(lambda old: dataclasses.replace(old, broken=True))

    def _change(self, change: Callable[[Outcome], Outcome]) -> None:
        with self._changed:
            self.outcome = change(self.outcome)
            if self.outcome.text:
                self._events = self.outcome.text.count(" ")
            self._changed.notify_all()


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


def _take_whole(old: Outcome, value: dict[str, Any]) -> Outcome:
    if old.status != 200:
        return dataclasses.replace(old, errors=(value,))
    text = value["choices"][0]["text"]
    return dataclasses.replace(old, text=text, done=True)


def _take_event(old: Outcome, lines: list[str]) -> Outcome:
    data = [x.removeprefix("data: ") for x in lines if x.startswith("data: ")]
    if "event: error" in lines:
        errors = (*old.errors, json.loads(data[0]))
        return dataclasses.replace(old, errors=errors)
    if data == ["[DONE]"]:
        return dataclasses.replace(old, done=True)
    text = json.loads(data[0])["choices"][0]["text"]
    return dataclasses.replace(old, text=old.text + text)


__all__ = ["Outcome", "RunningCall", "start_call"]
