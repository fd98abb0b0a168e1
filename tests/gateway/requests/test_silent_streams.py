"""Sound engines that fall silent for a second or so and then go on."""

from __future__ import annotations

import concurrent.futures
import itertools
import threading
import unittest.mock
from collections.abc import Iterable, Iterator
from typing import Any

from burdockspan.gateway.requests import application
from burdockspan.gateway.settings import RetryBudgetSettings
from standins.scripted_endpoint import (
    CHUNKED_HEAD,
    LAST_CHUNK,
    Action,
    Received,
    Script,
    ScriptedEndpoint,
    Step,
    chunk,
    respond,
    respond_json,
)
from tests.gateway.case import GatewayCase
from tests.support.gateways import (
    ReceivedResponse,
    make_document,
    make_route,
    wait_for,
)

_SIZES = {"Token-Count": "160,40", "Length-Hint": "20"}
_SILENCE_S = 1.3
_EVENTS = 6


def _pause(seconds: float) -> None:
    threading.Event().wait(seconds)


def _events(first: int = 1, last: int = _EVENTS) -> bytes:
    numbers = range(first, last + 1)
    return b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in numbers)


class SilentEngine:
    """The script of an engine that is silent in the middle of its streams.

    Attributes:
      silent_after: number of the event after which it is silent.
      silence_s: duration of the silence; None for ever.
      runs: requests that it ran.
      released: paths of what was released.
      asked: number of reservations that it was asked for.
      reservations: number of reservations that it granted.
      reserve_allowed: set unless reservations are to wait.
    """

    def __init__(self, silent_after: int, silence_s: float | None) -> None:
        self.silent_after = silent_after
        self.silence_s = silence_s
        self.runs: list[Received] = []
        self.released: list[str] = []
        self.asked = 0
        self.reservations = 0
        self.reserve_allowed = threading.Event()
        self.reserve_allowed.set()

    def __call__(self, received: Received) -> Iterable[Step]:
        """Returns what the engine sends for one request."""
        if received.target == "/v1/hold-take":
            self.asked += 1
            self.reserve_allowed.wait(5.0)
            self.reservations += 1
            return respond_json(200, {"hold": f"h{self.reservations}"})
        if received.target == "/health":
            return respond(200)
        if received.method == "DELETE":
            self.released.append(received.target)
            return respond_json(200, {})
        if received.header("Stage") == "prefill":
            value = {"handle": "k1", "tokens": 160, "version": 1}
            return respond_json(200, value)
        self.runs.append(received)
        return self._stream(int(received.header("Last-Event-Id") or 0) + 1)

    def _stream(self, first: int) -> Iterator[Step]:
        yield CHUNKED_HEAD
        for number in range(first, _EVENTS + 1):
            yield chunk(_events(number, number))
            if number == self.silent_after:
                if self.silence_s is None:
                    yield Action.WAIT_FOR_CALLER
                else:
                    _pause(self.silence_s)
        yield LAST_CHUNK


def _grant_and_run(steps: Iterable[Step]) -> Script:
    """Returns the script of an engine whose runs send a head and `steps`."""
    engine = SilentEngine(0, None)

    def script(received: Received) -> Iterable[Step]:
        if received.target.startswith("/v1/"):
            return engine(received)
        return itertools.chain([CHUNKED_HEAD], steps)

    return script


class SilenceCase(GatewayCase):
    """A gateway with routes of short objectives."""

    def setUp(self) -> None:
        super().setUp()
        self.gateway.configure(_make_document(2))

    def spend_retry_budget(self) -> None:
        """Leaves nothing of the retry budget."""
        budget = self.gateway.components.context.retry_budget
        budget.set_settings(RetryBudgetSettings(0.0, 0.0, 10.0))

    def add_engine(
        self,
        name: str,
        silent_after: int = 0,
        silence_s: float | None = None,
        stage: str = "decode",
        **entry: Any,
    ) -> SilentEngine:
        """Adds a model engine; returns its script."""
        engine = SilentEngine(silent_after, silence_s)
        self.gateway.add_endpoint(
            ScriptedEndpoint(name, engine), service="llm", stage=stage, **entry
        )
        return engine

    def review(self, number: int = 1) -> ReceivedResponse:
        """Sends a request for a resumable stream."""
        headers = {**_SIZES, "Request-Id": f"r{number}", "Deadline-Ms": "9000"}
        return self.gateway.call("POST", "/review/x", b"prompt", headers)

    def attempts(self) -> list[dict[str, Any]]:
        """Returns the attempts that began a stream."""
        events = self.gateway.events_named("attempt")
        return [event for event in events if event["after_event"] is None]

    def check_complete(self, response: ReceivedResponse) -> None:
        """Checks that a caller received the whole stream."""
        self.assertEqual(response.status, 200, response.body)
        self.assertTrue(response.complete, response.body)
        self.assertEqual(response.body, _events())


