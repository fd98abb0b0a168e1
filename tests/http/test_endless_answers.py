"""Answers that never end: each call of the entry role ends by its deadline."""

from __future__ import annotations

import http.client
import time
from collections.abc import Callable, Iterable

from tests.support.caller import CallerResponse, HttpServerTestCase
from tests.support.endpoint_fake import (
    CHUNKED_HEAD,
    EndpointFake,
    Handler,
    make_token_event,
    repeat,
)

_DEADLINE_S = 0.5
_DEADLINE = {"Burdockspan-Deadline": str(_DEADLINE_S)}
# Time for a thread to be scheduled and for an answer to be received.
_TOLERANCE_S = 2.0
_OK_HEAD = b"HTTP/1.1 200 OK\r\n"
_STREAM_HEAD = CHUNKED_HEAD + b"Content-Type: text/event-stream\r\n\r\n"
_PLAIN_HEAD = CHUNKED_HEAD + b"Content-Type: text/plain\r\n\r\n"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_COMMENT = b"3\r\n:x\n\r\n"
_SCRIPTS = {
    "interim answers": repeat(_CONTINUE),
    "a header": repeat(b"x", _OK_HEAD + b"X-Slow: "),
    "a status line": repeat(b"\x00"),
    "a chunk size": repeat(b"0", _PLAIN_HEAD),
    "trailers": repeat(b"A: b\r\n", _PLAIN_HEAD + b"0\r\n"),
}


class EndlessAnswersTest(HttpServerTestCase):
    def check_ends(
        self, call: Callable[[], CallerResponse], count: int = 1
    ) -> CallerResponse:
        """Checks that a call ends by its deadline, and finishes as failed."""
        started_s = time.monotonic()
        answer = call()
        taken_s = time.monotonic() - started_s
        self.assertLess(taken_s, _DEADLINE_S + _TOLERANCE_S)
        self.wait_until(lambda: len(self.router.finished()) == count)
        return answer

    def check_step(
        self, fake: EndpointFake, line: str, names: Iterable[str]
    ) -> None:
        """Checks that endless answers to one step end by the deadline."""
        for count, name in enumerate(names, 1):
            with self.subTest(name):
                fake.scripts[line] = _SCRIPTS[name]
                answer = self.check_ends(
                    lambda: self.complete(_DEADLINE), count
                )
                self.assertIn(answer.status, (502, 504))

    def test_endless_answer_to_a_reservation_ends(self) -> None:
        """Guards against a request that waits for its reservation for ever."""
        self.check_step(self.decode, "POST /reservations", ["interim answers"])

    def test_endless_answer_to_a_prefill_ends(self) -> None:
        """Guards against a request that waits for its prefill for ever."""
        self.check_step(self.prefill, "POST /prefill", ["a header"])

    def test_endless_answer_to_an_import_ends(self) -> None:
        """Guards against a KV cache that is held for ever."""
        self.check_step(self.decode, "POST /imports", ["a chunk size"])

    def test_endless_answer_of_a_decode_engine_ends(self) -> None:
        """Guards against a completion without an answer or a refusal."""
        self.check_step(self.decode, "POST /v1/", _SCRIPTS)

    def test_endless_answers_to_health_checks_end(self) -> None:
        """Guards against a health check that delays a refusal for ever."""
        self.decode.scripts["POST /v1/"] = _SCRIPTS["a header"]
        self.decode.scripts["GET /health"] = _SCRIPTS["a header"]
        self.check_ends(lambda: self.complete(_DEADLINE))

    def test_listing_without_end_does_not_prolong_a_completion(self) -> None:
        """Guards against a check of a late attempt that outlasts it."""
        self.set_limits(first_byte_timeout_s=0.3)
        self.decode.scripts["POST /v1/"] = lambda handler: handler.stall()
        self.decode.scripts["GET /attempts"] = _SCRIPTS["a header"]
        answer = self.check_ends(lambda: self.complete(_DEADLINE))
        self.assertIn(answer.status, (502, 504))

    def test_stream_without_end_is_refused_at_its_deadline(self) -> None:
        """Guards against a stream of comments that holds its reservation."""
        event = make_token_event(0)
        first = b"%x\r\n%s\r\n" % (len(event), event)
        self.decode.scripts["POST /v1/"] = repeat(
            _COMMENT, _STREAM_HEAD + first
        )
        answer = self.check_ends(lambda: self.complete(_DEADLINE, stream=True))
        self.assertIn(b"event: error", answer.body)
        self.assertIn(b"deadline", answer.body)

    def test_resumed_stream_without_end_is_refused_at_its_deadline(
        self,
    ) -> None:
        """Guards against a resumption whose head never ends."""
        event = make_token_event(0)
        first = b"%x\r\n%s\r\n" % (len(event), event)
        self.set_limits(stream_silence_s=0.2)

        def stall(handler: Handler) -> None:
            handler.wfile.write(_STREAM_HEAD + first)
            handler.stall()

        self.decode.scripts["POST /v1/"] = stall
        self.decode.scripts["GET /attempts/"] = _SCRIPTS["interim answers"]
        answer = self.check_ends(lambda: self.complete(_DEADLINE, stream=True))
        self.assertIn(b"event: error", answer.body)

    def test_bytes_after_the_last_event_do_not_delay_the_end(self) -> None:
        """Guards against a complete answer whose end never arrives."""
        done = b"e\r\ndata: [DONE]\n\n\r\n"
        for name, part, first in (
            ("a chunk", _COMMENT, b""),
            ("trailers", b"A: b\r\n", b"0\r\n"),
        ):
            with self.subTest(name):
                self.decode.scripts["POST /v1/"] = repeat(
                    part, _STREAM_HEAD + done + first
                )
                started_s = time.monotonic()
                answer = self.complete(stream=True)
                self.assertLess(time.monotonic() - started_s, _TOLERANCE_S)
                self.assertEqual(answer.body, b"data: [DONE]\n\n")

    def test_endless_answer_of_a_service_ends(self) -> None:
        """Guards against a call without an answer or a refusal."""
        for count, (name, script) in enumerate(_SCRIPTS.items(), 1):
            with self.subTest(name):
                self.service.scripts["POST /book"] = script
                headers = {**_DEADLINE, "Idempotency-Key": f"k{count}"}
                answer = self.check_ends(
                    lambda headers=headers: self.call(  # type: ignore[misc]
                        "POST", "/services/app/book", "b", headers
                    ),
                    count,
                )
                self.assertEqual(answer.json()["outcome"], "unknown")

    def test_body_of_a_service_without_end_is_cut_off(self) -> None:
        """Guards against a body that holds a thread for ever."""
        self.service.scripts["GET /x"] = repeat(b"1\r\nx\r\n", _PLAIN_HEAD)
        started_s = time.monotonic()
        connection, response = self.open(
            "GET", "/services/app/x", None, _DEADLINE
        )
        with self.assertRaises(http.client.IncompleteRead):
            response.read()
        connection.close()
        taken_s = time.monotonic() - started_s
        self.assertLess(taken_s, _DEADLINE_S + _TOLERANCE_S)
