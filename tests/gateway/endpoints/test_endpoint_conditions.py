"""Endpoints that ask for a pause or say that they leave are left alone."""

from __future__ import annotations

import contextlib
import unittest
from collections.abc import Callable, Iterable

from burdockspan.gateway.endpoints.endpoint_conditions import EndpointConditions
from burdockspan.gateway.endpoints.endpoint_pauses import (
    MAX_PAUSE_S,
    EndpointPauses,
)
from burdockspan.gateway.values import Endpoint
from burdockspan.platform.signals import decode_signals
from standins.scripted_endpoint import (
    Received,
    ScriptedEndpoint,
    Step,
    respond,
)
from tests.support.gateways import (
    Gateway,
    ReceivedResponse,
    make_document,
    make_route,
    run_gateway,
    wait_for,
)

_STEP_S = 0.025
# Time after an answer from which on the VM must keep to it.
_REACTION_S = 0.5
_PAUSE_S = 4.0
_STAMP = {"Response-Stamp": "s"}
_OK = respond(200, b"done", _STAMP)
_PAUSED = respond(503, b"", {"Not-Executed": "1", "Retry-After": "4"})
_LEAVING = respond(200, b"done", {**_STAMP, "Server-Leaving": "1"})


class ConditionsCase(unittest.TestCase):
    """A gateway whose clock the test advances."""

    def setUp(self) -> None:
        self.now_s = 1000.0
        self.gateway: Gateway = self.enterContext(
            contextlib.contextmanager(run_gateway)(
                # No time to wait, since the clock stands still. An unsafe
                # request has no time limit but its deadline.
                make_document(
                    routes=[
                        make_route("read", kind="unsafe", target_latency_ms=1)
                    ]
                ),
                clock=lambda: self.now_s,
            )
        )
        self.arrivals_by_endpoint: dict[str, list[float]] = {}

    def add_endpoint(
        self, name: str, answer: Callable[[], Iterable[Step]], **entry: int
    ) -> None:
        """Adds an endpoint of the plain service that records its requests."""
        arrivals = self.arrivals_by_endpoint.setdefault(name, [])

        def respond_and_record(_: Received) -> Iterable[Step]:
            arrivals.append(self.now_s)
            return answer()

        endpoint = ScriptedEndpoint(name, respond_and_record)
        self.gateway.add_endpoint(endpoint, **entry)

    def send_requests(self, duration_s: float) -> list[ReceivedResponse]:
        """Sends a request in each step; returns the responses."""
        responses = []
        for _ in range(round(duration_s / _STEP_S)):
            responses.append(self.gateway.call("GET", "/read/x"))
            self.now_s += _STEP_S
        return responses

    def count_within_pauses(self, name: str) -> int:
        """Returns the most requests that reached an endpoint in one pause."""
        arrivals = self.arrivals_by_endpoint[name]
        return max(
            sum(
                start_s + _REACTION_S <= time_s < start_s + _PAUSE_S
                for time_s in arrivals
            )
            for start_s in arrivals
        )


