"""Generations: reservations, prefills, and resumed streams."""

from __future__ import annotations

import json
import threading
import time
import unittest.mock
from collections.abc import Iterable, Iterator

from standins.scripted_endpoint import (
    CHUNKED_HEAD,
    LAST_CHUNK,
    Action,
    Received,
    ScriptedEndpoint,
    Step,
    chunk,
    respond,
    respond_json,
)
from tests.gateway.case import GatewayCase
from tests.support.gateways import ReceivedResponse, wait_for

_SIZES = {"Token-Count": "5200,1760", "Length-Hint": "600"}
_FULL = respond(503)


def _event(number: int) -> bytes:
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def make_stream(*numbers: int) -> list[Step]:
    events = [chunk(_event(number)) for number in numbers]
    return [CHUNKED_HEAD, *events, LAST_CHUNK]


class EngineScript:
    """The script of an engine that reserves memory, prefills and streams."""

    def __init__(self, stream: Iterable[Step]) -> None:
        self.stream = stream
        self.runs: list[Received] = []
        self.prefills: list[Received] = []
        self.reserved_tokens: list[int] = []
        self.released_paths: list[str] = []
        self.is_full = False
        self.refuses_prompts = False
        self.prefill_duration_s = 0.0

    def __call__(self, received: Received) -> Iterable[Step]:
        """Returns what the engine sends for one request."""
        if received.target == "/v1/hold-take":
            if self.is_full:
                return _FULL
            self.reserved_tokens.append(json.loads(received.body)["tokens"])
            return respond_json(200, {"hold": f"h{len(self.reserved_tokens)}"})
        if received.target == "/health":
            return respond(200)
        if received.method == "DELETE":
            self.released_paths.append(received.target)
            return respond_json(200, {})
        if received.header("Stage") == "prefill":
            self.prefills.append(received)
            if self.refuses_prompts:
                return respond(503, b"", {"Not-Executed": "1"})
            time.sleep(self.prefill_duration_s)
            value = {"handle": "k1", "tokens": 5200, "version": 1}
            return respond_json(200, value)
        self.runs.append(received)
        return self.stream


class GenerationCase(GatewayCase):
    def add_engine(
        self, name: str, stream: Iterable[Step], stage: str = "decode"
    ) -> EngineScript:
        """Adds a model engine; returns its script."""
        engine = EngineScript(stream)
        self.gateway.add_endpoint(
            ScriptedEndpoint(name, engine), service="llm", stage=stage
        )
        return engine

    def generate(
        self, path: str = "/draft/x", **headers: str
    ) -> ReceivedResponse:
        """Sends a generation request; returns the response."""
        return self.gateway.call("POST", path, b"prompt", {**_SIZES, **headers})


