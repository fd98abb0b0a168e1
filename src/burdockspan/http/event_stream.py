"""Server-sent events of engines, handled as bytes.

Events are forwarded without parsing their JSON. Only their boundaries and token
indices are read, so that a resumed stream neither repeats nor skips an event.
"""

from __future__ import annotations

from burdockspan.http.refusals import make_problem_document
from burdockspan.values.refusal import Refusal

_EVENT_LIMIT_BYTES = 1024 * 1024
_EVENT_END = b"\n\n"
_JSON_DATA = b"data: {"
_DONE_DATA = b"data: [DONE]"


class StreamError(Exception):
    """The stream of the engine is invalid and must not be forwarded."""


class EventFilter:
    """Splits a byte stream into complete events and drops repeated ones.

    Attributes:
      last_index: token index of the last forwarded event; -1 before the first.
      done: whether the event that ends the stream was forwarded.
    """

    def __init__(self) -> None:
        self.last_index = -1
        self.done = False
        self._has_index = False
        self._incomplete = b""

    def restart(self) -> None:
        """Drops an incomplete event before the stream is resumed."""
        self._incomplete = b""

    def feed(self, part: bytes) -> bytes:
        """Returns the new events that a part of the stream completes.

        Raises:
          StreamError: an event is missing, too long, or reports an error.
        """
        data = self._incomplete + part if self._incomplete else part
        end = data.rfind(_EVENT_END) + 2
        if end == 1:  # rfind returned -1: no event is complete.
            end = 0
        self._incomplete = data[end:]
        if len(self._incomplete) > _EVENT_LIMIT_BYTES:
            raise StreamError(f"event is over {_EVENT_LIMIT_BYTES} bytes")
        position = 0
        events = []
        while position < end and not self.done:
            event_end = data.index(_EVENT_END, position) + 2
            if self._accept(data, position, event_end):
                events.append(data[position:event_end])
            position = event_end
        return events[0] if len(events) == 1 else b"".join(events)

    def _accept(self, data: bytes, event_start: int, event_end: int) -> bool:
        """Whether to forward an event.

        An event of the usual form, a line with the token index and then one
        with JSON data, is recognized by its start without splitting it.
        """
        if data.startswith(b"id: ", event_start):
            line_end = data.index(b"\n", event_start)
            if not data.startswith(_JSON_DATA, line_end + 1):
                return self._accept_by_lines(data[event_start:event_end])
            return self._advance(data[event_start + 4 : line_end])
        return self._accept_by_lines(data[event_start:event_end])

    def _accept_by_lines(self, event: bytes) -> bool:
        index = None
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                index = line[3:]
            elif line.startswith(_DONE_DATA):
                self.done = True
            elif line.startswith(b"event: error"):
                raise StreamError("engine reported an error in its stream")
        return True if index is None else self._advance(index)

    def _advance(self, index_text: bytes) -> bool:
        """Records a token index; False if its event was forwarded before."""
        try:
            index = int(index_text)
        except ValueError:
            raise StreamError(
                f"token index {index_text!r} is no number"
            ) from None
        if self._has_index and index <= self.last_index:
            return False
        # Engines number tokens from 0 or 1.
        expected = (self.last_index + 1,) if self._has_index else (0, 1)
        if index not in expected:
            raise StreamError(f"token {index} follows token {self.last_index}")
        self._has_index = True
        self.last_index = index
        return True


def make_error_event(refusal: Refusal, request_id: str) -> bytes:
    """Returns the event that ends a failed stream."""
    return (
        b"event: error\ndata: "
        + make_problem_document(refusal, request_id)
        + _EVENT_END
    )


__all__ = ["EventFilter", "StreamError", "make_error_event"]
