"""The requests of all VMs together keep the limits that endpoints name."""

from __future__ import annotations

import bisect
import contextlib
import dataclasses
import itertools
import math
import random
import unittest
from collections.abc import Callable, Iterable, Sequence

from burdockspan.gateway.endpoints.rate_limits import RateLimits
from burdockspan.gateway.ports import EndpointSignals
from burdockspan.gateway.values import Endpoint
from burdockspan.platform.signals import decode_signals
from standins.object_store import ObjectStore
from standins.scripted_endpoint import (
    Received,
    ScriptedEndpoint,
    Step,
    respond,
)
from tests.gateway.case import GatewayCase
from tests.gateway.requests.test_generations import GenerationCase
from tests.support.gateways import (
    Gateway,
    make_document,
    make_route,
    run_gateway,
    wait_for,
)

_WINDOW_S = 4.0
# Time after an endpoint has named its limit until it must be kept.
_GRACE_S = 3.0
_STEP_S = 0.05
_LIMITED_HEADERS = {"Response-Stamp": "s", "Server-Limit": "0.9"}
_DURATION_S = 30.0


def allowed_requests(limit_per_s: float) -> float:
    """Returns how many requests an endpoint may receive in a window."""
    return 1.5 * limit_per_s * _WINDOW_S + 5.0


def count_densest_window(times_s: Sequence[float]) -> int:
    """Returns the largest number of the ascending times within one window."""
    return max(
        (
            bisect.bisect_left(times_s, start_s + _WINDOW_S) - index
            for index, start_s in enumerate(times_s)
        ),
        default=0,
    )


def _make_endpoint() -> Endpoint:
    return Endpoint(
        id="i-1",
        started_ms=1,
        service="app",
        address="10.0.0.1:80",
        zone="zone-a",
        leaving=False,
        slots=6,
    )


class FleetCase(unittest.TestCase):
    """Four gateways that share a store and a clock."""

    def setUp(self) -> None:
        self.now_s = 1000.0
        self.store = ObjectStore()
        self.addCleanup(self.store.close)
        self.arrivals_by_endpoint: dict[str, list[float]] = {}
        self.gateways: list[Gateway] = [
            self.enterContext(
                contextlib.contextmanager(run_gateway)(
                    make_document(
                        # No time to wait, since the clock stands still. An
                        # unsafe request has no time limit but its deadline.
                        routes=[
                            make_route(
                                "read", kind="unsafe", target_latency_ms=1
                            )
                        ]
                    ),
                    self.store,
                    clock=lambda: self.now_s,
                    vm=f"vm-{number}",
                )
            )
            for number in range(4)
        ]
        for gateway in self.gateways:
            gateway.components.vm_heartbeats.send_and_count()

    def add_endpoint(self, name: str, limit_per_s: float | None) -> None:
        """Adds an endpoint of the plain service to all gateways."""
        arrivals = self.arrivals_by_endpoint.setdefault(name, [])
        headers = {"Response-Stamp": "s"}
        if limit_per_s is not None:
            headers["Server-Limit"] = str(limit_per_s)

        def answer(_: Received) -> Iterable[Step]:
            arrivals.append(self.now_s)
            return respond(200, b"done", headers)

        endpoint = ScriptedEndpoint(name, answer)
        self.addCleanup(endpoint.close)
        self.store.put(
            "servers", name, endpoint.as_store_entry("app", "zone-a")
        )
        for gateway in self.gateways:
            table = gateway.components.context.state.endpoint_table
            wait_for(lambda table=table: name in table().by_id)

    def send_requests(
        self, duration_s: float, on_answer: Callable[[int], None]
    ) -> None:
        """Sends one request in each step, to the gateways in turn."""
        for step in range(round(duration_s / _STEP_S)):
            gateway = self.gateways[step % len(self.gateways)]
            on_answer(gateway.call("GET", "/read/x").status)
            self.now_s += _STEP_S


def _simulate_fleet(
    vm_count: int,
    limit_per_s: float,
    seed: int,
    requests_per_s: Callable[[float], float],
) -> list[float]:
    """Returns when the endpoint receives requests from VMs it has told.

    Args:
      vm_count: number of VMs; each hears the limit within two seconds.
      limit_per_s: limit that the endpoint names.
      seed: of the random starts.
      requests_per_s: requests of all callers a second, by time.
    """
    now_s = [0.0]
    random_float = random.Random(seed).random
    endpoint = _make_endpoint()
    fleet = []
    for _ in range(vm_count):
        limits = RateLimits(lambda: now_s[0], random_float)
        limits.set_vm_count(vm_count)
        fleet.append(limits)
    heard_s = [2.0 * random_float() for _ in fleet]
    told: set[int] = set()
    arrivals = []
    for step in range(round(_DURATION_S / _STEP_S)):
        now_s[0] = step * _STEP_S
        for number, limits in enumerate(fleet):
            if number not in told and now_s[0] >= heard_s[number]:
                told.add(number)
                limits.observe(endpoint, EndpointSignals(True, limit_per_s))
        demand = requests_per_s(now_s[0]) * _STEP_S
        for _ in range(math.floor(demand + random_float())):
            number = math.floor(vm_count * random_float())
            if number in told and fleet[number].try_take(endpoint):
                arrivals.append(now_s[0])
    return arrivals


