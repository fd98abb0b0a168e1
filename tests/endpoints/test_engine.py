from __future__ import annotations

import json
import time
import unittest
from collections.abc import Callable
from typing import Any

from result import Result

from burdockspan.endpoints import engine
from burdockspan.endpoints.connections import make_connections
from burdockspan.endpoints.engine import EngineContext
from burdockspan.endpoints.orders import (
    Order,
    OrderKind,
    OrderOutcome,
    send_order,
)
from burdockspan.endpoints.reports import (
    fetch_load,
    parse_cache_events,
    parse_load,
)
from burdockspan.values.endpoint import Endpoint, Pool
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import Failure, FailureKind
from tests.support.caller import WAIT_S
from tests.support.endpoint_fake import (
    EndpointFake,
    Handler,
    repeat,
    script_engine,
)

_ATTEMPT = AttemptId("entry-1", 1, 2)
_CLOCK_SPEED = 20.0
_ENDPOINT = Endpoint("e", "127.0.0.1:1", "lm", Pool.DECODE, "zone-a")
_LOAD = {
    "boot": "b",
    "state": "live",
    "pieces": 20,
    "free_pieces": 5,
    "running": 3,
    "waiting": 1,
    "age_s": 0.5,
}


class EngineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fake = EndpointFake()
        self.addCleanup(self.fake.stop)
        script_engine(self.fake)
        self.connections = make_connections(time.monotonic, lambda: WAIT_S)
        self.addCleanup(self.connections.close)
        self.endpoint = self.fake.as_endpoint(Pool.DECODE)
        self.context = EngineContext(self.connections, self.endpoint, _ATTEMPT)

    def script(self, line: str, status: int, value: Any) -> None:
        self.fake.scripts[line] = lambda handler: handler.send(status, value)

    def test_reservation_status_decides_the_failure_kind(self) -> None:
        for status, kind in (
            (201, None),
            (409, FailureKind.FULL),
            (503, FailureKind.LEAVING),
            (500, FailureKind.ENDPOINT_ERROR),
            (200, FailureKind.ENDPOINT_ERROR),
        ):
            self.script("POST /reservations", status, {})
            with self.subTest(status=status):
                failure = engine.reserve(self.context, 1, WAIT_S).err()
                self.assertEqual(failure and failure.kind, kind)

    def test_malformed_prefill_response_is_an_endpoint_error(self) -> None:
        valid = {"cache": "c", "tokens": 1, "cached_tokens": 0, "life_s": 1}
        self.script("POST /prefill", 200, valid)
        self.assertTrue(engine.prefill(self.context, "/x", {}, WAIT_S).is_ok())
        for change in (
            {"cache": ""},
            {"cache": 1},
            {"tokens": -1},
            {"tokens": None},
            {"life_s": "1"},
            {"life_s": True},
            {"attempt": "other:1:1"},
        ):
            self.script("POST /prefill", 200, {**valid, **change})
            with self.subTest(change=change):
                failure = engine.prefill(self.context, "/x", {}, WAIT_S).err()
                self.assertEqual(
                    failure and failure.kind, FailureKind.ENDPOINT_ERROR
                )

    def test_attempts_are_listed(self) -> None:
        listed = [{"attempt": str(_ATTEMPT), "pieces": 3}]
        self.script("GET /attempts", 200, {"boot": "b", "attempts": listed})
        boot, attempts = engine.list_attempts(
            self.connections, self.endpoint
        ).unwrap()
        self.assertEqual((boot, attempts[0].attempt), ("b", _ATTEMPT))
        listed[0]["attempt"] = "nonsense"
        self.script("GET /attempts", 200, {"boot": "b", "attempts": listed})
        malformed = engine.list_attempts(self.connections, self.endpoint)
        self.assertTrue(malformed.is_err())

    def test_cancel_sends_the_attempt_identity(self) -> None:
        self.script("DELETE /attempts/", 200, {})
        self.assertTrue(engine.cancel(self.context).is_ok())
        path = self.fake.received[-1].path
        self.assertEqual(path, "/attempts/entry-1:1:2")
        self.script("DELETE /attempts/", 500, {})
        self.assertTrue(engine.cancel(self.context).is_err())

    def test_engine_calls_ignore_a_late_response_to_an_earlier_call(
        self,
    ) -> None:
        """Guards against the KV cache or the response of another request.

        The engine answers each call on a connection with the response to the
        call before it.
        """

        def prefill_late(handler: Handler) -> None:
            cache = json.loads(handler.body)["body"]["prompt"]
            value = {"cache": cache, "tokens": 1, "life_s": 1.0}
            earlier = handler.__dict__.get("earlier", value)
            handler.__dict__["earlier"] = value
            handler.send(200, earlier)

        def reserve_late(handler: Handler) -> None:
            value = {"attempt": json.loads(handler.body)["attempt"]}
            earlier = handler.__dict__.get("earlier", value)
            handler.__dict__["earlier"] = value
            handler.send(201, earlier)

        self.fake.scripts["POST /prefill"] = prefill_late
        self.fake.scripts["POST /reservations"] = reserve_late
        for sequence in (1, 2, 3):
            attempt = AttemptId("entry-1", 1, sequence)
            context = EngineContext(self.connections, self.endpoint, attempt)
            reserved = engine.reserve(context, 1, 1.0)
            self.assertTrue(reserved.is_ok(), reserved)
            body = {"prompt": str(attempt)}
            prefilled = engine.prefill(context, "/v1/completions", body, 1.0)
            self.assertEqual(prefilled.unwrap().cache, str(attempt))

    def test_repeated_call_that_was_not_sent_tells_nothing_of_the_first(
        self,
    ) -> None:
        """Guards against a reservation that is taken for one never made."""
        self.assertTrue(engine.reserve(self.context, 1, WAIT_S).is_ok())

        def stop_after_the_call(handler: Handler) -> None:
            self.fake.shutdown()
            self.fake.server_close()
            handler.send(200, {})

        self.fake.scripts["POST /reservations"] = stop_after_the_call
        failure = engine.reserve(self.context, 1, WAIT_S).unwrap_err()
        self.assertEqual(failure.kind, FailureKind.ENDPOINT_ERROR)

    def test_health_uses_a_new_connection(self) -> None:
        # A new connection distinguishes a stalled connection from an endpoint
        # that is down.
        for _ in range(2):
            health = engine.check_health(self.connections, self.endpoint)
            self.assertEqual(health.unwrap().boot, "b1")
        clients = {request.client for request in self.fake.received}
        self.assertEqual(len(clients), 2)

    def test_health_polls_reuse_a_connection_and_replace_a_lost_one(
        self,
    ) -> None:
        # A new connection takes a third of the processor time of a poll. A
        # lost connection must not make a healthy endpoint look down.
        def poll() -> str:
            health = engine.check_health(
                self.connections, self.endpoint, fresh=False
            )
            return health.unwrap().boot

        self.assertEqual(poll(), poll())
        clients = {request.client for request in self.fake.received}
        self.assertEqual(len(clients), 1)
        script = self.fake.scripts["GET /health"]
        failed: list[bool] = []

        def break_once(handler: Handler) -> None:
            if failed:
                script(handler)
            else:
                failed.append(True)
                handler.close_early()

        self.fake.scripts["GET /health"] = break_once
        self.assertEqual(poll(), "b1")

    def test_measurement_time_of_a_load_report_subtracts_its_age(self) -> None:
        self.script("GET /load", 200, _LOAD)
        report = fetch_load(self.connections, self.endpoint, lambda: 9.0)
        self.assertEqual(report.unwrap().measured_s, 8.5)
        self.assertEqual(report.unwrap().free_pieces, 5)

    def test_endpoint_without_fencing_gets_only_idempotent_orders(self) -> None:
        # A delayed change of role would undo a newer one.
        self.script("POST /orders", 200, {})
        role = Order(OrderKind.SET_ROLE, 4, (("role", "prefill"),))
        load = Order(OrderKind.LOAD_MODEL, 4, (("model", "m1"),))
        unsafe = send_order(self.connections, self.endpoint, role)
        self.assertEqual(unsafe.unwrap(), OrderOutcome.UNSAFE)
        self.assertEqual(self.fake.received, [])
        done = send_order(self.connections, self.endpoint, load)
        self.assertEqual(done.unwrap(), OrderOutcome.DONE)
        self.script("POST /orders", 409, {})
        superseded = send_order(self.connections, self.endpoint, load)
        self.assertEqual(superseded.unwrap(), OrderOutcome.SUPERSEDED)


class EndlessControlAnswersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fake = EndpointFake()
        self.addCleanup(self.fake.stop)
        self.fake.scripts = dict.fromkeys(
            ("GET /", "POST /", "DELETE /"),
            repeat(b"x", b"HTTP/1.1 200 OK\r\nX-Slow: "),
        )
        # A clock that runs fast; bytes without end never reach a limit of
        # silence, which is measured in real time.
        self.connections = make_connections(
            lambda: time.monotonic() * _CLOCK_SPEED, lambda: WAIT_S
        )
        self.addCleanup(self.connections.close)

    def test_control_calls_end_at_their_time_limit(self) -> None:
        """Guards against a thread of the node that an engine holds for ever."""
        endpoint = self.fake.as_endpoint(Pool.DECODE)
        context = EngineContext(self.connections, endpoint, _ATTEMPT)
        order = Order(OrderKind.LOAD_MODEL, 4, (("model", "m1"),))
        calls: dict[str, Callable[[], Result[Any, Failure]]] = {
            "health": lambda: engine.check_health(self.connections, endpoint),
            "attempts": lambda: engine.list_attempts(
                self.connections, endpoint
            ),
            "cancel": lambda: engine.cancel(context),
            "load": lambda: fetch_load(self.connections, endpoint, lambda: 0.0),
            "order": lambda: send_order(self.connections, endpoint, order),
            "reservation": lambda: engine.reserve(context, 1, 2.0),
            "import": lambda: engine.import_cache(context, "s", "c", 2.0),
        }
        for name, call in calls.items():
            with self.subTest(name):
                failure = call().unwrap_err()
                self.assertEqual(failure.kind, FailureKind.UNRESPONSIVE)
                self.assertEqual(failure.limit, "deadline")


