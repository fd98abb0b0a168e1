"""Boundaries of server-sent events in a byte stream."""

from __future__ import annotations

_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_BLANK_LINE = b"\n\n"


class EventBounds:
    """Tells whether a byte stream is inside an event.

    Lines end with LF, CR LF or CR, and an event with an empty line, as the
    specification of server-sent events says. A comment is no part of an event,
    but an unfinished line of any kind is.

    Attributes:
      is_empty: whether the stream had no byte so far.
    """

    def __init__(self) -> None:
        self.is_empty = True
        self._has_field = False
        # Start of the unfinished line, as far as its meaning depends on it.
        self._line_start = b""
        self._after_cr = False
        self._is_first_line = True

    @property
    def is_inside_event(self) -> bool:
        """Whether the stream would lose an event if it ended here."""
        return self._has_field or bool(self._line_start)

    def feed(self, part: bytes) -> None:
        """Moves on by a part of the stream."""
        if not part:
            return
        self.is_empty = False
        end = part.rfind(_BLANK_LINE) + len(_BLANK_LINE)
        if end >= len(_BLANK_LINE):
            self._has_field = False
            self._line_start = b""
            self._after_cr = False
            self._is_first_line = False
            part = part[end:]
        for line in part.splitlines(keepends=True):
            self._feed_line(line)

    def _feed_line(self, line: bytes) -> None:
        follows_cr, self._after_cr = self._after_cr, line.endswith(b"\r")
        if follows_cr and line == b"\n":
            return
        content = line.rstrip(b"\r\n")
        if len(self._line_start) < len(_BYTE_ORDER_MARK) + 1:
            self._line_start += content[: len(_BYTE_ORDER_MARK) + 1]
        if len(content) == len(line):
            return
        start = self._line_start
        if self._is_first_line:
            start = start.removeprefix(_BYTE_ORDER_MARK)
        self._is_first_line = False
        self._line_start = b""
        if not start:
            self._has_field = False
        elif not start.startswith(b":"):
            self._has_field = True


__all__ = ["EventBounds"]
