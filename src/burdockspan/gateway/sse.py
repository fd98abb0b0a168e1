"""Splits a stream of server-sent events into whole events."""

from __future__ import annotations

import dataclasses

# Bounds the memory that an event without an end can take.
_EVENT_LIMIT_BYTES = 1024 * 1024
_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


@dataclasses.dataclass(frozen=True)
class StreamProgress:
    """How far a stream has come.

    Attributes:
      rest: bytes after the last whole event.
      last_id: id of the last whole event that has one.
    """

    rest: bytes = b""
    last_id: str | None = None


def split_events(
    progress: StreamProgress, part: bytes
) -> tuple[StreamProgress, bytes]:
    """Returns the progress and the whole events that a part completes."""
    held = progress.rest + part
    ends = [held.rfind(mark) + len(mark) for mark in _ENDS if mark in held]
    end = max(ends, default=0)
    whole, rest = held[:end], held[end:]
    if len(rest) > _EVENT_LIMIT_BYTES:
        whole, rest = held, b""
    return StreamProgress(rest, _last_id(whole) or progress.last_id), whole


def _last_id(whole: bytes) -> str | None:
    for line in reversed(whole.splitlines()):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None


__all__ = ["StreamProgress", "split_events"]
