"""Generations: memory first, prompt apart, and streams that go on."""

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
from tests.support.gateways import Answered, wait_for

_SIZES = {"Token-Count": "5200,1760", "Length-Hint": "600"}
_FULL = respond(503)


def _event(number: int) -> bytes:
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def _stream(*numbers: int) -> list[Step]:
    events = [chunk(_event(number)) for number in numbers]
    return [CHUNKED_HEAD, *events, LAST_CHUNK]


class Engine:
    """An engine that reserves, reads prompts, and streams by a script."""

    def __init__(self, stream: Iterable[Step]) -> None:
        self.stream = stream
        self.runs: list[Received] = []
        self.prefills: list[Received] = []
        self.holds: list[int] = []
        self.dropped: list[str] = []
        self.full = False
        self.refuses_prompts = False
        self.read_s = 0.0

    def __call__(self, received: Received) -> Iterable[Step]:
        """Answers one request."""
        if received.target == "/v1/hold-take":
            if self.full:
                return _FULL
            self.holds.append(json.loads(received.body)["tokens"])
            return respond_json(200, {"hold": f"h{len(self.holds)}"})
        if received.method == "DELETE":
            self.dropped.append(received.target)
            return respond_json(200, {})
        if received.header("Stage") == "prefill":
            self.prefills.append(received)
            if self.refuses_prompts:
                return respond(503, b"", {"Not-Executed": "1"})
            time.sleep(self.read_s)
            value = {"handle": "k1", "tokens": 5200, "version": 1}
            return respond_json(200, value)
        self.runs.append(received)
        return self.stream


class GenerationCase(GatewayCase):
    def engine(
        self, name: str, stream: Iterable[Step], stage: str = "decode"
    ) -> Engine:
        """Adds an engine."""
        made = Engine(stream)
        self.gateway.add(
            ScriptedEndpoint(name, made), service="llm", stage=stage
        )
        return made

    def generate(self, path: str = "/draft/x", **headers: str) -> Answered:
        """Sends a generation."""
        return self.gateway.call("POST", path, b"prompt", {**_SIZES, **headers})


class TestPlacement(GenerationCase):
    def test_memory_then_prompt_then_stream(self) -> None:
        """Guards against prompts that are read without room to go on."""
        prefill = self.engine("i-p", [], "prefill")
        decode = self.engine("i-d", _stream(1, 2))
        answer = self.generate()
        self.assertEqual(answer.body, _event(1) + _event(2))
        self.assertTrue(answer.complete)
        # The prompt and 0.8 of the estimate, in blocks of 16 tokens.
        self.assertEqual(decode.holds, [5680])
        run = decode.runs[0]
        self.assertEqual(run.header("Kv-Hold"), "h1")
        source = run.header("Kv-Source") or ""
        self.assertTrue(source.endswith("/k1"), source)
        self.assertEqual(prefill.prefills[0].body, b"prompt")
        self.assertIsNone(run.header("Stage"))

    def test_full_engine_reads_no_prompt(self) -> None:
        """Guards against prompts that are read in vain."""
        prefill = self.engine("i-p", [], "prefill")
        decode = self.engine("i-d", _stream(1))
        decode.full = True
        answer = self.generate(**{"Deadline-Ms": "2500"})
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual(prefill.prefills, [])

    def test_refusal_does_not_wait_for_the_deadline(self) -> None:
        """Guards against a refusal that is held back."""
        decode = self.engine("i-d", _stream(1))
        decode.full = True
        self.assertEqual(self.generate().status, 503)
        waited_s = self.gateway.logged("refused")[0]["waited_s"]
        self.assertLess(waited_s, 1.5)

    def test_second_attempt_is_refused_soon_without_room(self) -> None:
        """Guards against callers of a long overload that wait in vain.

        What frees up goes to those who can still get their answer in time.
        """
        self.engine("i-d", _stream(1)).full = True
        self.assertEqual(self.generate(**{"Deadline-Ms": "3900"}).status, 503)
        waited_s = self.gateway.logged("refused")[0]["waited_s"]
        self.assertLess(waited_s, 0.45)

    def test_failed_prefill_leaves_the_prompt_to_the_decoder(self) -> None:
        """Guards against a refusal though the decode engine can read."""
        self.add_endpoint(
            lambda _: [Action.RESET], "i-p", service="llm", stage="prefill"
        )
        decode = self.engine("i-d", _stream(1))
        self.assertEqual(self.generate().body, _event(1))
        self.assertIsNone(decode.runs[0].header("Kv-Source"))

    def test_unused_cache_and_memory_are_freed(self) -> None:
        """Guards against memory that nobody uses."""
        prefill = self.engine("i-p", [], "prefill")
        refusing = respond(503, b"", {"Not-Executed": "1"})
        decode = self.engine("i-d", refusing)
        self.assertEqual(self.generate().status, 503)
        self.assertEqual(prefill.dropped, ["/v1/kv-handle/k1"])
        self.assertEqual(decode.dropped, ["/v1/hold-drop/h1"])

    def test_waiting_generation_takes_room_that_is_given_back(self) -> None:
        """Guards against a refusal shortly before there is room."""
        decode = self.engine("i-d", _stream(1))
        decode.full = True
        line = self.gateway.components.context.admission_queues.for_service(
            "llm"
        )

        def free() -> None:
            wait_for(lambda: line.length() == 1)
            decode.full = False

        helper = threading.Thread(target=free)
        helper.start()
        self.assertEqual(self.generate().status, 200)
        helper.join()