class ReportsTest(unittest.TestCase):
    def test_malformed_load_report_is_a_failure(self) -> None:
        self.assertTrue(parse_load(_ENDPOINT, _LOAD, 1.0).is_ok())
        for change in (
            {"boot": None},
            {"state": "dead"},
            {"free_pieces": 21},
            {"running": -1},
            {"waiting": 1.5},
            {"age_s": float("nan")},
            {"age_s": -1},
        ):
            with self.subTest(change=change):
                parsed = parse_load(_ENDPOINT, {**_LOAD, **change}, 1.0)
                self.assertTrue(parsed.is_err())

    def test_cache_events_report_gaps_and_restarts(self) -> None:
        # Guards against a prefix index that misses lost events.
        def parse(numbers: list[int], boot: str, after: int) -> Any:
            events = [
                {"sequence": number, "kind": "stored", "blocks": [number]}
                for number in numbers
            ]
            value = {"boot": "b1", "events": events}
            return parse_cache_events(_ENDPOINT, value, boot, after).unwrap()

        for numbers, boot, after, expected, gap in (
            ([1, 2], "", 0, [1, 2], False),
            ([2, 3], "b1", 2, [3], False),
            ([5], "b1", 2, [5], True),
            ([1], "b0", 7, [1], True),
            ([], "b1", 7, [], False),
        ):
            with self.subTest(numbers=numbers, boot=boot):
                parsed = parse(numbers, boot, after)
                self.assertEqual(
                    [event.sequence for event in parsed.events], expected
                )
                self.assertEqual(parsed.gap, gap)

    def test_malformed_cache_event_is_a_failure(self) -> None:
        for event in (1, {}, {"sequence": 1, "kind": "x", "blocks": []}):
            value = {"boot": "b", "events": [event]}
            parsed = parse_cache_events(_ENDPOINT, value, "b", 0)
            self.assertTrue(parsed.is_err())
