"""Server-sent events of engines, handled as bytes.

Events are passed on without parsing their JSON. Only their boundaries and
token indices are read, so that a resumed stream repeats and skips nothing.
"""

from __future__ import annotations

from burdockspan.http.refusals import make_problem
from burdockspan.values.refusal import Refusal

_EVENT_LIMIT_BYTES = 1024 * 1024
_END = b"\n\n"
_DATA = b"data: {"
_DONE = b"data: [DONE]"


class StreamError(Exception):
    """The engine's stream is not one that may be passed on."""


class EventFilter:
    """Cuts a byte stream into whole events and drops repeated ones.

    Attributes:
      last: token index of the last event passed on; -1 before the first.
      done: whether the event that ends the stream was passed on.
    """

    def __init__(self) -> None:
        self.last = -1
        self.done = False
        self._begun = False
        self._tail = b""

    def restart(self) -> None:
        """Drops an incomplete event; the stream continues elsewhere."""
        self._tail = b""

    def feed(self, part: bytes) -> bytes:
        """Returns the whole new events that a part of the stream completes.

        Raises:
          StreamError: an event is missing, too long, or reports an error.
        """
        data = self._tail + part if self._tail else part
        end = data.rfind(_END) + 2
        if end == 1:
            end = 0
        self._tail = data[end:]
        if len(self._tail) > _EVENT_LIMIT_BYTES:
            raise StreamError(f"event is over {_EVENT_LIMIT_BYTES} bytes")
        position = 0
        kept = []
        while position < end and not self.done:
            stop = data.index(_END, position) + 2
            if self._accept(data, position, stop):
                kept.append(data[position:stop])
            position = stop
        return kept[0] if len(kept) == 1 else b"".join(kept)

    def _accept(self, data: bytes, start: int, stop: int) -> bool:
        if data.startswith(b"id: ", start):
            line_end = data.index(b"\n", start)
            if not data.startswith(_DATA, line_end + 1):
                return self._accept_other(data[start:stop])
            return self._advance(data[start + 4 : line_end])
        return self._accept_other(data[start:stop])

    def _accept_other(self, event: bytes) -> bool:
        index = None
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                index = line[3:]
            elif line.startswith(_DONE):
                self.done = True
            elif line.startswith(b"event: error"):
                raise StreamError("engine reported an error in its stream")
        return True if index is None else self._advance(index)

    def _advance(self, text: bytes) -> bool:
        try:
            index = int(text)
        except ValueError:
            raise StreamError(f"token index {text!r} is no number") from None
        if self._begun and index <= self.last:
            return False
        # Engines number tokens from 0 or 1.
        expected = (self.last + 1,) if self._begun else (0, 1)
        if index not in expected:
            raise StreamError(f"token {index} follows token {self.last}")
        self._begun = True
        self.last = index
        return True


def make_error_event(refusal: Refusal, request_id: str) -> bytes:
    """Returns the event that ends a stream which failed."""
    return b"event: error\ndata: " + make_problem(refusal, request_id) + _END


__all__ = ["EventFilter", "StreamError", "make_error_event"]
