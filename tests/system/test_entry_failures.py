"""Guarantees P1 and P2 when entry VMs crash or freeze during streams."""

from __future__ import annotations

import signal
import unittest

from standins import launcher, tokens
from standins.launcher import Process
from tests.support.calls import RunningCall, start_call
from tests.support.fleets import (
    RELEASE_LIMIT_S,
    assert_released,
    count_reserved_pieces,
    make_plan,
    read_status,
    running_fleet,
)

_DECODE = ("decode-1", "decode-2")


class EntryFailureTest(unittest.TestCase):
    def setUp(self) -> None:
        plan = make_plan(entries=3, token_gap_ms=20)
        self.fleet = self.enterContext(running_fleet(plan))
        self.failing_entry, *self.others = self.fleet.entries

    def test_entry_killed_mid_stream_leaves_no_memory_reserved(self) -> None:
        """Guards against memory that only the dead process would release."""
        calls = self.start_streams(self.failing_entry, 4)
        concurrent_call = start_call(self.others[0], "beside", 100)
        concurrent_call.wait_for_tokens(1)
        self.failing_entry.kill()
        elapsed_s = launcher.wait_until(
            lambda: count_reserved_pieces(self.fleet, _DECODE) <= 1,
            "the memory of the dead entry VM is released",
        )
        self.assertLessEqual(elapsed_s, RELEASE_LIMIT_S)
        for call in calls:
            result = call.wait()
            self.assertTrue(result.is_broken)
            self.assertFalse(result.is_complete)
        self.assert_complete(concurrent_call)

    def test_entry_frozen_mid_stream_ends_its_streams_with_errors(
        self,
    ) -> None:
        """Guards against memory that a frozen VM keeps, and late responses."""
        before = read_status(self.failing_entry)["incarnation"]
        calls = self.start_streams(self.failing_entry, 4)
        self.failing_entry.signal(signal.SIGSTOP)
        assert_released(self, self.fleet, _DECODE)
        # The caller retries through another entry VM while the first response
        # is stuck.
        retry = start_call(self.others[0], "p0", 20)
        self.assert_complete(retry)
        self.failing_entry.signal(signal.SIGCONT)
        for call in calls:
            result = call.wait()
            expected = tokens.expected_text(call.body)
            self.assertTrue(expected.startswith(result.text))
            self.assertFalse(result.is_complete, result)
            outcomes = [error["outcome"] for error in result.errors]
            self.assertEqual(outcomes, ["ran"])
        launcher.wait_until(
            lambda: read_status(self.failing_entry)["incarnation"] > before,
            "the resumed process has a new incarnation",
        )
        self.assertFalse(read_status(self.failing_entry)["requests"])
        self.assert_complete(start_call(self.failing_entry, "after", 5))
        assert_released(self, self.fleet, _DECODE)

    def test_entry_killed_while_a_decode_engine_is_frozen(self) -> None:
        """Guards against a frozen engine that delays releases on the others."""
        frozen, working = (
            self.fleet.processes_by_name[name] for name in _DECODE
        )
        self.start_streams(self.failing_entry, 12)
        self.assertGreater(count_reserved_pieces(self.fleet, [frozen.name]), 0)
        self.assertGreater(count_reserved_pieces(self.fleet, [working.name]), 0)
        frozen.signal(signal.SIGSTOP)
        self.failing_entry.kill()
        assert_released(self, self.fleet, [working.name])
        frozen.signal(signal.SIGCONT)
        assert_released(self, self.fleet, _DECODE)
        self.assert_complete(start_call(self.others[1], "after", 5))

    def start_streams(self, entry: Process, count: int) -> list[RunningCall]:
        calls = [start_call(entry, f"p{n}", 1500) for n in range(count)]
        for call in calls:
            call.wait_for_tokens(2)
        return calls

    def assert_complete(self, call: RunningCall) -> None:
        result = call.wait()
        self.assertTrue(result.is_complete, result)
        self.assertEqual(result.text, tokens.expected_text(call.body))
