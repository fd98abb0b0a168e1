"""A loopback proxy that delays, resets or silences connections."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections.abc import Iterator

from soak import wire

_READ_BYTES = 65_536
_DELAY_S = 0.1
_POLL_S = 0.01


class Direction(enum.Enum):
    """A direction of a connection, seen from who has opened it."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


class Proxy:
    """Forwards connections to a port of this machine.

    Bytes that are held back are forwarded once their direction is open again.

    Attributes:
      port: port that it listens on.
      is_slow: whether each part is delayed.
    """

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._cuts = dict.fromkeys(Direction, 0)
        self.port = 0
        self.is_slow = False

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @contextlib.contextmanager
    def cutting(self, *directions: Direction) -> Iterator[None]:
        """Holds back the bytes of some directions during the block."""
        for direction in directions:
            self._cuts[direction] += 1
        try:
            yield
        finally:
            for direction in directions:
                self._cuts[direction] -= 1

    def reset_connections(self) -> None:
        """Resets all connections on both sides."""
        for writer in list(self._writers):
            wire.reset(writer)

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            server_reader, server_writer = await wire.connect(self._target_port)
        except OSError:
            wire.reset(writer)
            return
        writers = {writer, server_writer}
        self._writers |= writers
        pumps = (
            self._forward(reader, server_writer, Direction.TO_SERVER),
            self._forward(server_reader, writer, Direction.TO_CLIENT),
        )
        tasks = [asyncio.ensure_future(pump) for pump in pumps]
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._writers -= writers
        if any(task.exception() is not None for task in done):
            wire.reset(writer)
            wire.reset(server_writer)
        writer.close()
        server_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        while True:
            part = await reader.read(_READ_BYTES)
            if self.is_slow:
                await asyncio.sleep(_DELAY_S)
            while self._cuts[direction]:
                await asyncio.sleep(_POLL_S)
            if not part:
                return
            writer.write(part)
            await writer.drain()


__all__ = ["Direction", "Proxy"]