class TestShares(unittest.TestCase):
    def test_shares_keep_the_limit_in_fleets_of_any_size(self) -> None:
        """Guards against shares that add up to more than the limit."""
        for vm_count, limit_per_s, seed in itertools.product(
            (1, 4, 26, 78, 300), (0.5, 1.8, 6.0, 40.0), range(3)
        ):
            with self.subTest(vms=vm_count, limit=limit_per_s, seed=seed):
                load = 80.0 + 10.0 * vm_count
                arrivals = _simulate_fleet(
                    vm_count, limit_per_s, seed, lambda _, load=load: load
                )
                counted = [time_s for time_s in arrivals if time_s >= _GRACE_S]
                self.assertLessEqual(
                    count_densest_window(counted), allowed_requests(limit_per_s)
                )
                # A limit is used, and not only kept.
                used_per_s = len(counted) / (_DURATION_S - _GRACE_S)
                if limit_per_s >= 1.0:
                    self.assertGreater(used_per_s, 0.3 * limit_per_s)

    def test_shares_unused_for_long_are_not_used_at_once(self) -> None:
        """Guards against the permits of many idle VMs in the same second."""
        for vm_count, seed in itertools.product((4, 78, 300), range(3)):
            with self.subTest(vms=vm_count, seed=seed):
                arrivals = _simulate_fleet(
                    vm_count,
                    1.8,
                    seed,
                    lambda now_s, vm_count=vm_count: (
                        10.0 * vm_count if now_s >= 20.0 else 0.0
                    ),
                )
                self.assertLessEqual(
                    count_densest_window(arrivals), allowed_requests(1.8)
                )

    def test_vm_that_has_not_counted_the_vms_sends_nothing(self) -> None:
        """Guards against a guessed share after a restart of all VMs."""
        limits = RateLimits(lambda: 5.0, lambda: 0.0)
        endpoint = _make_endpoint()
        self.assertTrue(limits.try_take(endpoint))
        limits.observe(endpoint, EndpointSignals(True, 40.0))
        self.assertFalse(limits.try_take(endpoint))
        self.assertEqual(limits.wait_s(endpoint), math.inf)
        limits.set_vm_count(4)
        self.assertTrue(limits.try_take(endpoint))

    def test_permit_comes_sooner_under_a_higher_limit(self) -> None:
        """Guards against a limit of the past that delays the next permit."""
        limits = RateLimits(lambda: 5.0, lambda: 0.5)
        limits.set_vm_count(4)
        endpoint = _make_endpoint()
        limits.observe(endpoint, EndpointSignals(True, 1.0))
        first_wait_s = limits.wait_s(endpoint)
        limits.observe(endpoint, EndpointSignals(True, 10.0))
        self.assertAlmostEqual(limits.wait_s(endpoint), first_wait_s / 10.0)

    def test_limit_ends_with_an_answer_to_a_request_without_one(self) -> None:
        """Guards against limits that hold for ever, or end with a report."""
        limits = RateLimits(lambda: 5.0, lambda: 0.5)
        limits.set_vm_count(4)
        endpoint = _make_endpoint()
        limits.observe(endpoint, EndpointSignals(True, 1.0))
        limits.observe(endpoint, EndpointSignals(False, None))
        self.assertEqual(limits.limit_per_s(endpoint), 1.0)
        limits.observe(endpoint, EndpointSignals(True, None))
        self.assertIsNone(limits.limit_per_s(endpoint))
        self.assertTrue(limits.try_take(endpoint))

    def test_restarted_endpoint_has_no_limit(self) -> None:
        """Guards against a limit that outlives the process that named it."""
        limits = RateLimits(lambda: 5.0, lambda: 0.5)
        endpoint = _make_endpoint()
        limits.observe(endpoint, EndpointSignals(True, 1.0))
        restarted = dataclasses.replace(endpoint, started_ms=2)
        self.assertTrue(limits.try_take(restarted))

    def test_limit_of_zero_is_probed(self) -> None:
        """Guards against an endpoint that is never asked again."""
        now_s = [0.0]
        limits = RateLimits(lambda: now_s[0], lambda: 0.5)
        limits.set_vm_count(4)
        endpoint = _make_endpoint()
        limits.observe(endpoint, EndpointSignals(True, 0.0))
        self.assertTrue(0.0 < limits.wait_s(endpoint) < 60.0)


