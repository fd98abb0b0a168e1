"""Requests that arrive after SIGTERM, in a zone without another VM.

The load balancer goes on sending connections to the only VM of a zone, so that
streams begin shortly before the process ends.
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


class TestStopping(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        self.graceful_stop = GracefulStop(8.0, lambda: self.now_s)

    def test_everything_is_taken_before_the_signal(self) -> None:
        """Guards against refusals by a process that goes on."""
        self.assertTrue(self.graceful_stop.accepts(ROUTE, math.inf))
        self.assertEqual(self.graceful_stop.deadline_s, math.inf)

    def test_late_stream_is_not_begun(self) -> None:
        """Guards against streams that the end of the process cuts off."""
        self.graceful_stop.begin()
        self.now_s += 2.0
        self.assertTrue(self.graceful_stop.accepts(ROUTE, math.inf))
        self.now_s += 1.0
        self.assertFalse(self.graceful_stop.accepts(ROUTE, math.inf))

    def test_short_request_is_taken_while_it_can_end(self) -> None:
        """Guards against refusals of what takes milliseconds."""
        plain = dataclasses.replace(ROUTE, kind=RequestKind.NON_IDEMPOTENT)
        self.graceful_stop.begin()
        self.now_s += 5.0
        self.assertTrue(self.graceful_stop.accepts(plain, self.now_s + 1.2))
        self.now_s += 2.0
        self.assertFalse(self.graceful_stop.accepts(plain, self.now_s + 1.2))

    def test_second_signal_does_not_extend_the_stop(self) -> None:
        """Guards against a process that outlives its grace time."""
        self.graceful_stop.begin()
        ends_s = self.graceful_stop.deadline_s
        self.now_s += 5.0
        self.graceful_stop.begin()
        self.assertEqual(self.graceful_stop.deadline_s, ends_s)
        self.assertTrue(self.graceful_stop.has_left_rotation())


class TestRefusal(GatewayCase):
    def test_refusal_is_immediate_and_names_a_time(self) -> None:
        """Guards against a stopping VM that keeps its callers waiting."""
        endpoint = self.add_endpoint(lambda _: respond(200, b""), service="llm")
        graceful_stop = self.gateway.components.context.graceful_stop
        graceful_stop.begin()
        graceful_stop._started_s -= 4.0
        answer = self.gateway.call("POST", "/draft/x", b"p")
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers["Connection"], "close")
        retry_after_s = float(answer.headers["Retry-After"])
        self.assertAlmostEqual(retry_after_s, 8.0, delta=0.5)
        self.assertEqual(endpoint.received, [])
