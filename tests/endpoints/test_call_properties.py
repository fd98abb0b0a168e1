"""Property tests: what a call gets from generated responses and schedules.

The bytes of a response arrive in parts with pauses, and may break off, stop or
go on without end. A fake socket plays them on a fake clock, so that no time
passes in a test.
"""

from __future__ import annotations

import dataclasses
import io
import itertools
import math
import unittest
from typing import Any, cast

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok, Result

from burdockspan.endpoints.call_timer import CallTimer
from burdockspan.endpoints.exchange import (
    Call,
    Exchange,
    ExchangeContext,
    OpenConnection,
    send_call,
)
from burdockspan.endpoints.failures import CALL_ERRORS, classify_error
from burdockspan.endpoints.sockets import IdleTimeoutMonitor
from burdockspan.endpoints.strict_connection import WholeHeadConnection
from burdockspan.values.endpoint import Endpoint, Pool
from burdockspan.values.placement import Failure, FailureKind

# Times are multiples of this one, which sums of floats represent exactly.
_TICK_S = 1.0 / 64.0
# What a silent endpoint has beyond the limit if a reader comes late to a wait.
_CATCH_UP_S = 0.05
# Later than each deadline, so that a call without one fails.
_LATEST_S = 8.0
_ENDPOINT = Endpoint("e", "127.0.0.1:1", "s", Pool.SERVICE, "z")
_READ_LIMIT_BYTES = 20_000
# Size of a part that is sent without a pause.
_FAST_BYTES = 4000
# What a call may read of lines without end, or beyond the limit of a body.
_SURPLUS_LIMIT_BYTES = 512 * 1024


@dataclasses.dataclass(frozen=True)
class Part:
    """Bytes that arrive at a time, in seconds."""

    time_s: float
    data: bytes


@dataclasses.dataclass(frozen=True)
class Schedule:
    """What an endpoint sends.

    Attributes:
      parts: bytes, by ascending time.
      closes_s: when it closes the connection; infinite if it never does.
      endless: bytes that it sends again and again after the parts.
      pause_s: pause before each of them.
    """

    parts: tuple[Part, ...]
    closes_s: float = math.inf
    endless: bytes = b""
    pause_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Limits:
    """Time limits of a call, in seconds."""

    deadline_s: float
    head_silence_s: float
    body_silence_s: float


@dataclasses.dataclass(frozen=True)
class Message:
    """A response.

    Attributes:
      data: all its bytes.
      head_bytes: length of its head, with the interim responses.
      body: its body.
      body_bytes: bytes of `data` up to the end of the body; those that follow
        are trailers.
      ends_with_connection: whether its body ends where the connection does.
      chunk_ends: where its chunks end in `data`, with the last one and its
        trailers; None if its body is not chunked.
    """

    data: bytes
    head_bytes: int
    body: bytes
    body_bytes: int
    ends_with_connection: bool
    chunk_ends: tuple[int, ...] | None = None

    def completes_part(self, before: int, received: int) -> bool:
        """Whether the bytes up to `received` complete a part of the call."""
        if self.chunk_ends is None:
            return received >= self.head_bytes and received > before
        ends = (self.head_bytes, *self.chunk_ends)
        return any(before < end <= received for end in ends)


