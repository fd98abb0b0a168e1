"""Property test: events of a stream, split from generated parts."""

from __future__ import annotations

import itertools
import re
import unittest
import unittest.mock

from hypothesis import given
from hypothesis import strategies as st

from burdockspan.gateway.streams import sse
from burdockspan.gateway.streams.sse import StreamProgress, split_events

_LIMIT_BYTES = 24
_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
_LINE_ENDS = st.sampled_from([b"\n", b"\r\n", b"\r"])


@st.composite
def _streams(draw: st.DrawFn) -> bytes:
    stream = b""
    for number in range(draw(st.integers(0, 5))):
        data = b"data: " + b"x" * draw(st.integers(0, 2 * _LIMIT_BYTES))
        lines = draw(st.permutations([b"id: %d" % number, data]))
        for line in (*lines, b""):
            stream += line + draw(_LINE_ENDS)
    return stream[: len(stream) - draw(st.integers(0, 8))]


class EventSplittingTest(unittest.TestCase):
    @given(_streams(), st.data())
    def test_streams_are_resumed_where_events_end(
        self, stream: bytes, data: st.DataObject
    ) -> None:
        """Guards against events that are missing, repeated or joined."""
        cuts = sorted(data.draw(st.sets(st.integers(0, len(stream)))))
        progress, sent = StreamProgress(), b""
        limit = unittest.mock.patch.object(
            sse, "_EVENT_LIMIT_BYTES", _LIMIT_BYTES
        )
        with limit:
            for start, end in zip(
                [0, *cuts], [*cuts, len(stream)], strict=True
            ):
                progress, events = split_events(progress, stream[start:end])
                sent += events
        self.assertEqual(sent + progress.partial_event, stream)
        ends = [match.end() for match in _EVENT_END.finditer(stream)]
        sizes = [end - start for start, end in itertools.pairwise([0, *ends])]
        if max(sizes, default=0) <= _LIMIT_BYTES:
            rest_bytes = len(stream) - (ends[-1] if ends else 0)
            self.assertTrue(progress.is_resumable or rest_bytes > _LIMIT_BYTES)
        if not progress.is_resumable:
            return
        events_end = ends[-1] if ends else 0
        # The LF of the last CR LF may not be sent yet.
        self.assertIn(stream[len(sent) : events_end], (b"", b"\n"))
        self.assertLessEqual(len(sent), events_end)
        ids = re.findall(rb"id: (\d+)", stream[:events_end])
        expected = ids[-1].decode() if ids else None
        self.assertEqual(progress.last_event_id, expected)


if __name__ == "__main__":
    unittest.main()
