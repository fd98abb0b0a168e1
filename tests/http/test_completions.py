from __future__ import annotations

import json
import threading

from burdockspan.values.placement import AttemptEvent, FailureKind
from burdockspan.values.refusal import Execution
from tests.support.caller import WAIT_S, HttpServerTestCase
from tests.support.endpoint_fake import (
    TOKENS,
    Handler,
    make_completion,
    make_token_event,
)

_ALL_EVENTS = [
    "reserved",
    "prefill_sent",
    "prefilled",
    "transferred",
    "decode_sent",
    "first_byte",
]
_TOKEN_EVENTS = b"".join(make_token_event(index) for index in range(TOKENS))
_LAST_EVENT = b"data: [DONE]\n\n"


class CompletionTest(HttpServerTestCase):
    def test_completion_records_each_step_and_releases_memory(self) -> None:
        answer = self.complete()
        self.assertEqual(answer.status, 200, answer.body)
        self.assertEqual(answer.json()["choices"][0]["text"], "t0 t1 ")
        self.assertEqual(self.router.recorded_events(), _ALL_EVENTS)
        self.assertEqual(self.router.finished(), [(Execution.RAN, 200)])
        self.assertEqual(self.router.released(), ["decode-1", "prefill-1"])

    def test_missing_max_tokens_is_set_for_the_engine(self) -> None:
        # The engine must not generate more tokens than the reservation has
        # memory for.
        self.complete(max_tokens=None)
        body = json.loads(self.decode.received[-1].body)
        assert self.router.submission is not None
        self.assertEqual(body["max_tokens"], self.router.submission.max_tokens)

    def test_malformed_response_is_not_forwarded(self) -> None:
        self.decode.scripts["POST /v1/"] = lambda handler: handler.send(
            200, [1]
        )
        answer = self.complete()
        self.assertEqual(answer.status, 502)
        self.assertEqual(answer.json()["outcome"], "unknown")
        self.assertEqual(
            self.router.calls.count(("retry", FailureKind.ENDPOINT_ERROR)), 2
        )

    def test_truncated_response_is_not_forwarded(self) -> None:
        def truncate(handler: Handler) -> None:
            handler.send(200, b'{"choices":[]}', {"Content-Length": "90"})
            handler.close_early()

        self.decode.scripts["POST /v1/"] = truncate
        self.assertEqual(self.complete().status, 502)

    def test_response_to_another_attempt_is_not_forwarded(self) -> None:
        # A reused connection may carry a delayed response.
        self.decode.scripts["POST /v1/"] = lambda handler: handler.send(
            200, {"choices": []}, {"Burdockspan-Attempt": "other:1:1"}
        )
        self.assertEqual(self.complete().status, 502)

    def test_refused_reservation_is_retried_before_prefill(self) -> None:
        self.decode.scripts["POST /reservations"] = lambda handler: (
            handler.send(409, {})
        )
        self.complete()
        self.assertIn(("retry", FailureKind.FULL), self.router.calls)
        self.assertEqual(self.prefill.count("POST /prefill"), 0)

    def test_refusal_after_a_prefill_is_never_not_run(self) -> None:
        # When the node refuses the next attempt, it may no longer know that an
        # earlier one ran a prefill. The handler then corrects the outcome.
        self.router.last_execution = Execution.NOT_RUN
        self.decode.scripts["POST /imports"] = lambda handler: handler.send(
            404, {}
        )
        self.assertEqual(self.complete().json()["outcome"], "ran")

    def test_stale_attempt_stops_before_the_next_step(self) -> None:
        # A superseded attempt must not use another engine.
        self.router.is_current = lambda event: (
            event is not AttemptEvent.TRANSFERRED
        )
        answer = self.complete()
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.json()["outcome"], "ran")
        self.assertEqual(self.decode.count("POST /v1/"), 0)
        self.assertEqual(self.router.released(), ["decode-1", "prefill-1"])

    def test_attempt_that_stops_before_prefill_is_not_run(self) -> None:
        self.router.is_current = lambda event: (
            event is not AttemptEvent.PREFILL_SENT
        )
        self.assertEqual(self.complete().json()["outcome"], "not_run")
        self.assertEqual(self.prefill.count("POST /prefill"), 0)

    def test_response_is_awaited_while_the_engine_lists_the_attempt(
        self,
    ) -> None:
        # A response that is not streamed starts after the last token, which
        # may come long after the first-byte timeout.
        self.set_limits(first_byte_timeout_s=2.0)
        listed = threading.Event()

        def list_attempts(handler: Handler) -> None:
            (call,) = (
                request
                for request in self.decode.received
                if "/v1/" in request.path
            )
            attempt = call.headers["Burdockspan-Attempt"]
            attempts = [{"attempt": attempt, "pieces": 1}]
            handler.send(200, {"boot": "b", "attempts": attempts})
            listed.set()

        def respond_late(handler: Handler) -> None:
            listed.wait(WAIT_S)
            handler.send(200, make_completion("late"))

        self.decode.scripts["GET /attempts"] = list_attempts
        self.decode.scripts["POST /v1/"] = respond_late
        answer = self.complete()
        self.assertEqual(answer.json()["choices"][0]["text"], "late")
        self.assertNotIn("retry", [call[0] for call in self.router.calls])

    def test_unresponsive_prefill_engine_gets_a_health_check(self) -> None:
        self.set_limits(first_byte_timeout_s=2.0)
        self.router.attempts_limit = 1
        self.prefill.scripts["POST /prefill"] = lambda handler: handler.stall()
        answer = self.complete()
        self.assertEqual(answer.json()["outcome"], "unknown")
        self.assertIn(("retry", FailureKind.UNRESPONSIVE), self.router.calls)
        self.assertEqual(self.prefill.count("GET /health"), 1)
        self.assertEqual(self.decode.count("POST /imports"), 0)

    def test_stalled_transfer_ends_when_the_cache_expires(self) -> None:
        self.prefill.scripts["POST /prefill"] = lambda handler: handler.send(
            200, {"cache": "k", "tokens": 1, "life_s": 0.05}
        )
        self.decode.scripts["POST /imports"] = lambda handler: handler.stall()
        self.complete()
        self.assertIn(("retry", FailureKind.TIMED_OUT), self.router.calls)
        self.assertEqual(self.router.released(), ["decode-1", "prefill-1"] * 2)

    def test_prompt_with_a_lone_surrogate_is_served(self) -> None:
        # JSON allows a lone surrogate, UTF-8 does not.
        body = b'{"model": "m1", "prompt": "\\ud800"}'
        answer = self.call("POST", "/v1/completions", body)
        self.assertEqual(answer.status, 200)

    def test_expired_cache_leads_to_a_retry(self) -> None:
        self.decode.scripts["POST /imports"] = lambda handler: handler.send(
            404, {}
        )
        self.complete()
        self.assertIn(("retry", FailureKind.CACHE_EXPIRED), self.router.calls)