class FakeSocket:
    """Plays a schedule; time passes only while a reader waits."""

    def __init__(self, schedule: Schedule) -> None:
        self.now_s = 0.0
        self.endless_bytes = 0
        self._schedule = schedule
        self._parts = list(schedule.parts)
        self._limit_s: float | None = None

    def clock(self) -> float:
        return self.now_s

    def settimeout(self, limit_s: float | None) -> None:
        assert limit_s is None or limit_s > 0, "0 means non-blocking mode"
        self._limit_s = limit_s

    def recv_into(self, buffer: Any) -> int:
        if not self._parts and self._schedule.endless:
            time_s = self.now_s + self._schedule.pause_s
            self._parts.append(Part(time_s, self._schedule.endless))
            self.endless_bytes += len(self._schedule.endless)
            assert self.endless_bytes <= _SURPLUS_LIMIT_BYTES, "no end"
        next_s = self._parts[0].time_s if self._parts else math.inf
        if not self._parts:
            next_s = self._schedule.closes_s
        self._wait_until(next_s)
        if not self._parts:
            return 0
        part = self._parts.pop(0)
        size = min(len(buffer), len(part.data))
        buffer[:size] = part.data[:size]
        if size < len(part.data):
            self._parts.insert(0, Part(part.time_s, part.data[size:]))
        return size

    def _wait_until(self, time_s: float) -> None:
        if self._limit_s is not None and time_s > self.now_s + self._limit_s:
            self.now_s += self._limit_s
            raise TimeoutError("timed out")
        assert not math.isinf(time_s), "a wait without end"
        self.now_s = max(self.now_s, time_s)
        assert self.now_s <= _LATEST_S, "no end"

    def makefile(self, *_: Any, **__: Any) -> io.BufferedReader:
        return io.BufferedReader(cast(io.RawIOBase, io.BytesIO()))

    def sendall(self, data: bytes) -> None:
        """Accepts all bytes at once."""

    def shutdown(self, how: int) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""


def run_call(sock: FakeSocket, limits: Limits) -> Result[bytes, Failure]:
    """Makes a call on a socket and reads the whole response."""
    http_connection = WholeHeadConnection("127.0.0.1", 1)
    http_connection.sock = sock  # type: ignore[assignment]
    connection = OpenConnection(http_connection, cast(Any, sock), 0.0)
    call = Call(
        _ENDPOINT,
        "GET",
        "/",
        first_byte_timeout_s=limits.head_silence_s,
        idle_timeout_s=limits.body_silence_s,
        fresh=True,
        time_limit_s=limits.deadline_s,
    )
    timer = CallTimer(sock.clock, limits.deadline_s, limits.head_silence_s)
    context = ExchangeContext(
        lambda address, kept: None, IdleTimeoutMonitor(sock.clock), sock.clock
    )
    try:
        response = send_call(call, connection, timer)
    except CALL_ERRORS as error:
        return Err(classify_error(_ENDPOINT, "", error, timer.ended_by))
    exchange = Exchange(call, connection, response, None, context, timer)
    return exchange.read(_READ_LIMIT_BYTES)


def expect(
    message: Message, schedule: Schedule, limits: Limits
) -> tuple[Result[bytes, str], float]:
    """Returns what the caller must get, and when; a failure as its limit."""
    received, last_s = 0, 0.0
    silence_ends_s, catches_up = limits.head_silence_s, False
    arrivals = [*schedule.parts, Part(schedule.closes_s, b"")]
    for part in arrivals:
        # Data that arrives at the deadline is read; a further wait fails.
        if last_s >= limits.deadline_s:
            return Err("deadline"), last_s
        if last_s >= silence_ends_s and not catches_up:
            catches_up = True
            silence_ends_s = last_s + _CATCH_UP_S
        end_s = max(last_s, min(silence_ends_s, limits.deadline_s))
        if part.time_s > end_s or last_s >= silence_ends_s:
            is_silent = silence_ends_s < limits.deadline_s
            return Err("silence" if is_silent else "deadline"), end_s
        last_s = part.time_s
        before, received = received, received + len(part.data)
        if message.completes_part(before, received):
            silence_ends_s = last_s + limits.body_silence_s
            catches_up = False
        if part.data:
            whole = not message.ends_with_connection
            if whole and received >= len(message.data):
                return Ok(message.body), last_s
        elif (
            message.ends_with_connection and received >= message.head_bytes
        ) or (
            # The body is whole; a broken line of its trailers is an error.
            received >= message.body_bytes
            and message.data[:received].endswith(b"\n")
        ):
            body_start = message.head_bytes
            if message.ends_with_connection:
                return Ok(message.data[body_start:received]), last_s
            return Ok(message.body), last_s
    return Err(""), last_s


