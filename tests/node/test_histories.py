"""Random histories of a node and the targets P1, P2 and P3."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from burdockspan.values.submission import CallKind, Priority
from tests.support.node_calls import make_call
from tests.support.node_driver import NodeDriver
from tests.support.node_history import History


class NodeHistoryTest(unittest.TestCase):
    @settings(max_examples=150)
    @given(st.randoms(use_true_random=False))
    def test_node_keeps_its_invariants(
        self, random_source: random.Random
    ) -> None:
        """Guards against lost calls, repeated answers and unreleased memory."""
        History(random_source.randrange).run()

    def test_node_refuses_at_once_without_a_usable_endpoint(self) -> None:
        """Guards against calls that wait for failed endpoints."""
        driver = NodeDriver()
        for name in ("decode-1", "decode-2"):
            driver.engines[name].alive = False
        driver.advance(3.0)
        call = make_call(
            driver, 1, CallKind.COMPLETION, Priority.PATIENT, 300.0
        )
        self.assertTrue(call.futures[0].done())
        self.assertEqual(call.futures[0].result().unwrap_err().status, 503)

    def test_node_repeats_a_lost_release_until_it_is_confirmed(self) -> None:
        """Guards against unreleased memory after one lost release."""
        driver = NodeDriver()
        driver.sweep_enabled = False
        call = make_call(
            driver, 1, CallKind.COMPLETION, Priority.PATIENT, 300.0
        )
        call.step()
        engines = [
            e for e in driver.engines.values() if e.pieces and e.reservations
        ]
        self.assertEqual(len(engines), 1)
        call.is_caller_gone = True
        for _ in range(5):
            driver.advance(1.0)
            # The HTTP handler may be blocked, so the node itself must send the
            # release.
            self.assertTrue(driver.pending_releases)
            while driver.pending_releases:
                driver.answer_release(
                    driver.pending_releases.pop(), False, False
                )
        driver.advance(1.0)
        call.step()
        driver.answer_all()
        self.assertEqual(engines[0].reservations, {})
        self.assertEqual(driver.tables.releases, {})