class StreamTest(HttpServerTestCase):
    def test_stream_is_forwarded_completely(self) -> None:
        answer = self.complete(stream=True)
        self.assertEqual(answer.body, _TOKEN_EVENTS + _LAST_EVENT)
        self.wait_until(lambda: bool(self.router.finished()))
        self.assertEqual(self.router.finished(), [(Execution.RAN, 200)])
        self.assertEqual(self.router.released(), ["decode-1", "prefill-1"])

    def test_stalled_stream_resumes_without_repeats_or_gaps(self) -> None:
        self.set_limits(stream_silence_s=0.3)

        def stall(handler: Handler) -> None:
            handler.start_stream()
            handler.send_tokens(0, 3)
            handler.stall()

        def resume(handler: Handler) -> None:
            # Repeats the last token that was sent already.
            after = int(handler.path.partition("after=")[2])
            handler.start_stream()
            handler.send_tokens(max(after, 0), TOKENS)
            handler.end_stream()

        self.decode.scripts["POST /v1/"] = stall
        self.decode.scripts["GET /attempts/"] = resume
        answer = self.complete(stream=True)
        self.assertEqual(answer.body, _TOKEN_EVENTS + _LAST_EVENT)
        self.assertGreater(self.decode.count("GET /attempts/"), 0)

    def test_truncated_stream_resumes(self) -> None:
        # A stream without its last event is incomplete even if its chunked
        # body ends regularly.
        def end_early(handler: Handler) -> None:
            handler.start_stream()
            handler.send_tokens(0, 2)
            handler.wfile.write(b"0\r\n\r\n")

        def resume(handler: Handler) -> None:
            handler.start_stream()
            handler.send_tokens(2, TOKENS)
            handler.end_stream()

        self.decode.scripts["POST /v1/"] = end_early
        self.decode.scripts["GET /attempts/"] = resume
        answer = self.complete(stream=True)
        self.assertEqual(answer.body, _TOKEN_EVENTS + _LAST_EVENT)

    def test_lost_stream_ends_with_an_error_event(self) -> None:
        def close_early(handler: Handler) -> None:
            handler.start_stream()
            handler.send_tokens(0, 2)
            handler.close_early()

        self.decode.scripts["POST /v1/"] = close_early
        answer = self.complete(stream=True)
        self.assertNotIn(b"[DONE]", answer.body)
        event, data = answer.body.split(b"\n\n")[-2].split(b"\n")
        self.assertEqual(event, b"event: error")
        problem = json.loads(data.removeprefix(b"data: "))
        self.assertEqual(problem["outcome"], "ran")
        self.wait_until(lambda: bool(self.router.finished()))
        self.assertEqual(self.router.finished(), [(Execution.RAN, 502)])

    def test_engine_that_cannot_resume_ends_the_stream(self) -> None:
        # Guards against endless attempts to resume at an engine that no longer
        # knows the attempt.
        self.set_limits(stream_silence_s=1.0)

        def stall(handler: Handler) -> None:
            handler.start_stream()
            handler.send_tokens(0, 1)
            handler.stall()

        self.decode.scripts["POST /v1/"] = stall
        self.decode.scripts["GET /attempts/"] = lambda handler: handler.send(
            404, {}
        )
        answer = self.complete(stream=True)
        self.assertIn(b"event: error", answer.body)
        self.assertEqual(self.decode.count("GET /attempts/"), 1)

    def test_each_completion_uses_a_new_connection(self) -> None:
        # A reused connection may carry the delayed response to an earlier
        # completion. The other calls share a connection.
        for _ in range(2):
            self.complete(stream=True)
        completions, others = set(), set()
        for request in self.decode.received:
            is_completion = request.path.startswith("/v1/")
            (completions if is_completion else others).add(request.client)
        self.assertEqual(len(completions), 2)
        self.assertEqual(len(others), 1)
        self.assertFalse(completions & others)

    def test_missing_token_ends_the_stream_with_an_error(self) -> None:
        def skip(handler: Handler) -> None:
            handler.start_stream()
            handler.send_tokens(0, 1)
            handler.send_tokens(2, TOKENS)
            handler.end_stream()

        self.decode.scripts["POST /v1/"] = skip
        answer = self.complete(stream=True)
        self.assertTrue(answer.body.startswith(make_token_event(0)))
        self.assertIn(b"event: error", answer.body)
        self.assertNotIn(make_token_event(2), answer.body)

    def test_failure_before_the_first_byte_is_retried(self) -> None:
        attempts: list[int] = []

        def fail_once(handler: Handler) -> None:
            attempts.append(1)
            handler.start_stream()
            if len(attempts) == 1:
                handler.close_early()
                return
            handler.send_tokens(0, TOKENS)
            handler.end_stream()

        self.decode.scripts["POST /v1/"] = fail_once
        answer = self.complete(stream=True)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body, _TOKEN_EVENTS + _LAST_EVENT)

    def test_disconnected_caller_releases_the_attempt(self) -> None:
        def send_endlessly(handler: Handler) -> None:
            handler.start_stream()
            index = 0
            while not handler.server.closing.wait(0.005):
                handler.send_tokens(index, index + 1)
                index += 1

        self.decode.scripts["POST /v1/"] = send_endlessly
        value = {"model": "m1", "prompt": "x", "stream": True}
        connection, response = self.open("POST", "/v1/completions", value)
        response.read(100)
        response.close()
        connection.close()
        self.wait_until(lambda: bool(self.router.finished()))
        self.assertEqual(self.router.finished(), [(Execution.RAN, 499)])
        self.assertEqual(self.router.released(), ["decode-1", "prefill-1"])

    def test_abort_from_another_thread_ends_a_stalled_stream(self) -> None:
        def stall(handler: Handler) -> None:
            handler.start_stream()
            handler.send_tokens(0, 1)
            handler.stall()

        self.decode.scripts["POST /v1/"] = stall
        value = {"model": "m1", "prompt": "x", "stream": True}
        _, response = self.open("POST", "/v1/completions", value)
        response.read(10)
        self.router.aborts[-1]()
        self.assertIn(b"event: error", response.read())
        self.wait_until(lambda: bool(self.router.finished()))
        self.assertEqual(self.router.finished(), [(Execution.RAN, 503)])
