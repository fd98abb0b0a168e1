"""Guarantee P3 with late, duplicate and truncated responses of engines."""

from __future__ import annotations

import threading
import unittest
from typing import Any

from standins import tokens
from tests.support.calls import CallResult, RunningCall, start_call
from tests.support.fleets import assert_released, make_plan, running_fleet

_DECODE = ("decode-1", "decode-2")
_ENGINES = (*_DECODE, "prefill-1", "prefill-2")
# Distributed over four entry VMs.
_CALLERS_COUNT = 40
_CALLS_PER_CALLER = 3


class FaultyResponseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = self.enterContext(running_fleet(make_plan()))

    def test_late_duplicates_reach_no_caller(self) -> None:
        """Guards against the response or the KV cache of another request."""
        # With an empty path, most of the faults hit control calls. The other
        # paths select responses that carry content.
        self.run_completions("warm-up")
        for path in ("", "/prefill", "/v1/completions"):
            with self.subTest(path=path):
                self.check_under_fault(late_duplicate=6, only_path=path)

    def test_truncated_responses_are_never_reported_as_complete(self) -> None:
        """Guards against a partial response that ends like a complete one."""
        # With an empty path, most of the faults hit control calls. The second
        # path selects streams.
        for path in ("", "/v1/completions"):
            with self.subTest(path=path):
                self.check_under_fault(truncate=8, only_path=path)

    def check_under_fault(self, **faults: Any) -> None:
        for name in _ENGINES:
            self.fleet.processes_by_name[name].set_faults(**faults)
        results = self.run_completions("faulty")
        complete_count = 0
        for call, result in results:
            expected = tokens.expected_text(call.body)
            if result.is_complete:
                complete_count += 1
                self.assertEqual(result.text, expected)
            else:
                self.assertTrue(expected.startswith(result.text), result)
                self.assertEqual(len(result.errors), 1, result)
                outcome = result.errors[0]["outcome"]
                self.assertIn(outcome, ("ran", "unknown", "not_run"))
                self.assertTrue(outcome == "ran" or not result.text, result)
        details = [
            error["detail"] for _, result in results for error in result.errors
        ]
        self.assertGreaterEqual(complete_count, len(results) // 2, details)
        for name in _ENGINES:
            self.fleet.processes_by_name[name].set_faults(
                late_duplicate=0, truncate=0
            )
        assert_released(self, self.fleet, _DECODE)

    def run_completions(
        self, name: str
    ) -> list[tuple[RunningCall, CallResult]]:
        """Runs 120 completions of different prompts, 40 at a time."""
        barrier = threading.Barrier(_CALLERS_COUNT)
        results: list[tuple[RunningCall, CallResult]] = []

        def run_caller(number: int) -> None:
            barrier.wait()
            entry = self.fleet.entries[number % len(self.fleet.entries)]
            for turn in range(_CALLS_PER_CALLER):
                is_streamed = (number // 4 + turn) % 3 == 0
                prompt = f"{name} {number} {turn}"
                call = start_call(entry, prompt, 40 + number, is_streamed)
                results.append((call, call.wait()))

        callers = [
            threading.Thread(target=run_caller, args=(number,))
            for number in range(_CALLERS_COUNT)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.assertEqual(len(results), _CALLERS_COUNT * _CALLS_PER_CALLER)
        return results