class TestPauses(ConditionsCase):
    def test_paused_endpoint_costs_its_callers_nothing(self) -> None:
        """Guards against requests and retries at an endpoint that is paused.

        An endpoint that asked for pauses of 4 s received 241 requests in 12 s,
        and 185 of 466 callers were refused though two others served.
        """
        self.add_endpoint("i-1", lambda: _PAUSED)
        self.add_endpoint("i-2", lambda: _OK)
        self.add_endpoint("i-3", lambda: _OK)
        responses = self.send_requests(12.0)
        self.assertEqual({response.status for response in responses}, {200})
        self.assertLessEqual(self.count_within_pauses("i-1"), 2)
        self.assertLessEqual(len(self.arrivals_by_endpoint["i-1"]), 4)

    def test_request_is_refused_at_once_while_all_endpoints_pause(self) -> None:
        """Guards against requests that wait, or are sent, during pauses."""
        for name in ("i-1", "i-2", "i-3"):
            self.add_endpoint(name, lambda: _PAUSED)
        responses = self.send_requests(3.0)
        self.assertEqual({response.status for response in responses}, {503})
        for name in ("i-1", "i-2", "i-3"):
            self.assertLessEqual(self.count_within_pauses(name), 2)
        last = self.gateway.events_named("refused")[-1]
        self.assertEqual(last["reason"], "endpoints paused")
        self.assertTrue(1.0 <= last["retry_after_s"] <= 2.1, last)

    def test_endpoint_serves_again_after_its_pause(self) -> None:
        """Guards against an endpoint that is lost after a pause."""
        is_paused = [True]
        self.add_endpoint("i-1", lambda: _PAUSED if is_paused[0] else _OK)
        self.send_requests(0.1)
        is_paused[0] = False
        self.now_s += 1.25 * _PAUSE_S
        responses = self.send_requests(1.0)
        self.assertEqual({response.status for response in responses}, {200})
        self.assertEqual(len(self.gateway.events_named("endpoint paused")), 1)
        self.assertEqual(
            len(self.gateway.events_named("endpoint pause ended")), 1
        )

    def test_retry_after_of_a_success_is_no_pause(self) -> None:
        """Guards against headers that mean something else elsewhere."""
        answer = respond(200, b"done", {**_STAMP, "Retry-After": "60"})
        self.add_endpoint("i-1", lambda: answer)
        responses = self.send_requests(0.2)
        self.assertEqual({response.status for response in responses}, {200})


class TestLeaving(ConditionsCase):
    def test_leaving_endpoint_receives_nothing_while_others_serve(self) -> None:
        """Guards against requests that wait for the store's entry.

        114 requests reached such an endpoint later than 4.5 s after its first
        answer that said so.
        """
        self.add_endpoint("i-1", lambda: _LEAVING)
        self.add_endpoint("i-2", lambda: _OK)
        self.add_endpoint("i-3", lambda: _OK)
        responses = self.send_requests(6.0)
        self.assertEqual({response.status for response in responses}, {200})
        self.assertLessEqual(len(self.arrivals_by_endpoint["i-1"]), 1)

    def test_last_endpoint_is_left_within_the_time_limit(self) -> None:
        """Guards against requests at an endpoint that has stopped."""
        self.add_endpoint("i-1", lambda: _LEAVING)
        started_s = self.now_s
        responses = self.send_requests(4.0)
        arrivals = self.arrivals_by_endpoint["i-1"]
        limit_s = self.gateway.components.settings.change_limits
        self.assertLess(arrivals[-1], started_s + limit_s.leaving_endpoint_s)
        self.assertGreater(len(arrivals), 1)
        self.assertEqual(responses[-1].status, 503)

    def test_restarted_endpoint_is_not_leaving(self) -> None:
        """Guards against a mark that outlives the process that leaves."""
        is_leaving = [True]
        self.add_endpoint("i-1", lambda: _LEAVING if is_leaving[0] else _OK)
        self.send_requests(4.0)
        count = len(self.arrivals_by_endpoint["i-1"])
        endpoint = self.gateway.endpoints[0]
        is_leaving[0] = False
        entry = endpoint.as_store_entry("app", "zone-a", born=1_700_000_000_999)
        self.gateway.store.put("servers", "i-1", entry)
        state = self.gateway.components.context.state
        wait_for(
            lambda: (
                state.endpoint_table().by_id["i-1"].endpoint.started_ms
                == 1_700_000_000_999
            )
        )
        responses = self.send_requests(0.1)
        self.assertEqual({response.status for response in responses}, {200})
        self.assertGreater(len(self.arrivals_by_endpoint["i-1"]), count)


def _make_endpoint(started_ms: int = 1) -> Endpoint:
    return Endpoint(
        id="i-1",
        started_ms=started_ms,
        service="app",
        address="10.0.0.1:80",
        zone="zone-a",
        leaving=False,
        slots=6,
    )


