"""Property tests: boundaries of events against a reference, byte by byte."""

from __future__ import annotations

import re
import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdockspan.endpoints.event_bounds import EventBounds

_PIECES = st.sampled_from(
    [
        b"\n",
        b"\r",
        b"\r\n",
        b"\n\n",
        b":",
        b": ping",
        b"id: 1",
        b"data: x",
        b"data",
        b"\xef\xbb\xbf",
        b"\xef",
        b" ",
    ]
)


def _is_inside_event(stream: bytes) -> bool:
    """Reference: parses the whole stream as the specification says."""
    text = stream.removeprefix(b"\xef\xbb\xbf")
    *lines, unfinished = re.split(rb"\r\n|\n|\r", text)
    has_field = False
    for line in lines:
        if not line:
            has_field = False
        elif not line.startswith(b":"):
            has_field = True
    return has_field or bool(unfinished)


class EventBoundsTest(unittest.TestCase):
    @given(st.lists(_PIECES), st.data())
    def test_bounds_are_those_of_the_specification(
        self, pieces: list[bytes], data: st.DataObject
    ) -> None:
        """Guards against cut events that are taken for whole ones."""
        stream = b"".join(pieces)
        cuts = data.draw(
            st.lists(st.integers(0, len(stream)), unique=True).map(sorted)
        )
        bounds = EventBounds()
        for start, end in zip([0, *cuts], [*cuts, len(stream)], strict=True):
            bounds.feed(stream[start:end])
        # Half a byte order mark is a line that has begun.
        is_mark = stream == b"\xef\xbb\xbf"
        self.assertEqual(
            bounds.is_inside_event, _is_inside_event(stream) or is_mark
        )
        self.assertEqual(bounds.is_empty, not stream)

    def test_event_of_many_parts_takes_little_memory(self) -> None:
        """Guards against a copy of an event that never ends."""
        bounds = EventBounds()
        for _ in range(1000):
            bounds.feed(b"x" * 1000)
        self.assertTrue(bounds.is_inside_event)
        self.assertLess(len(bounds._line_start), 10)


if __name__ == "__main__":
    unittest.main()
