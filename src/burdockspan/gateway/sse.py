"""Splits a byte stream of server-sent events at event boundaries."""

from __future__ import annotations

import dataclasses

# Bounds the memory of an event that never ends.
_EVENT_LIMIT_BYTES = 1024 * 1024
_TERMINATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")


@dataclasses.dataclass(frozen=True)
class StreamProgress:
    """Position in a stream.

    Attributes:
      partial_event: bytes after the last complete event.
      last_event_id: id of the last complete event that has one.
    """

    partial_event: bytes = b""
    last_event_id: str | None = None


def split_events(
    progress: StreamProgress, part: bytes
) -> tuple[StreamProgress, bytes]:
    """Returns the new position and the events that a part completes.

    An event beyond the limit is returned in pieces, before it is complete.
    """
    received = progress.partial_event + part
    ends = [
        received.rfind(terminator) + len(terminator)
        for terminator in _TERMINATORS
        if terminator in received
    ]
    end = max(ends, default=0)
    complete, partial_event = received[:end], received[end:]
    if len(partial_event) > _EVENT_LIMIT_BYTES:
        complete, partial_event = received, b""
    return StreamProgress(
        partial_event, _find_last_id(complete) or progress.last_event_id
    ), complete


def _find_last_id(complete: bytes) -> str | None:
    for line in reversed(complete.splitlines()):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None


__all__ = ["StreamProgress", "split_events"]
