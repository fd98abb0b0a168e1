"""HTTP/1.1 messages and resets on asyncio streams."""

from __future__ import annotations

import asyncio
import dataclasses
import socket
import struct
from collections.abc import AsyncIterator, Mapping

LAST_CHUNK = b"0\r\n\r\n"
"""The end of a chunked body without trailers."""
_LIMIT_BYTES = 256 * 1024
_READ_BYTES = 65_536


class CutError(Exception):
    """A connection ended within a message."""


@dataclasses.dataclass(frozen=True)
class Head:
    """The head of a request or response.

    Attributes:
      start: the words of the first line.
      headers: the last value of each header, by name in lower case.
    """

    start: tuple[str, ...]
    headers: Mapping[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Reads a head; returns None if the connection ended before it."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise CutError("within the head") from error
        return None
    except asyncio.LimitOverrunError as error:
        raise CutError("head is too long") from error
    first, *lines = text.decode("latin-1").strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return Head(tuple(first.split(" ", 2)), headers)


async def iterate_body(
    reader: asyncio.StreamReader, head: Head
) -> AsyncIterator[bytes]:
    """Yields the parts of a body with a length or in chunks.

    Raises:
      CutError: the connection ended within the body.
    """
    try:
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).strip() or b"x", 16):
                yield await reader.readexactly(size)
                await reader.readexactly(2)
            while (await reader.readline()).strip():
                pass
            return
        left = int(head.headers.get("content-length", "0"))
        while left:
            part = await reader.read(min(left, _READ_BYTES))
            if not part:
                raise CutError(f"{left} bytes are missing")
            left -= len(part)
            yield part
    except (asyncio.IncompleteReadError, ValueError) as error:
        raise CutError("within the body") from error


def make_head(start: str, headers: Mapping[str, str]) -> bytes:
    """Returns an encoded head."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def make_chunk(part: bytes) -> bytes:
    """Returns one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(part), part)


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection; what is not sent yet is lost."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        # With a linger time of 0, close sends a reset.
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def connect(
    port: int,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection to a port of this machine."""
    return await asyncio.open_connection("127.0.0.1", port, limit=_LIMIT_BYTES)


__all__ = [
    "LAST_CHUNK",
    "CutError",
    "Head",
    "connect",
    "iterate_body",
    "make_chunk",
    "make_head",
    "read_head",
    "reset",
]
