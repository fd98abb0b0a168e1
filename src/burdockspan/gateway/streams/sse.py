"""Splits a byte stream of server-sent events at event boundaries."""

from __future__ import annotations

import dataclasses
import re

# Bounds the memory of an event that never ends.
_EVENT_LIMIT_BYTES = 1024 * 1024
_USUAL_EVENT_END = b"\n\n"
# Two ends of lines. The CR at the end of a part may be followed by its LF,
# which then stands before the next event, where it has no effect.
_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")


# All but the last byte of the longest end of an event.
_KEPT_BYTES = 3


@dataclasses.dataclass(frozen=True)
class StreamProgress:
    """Position in a stream.

    Attributes:
      partial_event: bytes that have not been returned; they belong to the
        event that is not complete.
      last_event_id: id of the last complete event that has one.
      is_resumable: whether another run can go on after that event. It cannot
        after an event that was returned in pieces, until a later event with an
        id is complete.
    """

    partial_event: bytes = b""
    last_event_id: str | None = None
    is_resumable: bool = True


def split_events(
    progress: StreamProgress, part: bytes
) -> tuple[StreamProgress, bytes]:
    """Returns the new position and the events that a part completes.

    An event beyond the limit is returned in pieces, before it is complete.
    """
    received = progress.partial_event + part
    end = _find_events_end(received)
    complete, partial_event = received[:end], received[end:]
    whole_events = complete
    if complete and not progress.is_resumable:
        whole_events = _EVENT_END.split(complete, maxsplit=1)[1]
    event_id = _find_last_id(whole_events)
    is_resumable = progress.is_resumable or event_id is not None
    if len(partial_event) > _EVENT_LIMIT_BYTES:
        is_resumable = False
        complete = received[:-_KEPT_BYTES]
        partial_event = received[-_KEPT_BYTES:]
    return StreamProgress(
        partial_event, event_id or progress.last_event_id, is_resumable
    ), complete


def _find_events_end(received: bytes) -> int:
    """Returns where the last complete event ends; 0 if none does."""
    if received.endswith(_USUAL_EVENT_END):
        return len(received)
    end = 0
    for match in _EVENT_END.finditer(received):
        end = match.end()
    return end


def _find_last_id(complete: bytes) -> str | None:
    for line in reversed(complete.splitlines()):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None


__all__ = ["StreamProgress", "split_events"]
