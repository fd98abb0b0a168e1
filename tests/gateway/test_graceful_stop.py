"""Requests that arrive after SIGTERM in a zone without another VM.

The load balancer still sends connections to the only VM of a zone, so that
streams would start shortly before the process ends.
"""

from __future__ import annotations

import dataclasses
import math
import unittest

from burdockspan.gateway.graceful_stop import GracefulStop
from burdockspan.gateway.values import RequestKind
from standins.scripted_endpoint import respond
from tests.gateway.case import GatewayCase
from tests.gateway.test_bursts import ROUTE


class TestGracefulStop(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        self.graceful_stop = GracefulStop(8.0, lambda: self.now_s)

    def test_all_requests_are_accepted_before_the_stop(self) -> None:
        """Guards against refusals by a process that is not stopping."""
        self.assertTrue(self.graceful_stop.accepts(ROUTE, math.inf))
        self.assertEqual(self.graceful_stop.deadline_s, math.inf)

    def test_late_stream_is_refused(self) -> None:
        """Guards against streams that the end of the process truncates."""
        self.graceful_stop.begin()
        self.now_s += 2.0
        self.assertTrue(self.graceful_stop.accepts(ROUTE, math.inf))
        self.now_s += 1.0
        self.assertFalse(self.graceful_stop.accepts(ROUTE, math.inf))

    def test_short_request_is_accepted_while_it_can_end(self) -> None:
        """Guards against refusals of requests that take milliseconds."""
        plain_route = dataclasses.replace(
            ROUTE, kind=RequestKind.NON_IDEMPOTENT
        )
        self.graceful_stop.begin()
        self.now_s += 5.0
        self.assertTrue(
            self.graceful_stop.accepts(plain_route, self.now_s + 1.2)
        )
        self.now_s += 2.0
        self.assertFalse(
            self.graceful_stop.accepts(plain_route, self.now_s + 1.2)
        )

    def test_second_signal_does_not_extend_the_stop(self) -> None:
        """Guards against a process that runs beyond its grace period."""
        self.graceful_stop.begin()
        deadline_s = self.graceful_stop.deadline_s
        self.now_s += 5.0
        self.graceful_stop.begin()
        self.assertEqual(self.graceful_stop.deadline_s, deadline_s)
        self.assertTrue(self.graceful_stop.has_left_rotation())


class TestRefusals(GatewayCase):
    def test_refusal_is_immediate_with_a_retry_delay(self) -> None:
        """Guards against a stopping VM that lets its callers wait."""
        endpoint = self.add_endpoint(lambda _: respond(200, b""), service="llm")
        graceful_stop = self.gateway.components.context.graceful_stop
        graceful_stop.begin()
        graceful_stop._started_s -= 4.0
        response = self.gateway.call("POST", "/draft/x", b"p")
        self.assertEqual(response.status, 503)
        self.assertEqual(response.headers["Connection"], "close")
        retry_after_s = float(response.headers["Retry-After"])
        self.assertAlmostEqual(retry_after_s, 8.0, delta=0.5)
        self.assertEqual(endpoint.received, [])