_ticks = st.integers(1, 200).map(lambda ticks: ticks * _TICK_S)
_limits = st.builds(Limits, _ticks, _ticks, _ticks)
_names = st.sampled_from(["A", "X-Long-Name", "Etag"])
_values = st.text("abc 123", max_size=40)
_lines = st.lists(
    st.builds(lambda n, v: f"{n}: {v}\r\n".encode(), _names, _values),
    max_size=4,
).map(b"".join)
_interims = st.lists(
    st.builds(
        lambda line, lines: line + lines + b"\r\n",
        st.sampled_from(
            [b"HTTP/1.1 100 Continue\r\n", b"HTTP/1.1 103 Early Hints\r\n"]
        ),
        _lines,
    ),
    max_size=3,
).map(b"".join)
_chunks = st.lists(st.binary(min_size=1, max_size=60), max_size=5)


@st.composite
def _messages(draw: st.DrawFn) -> Message:
    head = draw(_interims) + b"HTTP/1.1 200 OK\r\n" + draw(_lines)
    framing = draw(st.sampled_from(["length", "chunked", "connection"]))
    chunks = draw(_chunks)
    body = b"".join(chunks)
    if framing == "length":
        head += f"Content-Length: {len(body)}\r\n\r\n".encode()
        return Message(head + body, len(head), body, len(head + body), False)
    if framing == "connection":
        head += b"\r\n"
        size = len(head + body)
        return Message(head + body, len(head), body, size, True)
    head += b"Transfer-Encoding: chunked\r\n\r\n"
    width = draw(st.integers(1, 4))
    encoded = [
        f"{len(part):0{width}x}".encode() + b"\r\n" + part + b"\r\n"
        for part in chunks
    ]
    data = head + b"".join(encoded) + b"0" * width + b"\r\n"
    trailers = draw(_lines) + b"\r\n"
    ends = itertools.accumulate(map(len, encoded), initial=len(head))
    chunk_ends = (*list(ends)[1:], len(data + trailers))
    return Message(
        data + trailers, len(head), body, len(data), False, chunk_ends
    )


def _split(data: bytes, cuts: list[int], pauses: list[int]) -> list[Part]:
    """Returns parts of data, cut anywhere, with pauses in ticks."""
    places = sorted({cut % len(data) for cut in cuts} - {0}) if data else []
    parts, now_s, start = [], 0.0, 0
    for number, place in enumerate([*places, len(data)]):
        if place == start:
            continue
        now_s += (pauses[number] if number < len(pauses) else 0) * _TICK_S
        parts.append(Part(now_s, data[start:place]))
        start = place
    return parts


@st.composite
def _cases(draw: st.DrawFn) -> tuple[Message, Schedule]:
    """Responses that arrive whole, break off, or stop without a close."""
    message = draw(_messages())
    data = message.data
    if draw(st.booleans()):
        data = data[: draw(st.integers(0, len(data)))]
    cuts = draw(st.lists(st.integers(0, 1000), max_size=6))
    pauses = draw(st.lists(st.integers(0, 80), max_size=7))
    parts = _split(data, cuts, pauses)
    closes_s = math.inf
    if draw(st.booleans()):
        last_s = parts[-1].time_s if parts else 0.0
        closes_s = last_s + draw(st.integers(0, 80)) * _TICK_S
    return message, Schedule(tuple(parts), closes_s)


_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
# What precedes bytes without end, and the bytes.
_ENDLESS = (
    (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 40),
    (b"", b"\x00"),
    (b"", b"HTTP/1.1 200 "),
    (_OK, b"A: b\r\n"),
    (_OK + b"X-Slow: ", b"x"),
    (_CHUNKED, b"0"),
    (_CHUNKED, b"1;x=y\r\nz\r\n"),
    (_CHUNKED + b"1;", b"x"),
    (_CHUNKED + b"1\r\nz\r\n0\r\n", b"A: b\r\n"),
    (_CHUNKED + b"0\r\n", b"A: b\r\n" * 500),
    (_OK + b"Content-Length: 99999999\r\n\r\n", b"x"),
    (_OK + b"\r\n", b"x"),
)
# These are parts of a body, each of which ends a silence.
_ENDLESS_PARTS = (_ENDLESS[7], *_ENDLESS[-2:])


