"""Callers of a soak, which keep connections open until they end."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import math
import random
from collections.abc import Mapping

from soak import limits, wire
from soak.accounts import choose_key, make_headers
from soak.documents import HOST
from soak.history import Kind, Outcome, Request
from soak.vms import Vm
from soak.world import World

_KINDS = (Kind.READ, Kind.READ, Kind.PAY, Kind.PAY, Kind.DRAFT, Kind.REVIEW)
# A caller reuses a connection that has been idle for this share of the idle
# timeout.
_IDLE_SHARE = 0.8
# Mean pause between two requests of a caller.
_USUAL_PAUSE_S = 0.1
# Some pauses are long, so that connections stay idle up to their limit.
_LONG_PAUSE_PROBABILITY = 0.15
_LONGEST_PAUSE_S = 4.0
# Shortest and longest deadline: below and above the timeouts of the routes.
_DEADLINE_S = (2.0, 6.0)
_PROBE_INTERVAL_S = 0.2
_PROBE_DEADLINE_S = 2.0
# First part of all prompts.
_SHARED_PART = "5a"
# Share of the streams that hold a part that crashes engines.
_CRASHING_PROBABILITY = 0.3
# The body of a request repeats its ID this often.
_BODY_REPEATS = 50
# Pause before another connection is opened after none could be opened.
_UNAVAILABLE_PAUSE_S = 0.2
# A caller waits longer than the checker allows, so that a late answer is
# recorded with its time.
_FURTHER_WAIT_S = 0.2


@dataclasses.dataclass
class _Connection:
    """An open connection to a VM."""

    vm: Vm
    incarnation: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    idle_since_s: float
    keep_alive_s: float = math.inf


class Caller:
    """A caller with at most one connection."""

    def __init__(self, world: World, home: Vm, rng: random.Random) -> None:
        self._world = world
        self._home = home
        self._rng = rng
        self._connection: _Connection | None = None

    async def run(self) -> None:
        """Sends requests of all kinds until the soak stops."""
        rng = self._rng
        while not self._world.stopping.is_set():
            kind = rng.choice(_KINDS)
            deadline_s = round(rng.uniform(*_DEADLINE_S), 2)
            pause_s = rng.expovariate(1 / _USUAL_PAUSE_S)
            if rng.random() < _LONG_PAUSE_PROBABILITY:
                pause_s = rng.uniform(0.0, _LONGEST_PAUSE_S)
            await self._send(kind, deadline_s, self._choose_vm())
            await asyncio.sleep(pause_s)
        self._close()

    async def probe(self) -> None:
        """Requests the route of the newest version from the home VM."""
        while not self._world.stopping.is_set():
            version = self._world.configuration.version
            await self._send(Kind.PROBE, _PROBE_DEADLINE_S, self._home, version)
            await asyncio.sleep(_PROBE_INTERVAL_S)
        self._close()

    def _choose_vm(self) -> Vm:
        ready = [vm for vm in self._world.vms if vm.is_ready]
        if self._home in ready or not ready:
            return self._home
        return self._rng.choice(ready)

    async def _send(
        self, kind: Kind, deadline_s: float, vm: Vm, version: int = 0
    ) -> None:
        connection = await self._take_connection(vm)
        if connection is None:
            await asyncio.sleep(_UNAVAILABLE_PAUSE_S)
            return
        now_s = self._world.history.now_s
        request_id = f"{kind.value}-{next(self._world.request_numbers)}"
        part = ""
        if kind.is_stream and self._rng.random() < _CRASHING_PROBABILITY:
            part = self._world.crashing_part
        key = self._choose_key(kind)
        identity = make_headers(key, self._rng) if key is not None else {}
        response = _Response(Outcome.NOT_SENT)
        sent_s = now_s()
        with contextlib.suppress(OSError):
            connection.writer.write(
                _encode(request_id, kind, deadline_s, version, part, identity)
            )
            await connection.writer.drain()
            sent_s = now_s()
            response = await _receive(connection.reader, deadline_s)
        is_same = connection.incarnation == connection.vm.incarnation
        request = Request(
            id=request_id,
            kind=kind,
            vm=connection.vm.name,
            incarnation=connection.incarnation if is_same else None,
            sent_s=sent_s,
            ended_s=now_s(),
            deadline_s=deadline_s,
            outcome=response.outcome,
            status=response.status,
            stamp=response.headers.get("response-stamp"),
            body=response.body,
            version=version,
            part=part,
            key=key or "",
        )
        self._world.history.requests.append(request)
        connection.idle_since_s = now_s()
        await self._follow(response, deadline_s, connection)

    def _choose_key(self, kind: Kind) -> str | None:
        """Returns the key to present; None if there are no accounts."""
        accounts = self._world.configuration.accounts
        if not accounts:
            return None
        if kind is Kind.PROBE:
            return accounts[0].keys[0]
        removed = [
            key
            for key, life in self._world.history.life_by_key.items()
            if life.removed_s < math.inf
        ]
        return choose_key(accounts, removed, self._rng)

    async def _follow(
        self, response: _Response, deadline_s: float, connection: _Connection
    ) -> None:
        """Follows Connection, Keep-Alive and Retry-After of a response."""
        headers = response.headers
        keep_alive = headers.get("keep-alive", "")
        if keep_alive.startswith("timeout="):
            text = keep_alive.removeprefix("timeout=").split(",")[0]
            connection.keep_alive_s = float(text)
        is_last = headers.get("connection", "").lower() == "close"
        retry_after = headers.get("retry-after")
        if response.outcome is not Outcome.COMPLETE or is_last or retry_after:
            self._close()
        if retry_after is not None:
            await asyncio.sleep(min(float(retry_after), deadline_s / 3))

    async def _take_connection(self, vm: Vm) -> _Connection | None:
        """Returns the open connection, or a new one if it may not be used.

        An idle connection is used while the idle timeouts of all configurations
        that may be in force allow it.
        """
        history, kept = self._world.history, self._connection
        now_s = history.now_s()
        if kept is not None:
            known_s = now_s - limits.CONFIGURATION_LIMIT_S - limits.STABLE_S
            limit_s = _IDLE_SHARE * min(
                write.idle_timeout_s
                for write in history.configurations_since(known_s)
            )
            idle_s = now_s - kept.idle_since_s
            if not kept.reader.at_eof() and idle_s <= min(
                limit_s, kept.keep_alive_s
            ):
                return kept
            self._close()
        incarnation = vm.incarnation
        try:
            reader, writer = await wire.connect(vm.callers.port)
        except OSError:
            return None
        self._connection = _Connection(vm, incarnation, reader, writer, now_s)
        return self._connection

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.writer.close()
            self._connection = None


@dataclasses.dataclass(frozen=True)
class _Response:
    """What a caller has received."""

    outcome: Outcome
    status: int = 0
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""


async def _receive(
    reader: asyncio.StreamReader, deadline_s: float
) -> _Response:
    wait_s = deadline_s + limits.ANSWER_SLACK_S + limits.BUSY_TOLERANCE_S
    parts: list[bytes] = []
    head = None
    outcome = Outcome.COMPLETE
    try:
        async with asyncio.timeout(wait_s + _FURTHER_WAIT_S):
            head = await wire.read_head(reader)
            if head is None:
                return _Response(Outcome.CLOSED)
            async for part in wire.iterate_body(reader, head):
                parts.append(part)
    except TimeoutError:
        outcome = Outcome.GAVE_UP
    except (OSError, wire.CutError):
        outcome = Outcome.CUT if head else Outcome.CLOSED
    if head is None:
        return _Response(outcome)
    status = int(head.start[1])
    return _Response(outcome, status, head.headers, b"".join(parts))


def _encode(
    request_id: str,
    kind: Kind,
    deadline_s: float,
    version: int,
    part: str,
    identity: Mapping[str, str],
) -> bytes:
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(int(deadline_s * 1000)),
        **identity,
    }
    if kind.is_stream:
        own_part = request_id.encode().hex()
        parts = filter(None, (_SHARED_PART, part, own_part))
        headers |= {
            "Model": "m",
            "Token-Count": "100,40",
            "Prompt-Prefix": ",".join(f"{id}:30" for id in parts),
        }
    path = f"/p{version}/x" if kind is Kind.PROBE else f"/{kind.value}/x"
    if kind in (Kind.READ, Kind.PROBE):
        return wire.make_head(f"GET {path} HTTP/1.1", headers)
    body = request_id.encode() * _BODY_REPEATS
    headers["Content-Length"] = str(len(body))
    return wire.make_head(f"POST {path} HTTP/1.1", headers) + body


__all__ = ["Caller"]
