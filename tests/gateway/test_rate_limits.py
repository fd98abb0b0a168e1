"""The requests of all VMs together keep the limits that endpoints name."""

from __future__ import annotations

import contextlib
import unittest
from collections.abc import Callable, Iterable, Sequence

from standins.object_store import ObjectStore
from standins.scripted_endpoint import (
    Received,
    ScriptedEndpoint,
    Step,
    respond,
)
from tests.support.gateways import (
    Gateway,
    make_document,
    run_gateway,
    wait_for,
)

_WINDOW_S = 4.0
# Time after an endpoint has named its limit until it must be kept.
_GRACE_S = 3.0
_STEP_S = 0.05


def allowed_requests(limit_per_s: float) -> float:
    """Returns how many requests an endpoint may receive in a window."""
    return 1.5 * limit_per_s * _WINDOW_S + 5.0


def count_densest_window(times_s: Sequence[float]) -> int:
    """Returns the largest number of the times within one window."""
    return max(
        (
            sum(start_s <= time_s < start_s + _WINDOW_S for time_s in times_s)
            for start_s in times_s
        ),
        default=0,
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
                    make_document(),
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


__all__ = ["FleetCase", "TestLimitOfAllVms"]
