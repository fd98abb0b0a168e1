"""Requests that arrive after SIGTERM, in a zone without another VM.

The load balancer goes on sending connections to the only VM of a zone, so that
streams begin shortly before the process ends.
"""

from __future__ import annotations

import dataclasses
import math
import unittest

from burdockspan.gateway.stopping import Stopping
from burdockspan.gateway.values import Kind
from standins.scripted_endpoint import respond
from tests.gateway.case import GatewayCase
from tests.gateway.test_bursts import ROUTE


class TestStopping(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        self.stopping = Stopping(8.0, lambda: self.now_s)

    def test_everything_is_taken_before_the_signal(self) -> None:
        """Guards against refusals by a process that goes on."""
        self.assertTrue(self.stopping.accepts(ROUTE, math.inf))
        self.assertEqual(self.stopping.ends_s, math.inf)

    def test_late_stream_is_not_begun(self) -> None:
        """Guards against streams that the end of the process cuts off."""
        self.stopping.begin()
        self.now_s += 2.0
        self.assertTrue(self.stopping.accepts(ROUTE, math.inf))
        self.now_s += 1.0
        self.assertFalse(self.stopping.accepts(ROUTE, math.inf))

    def test_short_request_is_taken_while_it_can_end(self) -> None:
        """Guards against refusals of what takes milliseconds."""
        plain = dataclasses.replace(ROUTE, kind=Kind.NON_IDEMPOTENT)
        self.stopping.begin()
        self.now_s += 5.0
        self.assertTrue(self.stopping.accepts(plain, self.now_s + 1.2))
        self.now_s += 2.0
        self.assertFalse(self.stopping.accepts(plain, self.now_s + 1.2))

    def test_second_signal_does_not_extend_the_stop(self) -> None:
        """Guards against a process that outlives its grace time."""
        self.stopping.begin()
        ends_s = self.stopping.ends_s
        self.now_s += 5.0
        self.stopping.begin()
        self.assertEqual(self.stopping.ends_s, ends_s)
        self.assertTrue(self.stopping.left_rotation())


class TestRefusal(GatewayCase):
    def test_refusal_is_immediate_and_names_a_time(self) -> None:
        """Guards against a stopping VM that keeps its callers waiting."""
        endpoint = self.add_endpoint(lambda _: respond(200, b""), service="llm")
        stopping = self.gateway.parts.context.stopping
        stopping.begin()
        stopping._begun_s -= 4.0
        answer = self.gateway.call("POST", "/draft/x", b"p")
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers["Connection"], "close")
        retry_after_s = float(answer.headers["Retry-After"])
        self.assertAlmostEqual(retry_after_s, 8.0, delta=0.5)
        self.assertEqual(endpoint.received, [])
