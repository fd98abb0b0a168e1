from __future__ import annotations

import json
import time
import unittest
from typing import Any

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
from burdockspan.values.placement import FailureKind
from tests.support.caller import WAIT_S
from tests.support.endpoint_fake import EndpointFake, Handler, script_engine

_ATTEMPT = AttemptId("entry-1", 1, 2)
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

    def answer(self, line: str, status: int, value: Any) -> None:
        self.fake.scripts[line] = lambda one: one.send(status, value)

    def test_reservation_outcomes_are_told_apart(self) -> None:
        for status, kind in (
            (201, None),
            (409, FailureKind.FULL),
            (503, FailureKind.LEAVING),
            (500, FailureKind.ENDPOINT_ERROR),
            (200, FailureKind.ENDPOINT_ERROR),
        ):
            self.answer("POST /reservations", status, {})
            with self.subTest(status=status):
                failure = engine.reserve(self.context, 1, WAIT_S).err()
                self.assertEqual(failure and failure.kind, kind)

    def test_prefill_answer_of_wrong_shape_is_a_failure(self) -> None:
        good = {"cache": "c", "tokens": 1, "cached_tokens": 0, "life_s": 1}
        self.answer("POST /prefill", 200, good)
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
            self.answer("POST /prefill", 200, {**good, **change})
            with self.subTest(change=change):
                failure = engine.prefill(self.context, "/x", {}, WAIT_S).err()
                self.assertEqual(
                    failure and failure.kind, FailureKind.ENDPOINT_ERROR
                )

    def test_attempts_are_listed(self) -> None:
        rows = [{"attempt": str(_ATTEMPT), "pieces": 3}]
        self.answer("GET /attempts", 200, {"boot": "b", "attempts": rows})
        boot, attempts = engine.list_attempts(
            self.connections, self.endpoint
        ).unwrap()
        self.assertEqual((boot, attempts[0].attempt), ("b", _ATTEMPT))
        rows[0]["attempt"] = "nonsense"
        self.answer("GET /attempts", 200, {"boot": "b", "attempts": rows})
        listed = engine.list_attempts(self.connections, self.endpoint)
        self.assertTrue(listed.is_err())

    def test_cancel_names_the_attempt(self) -> None:
        self.answer("DELETE /attempts/", 200, {})
        self.assertTrue(engine.cancel(self.context).is_ok())
        path = self.fake.received[-1].path
        self.assertEqual(path, "/attempts/entry-1:1:2")
        self.answer("DELETE /attempts/", 500, {})
        self.assertTrue(engine.cancel(self.context).is_err())

    def test_engine_calls_take_no_late_answer_to_an_earlier_call(self) -> None:
        """Guards against the KV cache or the answer of another request."""

        def answer_late(handler: Handler) -> None:
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

        self.fake.scripts["POST /prefill"] = answer_late
        self.fake.scripts["POST /reservations"] = reserve_late
        for sequence in (1, 2, 3):
            attempt = AttemptId("entry-1", 1, sequence)
            context = EngineContext(self.connections, self.endpoint, attempt)
            reserved = engine.reserve(context, 1, 1.0)
            self.assertTrue(reserved.is_ok(), reserved)
            body = {"prompt": str(attempt)}
            found = engine.prefill(context, "/v1/completions", body, 1.0)
            self.assertEqual(found.unwrap().cache, str(attempt))

    def test_health_uses_a_new_connection(self) -> None:
        # Guards the telling of a silent connection from a dead endpoint.
        for _ in range(2):
            health = engine.check_health(self.connections, self.endpoint)
            self.assertEqual(health.unwrap().boot, "b1")
        ports = {one.client for one in self.fake.received}
        self.assertEqual(len(ports), 2)

    def test_health_polls_share_a_connection_that_may_break(self) -> None:
        # A new connection for each poll cost a third of its processor time.
        # One that breaks must not make a live endpoint look dead.
        def poll() -> str:
            health = engine.check_health(
                self.connections, self.endpoint, fresh=False
            )
            return health.unwrap().boot

        self.assertEqual(poll(), poll())
        ports = {one.client for one in self.fake.received}
        self.assertEqual(len(ports), 1)
        script = self.fake.scripts["GET /health"]
        broken: list[bool] = []

        def break_once(one: Handler) -> None:
            if broken:
                script(one)
            else:
                broken.append(True)
                one.break_off()

        self.fake.scripts["GET /health"] = break_once
        self.assertEqual(poll(), "b1")

    def test_load_report_is_dated_back_by_its_age(self) -> None:
        self.answer("GET /load", 200, _LOAD)
        report = fetch_load(self.connections, self.endpoint, lambda: 9.0)
        self.assertEqual(report.unwrap().measured_s, 8.5)
        self.assertEqual(report.unwrap().free_pieces, 5)

    def test_orders_to_an_endpoint_that_ignores_fencing(self) -> None:
        # A late change of role would undo a newer one.
        self.answer("POST /orders", 200, {})
        role = Order(OrderKind.SET_ROLE, 4, (("role", "prefill"),))
        load = Order(OrderKind.LOAD_MODEL, 4, (("model", "m1"),))
        unsafe = send_order(self.connections, self.endpoint, role)
        self.assertEqual(unsafe.unwrap(), OrderOutcome.UNSAFE)
        self.assertEqual(self.fake.received, [])
        done = send_order(self.connections, self.endpoint, load)
        self.assertEqual(done.unwrap(), OrderOutcome.DONE)
        self.answer("POST /orders", 409, {})
        old = send_order(self.connections, self.endpoint, load)
        self.assertEqual(old.unwrap(), OrderOutcome.SUPERSEDED)


class ReportsTest(unittest.TestCase):
    def test_malformed_load_is_a_failure(self) -> None:
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
        # Guards the prefix index against events that were lost.
        def parse(numbers: list[int], boot: str, after: int) -> Any:
            rows = [
                {"sequence": number, "kind": "stored", "blocks": [number]}
                for number in numbers
            ]
            value = {"boot": "b1", "events": rows}
            return parse_cache_events(_ENDPOINT, value, boot, after).unwrap()

        for numbers, boot, after, kept, gap in (
            ([1, 2], "", 0, [1, 2], False),
            ([2, 3], "b1", 2, [3], False),
            ([5], "b1", 2, [5], True),
            ([1], "b0", 7, [1], True),
            ([], "b1", 7, [], False),
        ):
            with self.subTest(numbers=numbers, boot=boot):
                found = parse(numbers, boot, after)
                self.assertEqual([one.sequence for one in found.events], kept)
                self.assertEqual(found.gap, gap)

    def test_malformed_cache_event_is_a_failure(self) -> None:
        for row in (1, {}, {"sequence": 1, "kind": "x", "blocks": []}):
            value = {"boot": "b", "events": [row]}
            parsed = parse_cache_events(_ENDPOINT, value, "b", 0)
            self.assertTrue(parsed.is_err())