class CallPropertiesTest(unittest.TestCase):
    @given(_cases(), _limits)
    def test_call_gets_the_whole_body_or_a_failure_in_time(
        self, case: tuple[Message, Schedule], limits: Limits
    ) -> None:
        """Guards against truncated bodies, and limits that do not hold."""
        message, schedule = case
        sock = FakeSocket(schedule)
        outcome = run_call(sock, limits)
        expected, expected_s = expect(message, schedule, limits)
        if isinstance(expected, Ok):
            self.assertEqual(outcome.ok(), expected.ok_value, outcome)
        else:
            failure = outcome.unwrap_err()
            self.assertEqual(failure.limit, expected.err_value, failure)
            kind = FailureKind.UNRESPONSIVE
            if not expected.err_value:
                kind = FailureKind.CONNECTION_LOST
            self.assertIs(failure.kind, kind)
        self.assertAlmostEqual(sock.now_s, expected_s)

    @given(
        st.sampled_from(_ENDLESS),
        st.integers(0, 20),
        st.lists(st.integers(0, 1000), max_size=4),
        _limits,
    )
    def test_bytes_without_end_are_given_up(
        self,
        endless: tuple[bytes, bytes],
        pause_ticks: int,
        cuts: list[int],
        limits: Limits,
    ) -> None:
        """Guards against memory, and threads that are held for ever."""
        prefix, part = endless
        pause_s = pause_ticks * _TICK_S
        if not pause_ticks:
            # Single bytes without a pause would only take long to play.
            part *= _FAST_BYTES // len(part) + 1
        schedule = Schedule(
            tuple(_split(prefix, cuts, [])), endless=part, pause_s=pause_s
        )
        sock = FakeSocket(schedule)
        failure = run_call(sock, limits).unwrap_err()
        self.assertLessEqual(sock.now_s, limits.deadline_s)
        silence_s = min(limits.head_silence_s, limits.body_silence_s)
        if endless in _ENDLESS_PARTS:
            if 0 < pause_s < silence_s:
                self.assertEqual(failure.limit, "deadline")
        else:
            # Its bytes complete no part, so that they count as silence.
            has_head = prefix.startswith(_CHUNKED)
            limit_s = (
                limits.body_silence_s if has_head else limits.head_silence_s
            )
            self.assertLessEqual(sock.now_s, limit_s + _CATCH_UP_S + 1e-9)
        if failure.limit:
            self.assertIs(failure.kind, FailureKind.UNRESPONSIVE)

    @given(
        _messages(),
        st.lists(
            st.tuples(st.integers(0, 1000), st.binary(max_size=3)),
            min_size=1,
            max_size=4,
        ),
        st.lists(st.integers(0, 1000), max_size=6),
        st.lists(st.integers(0, 80), max_size=7),
        _limits,
    )
    def test_damaged_responses_end_in_time(
        self,
        message: Message,
        changes: list[tuple[int, bytes]],
        cuts: list[int],
        pauses: list[int],
        limits: Limits,
    ) -> None:
        """Guards against a parser that waits or loops on invalid bytes."""
        data = message.data
        for place, replaced in changes:
            start = place % len(data)
            data = data[:start] + replaced + data[start + 1 :]
            data = data or b"x"
        parts = _split(data, cuts, pauses)
        sock = FakeSocket(Schedule(tuple(parts)))
        run_call(sock, limits)
        self.assertLessEqual(sock.now_s, limits.deadline_s)


if __name__ == "__main__":
    unittest.main()
