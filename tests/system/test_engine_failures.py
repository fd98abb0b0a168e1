"""P3 when engines die or a transfer stalls: a whole answer or the truth."""

from __future__ import annotations

import unittest

from standins import launcher, tokens
from tests.support.calls import Outcome, RunningCall, start_call
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

    def test_decode_engine_killed_before_the_first_byte(self) -> None:
        """Guards against a lost request and against half an answer."""
        # The whole answers take 2 s, so that no byte has arrived yet.
        calls = [
            start_call(entry, f"p{number}", 100, stream=False)
            for number in range(4)
            for entry in self.fleet.entries
        ]
        victim = self.kill_loaded(_DECODE)
        for call in calls:
            self.assert_whole(call)
        rest = [name for name in _DECODE if name != victim]
        assert_released(self, self.fleet, rest)

    def test_decode_engine_killed_mid_stream(self) -> None:
        """Guards against a broken stream that ends like a whole one."""
        calls = [
            start_call(entry, f"p{number}", 150)
            for number in range(3)
            for entry in self.fleet.entries
        ]
        for call in calls:
            call.wait_for_tokens(2)
        self.kill_loaded(_DECODE)
        ends = [call.wait() for call in calls]
        failed = [end for end in ends if not end.is_complete]
        self.assertTrue(failed)
        for call, ended in zip(calls, ends, strict=True):
            expected = tokens.expected_text(call.body)
            if ended.is_complete:
                self.assertEqual(ended.text, expected)
            else:
                self.assert_truthful_end(ended, expected)

    def test_prefill_engine_killed(self) -> None:
        """Guards against a request that waits for a dead prefill."""
        # 4,000 tokens take 1 s to prefill.
        calls = [
            start_call(entry, f"{number}" * 16_000, 5)
            for number, entry in enumerate(self.fleet.entries)
        ]
        launcher.wait_until(
            lambda: any(self.count_running(name) for name in _PREFILL),
            "a prefill runs",
        )
        victim = next(name for name in _PREFILL if self.count_running(name))
        self.fleet.processes_by_name[victim].kill()
        for call in calls:
            self.assert_whole(call)
        assert_released(self, self.fleet, _DECODE)

    def test_stalled_transfer_is_given_up_with_the_cache(self) -> None:
        """Guards against memory held for a transfer that never ends."""
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
            self.assert_whole(call)
        assert_released(self, self.fleet, _DECODE)
        working.set_faults(stall_transfers=True)
        for entry in self.fleet.entries:
            ended = start_call(entry, "all stalled", 20).wait()
            self.assertEqual(ended.text, "")
            self.assertFalse(ended.is_complete)
            self.assertEqual([e["outcome"] for e in ended.errors], ["ran"])
        assert_released(self, self.fleet, _DECODE)

    def kill_loaded(self, names: tuple[str, ...]) -> str:
        """Kills the engine that holds most memory; returns its name."""
        launcher.wait_until(
            lambda: (
                sum(self.count_running(name) for name in names) >= 6
                and count_reserved_pieces(self.fleet, names) >= 6
            ),
            "the calls are decoding",
        )
        held = {
            name: count_reserved_pieces(self.fleet, [name]) for name in names
        }
        victim = max(held, key=lambda name: held[name])
        self.fleet.processes_by_name[victim].kill()
        return victim

    def count_running(self, name: str) -> int:
        load = self.fleet.processes_by_name[name].call("GET", "/load")
        return int(load.json()["running"])

    def assert_whole(self, call: RunningCall) -> None:
        ended = call.wait()
        self.assertTrue(ended.is_complete, ended)
        self.assertEqual(ended.text, tokens.expected_text(call.body))

    def assert_truthful_end(self, ended: Outcome, expected: str) -> None:
        self.assertTrue(expected.startswith(ended.text))
        self.assertFalse(ended.is_broken, ended)
        self.assertEqual([e["outcome"] for e in ended.errors], ["ran"])