class TestPrefillQueue(GenerationCase):
    def test_prompt_goes_past_a_long_queue(self) -> None:
        """Guards against first events that are late behind one engine."""
        prefill = self.engine("i-p", [], "prefill")
        decode = self.engine("i-d", _stream(1))
        context = self.gateway.components.context
        context.demand.record_prefill("llm", 5_200, 0.1)
        engine = context.state.endpoint_table().by_id["i-p"].endpoint
        context.prefill_delays.record(engine, 60.0, context.clock())
        self.assertEqual(self.generate().body, _event(1))
        self.assertEqual(prefill.prefills, [])
        self.assertIsNone(decode.runs[0].header("Kv-Source"))

    def test_queue_is_learned_from_own_prompts(self) -> None:
        """Guards against a queue that nobody notices."""
        prefill = self.engine("i-p", [], "prefill")
        self.engine("i-d", _stream(1))
        context = self.gateway.components.context
        context.demand.record_prefill("llm", 5_200, 0.001)
        prefill.read_s = 0.3
        self.assertEqual(self.generate().status, 200)
        engine = context.state.endpoint_table().by_id["i-p"].endpoint
        self.assertGreater(
            context.prefill_delays.expected_delay_s(engine, context.clock()), 0
        )


class TestPrefill(GenerationCase):
    """Load: an engine that has been ordered to decode refuses prompts.

    A decode engine that reads prompts itself delays all its streams.
    """

    def setUp(self) -> None:
        """Adds two prefill engines, of which the refusing one goes first."""
        super().setUp()
        self.refusing = self.engine("i-p1", [], "prefill")
        self.refusing.refuses_prompts = True
        self.prefill = self.engine("i-p2", [], "prefill")
        self.decode = self.engine("i-d", _stream(1))
        state = self.gateway.components.context.state
        state.begin_work(state.endpoint_table().by_id["i-p2"].endpoint, 10_000)

    def test_refused_prompt_is_read_by_another_engine(self) -> None:
        """Guards against pauses of all streams of a decode engine."""
        self.assertEqual(self.generate().body, _event(1))
        self.assertEqual(len(self.refusing.prefills), 1)
        self.assertEqual(len(self.prefill.prefills), 1)
        self.assertIsNotNone(self.decode.runs[0].header("Kv-Source"))

    def test_engine_that_refuses_prompts_is_avoided(self) -> None:
        """Guards against a refused call for each prompt of some seconds."""
        for _ in range(3):
            self.assertEqual(self.generate().status, 200)
        self.assertEqual(len(self.refusing.prefills), 1)

    def test_second_reading_costs_budget(self) -> None:
        """Guards against calls beyond the budget that all VMs share."""
        budget = self.gateway.components.context.retry_budget
        while budget.try_spend("llm"):
            pass
        self.assertEqual(self.generate().status, 503)
        self.assertEqual(len(self.prefill.prefills), 0)
        self.assertEqual(self.decode.runs, [])

    def test_refused_prompt_costs_one_repeat(self) -> None:
        """Guards against a budget that is spent twice for one refusal."""
        spent = []
        budget = self.gateway.components.context.retry_budget
        try_spend = budget.try_spend

        def note(service: str) -> bool:
            spent.append(service)
            return try_spend(service)

        with unittest.mock.patch.object(budget, "try_spend", note):
            self.assertEqual(self.generate().status, 200)
        self.assertEqual(spent, ["llm"])