class TestPlacement(GenerationCase):
    def test_memory_is_reserved_before_the_prefill(self) -> None:
        """Guards against prefills without memory for the decoding."""
        prefill = self.add_engine("i-p", [], "prefill")
        decode = self.add_engine("i-d", make_stream(1, 2))
        response = self.generate()
        self.assertEqual(response.body, _event(1) + _event(2))
        self.assertTrue(response.complete)
        # The prompt and half of the expected output, in blocks of 16 tokens;
        # before that, the same with the headroom, which is released at once.
        self.assertEqual(decode.reserved_tokens, [6104, 5504])
        self.assertEqual(decode.released_paths, ["/v1/hold-drop/h1"])
        run = decode.runs[0]
        self.assertEqual(run.header("Kv-Hold"), "h2")
        source = run.header("Kv-Source") or ""
        self.assertTrue(source.endswith("/k1"), source)
        self.assertEqual(prefill.prefills[0].body, b"prompt")
        self.assertIsNone(run.header("Stage"))

    def test_no_prefill_without_decode_memory(self) -> None:
        """Guards against prefills of generations that are then refused."""
        prefill = self.add_engine("i-p", [], "prefill")
        decode = self.add_engine("i-d", make_stream(1))
        decode.is_full = True
        response = self.generate(**{"Deadline-Ms": "2500"})
        self.assertEqual(response.status, 503)
        self.assertIn("Retry-After", response.headers)
        self.assertEqual(prefill.prefills, [])

    def test_refusal_comes_before_the_deadline(self) -> None:
        """Guards against refusals that come late."""
        decode = self.add_engine("i-d", make_stream(1))
        decode.is_full = True
        self.assertEqual(self.generate().status, 503)
        waited_s = self.gateway.events_named("refused")[0]["waited_s"]
        self.assertLess(waited_s, 1.5)

    def test_retry_is_refused_soon_without_memory(self) -> None:
        """Guards against long waits of retries during an overload.

        Released memory goes to generations that can still meet their objective.
        """
        self.add_engine("i-d", make_stream(1)).is_full = True
        self.assertEqual(self.generate(**{"Deadline-Ms": "3900"}).status, 503)
        waited_s = self.gateway.events_named("refused")[0]["waited_s"]
        self.assertLess(waited_s, 0.45)

    def test_decode_engine_prefills_after_a_failed_prefill(self) -> None:
        """Guards against a refusal although the decode engine can prefill."""
        self.add_endpoint(
            lambda _: [Action.RESET], "i-p", service="llm", stage="prefill"
        )
        decode = self.add_engine("i-d", make_stream(1))
        self.assertEqual(self.generate().body, _event(1))
        self.assertIsNone(decode.runs[0].header("Kv-Source"))

    def test_unused_cache_and_memory_are_released(self) -> None:
        """Guards against memory that stays reserved after a refusal."""
        prefill = self.add_engine("i-p", [], "prefill")
        refusing = respond(503, b"", {"Not-Executed": "1"})
        decode = self.add_engine("i-d", refusing)
        self.assertEqual(self.generate().status, 503)
        self.assertEqual(prefill.released_paths, ["/v1/kv-handle/k1"])
        self.assertEqual(
            decode.released_paths, ["/v1/hold-drop/h1", "/v1/hold-drop/h2"]
        )

    def test_queued_generation_reserves_released_memory(self) -> None:
        """Guards against a refusal shortly before memory is released."""
        decode = self.add_engine("i-d", make_stream(1))
        decode.is_full = True
        queue = self.gateway.components.context.admission_queues.for_service(
            "llm"
        )

        def release_memory() -> None:
            wait_for(lambda: queue.length() == 1)
            decode.is_full = False

        releaser = threading.Thread(target=release_memory)
        releaser.start()
        self.assertEqual(self.generate().status, 200)
        releaser.join()


class TestPrefillQueue(GenerationCase):
    def test_decode_engine_prefills_during_a_long_queue(self) -> None:
        """Guards against late first events behind an overloaded engine."""
        prefill = self.add_engine("i-p", [], "prefill")
        decode = self.add_engine("i-d", make_stream(1))
        context = self.gateway.components.context
        context.demand.record_prefill("llm", 5_200, 0.1)
        engine = context.state.endpoint_table().by_id["i-p"].endpoint
        context.prefill_delays.record(engine, 60.0, context.clock())
        self.assertEqual(self.generate().body, _event(1))
        self.assertEqual(prefill.prefills, [])
        self.assertIsNone(decode.runs[0].header("Kv-Source"))

    def test_queueing_delay_is_measured_from_own_prompts(self) -> None:
        """Guards against a queue that stays undetected."""
        prefill = self.add_engine("i-p", [], "prefill")
        self.add_engine("i-d", make_stream(1))
        context = self.gateway.components.context
        context.demand.record_prefill("llm", 5_200, 0.001)
        prefill.prefill_duration_s = 0.3
        self.assertEqual(self.generate().status, 200)
        engine = context.state.endpoint_table().by_id["i-p"].endpoint
        self.assertGreater(
            context.prefill_delays.expected_delay_s(engine, context.clock()), 0
        )


