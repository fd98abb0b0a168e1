"""Endpoints of a soak: a plain service and model engines, with faults.

They run in the event loop of the soak and speak the parts of the platform's
protocol that the gateway uses.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import itertools
import json
from collections.abc import Callable, Iterable
from typing import Any

from soak import wire
from soak.history import (
    EVENT_GAP_S,
    Arrival,
    History,
    PartCrash,
    Run,
    is_unframed,
    make_body,
    make_stream,
)
from soak.links import EndpointLinks, Way

CRASHING_PREFIX = "bad"
"""Begins the identities of parts that crash engines."""

# Time from the begin of a run to the crash that its prompt causes.
_CRASH_S = 0.05
# Work for a prompt, and before the head of a response.
_WORK_S = 0.02
_PAUSE_CHECK_S = 0.01
_KV_TOKENS = 1_000_000
# Bytes that an endless answer sends at intervals in seconds: 4 MB/s or 2 kB/s.
_FAST = (65_536, 0.016)
_SLOW = (100, 0.05)
_OK = "HTTP/1.1 200 OK"
_REFUSED = "HTTP/1.1 421 Misdirected Request"
_BUSY = "HTTP/1.1 409 Conflict"


class Place(enum.Enum):
    """A part of a response: its head, or its body."""

    HEAD = "head"
    BODY = "body"


class Endless(enum.Enum):
    """Where an answer consists of bytes without end."""

    CONTINUE = "continue"
    HEADER = "header"
    GARBAGE = "garbage"
    CHUNK_SIZE = "chunk_size"
    TRAILERS = "trailers"
    BODY = "body"


# What the endless bytes repeat.
_UNIT_BY_ENDLESS = {
    Endless.CONTINUE: b"HTTP/1.1 100 Continue\r\n\r\n",
    Endless.HEADER: b"X-More: more\r\n",
    Endless.GARBAGE: b"\x00\xffgarbage",
    Endless.CHUNK_SIZE: b"0",
    Endless.TRAILERS: b"X-More: more\r\n",
    Endless.BODY: wire.make_chunk(b"more"),
}
_HEADLESS = (Endless.CONTINUE, Endless.HEADER, Endless.GARBAGE)


class Endpoint:
    """An endpoint on 127.0.0.1.

    Attributes:
      id: endpoint ID, unique in this process.
      service: its service.
      stage: its stage; None for a plain service.
      port: port that it listens on.
      endless: what new runs send instead of a response.
      is_fast: whether the endless bytes come fast.
      resets: whether new runs are reset.
      breaks_off: whether new runs of an engine end inside an event; None if
        they do not, or whether they then have a last chunk.
      has_crashed: whether a part of a prompt has crashed it.
      slowness: how many times as long as usual it works.
    """

    _numbers = itertools.count(1)

    def __init__(
        self,
        service: str,
        stage: str | None,
        history: History,
        links: EndpointLinks,
        slowness: float = 1.0,
    ) -> None:
        self.id = f"{service}-{next(self._numbers)}"
        self.service = service
        self.stage = stage
        self.port = 0
        self.endless: Endless | None = None
        self.is_fast = False
        self.resets = False
        self.breaks_off: bool | None = None
        self.has_crashed = False
        self.slowness = slowness
        self._silent_until_s_by_place = dict.fromkeys(Place, 0.0)
        self._history = history
        self._links = links
        self._server: asyncio.Server | None = None
        self._stamp_by_writer: dict[asyncio.StreamWriter, str | None] = {}

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def as_store_entry(self) -> dict[str, Any]:
        """Returns the entry of this endpoint in the object store."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 32,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": 1_700_000_000_000,
        }
        return entry if self.stage is None else {**entry, "stage": self.stage}

    def fall_silent(self, places: Iterable[Place], duration_s: float) -> None:
        """Sends nothing in some parts of responses for a time.

        A silence that lasts already does not become longer.
        """
        now_s = self._history.now_s()
        for place in places:
            if self._silent_until_s_by_place[place] <= now_s:
                self._silent_until_s_by_place[place] = now_s + duration_s

    def reset_cut_connections(self) -> None:
        """Resets the connections whose links are cut in that way."""
        self.reset_connections(
            lambda writer: self._links.find_way(writer) is Way.RESET
        )

    def reset_connections(
        self, is_chosen: Callable[[asyncio.StreamWriter], bool] = lambda _: True
    ) -> None:
        """Resets connections, and so breaks off their runs."""
        for writer, stamp in list(self._stamp_by_writer.items()):
            if not is_chosen(writer):
                continue
            if stamp is not None:
                self._history.broken_stamps.add(stamp)
            wire.reset(writer)

    def close(self) -> None:
        """Stops listening and resets all connections, like a crash."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._links.add(writer)
        if self._links.find_way(writer) in (Way.RESET, Way.REFUSE):
            wire.reset(writer)
            return
        self._stamp_by_writer[writer] = None
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, wire.CutError
        ):
            while head := await wire.read_head(reader):
                async for _ in wire.iterate_body(reader, head):
                    pass
                await self._links.wait_while_silent(writer)
                await self._handle(head, writer)
                self._stamp_by_writer[writer] = None
        self._stamp_by_writer.pop(writer, None)
        writer.close()

    async def _send(
        self, writer: asyncio.StreamWriter, content: bytes, place: Place
    ) -> None:
        """Sends bytes once the endpoint is not silent."""
        while self._history.now_s() < self._silent_until_s_by_place[place]:
            await asyncio.sleep(_PAUSE_CHECK_S)
        await self._links.wait_while_silent(writer)
        writer.write(content)
        await writer.drain()

    async def _send_json(
        self, writer: asyncio.StreamWriter, value: Any, start: str = _OK
    ) -> None:
        content = json.dumps(value).encode()
        headers = {"Content-Length": str(len(content)), "Instance-Id": self.id}
        head = wire.make_head(start, headers)
        await self._send(writer, head + content, Place.HEAD)

    async def _handle(
        self, head: wire.Head, writer: asyncio.StreamWriter
    ) -> None:
        _, target, _ = head.start
        request_id = head.headers.get("request-id")
        expected = head.headers.get("expect-instance", self.id)
        is_prefill = head.headers.get("stage") == "prefill"
        if request_id is not None:
            now_s = self._history.now_s()
            place = (request_id, self.id, self.service, now_s)
            is_other = expected != self.id
            account = head.headers.get("tenant")
            has_key = "authorization" in head.headers
            self._history.arrivals.append(
                Arrival(*place, is_prefill, is_other, account, has_key)
            )
        if expected != self.id:
            await self._send_json(writer, {}, _REFUSED)
        elif target == "/v1/order":
            # The stages are fixed; an order meets another one in progress.
            await self._send_json(writer, {}, _BUSY)
        elif target.startswith("/v1/"):
            await self._send_json(writer, self._control(target))
        elif request_id is None:
            await self._send_json(writer, {})
        elif is_prefill:
            await asyncio.sleep(_WORK_S * self.slowness)
            handle = {"handle": f"k{request_id}", "tokens": 1, "version": 1}
            await self._send_json(writer, handle)
        else:
            await self._run(request_id, head, writer)

    def _control(self, target: str) -> dict[str, Any]:
        if target == "/v1/hold-take":
            return {"hold": f"h{next(self._numbers)}"}
        if target != "/v1/report":
            return {}
        load = dict.fromkeys(("seq", "waiting", "running", "kv_used"), 0)
        return {**load, "stage": self.stage, "kv_total": _KV_TOKENS}

    async def _run(
        self, request_id: str, head: wire.Head, writer: asyncio.StreamWriter
    ) -> None:
        stamp = f"{self.id}.{next(self._numbers)}"
        if self.stage is None:
            whole = make_body(request_id, stamp)
            parts = [whole[: len(whole) // 2], whole[len(whole) // 2 :]]
        else:
            after = int(head.headers.get("last-event-id") or 0)
            whole = make_stream(request_id, after)
            parts = [event + b"\n\n" for event in whole.split(b"\n\n")[:-1]]
        now_s = self._history.now_s()
        run = Run(request_id, self.id, now_s, stamp, whole, self.slowness)
        self._history.runs.append(run)
        self._stamp_by_writer[writer] = stamp
        crashing = _find_crashing_part(head)
        if crashing is not None:
            await self._crash(crashing)
            return
        if self.resets or self.endless is not None:
            self._history.broken_stamps.add(stamp)
        if self.resets:
            wire.reset(writer)
        elif self.endless is not None:
            await self._send_endless(self.endless, run, writer)
        else:
            await self._send_parts(run, parts, writer)

    async def _send_parts(
        self, run: Run, parts: list[bytes], writer: asyncio.StreamWriter
    ) -> None:
        """Sends the response of a run, broken off if the endpoint does so."""
        is_chunked = not is_unframed(run.request_id)
        if self.stage is not None and self.breaks_off is not None:
            self._history.broken_stamps.add(run.stamp)
            is_chunked = self.breaks_off
            cut = parts[len(parts) // 2]
            parts = [*parts[: len(parts) // 2], cut[: len(cut) // 2]]
        await asyncio.sleep(_WORK_S * run.slowness)
        await self._send(writer, _make_head(run, is_chunked), Place.HEAD)
        for part in parts:
            content = wire.make_chunk(part) if is_chunked else part
            await self._send(writer, content, Place.BODY)
            await asyncio.sleep(EVENT_GAP_S * run.slowness)
        if is_chunked:
            await self._send(writer, wire.LAST_CHUNK, Place.BODY)
        else:
            writer.close()

    async def _crash(self, part: str) -> None:
        await asyncio.sleep(_CRASH_S)
        if not self.has_crashed:
            self.has_crashed = True
            crash = PartCrash(part, self._history.now_s())
            self._history.part_crashes.append(crash)
        self.close()

    async def _send_endless(
        self, endless: Endless, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        """Sends bytes that are no answer until the connection ends."""
        if endless is Endless.HEADER:
            writer.write(_OK.encode() + b"\r\n")
        elif endless not in _HEADLESS:
            sent = run.body
            if endless is not Endless.TRAILERS:
                sent = sent[: len(sent) // 2]
            writer.write(_make_head(run, True) + wire.make_chunk(sent))
        if endless is Endless.TRAILERS:
            writer.write(b"0\r\n")
        size, interval_s = _FAST if self.is_fast else _SLOW
        unit = _UNIT_BY_ENDLESS[endless]
        while not writer.is_closing():
            writer.write(unit * (size // len(unit)))
            await writer.drain()
            await asyncio.sleep(interval_s)


def _find_crashing_part(head: wire.Head) -> str | None:
    entries = head.headers.get("prompt-prefix", "").split(",")[:-1]
    ids = (entry.partition(":")[0] for entry in entries)
    return next((id for id in ids if id.startswith(CRASHING_PREFIX)), None)


def _make_head(run: Run, is_chunked: bool) -> bytes:
    headers = {"Request-Id": run.request_id, "Response-Stamp": run.stamp}
    if is_chunked:
        headers["Transfer-Encoding"] = "chunked"
    return wire.make_head(_OK, headers)


__all__ = ["CRASHING_PREFIX", "Endless", "Endpoint", "Place"]
