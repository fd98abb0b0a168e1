from __future__ import annotations

import json
import threading

from burdockspan.values.placement import AttemptEvent, FailureKind
from burdockspan.values.refusal import Execution
from tests.support.caller import WAIT_S, ServedTest
from tests.support.endpoint_fake import (
    TOKENS,
    Handler,
    make_token,
    make_whole,
)

_ALL_EVENTS = [
    "reserved",
    "prefill_sent",
    "prefilled",
    "transferred",
    "decode_sent",
    "first_byte",
]
_WHOLE_STREAM = b"".join(make_token(index) for index in range(TOKENS))
_DONE = b"data: [DONE]\n\n"


class WholeTest(ServedTest):
    def test_whole_answer_reports_each_step_and_releases_memory(self) -> None:
        answer = self.complete()
        self.assertEqual(answer.status, 200, answer.body)
        self.assertEqual(answer.problem()["choices"][0]["text"], "t0 t1 ")
        self.assertEqual(self.router.recorded_events(), _ALL_EVENTS)
        self.assertEqual(self.router.finished(), [(Execution.RAN, 200)])
        self.assertEqual(self.router.released(), ["decode-1", "prefill-1"])

    def test_body_without_max_tokens_is_bounded_for_the_engine(self) -> None:
        # Guards the reservation: an engine must not generate more than the
        # reserved memory holds.
        self.complete(max_tokens=None)
        body = json.loads(self.decode.received[-1].body)
        assert self.router.submission is not None
        self.assertEqual(body["max_tokens"], self.router.submission.max_tokens)

    def test_malformed_answer_is_never_passed_on(self) -> None:
        # Guards P3 against an answer of the wrong shape.
        self.decode.scripts["POST /v1/"] = lambda one: one.send(200, [1])
        answer = self.complete()
        self.assertEqual(answer.status, 502)
        self.assertEqual(answer.problem()["outcome"], "unknown")
        self.assertEqual(
            self.router.calls.count(("replace", FailureKind.ENDPOINT_ERROR)), 2
        )

    def test_truncated_answer_is_never_passed_on(self) -> None:
        def truncate(one: Handler) -> None:
            one.send(200, b'{"choices":[]}', {"Content-Length": "90"})
            one.break_off()

        self.decode.scripts["POST /v1/"] = truncate
        self.assertEqual(self.complete().status, 502)

    def test_answer_of_another_attempt_is_never_passed_on(self) -> None:
        # Guards P3 against a late answer on a reused connection.
        self.decode.scripts["POST /v1/"] = lambda one: one.send(
            200, {"choices": []}, {"Burdockspan-Attempt": "other:1:1"}
        )
        self.assertEqual(self.complete().status, 502)

    def test_full_engine_is_replaced_before_prefill(self) -> None:
        self.decode.scripts["POST /reservations"] = lambda one: one.send(
            409, {}
        )
        self.complete()
        self.assertIn(("replace", FailureKind.FULL), self.router.calls)
        self.assertEqual(self.prefill.count("POST /prefill"), 0)

    def test_prefill_that_ran_is_never_refused_as_not_run(self) -> None:
        # Guards P4 against a node that no longer knows of the attempt.
        self.router.last_execution = Execution.NOT_RUN
        self.decode.scripts["POST /imports"] = lambda one: one.send(404, {})
        self.assertEqual(self.complete().problem()["outcome"], "ran")

    def test_stale_attempt_stops_before_the_next_step(self) -> None:
        # Guards P1 and P2: a superseded attempt must not go on.
        self.router.is_current = lambda event: (
            event is not AttemptEvent.TRANSFERRED
        )
        answer = self.complete()
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.problem()["outcome"], "ran")
        self.assertEqual(self.decode.count("POST /v1/"), 0)
        self.assertEqual(self.router.released(), ["decode-1", "prefill-1"])

    def test_stop_before_prefill_is_not_run(self) -> None:
        self.router.is_current = lambda event: (
            event is not AttemptEvent.PREFILL_SENT
        )
        self.assertEqual(self.complete().problem()["outcome"], "not_run")
        self.assertEqual(self.prefill.count("POST /prefill"), 0)

    def test_whole_answer_is_awaited_while_the_engine_lists_it(self) -> None:
        # Guards long answers: their head comes after the last token, long
        # after the first-byte timeout.
        self.limit(first_byte_timeout_s=2.0)
        listed = threading.Event()

        def list_attempts(one: Handler) -> None:
            (call,) = (
                row for row in self.decode.received if "/v1/" in row.path
            )
            attempt = call.headers["Burdockspan-Attempt"]
            rows = [{"attempt": attempt, "pieces": 1}]
            one.send(200, {"boot": "b", "attempts": rows})
            listed.set()

        def answer_late(one: Handler) -> None:
            listed.wait(WAIT_S)
            one.send(200, make_whole("late"))

        self.decode.scripts["GET /attempts"] = list_attempts
        self.decode.scripts["POST /v1/"] = answer_late
        answer = self.complete()
        self.assertEqual(answer.problem()["choices"][0]["text"], "late")
        self.assertNotIn("replace", [row[0] for row in self.router.calls])

    def test_silent_prefill_leads_to_a_health_check(self) -> None:
        self.limit(first_byte_timeout_s=2.0)
        self.router.attempts_limit = 1
        self.prefill.scripts["POST /prefill"] = lambda one: one.stall()
        answer = self.complete()
        self.assertEqual(answer.problem()["outcome"], "unknown")
        self.assertIn(("replace", FailureKind.UNRESPONSIVE), self.router.calls)
        self.assertEqual(self.prefill.count("GET /health"), 1)
        self.assertEqual(self.decode.count("POST /imports"), 0)

    def test_stalled_transfer_ends_with_the_life_of_the_cache(self) -> None:
        self.prefill.scripts["POST /prefill"] = lambda one: one.send(
            200, {"cache": "k", "tokens": 1, "life_s": 0.05}
        )
        self.decode.scripts["POST /imports"] = lambda one: one.stall()
        self.complete()
        self.assertIn(("replace", FailureKind.TIMED_OUT), self.router.calls)
        self.assertEqual(self.router.released(), ["decode-1", "prefill-1"] * 2)

    def test_prompt_with_a_lone_surrogate_is_served(self) -> None:
        # JSON allows it, UTF-8 does not.
        body = b'{"model": "m1", "prompt": "\\ud800"}'
        answer = self.call("POST", "/v1/completions", body)
        self.assertEqual(answer.status, 200)

    def test_expired_cache_is_replaced(self) -> None:
        self.decode.scripts["POST /imports"] = lambda one: one.send(404, {})
        self.complete()
        self.assertIn(("replace", FailureKind.CACHE_EXPIRED), self.router.calls)