def _make_document(version: int, **changes: Any) -> dict[str, Any]:
    return make_document(
        version,
        routes=[
            make_route(
                "review",
                kind="streaming",
                service="llm",
                resumable=True,
                **{
                    "target_latency_ms": 200,
                    "gap_aim_ms": 100,
                    "timeout_ms": 9000,
                    **changes,
                },
            ),
        ],
    )


class TestSilentStreams(SilenceCase):
    def test_stream_of_the_only_engine_goes_on(self) -> None:
        """Guards against a stream that is cut off with nowhere to go on."""
        self.add_engine("i-1", 2, _SILENCE_S)
        self.check_complete(self.review())

    def test_stream_goes_on_when_the_retry_budget_is_spent(self) -> None:
        """Guards against a stream cut off for a retry that is not paid."""
        self.spend_retry_budget()
        for number in (1, 2, 3):
            self.add_engine(f"i-{number}", 2, _SILENCE_S)
        self.check_complete(self.review())

    def test_silence_of_all_engines_costs_no_stream(self) -> None:
        """Guards against broken streams beside a change of configuration.

        Neither the silence of a sound engine nor a configuration is a reason to
        end an answer.
        """
        for number, silent_after in enumerate((2, 3, 4)):
            self.add_engine(f"i-{number}", silent_after, _SILENCE_S)
        with concurrent.futures.ThreadPoolExecutor(12) as executor:
            futures = []
            for number in range(12):
                futures.append(executor.submit(self.review, number))
                # One after the other, so that none waits for a reservation.
                wait_for(lambda: len(self.attempts()) == len(futures))
            self.gateway.configure(_make_document(3))
            for future in futures:
                self.check_complete(future.result())

    def test_stream_of_a_dead_engine_moves(self) -> None:
        """Guards against a stream that waits for an engine that is gone."""
        self.add_engine("i-1", 2, None)
        self.add_engine("i-2", 2, None)
        sound = self.add_engine("i-3")
        for number in range(3):
            self.check_complete(self.review(number))
        self.assertTrue(sound.runs)

    def test_failure_before_the_first_event_is_answered(self) -> None:
        """Guards against a connection closed without an answer or a refusal.

        The head of a response is sent with the first part of its body, so that
        a stream that breaks off before would leave the caller with nothing.
        """
        endpoint = ScriptedEndpoint("i-1", _grant_and_run([]))
        self.gateway.add_endpoint(endpoint, service="llm", stage="decode")
        for steps in ([Action.RESET], [chunk(b"id"), Action.RESET]):
            endpoint.script = _grant_and_run(steps)
            with self.subTest(steps):
                response = self.review()
                self.assertEqual(response.status, 502)
                self.assertTrue(response.complete)

    def test_bytes_without_an_event_do_not_keep_a_stream(self) -> None:
        """Guards against a stream held by bytes that complete no event."""

        def send_chunk_size_without_end() -> Iterator[Step]:
            yield chunk(_events(1, 1))
            while True:
                yield b"0"
                _pause(0.05)

        endless = ScriptedEndpoint(
            "i-1", _grant_and_run(send_chunk_size_without_end())
        )
        self.gateway.add_endpoint(endless, service="llm", stage="decode")
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            future = executor.submit(self.review)
            wait_for(lambda: bool(self.attempts()))
            self.add_engine("i-2")
            self.check_complete(future.result())

    def test_stream_is_resumed_with_less_time_left_than_its_objective(
        self,
    ) -> None:
        """Guards against a stream that is given up without asking an engine."""
        self.gateway.configure(_make_document(3, target_latency_ms=8500))

        def break_off() -> Iterator[Step]:
            yield chunk(_events(1, 2))
            _pause(0.8)
            yield Action.RESET

        broken = ScriptedEndpoint("i-1", _grant_and_run(break_off()))
        self.gateway.add_endpoint(broken, service="llm", stage="decode")
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            future = executor.submit(self.review)
            wait_for(lambda: bool(self.attempts()))
            self.add_engine("i-2")
            self.check_complete(future.result())

    def test_generation_waits_for_engines_that_do_not_say_their_memory(
        self,
    ) -> None:
        """Guards against a refusal for lack of memory that nobody reported."""
        engines = [self.add_engine(f"i-{number}") for number in range(3)]
        for engine in engines:
            engine.reserve_allowed.clear()
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            future = executor.submit(self.review)
            # The engines are silent for more than a second.
            wait_for(lambda: len(self.gateway.events_named("no room")) > 2)
            for engine in engines:
                engine.reserve_allowed.set()
            self.check_complete(future.result())

    def test_parts_without_an_event_do_not_keep_a_stream(self) -> None:
        """Guards against a stream held by parts that complete no event."""

        def send_half_an_event() -> Iterator[Step]:
            yield chunk(_events(1, 1))
            while True:
                yield chunk(b"x")
                _pause(0.05)

        endless = ScriptedEndpoint("i-1", _grant_and_run(send_half_an_event()))
        self.gateway.add_endpoint(endless, service="llm", stage="decode")
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            future = executor.submit(self.review)
            wait_for(lambda: bool(self.attempts()))
            self.add_engine("i-2")
            self.check_complete(future.result())

    def test_stream_with_usual_pauses_stays_at_its_engine(self) -> None:
        """Guards against a move of a stream on time shortly before its end."""
        self.gateway.configure(
            _make_document(3, timeout_ms=2000, gap_aim_ms=400)
        )

        def send_slowly() -> Iterator[Step]:
            for number in itertools.count(1):
                yield chunk(_events(number, number))
                _pause(0.3)

        slow = ScriptedEndpoint("i-1", _grant_and_run(send_slowly()))
        self.gateway.add_endpoint(slow, service="llm", stage="decode")
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            future = executor.submit(self.review)
            wait_for(lambda: bool(self.attempts()))
            other = self.add_engine("i-2")
            future.result()
        self.assertEqual(other.asked, 0)

    def test_prepared_engine_that_refuses_does_not_cost_the_stream(
        self,
    ) -> None:
        """Guards against a stream cut off while its silent engine goes on."""
        self.add_engine("i-1", 2, _SILENCE_S)
        granting = SilentEngine(0, None)

        def refuse_runs(received: Received) -> Iterable[Step]:
            if received.target.startswith("/v1/"):
                return granting(received)
            return respond(503, b"", {"Not-Executed": "1"})

        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            future = executor.submit(self.review)
            wait_for(lambda: bool(self.attempts()))
            self.gateway.add_endpoint(
                ScriptedEndpoint("i-2", refuse_runs),
                service="llm",
                stage="decode",
            )
            self.check_complete(future.result())

    def test_broken_stream_waits_for_memory_while_its_caller_does(
        self,
    ) -> None:
        """Guards against a stream cut off while memory is about to be free."""
        known, is_full = threading.Event(), threading.Event()
        is_full.set()
        steps = [chunk(_events(1, 2)), known, Action.RESET]
        broken = ScriptedEndpoint("i-1", _grant_and_run(steps))
        self.gateway.add_endpoint(broken, service="llm", stage="decode")
        sound = SilentEngine(0, None)

        def refuse_while_full(received: Received) -> Iterable[Step]:
            if received.target == "/v1/hold-take" and is_full.is_set():
                return respond(503)
            return sound(received)

        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            future = executor.submit(self.review)
            wait_for(lambda: bool(self.attempts()))
            self.gateway.add_endpoint(
                ScriptedEndpoint("i-2", refuse_while_full),
                service="llm",
                stage="decode",
            )
            known.set()
            wait_for(lambda: len(self.gateway.events_named("no room")) > 3)
            is_full.clear()
            self.check_complete(future.result())

    def test_silent_prefill_is_left_only_if_the_run_is_paid(self) -> None:
        """Guards against a refusal while a sound prefill engine is silent."""
        self.spend_retry_budget()
        self.add_engine("i-1")
        is_answered = SilentEngine(0, None)

        def prefill_late(received: Received) -> Iterable[Step]:
            if received.header("Stage") == "prefill":
                _pause(1.8)
            return is_answered(received)

        self.gateway.add_endpoint(
            ScriptedEndpoint("i-p", prefill_late),
            service="llm",
            stage="prefill",
        )
        self.check_complete(self.review())

    def test_stream_cut_at_its_deadline_casts_no_suspicion(self) -> None:
        """Guards against avoiding an engine for the time of a caller."""
        self.gateway.configure(_make_document(3, timeout_ms=1200))

        def send_events_without_end() -> Iterator[Step]:
            for number in itertools.count(1):
                yield chunk(_events(number, number))
                _pause(0.05)

        endless = ScriptedEndpoint(
            "i-1", _grant_and_run(send_events_without_end())
        )
        self.gateway.add_endpoint(endless, service="llm", stage="decode")
        self.assertFalse(self.review().complete)
        state = self.gateway.components.context.state
        (candidate,) = state.candidates("llm", lambda *_: 0.0)
        self.assertEqual(candidate.suspicion, 0.0)

    def test_configuration_does_not_change_a_request_that_is_routed(
        self,
    ) -> None:
        """Guards against a generation that runs without reserved memory."""
        engine = self.add_engine("i-1")
        restrict = application.restrict_to_origin

        def configure_and_restrict(*arguments: Any) -> Any:
            document = _make_document(3)
            document["services"] = [{"name": "app", "health_path": "/health"}]
            self.gateway.configure(document)
            return restrict(*arguments)

        with unittest.mock.patch.object(
            application, "restrict_to_origin", configure_and_restrict
        ):
            self.check_complete(self.review())
        self.assertIsNotNone(engine.runs[0].header("Kv-Hold"))

    def test_engine_that_takes_a_stream_has_time_for_its_first_event(
        self,
    ) -> None:
        """Guards against a stream that leaves each engine at once."""
        self.gateway.configure(_make_document(3, max_attempts=3))
        silent = self.add_engine("i-1", 2, None)
        slow = SilentEngine(0, None)

        def resume_late(received: Received) -> Iterable[Step]:
            if received.header("Last-Event-Id"):
                slow.runs.append(received)
                return itertools.chain(
                    [CHUNKED_HEAD], _send_late(), [LAST_CHUNK]
                )
            return slow(received)

        def _send_late() -> Iterator[Step]:
            _pause(0.6)
            yield chunk(_events(3))

        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            future = executor.submit(self.review)
            wait_for(lambda: bool(silent.runs))
            self.gateway.add_endpoint(
                ScriptedEndpoint("i-2", resume_late),
                service="llm",
                stage="decode",
            )
            wait_for(lambda: bool(slow.runs))
            other = self.add_engine("i-3")
            self.check_complete(future.result())
        self.assertEqual(other.asked, 0)

    def test_stream_at_its_deadline_asks_no_engine(self) -> None:
        """Guards against a caller held past its time by silent engines."""
        self.gateway.configure(_make_document(3, timeout_ms=1500))

        def send_events_without_end() -> Iterator[Step]:
            for number in itertools.count(1):
                yield chunk(_events(number, number))
                _pause(0.1)

        endless = ScriptedEndpoint(
            "i-1", _grant_and_run(send_events_without_end())
        )
        self.gateway.add_endpoint(endless, service="llm", stage="decode")
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            future = executor.submit(self.review)
            wait_for(lambda: bool(self.attempts()))
            others = [self.add_engine(f"i-{number}") for number in (2, 3, 4)]
            for engine in others:
                engine.reserve_allowed.clear()
            self.assertFalse(future.result().complete)
        (answered,) = self.gateway.events_named("answered")
        self.assertLess(answered["total_s"], 1.5 + 0.5)
        self.assertEqual([engine.asked for engine in others], [0, 0, 0])

    def test_stream_without_a_run_left_asks_no_engine(self) -> None:
        """Guards against prefills of attempts that may not start."""
        self.gateway.configure(_make_document(3, max_attempts=1))
        known = threading.Event()
        steps = [chunk(_events(1, 2)), known, Action.RESET]
        broken = ScriptedEndpoint("i-1", _grant_and_run(steps))
        self.gateway.add_endpoint(broken, service="llm", stage="decode")
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            future = executor.submit(self.review)
            wait_for(lambda: bool(self.attempts()))
            other = self.add_engine("i-2")
            known.set()
            self.assertFalse(future.result().complete)
        self.assertEqual(other.asked, 0)

    def test_moved_stream_does_not_run_at_two_engines(self) -> None:
        """Guards against two engines that work on the same stream."""
        silent_script = self.add_engine("i-1", 2, None)
        silent = self.gateway.endpoints[0]
        sound = SilentEngine(0, None)

        def script(received: Received) -> Iterable[Step]:
            if received.header("Last-Event-Id"):
                closed.append(silent.caller_closed.wait(5.0))
            return sound(received)

        closed: list[bool] = []
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            future = executor.submit(self.review)
            wait_for(lambda: bool(silent_script.runs))
            self.gateway.add_endpoint(
                ScriptedEndpoint("i-2", script), service="llm", stage="decode"
            )
            self.check_complete(future.result())
        self.assertEqual(closed, [True])

    def test_prepared_attempt_is_released_when_the_stream_goes_on(
        self,
    ) -> None:
        """Guards against memory and retries kept by an unused preparation."""
        budget = self.gateway.components.context.retry_budget
        budget.set_settings(RetryBudgetSettings(0.0, 4.0, 10.0))
        silent = self.add_engine("i-1", 2, 1.6)
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            future = executor.submit(self.review)
            wait_for(lambda: bool(silent.runs))
            spare = self.add_engine("i-2")
            spare.reserve_allowed.clear()
            self.check_complete(future.result())
            spare.reserve_allowed.set()
            wait_for(lambda: spare.reservations == len(spare.released))
        self.assertEqual(spare.runs, [])
        # The share of the slack that a VM spends in its first window is less
        # than two retries, so that one is left only if the unused is returned.
        wait_for(lambda: budget.try_spend("llm"))
