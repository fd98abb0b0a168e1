"""Beliefs about which services a VM reaches."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from burdockspan.gateway.fleet.reachability import SAMPLE_SIZE, Reachability
from burdockspan.gateway.values import Endpoint
from burdockspan.observe.registry import make_registry


def _make_endpoint(number: int) -> Endpoint:
    return Endpoint(f"i-{number}", 1, "app", "127.0.0.1:1", "a", False, 4)


class ReachabilityCase(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        self.endpoints = [_make_endpoint(number) for number in range(3)]
        self.log_events: list[tuple[str, dict[str, Any]]] = []
        self.reachability = Reachability(
            lambda _: self.endpoints,
            lambda: self.now_s,
            lambda event, **fields: self.log_events.append((event, fields)),
            make_registry(),
        )

    def fail_all(self) -> None:
        """Records a failure of each endpoint."""
        for endpoint in self.endpoints:
            self.reachability.record_failure(endpoint, self.now_s)

    def is_lost(self) -> bool:
        """Returns whether the service is out of reach."""
        return self.reachability.is_out_of_reach("app")


class TestBeliefs(ReachabilityCase):
    def test_one_dead_endpoint_is_no_loss_of_the_service(self) -> None:
        """Guards against relays because a single endpoint has crashed."""
        for _ in range(10):
            self.reachability.record_failure(self.endpoints[0], self.now_s)
        self.assertFalse(self.is_lost())

    def test_failures_of_all_endpoints_are_a_loss(self) -> None:
        """Guards against a VM that does not notice that it is cut off."""
        self.fail_all()
        self.assertTrue(self.is_lost())
        self.assertEqual(self.log_events[-1][0], "service out of reach")

    def test_explaining_changes_no_belief(self) -> None:
        """Guards against an explanation that logs, or ends a loss."""
        self.fail_all()
        logged = list(self.log_events)
        self.assertTrue(self.reachability.explain("app")["out_of_reach"])
        self.now_s += 60.0
        self.assertFalse(self.reachability.explain("app")["out_of_reach"])
        self.assertEqual(self.log_events, logged)
        self.assertFalse(self.is_lost())
        self.assertEqual(len(self.log_events), len(logged) + 1)

    def test_a_sample_of_many_endpoints_is_enough(self) -> None:
        """Guards against a loss that is noticed later in a larger pool."""
        self.endpoints = [_make_endpoint(number) for number in range(100)]
        for endpoint in self.endpoints[:SAMPLE_SIZE]:
            self.assertFalse(self.is_lost())
            self.reachability.record_failure(endpoint, self.now_s)
        self.assertTrue(self.is_lost())

    def test_answer_ends_the_loss_at_once(self) -> None:
        """Guards against relays after the end of a partition."""
        self.fail_all()
        self.now_s += 1.0
        self.reachability.record_answer(self.endpoints[0], self.now_s)
        self.assertFalse(self.is_lost())
        self.assertEqual(self.log_events[-1][0], "service reached")

    def test_answer_on_an_old_connection_proves_no_path(self) -> None:
        """Guards against trust in connections that outlive a partition."""
        self.fail_all()
        self.reachability.record_answer(self.endpoints[0], self.now_s - 2.0)
        self.assertTrue(self.is_lost())

    def test_silent_probes_are_a_loss_but_no_reason_to_leave(self) -> None:
        """Guards against work that leaves endpoints that only fall silent."""
        for endpoint in self.endpoints:
            self.reachability.record_silent_probe(endpoint, self.now_s)
        self.assertTrue(self.is_lost())
        self.assertFalse(self.reachability.is_disconnected("app"))

    def test_open_connections_that_bring_bytes_are_not_lost(self) -> None:
        """Guards against work that leaves connections which live on."""
        self.reachability.record_heard("app")
        self.now_s += 0.1
        self.fail_all()
        self.assertTrue(self.reachability.has_lost_connections("app"))
        self.now_s += 0.1
        self.reachability.record_heard("app")
        self.assertTrue(self.reachability.is_disconnected("app"))
        self.assertFalse(self.reachability.has_lost_connections("app"))

    def test_silence_of_a_request_is_a_reason_to_probe(self) -> None:
        """Guards against a loss that is noticed only when requests fail."""
        self.reachability.record_silence(self.endpoints[0])
        self.assertEqual(self.reachability.list_doubtful(), ("app",))
        self.assertFalse(self.is_lost())
        self.reachability.record_answer(self.endpoints[1], self.now_s)
        self.assertEqual(self.reachability.list_doubtful(), ())

    def test_old_failures_are_forgotten(self) -> None:
        """Guards against a loss that is pieced together over minutes."""
        self.fail_all()
        self.now_s += 60.0
        self.assertFalse(self.is_lost())

    def test_new_endpoint_is_tried_before_the_service_is_lost(self) -> None:
        """Guards against relays although a new endpoint may be in reach."""
        self.fail_all()
        self.endpoints = [*self.endpoints, _make_endpoint(9)]
        self.assertFalse(self.is_lost())
        least_known = self.reachability.list_least_known("app")
        self.assertEqual(least_known[0].id, "i-9")

    @given(
        st.lists(
            st.tuples(st.booleans(), st.integers(0, 5), st.floats(0.0, 0.9)),
            max_size=30,
        ),
        st.integers(1, 6),
    )
    def test_beliefs_follow_the_latest_calls(
        self, calls: list[tuple[bool, int, float]], count: int
    ) -> None:
        """Guards against beliefs that differ from a plain reference."""
        self.setUp()
        self.endpoints = [_make_endpoint(number) for number in range(count)]
        latest: dict[int, float] = {}
        reached_s = 0.0
        for answered, number, delay_s in calls:
            self.now_s += 0.05
            index, began_s = number % count, self.now_s - delay_s
            if answered:
                self.reachability.record_answer(self.endpoints[index], began_s)
                reached_s = max(reached_s, began_s)
            else:
                self.reachability.record_failure(self.endpoints[index], began_s)
                latest[index] = max(began_s, latest.get(index, 0.0))
        failed = sum(failed_s > reached_s for failed_s in latest.values())
        self.assertEqual(self.is_lost(), failed >= min(count, SAMPLE_SIZE))