class TestPrefill(GenerationCase):
    """An engine that was ordered to decode refuses prompts.

    If a decode engine prefilled the prompts instead, all its streams would be
    delayed.
    """

    def setUp(self) -> None:
        """Adds two prefill engines; the refusing one ranks first."""
        super().setUp()
        self.refusing = self.add_engine("i-p1", [], "prefill")
        self.refusing.refuses_prompts = True
        self.prefill = self.add_engine("i-p2", [], "prefill")
        self.decode = self.add_engine("i-d", make_stream(1))
        state = self.gateway.components.context.state
        state.begin_work(state.endpoint_table().by_id["i-p2"].endpoint, 10_000)

    def test_refused_prompt_goes_to_another_engine(self) -> None:
        """Guards against gaps in all streams of a decode engine."""
        self.assertEqual(self.generate().body, _event(1))
        self.assertEqual(len(self.refusing.prefills), 1)
        self.assertEqual(len(self.prefill.prefills), 1)
        self.assertIsNotNone(self.decode.runs[0].header("Kv-Source"))

    def test_engine_that_refuses_prompts_is_avoided(self) -> None:
        """Guards against a refused call for each prompt during some seconds."""
        for _ in range(3):
            self.assertEqual(self.generate().status, 200)
        self.assertEqual(len(self.refusing.prefills), 1)

    def test_second_prefill_needs_budget(self) -> None:
        """Guards against calls beyond the retry budget of all VMs."""
        budget = self.gateway.components.context.retry_budget
        while budget.try_spend("llm"):
            pass
        self.assertEqual(self.generate().status, 503)
        self.assertEqual(len(self.prefill.prefills), 0)
        self.assertEqual(self.decode.runs, [])

    def test_refused_prompt_uses_one_retry(self) -> None:
        """Guards against a budget that is spent twice for one refusal."""
        spent = []
        budget = self.gateway.components.context.retry_budget
        try_spend = budget.try_spend

        def record(service: str) -> bool:
            spent.append(service)
            return try_spend(service)

        with unittest.mock.patch.object(budget, "try_spend", record):
            self.assertEqual(self.generate().status, 200)
        self.assertEqual(spent, ["llm"])


class TestStreams(GenerationCase):
    def test_resumable_stream_continues_at_another_engine(self) -> None:
        """Guards against missing, duplicate or interleaved events."""
        truncated = [
            CHUNKED_HEAD,
            chunk(_event(1) + _event(2) + b"id: 3\nda"),
            Action.RESET,
        ]
        first = self.add_engine("i-1", truncated)
        second = self.add_engine("i-2", make_stream(3, 4))
        # The load at i-2 makes i-1, whose stream is truncated, rank first.
        state = self.gateway.components.context.state
        state.begin_work(state.endpoint_table().by_id["i-2"].endpoint, 10_000)
        response = self.generate("/review/x")
        events = b"".join(_event(number) for number in (1, 2, 3, 4))
        self.assertEqual(response.body, events)
        self.assertTrue(response.complete)
        self.assertEqual(len(first.runs), 1)
        self.assertEqual(second.runs[0].header("Last-Event-Id"), "2")

    def test_unresumable_stream_is_truncated_and_not_repeated(self) -> None:
        """Guards against a second run of a stream that may not be resumed."""
        truncated = [CHUNKED_HEAD, chunk(_event(1)), Action.RESET]
        engines = [self.add_engine(f"i-{n}", truncated) for n in range(2)]
        response = self.generate("/draft/x")
        self.assertFalse(response.complete)
        self.assertEqual(sum(len(engine.runs) for engine in engines), 1)

    def test_longest_gap_of_a_stream_is_logged(self) -> None:
        """Guards against late streams whose cause is missing in the log."""

        def stream_with_gap() -> Iterator[Step]:
            yield CHUNKED_HEAD
            yield chunk(_event(1))
            time.sleep(0.2)
            yield chunk(_event(2))
            yield LAST_CHUNK

        self.add_engine("i-1", stream_with_gap())
        self.assertTrue(self.generate().complete)
        wait_for(lambda: bool(self.gateway.events_named("answered")))
        log_event = self.gateway.events_named("answered")[0]
        self.assertGreaterEqual(log_event["longest_pause_s"], 0.15)
        self.assertLess(log_event["first_part_s"], log_event["total_s"] - 0.15)

    def test_stream_reset_before_its_first_event_is_not_repeated(self) -> None:
        """Guards against a 503 for a stream that may have run."""
        engines = [self.add_engine(f"i-{n}", [Action.RESET]) for n in range(2)]
        self.assertEqual(self.generate("/draft/x").status, 502)
        self.assertEqual(sum(len(engine.runs) for engine in engines), 1)

    def test_resumed_run_prefills_again(self) -> None:
        """Guards against a run that continues from the cache of another run."""
        truncated = [CHUNKED_HEAD, chunk(_event(1)), Action.RESET]
        self.add_engine("i-1", truncated)
        self.add_engine("i-2", truncated)
        prefill = self.add_engine("i-p", [], "prefill")
        self.generate("/review/x")
        ids = {run.header("Request-Id") for run in prefill.prefills}
        self.assertEqual(ids, {"r1"})