class TestDecodedLimits(unittest.TestCase):
    def test_malformed_limit_changes_nothing(self) -> None:
        """Guards against limits read from values that are no rate."""
        limits = RateLimits(lambda: 5.0, lambda: 0.5)
        endpoint = _make_endpoint()
        limits.observe(endpoint, EndpointSignals(True, 2.5))
        for value in ("", "x", "-1", "nan", "inf", "1e9", "1" * 40, "1,5"):
            with self.subTest(value=value):
                decoded = decode_signals(200, {"Server-Limit": value}, True)
                self.assertEqual(len(decoded.problems), 1)
                limits.observe(endpoint, decoded)
                self.assertEqual(limits.limit_per_s(endpoint), 2.5)

    def test_decimal_limit_is_decoded(self) -> None:
        """Guards against limits that are cut to whole numbers."""
        decoded = decode_signals(200, {"Server-Limit": "1.85"}, False)
        self.assertEqual(decoded, EndpointSignals(False, 1.85))


class TestWaitForAPermit(GatewayCase):
    def test_request_waits_for_a_permit_within_its_objective(self) -> None:
        """Guards against refusals just before an endpoint takes requests."""
        headers = {"Response-Stamp": "s", "Server-Limit": "4"}
        self.add_endpoint(lambda _: respond(200, b"done", headers))
        statuses = [self.gateway.call("GET", "/read/x").status]
        statuses += [
            self.gateway.call("GET", "/read/x").status for _ in range(7)
        ]
        self.assertEqual(set(statuses), {200})


class TestLimitOfEngines(GenerationCase):
    def test_generations_keep_the_limit_of_an_engine(self) -> None:
        """Guards against reservations and runs beyond the limit of an engine.

        With the headroom, each generation would be three calls to it.
        """
        decode = self.add_engine(
            "i-d", respond(200, b"id: 1\n\n", _LIMITED_HEADERS)
        )
        statuses = [self.generate().status for _ in range(8)]
        self.assertEqual(statuses[0], 200)
        self.assertIn(503, statuses)
        # The first generation is from before the limit was known.
        later = len(decode.reserved_tokens) - 2
        self.assertEqual(later, len(decode.runs) - 1)
        refused = self.gateway.events_named("refused")[0]
        self.assertEqual(refused["reason"], "endpoint limits")
        self.assertLess(refused["waited_s"], 1.2)


class TestLimitOfAllVms(FleetCase):
    def test_endpoint_receives_no_more_than_the_limit_it_named(self) -> None:
        """Guards against endpoints whose limit is ignored, or kept by each VM.

        Two endpoints in need received 23 requests in 4 s from four VMs, at
        limits of 1.6 and 1.9 requests a second.
        """
        limit_by_endpoint = {"i-1": 1.6, "i-2": 1.9, "i-3": None}
        for name, limit_per_s in limit_by_endpoint.items():
            self.add_endpoint(name, limit_per_s)
        started_s = self.now_s
        statuses: list[int] = []
        self.send_requests(12.0, statuses.append)
        for name, limit_per_s in limit_by_endpoint.items():
            if limit_per_s is None:
                continue
            counted = [
                time_s
                for time_s in self.arrivals_by_endpoint[name]
                if time_s >= started_s + _GRACE_S
            ]
            self.assertLessEqual(
                count_densest_window(counted), allowed_requests(limit_per_s)
            )
        # The endpoint without a limit serves the others.
        self.assertEqual(set(statuses), {200})

    def test_request_beyond_all_limits_is_refused_at_once(self) -> None:
        """Guards against requests that wait, or are sent, beyond all limits."""
        self.add_endpoint("i-1", 1.0)
        started_s = self.now_s
        statuses: list[int] = []
        self.send_requests(12.0, statuses.append)
        arrivals = self.arrivals_by_endpoint["i-1"]
        counted = [
            time_s for time_s in arrivals if time_s >= started_s + _GRACE_S
        ]
        self.assertLessEqual(
            count_densest_window(counted), allowed_requests(1.0)
        )
        self.assertEqual(statuses.count(200), len(arrivals))
        self.assertEqual(statuses.count(503), len(statuses) - len(arrivals))
        refusals = [
            event
            for gateway in self.gateways
            for event in gateway.events_named("refused")
        ]
        self.assertTrue(refusals)
        for refusal in refusals:
            self.assertEqual(refusal["reason"], "endpoint limits")
            self.assertGreater(refusal["retry_after_s"], 0)
            self.assertEqual(refusal["runs"], 0)


__all__ = [
    "FleetCase",
    "TestDecodedLimits",
    "TestLimitOfAllVms",
    "TestLimitOfEngines",
    "TestShares",
    "TestWaitForAPermit",
]
