"""Starts stand-ins as separate processes and calls them."""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import json
import pathlib
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any

_ROOT = pathlib.Path(__file__).parents[2]
_CONDITION_LIMIT_S = 20.0


@dataclasses.dataclass(frozen=True)
class Reply:
    """Status and body of an answer."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Returns the body as JSON values."""
        return json.loads(self.body)


@dataclasses.dataclass(frozen=True)
class StandIn:
    """A running stand-in; `address` is `ip:port`."""

    address: str
    process: subprocess.Popen[str]

    def call(
        self,
        method: str,
        path: str,
        value: object = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> Reply:
        """Calls on a fresh connection; connection errors are raised."""
        connection = http.client.HTTPConnection(self.address, timeout=timeout_s)
        with contextlib.closing(connection):
            body = None if value is None else json.dumps(value)
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            return Reply(response.status, response.read())

    def fault(self, **faults: object) -> None:
        """Changes the faults of the stand-in."""
        self.call("POST", "/faults", faults)


@contextlib.contextmanager
def running(module: str, *arguments: str) -> Iterator[StandIn]:
    """Runs `python -m standins.<module>` on a free port until left."""
    command = [sys.executable, "-m", f"standins.{module}", "--port", "0"]
    process = subprocess.Popen(
        [*command, *arguments],
        cwd=_ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        line = process.stdout.readline()
        yield StandIn(line.split()[-1], process)
    finally:
        process.kill()
        process.wait()
        if process.stdout is not None:
            process.stdout.close()


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Polls until a condition holds; fails when it does not in 20 s."""
    end_s = time.monotonic() + _CONDITION_LIMIT_S
    while not condition():
        if time.monotonic() > end_s:
            raise AssertionError(f"waited in vain until {what}")
        time.sleep(0.005)


__all__ = ["Reply", "StandIn", "running", "wait_until"]
