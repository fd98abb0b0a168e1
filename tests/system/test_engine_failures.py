"""Guarantee P3 when engines crash or a transfer stalls.

A caller receives a complete response, or an error with the true outcome.
"""

from __future__ import annotations

import unittest

from standins import launcher, tokens
from tests.support.calls import CallResult, RunningCall, start_call
from tests.support.fleets import (
    assert_released,
    count_reserved_pieces,
    make_plan,
    running_fleet,
)

_DECODE = ("decode-1", "decode-2")
_PREFILL = ("prefill-1", "prefill-2")


class EngineFailureTest(unittest.TestCase):
    def setUp(self) -> None:
        plan = make_plan(
            entries=2,
            token_gap_ms=20,
            engine_options=("--prefill-tokens-per-s", "4000"),
        )
        self.fleet = self.enterContext(running_fleet(plan))

    def test_decode_engine_killed_before_the_first_byte_fails_no_call(
        self,
    ) -> None:
        """Guards against a lost request and against a partial response."""
        # A response takes 2 s to generate, so no byte has been sent yet.
        calls = [
            start_call(entry, f"p{number}", 100, stream=False)
            for number in range(4)
            for entry in self.fleet.entries
        ]
        killed_name = self.kill_most_loaded(_DECODE)
        for call in calls:
            self.assert_complete(call)
        survivors = [name for name in _DECODE if name != killed_name]
        assert_released(self, self.fleet, survivors)

    def test_decode_engine_killed_mid_stream_ends_streams_with_errors(
        self,
    ) -> None:
        """Guards against a broken stream that ends like a complete one."""
        calls = [
            start_call(entry, f"p{number}", 150)
            for number in range(3)
            for entry in self.fleet.entries
        ]
        for call in calls:
            call.wait_for_tokens(2)
        self.kill_most_loaded(_DECODE)
        results = [call.wait() for call in calls]
        failed = [result for result in results if not result.is_complete]
        self.assertTrue(failed)
        for call, result in zip(calls, results, strict=True):
            expected = tokens.expected_text(call.body)
            if result.is_complete:
                self.assertEqual(result.text, expected)
            else:
                self.assert_failed_after_run(result, expected)

    def test_prefill_engine_killed_mid_prefill_fails_no_call(self) -> None:
        """Guards against a request that waits for a dead prefill engine."""
        # 4,000 tokens take 1 s to prefill.
        calls = [
            start_call(entry, f"{number}" * 16_000, 5)
            for number, entry in enumerate(self.fleet.entries)
        ]
        launcher.wait_until(
            lambda: any(self.count_running(name) for name in _PREFILL),
            "a prefill is running",
        )
        killed_name = next(
            name for name in _PREFILL if self.count_running(name)
        )
        self.fleet.processes_by_name[killed_name].kill()
        for call in calls:
            self.assert_complete(call)
        assert_released(self, self.fleet, _DECODE)

    def test_stalled_transfer_is_aborted_when_the_cache_expires(self) -> None:
        """Guards against a reservation for a transfer that never ends."""
        stalled, working = (
            self.fleet.processes_by_name[name] for name in _DECODE
        )
        stalled.set_faults(stall_transfers=True)
        calls = [
            start_call(entry, f"p{number}", 20)
            for number in range(4)
            for entry in self.fleet.entries
        ]
        for call in calls:
            self.assert_complete(call)
        assert_released(self, self.fleet, _DECODE)
        working.set_faults(stall_transfers=True)
        for entry in self.fleet.entries:
            result = start_call(entry, "all stalled", 20).wait()
            self.assertEqual(result.text, "")
            self.assertFalse(result.is_complete)
            self.assertEqual([e["outcome"] for e in result.errors], ["ran"])
        assert_released(self, self.fleet, _DECODE)

    def kill_most_loaded(self, names: tuple[str, ...]) -> str:
        """Kills the engine with the most reserved memory; returns its name."""
        launcher.wait_until(
            lambda: (
                sum(self.count_running(name) for name in names) >= 6
                and count_reserved_pieces(self.fleet, names) >= 6
            ),
            "the calls are decoding",
        )
        reserved = {
            name: count_reserved_pieces(self.fleet, [name]) for name in names
        }
        killed_name = max(reserved, key=lambda name: reserved[name])
        self.fleet.processes_by_name[killed_name].kill()
        return killed_name

    def count_running(self, name: str) -> int:
        load = self.fleet.processes_by_name[name].call("GET", "/load")
        return int(load.json()["running"])

    def assert_complete(self, call: RunningCall) -> None:
        result = call.wait()
        self.assertTrue(result.is_complete, result)
        self.assertEqual(result.text, tokens.expected_text(call.body))

    def assert_failed_after_run(
        self, result: CallResult, expected: str
    ) -> None:
        self.assertTrue(expected.startswith(result.text))
        self.assertFalse(result.is_broken, result)
        self.assertEqual([e["outcome"] for e in result.errors], ["ran"])