class StreamTest(ServedTest):
    def test_stream_arrives_whole(self) -> None:
        answer = self.complete(stream=True)
        self.assertEqual(answer.body, _WHOLE_STREAM + _DONE)
        self.wait_until(lambda: bool(self.router.finished()))
        self.assertEqual(self.router.finished(), [(Execution.RAN, 200)])
        self.assertEqual(self.router.released(), ["decode-1", "prefill-1"])

    def test_silent_stream_resumes_without_repeats_or_gaps(self) -> None:
        self.limit(stream_silence_s=0.3)

        def fall_silent(one: Handler) -> None:
            one.begin_stream()
            one.send_tokens(0, 3)
            one.stall()

        def resume(one: Handler) -> None:
            # Repeats the last token that the caller has.
            after = int(one.path.partition("after=")[2])
            one.begin_stream()
            one.send_tokens(max(after, 0), TOKENS)
            one.end_stream()

        self.decode.scripts["POST /v1/"] = fall_silent
        self.decode.scripts["GET /attempts/"] = resume
        answer = self.complete(stream=True)
        self.assertEqual(answer.body, _WHOLE_STREAM + _DONE)
        self.assertGreater(self.decode.count("GET /attempts/"), 0)

    def test_truncated_stream_resumes(self) -> None:
        # Guards P3: a clean end without the last event is not complete.
        def end_early(one: Handler) -> None:
            one.begin_stream()
            one.send_tokens(0, 2)
            one.wfile.write(b"0\r\n\r\n")

        def resume(one: Handler) -> None:
            one.begin_stream()
            one.send_tokens(2, TOKENS)
            one.end_stream()

        self.decode.scripts["POST /v1/"] = end_early
        self.decode.scripts["GET /attempts/"] = resume
        answer = self.complete(stream=True)
        self.assertEqual(answer.body, _WHOLE_STREAM + _DONE)

    def test_lost_stream_ends_with_an_error_event(self) -> None:
        def break_off(one: Handler) -> None:
            one.begin_stream()
            one.send_tokens(0, 2)
            one.break_off()

        self.decode.scripts["POST /v1/"] = break_off
        answer = self.complete(stream=True)
        self.assertNotIn(b"[DONE]", answer.body)
        event, data = answer.body.split(b"\n\n")[-2].split(b"\n")
        self.assertEqual(event, b"event: error")
        problem = json.loads(data.removeprefix(b"data: "))
        self.assertEqual(problem["outcome"], "ran")
        self.wait_until(lambda: bool(self.router.finished()))
        self.assertEqual(self.router.finished(), [(Execution.RAN, 502)])

    def test_engine_that_cannot_resume_ends_the_stream(self) -> None:
        # Guards against endless resumption at an engine that forgot the
        # attempt.
        self.limit(stream_silence_s=1.0)

        def fall_silent(one: Handler) -> None:
            one.begin_stream()
            one.send_tokens(0, 1)
            one.stall()

        self.decode.scripts["POST /v1/"] = fall_silent
        self.decode.scripts["GET /attempts/"] = lambda one: one.send(404, {})
        answer = self.complete(stream=True)
        self.assertIn(b"event: error", answer.body)
        self.assertEqual(self.decode.count("GET /attempts/"), 1)

    def test_completion_uses_a_connection_of_its_own(self) -> None:
        # Guards P3: a pooled connection may carry a late answer of an earlier
        # completion. The other calls share one connection.
        for _ in range(2):
            self.complete(stream=True)
        completions, others = set(), set()
        for one in self.decode.received:
            answered = one.path.startswith("/v1/")
            (completions if answered else others).add(one.client)
        self.assertEqual(len(completions), 2)
        self.assertEqual(len(others), 1)
        self.assertFalse(completions & others)

    def test_missing_token_is_never_hidden(self) -> None:
        def skip(one: Handler) -> None:
            one.begin_stream()
            one.send_tokens(0, 1)
            one.send_tokens(2, TOKENS)
            one.end_stream()

        self.decode.scripts["POST /v1/"] = skip
        answer = self.complete(stream=True)
        self.assertTrue(answer.body.startswith(make_token(0)))
        self.assertIn(b"event: error", answer.body)
        self.assertNotIn(make_token(2), answer.body)

    def test_failure_before_the_first_byte_is_replaced(self) -> None:
        tries: list[int] = []

        def fail_once(one: Handler) -> None:
            tries.append(1)
            one.begin_stream()
            if len(tries) == 1:
                one.break_off()
                return
            one.send_tokens(0, TOKENS)
            one.end_stream()

        self.decode.scripts["POST /v1/"] = fail_once
        answer = self.complete(stream=True)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body, _WHOLE_STREAM + _DONE)

    def test_caller_that_leaves_releases_the_attempt(self) -> None:
        # Guards P1 for a caller that goes in the middle of a stream.
        def endless(one: Handler) -> None:
            one.begin_stream()
            index = 0
            while not one.server.closing.wait(0.005):
                one.send_tokens(index, index + 1)
                index += 1

        self.decode.scripts["POST /v1/"] = endless
        value = {"model": "m1", "prompt": "x", "stream": True}
        connection, response = self.open("POST", "/v1/completions", value)
        response.read(100)
        response.close()
        connection.close()
        self.wait_until(lambda: bool(self.router.finished()))
        self.assertEqual(self.router.finished(), [(Execution.RAN, 499)])
        self.assertEqual(self.router.released(), ["decode-1", "prefill-1"])

    def test_abort_from_another_thread_ends_a_silent_stream(self) -> None:
        def fall_silent(one: Handler) -> None:
            one.begin_stream()
            one.send_tokens(0, 1)
            one.stall()

        self.decode.scripts["POST /v1/"] = fall_silent
        value = {"model": "m1", "prompt": "x", "stream": True}
        _, response = self.open("POST", "/v1/completions", value)
        response.read(10)
        self.router.aborts[-1]()
        self.assertIn(b"event: error", response.read())
        self.wait_until(lambda: bool(self.router.finished()))
        self.assertEqual(self.router.finished(), [(Execution.RAN, 503)])
