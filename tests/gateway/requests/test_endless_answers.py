"""Answers that never end: each request ends within the time of its route."""

from __future__ import annotations

import contextlib
import threading
import time
from collections.abc import Iterator

from standins.scripted_endpoint import (
    CHUNKED_HEAD,
    Received,
    Script,
    ScriptedEndpoint,
    Step,
    chunk,
)
from tests.gateway.case import GatewayCase
from tests.support.gateways import wait_for

_OK_HEAD = b"HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n"
_CALLER_TIME_S = 0.6
# Time for a thread to be scheduled and for an answer to be received.
_TOLERANCE_S = 1.0


def _repeat(part: bytes, first: bytes = b"", pause_s: float = 0.02) -> Script:
    """Returns a script that sends `first`, then `part` without end."""

    def script(_: Received) -> Iterator[Step]:
        paused = threading.Event()
        yield first
        while True:
            yield part
            # A short pause; nothing sets the event.
            paused.wait(pause_s)

    return script


class EndlessAnswersTest(GatewayCase):
    def check_request_ends(
        self, script: Script, target: str = "/pay/x"
    ) -> None:
        """Checks that a request ends with an answer that may have run."""
        self.add_endpoint(script, "i-1")
        started_s = time.monotonic()
        response = self.gateway.call(
            "POST",
            target,
            b"1",
            {"Deadline-Ms": str(int(_CALLER_TIME_S * 1000))},
        )
        taken_s = time.monotonic() - started_s
        self.assertIn(response.status, (502, 504))
        self.assertTrue(response.complete)
        self.assertLess(taken_s, _CALLER_TIME_S + _TOLERANCE_S)
        in_flight = self.gateway.components.in_flight
        wait_for(lambda: in_flight.count == 0)

    def test_endless_interim_responses_end_at_the_deadline(self) -> None:
        """Guards against a request without an answer after 100 Continue."""
        self.check_request_ends(_repeat(b"HTTP/1.1 100 Continue\r\n\r\n"))

    def test_fast_endless_interim_responses_end(self) -> None:
        """Guards against a thread that parses interim responses for ever."""
        part = b"HTTP/1.1 100 Continue\r\n\r\n" * 100
        self.check_request_ends(_repeat(part, pause_s=0.0))

    def test_header_that_never_ends_is_given_up(self) -> None:
        """Guards against a limit that each byte of a header restarts."""
        self.check_request_ends(_repeat(b"x", _OK_HEAD + b"X-Slow: "))

    def test_headers_without_end_are_given_up(self) -> None:
        """Guards against a head whose lines never end."""
        self.check_request_ends(_repeat(b"A: b\r\n", _OK_HEAD))

    def test_garbage_without_end_is_given_up(self) -> None:
        """Guards against a status line that never ends."""
        self.check_request_ends(_repeat(b"\x00"))

    def test_body_without_end_is_given_up(self) -> None:
        """Guards against a limit that each part of a body restarts."""
        self.check_request_ends(_repeat(chunk(b"x"), CHUNKED_HEAD))

    def test_body_of_small_chunks_is_given_up(self) -> None:
        """Guards against buffered parts that are sent one by one.

        The buffer holds many thousand of them; sending them by themselves took
        longer than the time of the request.
        """
        part = chunk(b"abcd") * 1000
        self.add_endpoint(_repeat(part, CHUNKED_HEAD, 0.0), "i-1")
        with contextlib.suppress(OSError):
            self.gateway.call("POST", "/pay/x", b"1", {"Deadline-Ms": "3000"})
        wait_for(lambda: bool(self.gateway.events_named("answered")))
        (answered,) = self.gateway.events_named("answered")
        self.assertLess(answered["total_s"], 3.0 + _TOLERANCE_S)

    def test_chunk_size_that_never_ends_is_given_up(self) -> None:
        """Guards against a limit that each byte of a chunk size restarts."""
        self.check_request_ends(_repeat(b"0", CHUNKED_HEAD))

    def test_trailers_without_end_are_given_up(self) -> None:
        """Guards against trailers that are read for ever."""
        self.check_request_ends(_repeat(b"A: b\r\n", CHUNKED_HEAD + b"0\r\n"))

    def test_fast_trailers_without_end_are_given_up(self) -> None:
        """Guards against a thread that parses trailers for ever."""
        self.check_request_ends(
            _repeat(b"A: b\r\n" * 1000, CHUNKED_HEAD + b"0\r\n", 0.0)
        )

    def test_stream_without_end_is_cut_off_at_the_deadline(self) -> None:
        """Guards against a stream whose parts restart its time limit."""
        endpoint = ScriptedEndpoint(
            "m-1", _repeat(chunk(b"id: 1\ndata: x\n\n"), CHUNKED_HEAD)
        )
        self.gateway.add_endpoint(endpoint, "llm")
        started_s = time.monotonic()
        response = self.gateway.call(
            "POST", "/draft/x", b"1", {"Deadline-Ms": "600"}
        )
        self.assertFalse(response.complete)
        self.assertLess(
            time.monotonic() - started_s, _CALLER_TIME_S + _TOLERANCE_S
        )

    def test_log_names_the_limit_that_ended_a_call(self) -> None:
        """Guards against an answer whose end cannot be explained."""
        self.check_request_ends(_repeat(b"x", _OK_HEAD + b"X-Slow: "))
        (failed,) = self.gateway.events_named("attempt failed")
        self.assertEqual(failed["limit"], "deadline")
        self.assertIn("exceeded its time", failed["detail"])

    def test_log_names_the_limit_that_ended_a_body(self) -> None:
        """Guards against a text of the library that names no limit."""
        self.check_request_ends(_repeat(chunk(b"x"), CHUNKED_HEAD))
        (failed,) = self.gateway.events_named("attempt failed")
        self.assertIn("exceeded its time", failed["detail"])