class TestEndpointPauses(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 1000.0
        self.pauses = EndpointPauses(lambda: self.now_s, lambda: 0.5)
        self.endpoint = _make_endpoint()

    def test_one_request_tries_an_endpoint_after_a_pause(self) -> None:
        """Guards against all waiting requests at the end of a pause."""
        self.pauses.begin(self.endpoint, 4.0)
        self.assertFalse(self.pauses.try_take(self.endpoint))
        self.now_s += 4.6
        taken = [self.pauses.try_take(self.endpoint) for _ in range(10)]
        self.assertEqual(taken.count(True), 1)
        self.pauses.record_answer(self.endpoint)
        self.assertTrue(all(map(self.pauses.try_take, [self.endpoint] * 10)))

    def test_answer_to_an_earlier_request_does_not_end_a_pause(self) -> None:
        """Guards against answers that overtake each other."""
        self.pauses.begin(self.endpoint, 4.0)
        self.assertFalse(self.pauses.record_answer(self.endpoint))
        self.assertFalse(self.pauses.try_take(self.endpoint))

    def test_shorter_pause_does_not_end_a_longer_one(self) -> None:
        """Guards against a second answer that shortens the first."""
        self.pauses.begin(self.endpoint, 10.0)
        self.pauses.begin(self.endpoint, 1.0)
        self.now_s += 9.9
        self.assertFalse(self.pauses.try_take(self.endpoint))

    def test_pause_is_bounded(self) -> None:
        """Guards against an endpoint that a wrong value removes for ever."""
        self.pauses.begin(self.endpoint, 1e9)
        self.assertLessEqual(
            self.pauses.wait_s(self.endpoint), 1.25 * MAX_PAUSE_S
        )

    def test_restarted_endpoint_has_no_pause(self) -> None:
        """Guards against a pause that outlives the process that asked."""
        self.pauses.begin(self.endpoint, 4.0)
        self.assertTrue(self.pauses.try_take(_make_endpoint(started_ms=2)))

    def test_vms_return_at_different_moments(self) -> None:
        """Guards against all VMs at the same moment after a pause."""
        waits = []
        for number in range(10):
            pauses = EndpointPauses(lambda: 0.0, lambda n=number: n / 10.0)
            pauses.begin(self.endpoint, 4.0)
            waits.append(pauses.wait_s(self.endpoint))
        self.assertGreaterEqual(min(waits), 4.0)
        self.assertGreater(max(waits) - min(waits), 0.5)


class TestSignals(unittest.TestCase):
    def test_malformed_pause_is_reported_and_left_out(self) -> None:
        """Guards against pauses read from values that are no duration."""
        for value in ("", "soon", "-4", "nan", "inf", "Wed, 21 Oct 2015"):
            with self.subTest(value=value):
                decoded = decode_signals(503, {"Retry-After": value}, True)
                self.assertIsNone(decoded.pause_s)
                self.assertEqual(len(decoded.problems), 1)

    def test_fractional_pause_is_decoded(self) -> None:
        """Guards against pauses that are cut to whole seconds."""
        decoded = decode_signals(503, {"Retry-After": "0.75"}, True)
        self.assertEqual(decoded.pause_s, 0.75)

    def test_leaving_is_permanent_for_a_process(self) -> None:
        """Guards against an answer from before that arrives late."""
        now_s = [1000.0]
        conditions = EndpointConditions(lambda: now_s[0], lambda: 0.5, 2.0)
        endpoint = _make_endpoint()
        self.assertTrue(conditions.record_leaving(endpoint))
        self.assertFalse(conditions.record_leaving(endpoint))
        self.assertTrue(conditions.is_leaving(endpoint))
        self.assertFalse(conditions.has_left(endpoint))
        now_s[0] += 2.0
        self.assertTrue(conditions.has_left(endpoint))
        restarted = _make_endpoint(started_ms=2)
        self.assertFalse(conditions.is_leaving(restarted))


__all__ = ["TestEndpointPauses", "TestLeaving", "TestPauses", "TestSignals"]