class TestStreams(GenerationCase):
    def test_resumable_stream_goes_on_elsewhere(self) -> None:
        """Guards against pieces that are missing, come twice, or are mixed."""
        broken = [
            CHUNKED_HEAD,
            chunk(_event(1) + _event(2) + b"id: 3\nda"),
            Action.RESET,
        ]
        first = self.engine("i-1", broken)
        second = self.engine("i-2", _stream(3, 4))
        # The engine that breaks off has to be the first one.
        state = self.gateway.components.context.state
        state.begin_work(state.endpoint_table().by_id["i-2"].endpoint, 10_000)
        answer = self.generate("/review/x")
        whole = b"".join(_event(number) for number in (1, 2, 3, 4))
        self.assertEqual(answer.body, whole)
        self.assertTrue(answer.complete)
        self.assertEqual(len(first.runs), 1)
        self.assertEqual(second.runs[0].header("Last-Event-Id"), "2")

    def test_other_stream_is_cut_off_and_not_repeated(self) -> None:
        """Guards against a second run of a stream that may not be resumed."""
        broken = [CHUNKED_HEAD, chunk(_event(1)), Action.RESET]
        engines = [self.engine(f"i-{n}", broken) for n in range(2)]
        answer = self.generate("/draft/x")
        self.assertFalse(answer.complete)
        self.assertEqual(sum(len(one.runs) for one in engines), 1)

    def test_pause_of_a_stream_is_logged(self) -> None:
        """Guards against late streams whose cause the log does not show."""

        def pause() -> Iterator[Step]:
            yield CHUNKED_HEAD
            yield chunk(_event(1))
            time.sleep(0.2)
            yield chunk(_event(2))
            yield LAST_CHUNK

        self.engine("i-1", pause())
        self.assertTrue(self.generate().complete)
        wait_for(lambda: bool(self.gateway.logged("answered")))
        line = self.gateway.logged("answered")[0]
        self.assertGreaterEqual(line["longest_pause_s"], 0.15)
        self.assertLess(line["first_part_s"], line["total_s"] - 0.15)

    def test_break_before_the_first_event_is_no_promise(self) -> None:
        """Guards against a 503 for a stream that may have run."""
        engines = [self.engine(f"i-{n}", [Action.RESET]) for n in range(2)]
        self.assertEqual(self.generate("/draft/x").status, 502)
        self.assertEqual(sum(len(one.runs) for one in engines), 1)

    def test_resumed_run_uses_its_own_prompt(self) -> None:
        """Guards against a run that goes on from the cache of another."""
        broken = [CHUNKED_HEAD, chunk(_event(1)), Action.RESET]
        self.engine("i-1", broken)
        self.engine("i-2", broken)
        prefill = self.engine("i-p", [], "prefill")
        self.generate("/review/x")
        ids = {one.header("Request-Id") for one in prefill.prefills}
        self.assertEqual(ids, {"r1"})
