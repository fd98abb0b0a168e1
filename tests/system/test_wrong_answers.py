"""P3 when engines answer late, twice or in part."""

from __future__ import annotations

import threading
import unittest
from typing import Any

from standins import tokens
from tests.support.calls import Outcome, RunningCall, start_call
from tests.support.fleets import assert_released, make_plan, running_fleet

_DECODE = ("decode-1", "decode-2")
_ENGINES = (*_DECODE, "prefill-1", "prefill-2")
# Spread over four entry VMs.
_CALLERS_COUNT = 40
_TURNS_COUNT = 3


class WrongAnswerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = self.enterContext(running_fleet(make_plan()))

    def test_late_duplicates_reach_no_caller(self) -> None:
        """Guards against the answer, or the KV cache, of another request."""
        # Answers to control calls come first, then those that carry content.
        self.run_calls("warm-up")
        for path in ("", "/prefill", "/v1/completions"):
            with self.subTest(path=path):
                self.check_under_fault(late_duplicate=6, only_path=path)

    def test_truncated_answers_are_never_taken_as_whole(self) -> None:
        """Guards against half an answer that ends like a whole one."""
        # Most of the first are control calls, so that streams come second.
        for path in ("", "/v1/completions"):
            with self.subTest(path=path):
                self.check_under_fault(truncate=8, only_path=path)

    def check_under_fault(self, **faults: Any) -> None:
        for name in _ENGINES:
            self.fleet.processes_by_name[name].set_faults(**faults)
        ends = self.run_calls("faulty")
        whole = 0
        for call, ended in ends:
            expected = tokens.expected_text(call.body)
            if ended.is_complete:
                whole += 1
                self.assertEqual(ended.text, expected)
            else:
                self.assertTrue(expected.startswith(ended.text), ended)
                self.assertEqual(len(ended.errors), 1, ended)
                outcome = ended.errors[0]["outcome"]
                self.assertIn(outcome, ("ran", "unknown", "not_run"))
                self.assertTrue(outcome == "ran" or not ended.text, ended)
        details = [e["detail"] for _, ended in ends for e in ended.errors]
        self.assertGreaterEqual(whole, len(ends) // 2, details)
        for name in _ENGINES:
            self.fleet.processes_by_name[name].set_faults(
                late_duplicate=0, truncate=0
            )
        assert_released(self, self.fleet, _DECODE)

    def run_calls(self, name: str) -> list[tuple[RunningCall, Outcome]]:
        """Runs 120 calls of different prompts, 40 at a time."""
        gate = threading.Barrier(_CALLERS_COUNT)
        ends: list[tuple[RunningCall, Outcome]] = []

        def run_caller(number: int) -> None:
            gate.wait()
            entry = self.fleet.entries[number % len(self.fleet.entries)]
            for turn in range(_TURNS_COUNT):
                streamed = (number // 4 + turn) % 3 == 0
                prompt = f"{name} {number} {turn}"
                call = start_call(entry, prompt, 40 + number, streamed)
                ends.append((call, call.wait()))

        callers = [
            threading.Thread(target=run_caller, args=(number,))
            for number in range(_CALLERS_COUNT)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.assertEqual(len(ends), _CALLERS_COUNT * _TURNS_COUNT)
        return ends
