"""A request that crashes engines is quarantined after two crashes."""

from __future__ import annotations

import unittest

from standins import launcher, tokens
from standins.launcher import Process
from tests.support.calls import start_call
from tests.support.fleets import (
    assert_released,
    make_plan,
    read_status,
    running_fleet,
)

_DECODE = tuple(f"decode-{number}" for number in range(1, 6))
_PREFILL = tuple(f"prefill-{number}" for number in range(1, 6))
_MARKER = "crash the engine"


class CrashQuarantineTest(unittest.TestCase):
    def test_crashing_request_crashes_at_most_two_decode_engines(self) -> None:
        """Guards against a request that crashes one engine after another."""
        self.check_crash_count(_DECODE)

    def test_crashing_request_crashes_at_most_two_prefill_engines(self) -> None:
        """Guards against crashes that are only detected on decode engines."""
        self.check_crash_count(_PREFILL)

    def check_crash_count(self, crashing_names: tuple[str, ...]) -> None:
        plan = make_plan(prefill=5, decode=5, token_gap_ms=20)
        fleet = self.enterContext(running_fleet(plan))
        for name in crashing_names:
            fleet.processes_by_name[name].set_faults(crash_marker=_MARKER)
        concurrent_calls = [
            (entry, start_call(entry, f"{entry.name} {number}", 100))
            for number in range(5)
            for entry in fleet.entries
        ]
        for _, call in concurrent_calls:
            call.wait_for_tokens(1)
        reasons = []
        for entry in (*fleet.entries, *fleet.entries):
            result = start_call(entry, _MARKER, 5).wait()
            self.assertFalse(result.is_complete)
            reasons += [error["reason"] for error in result.errors]
            # Gossip takes up to a second. Without the wait, copies through
            # several entry VMs could each crash an engine.
            launcher.wait_until(
                lambda: all(map(_has_two_crash_records, fleet.entries)),
                "every entry VM has the crash records",
            )
        # Each request ended with one error.
        self.assertEqual(len(reasons), 8)
        crashed = [
            name
            for name in crashing_names
            if fleet.processes_by_name[name].popen.poll() is not None
        ]
        self.assertLessEqual(len(crashed), 2, reasons)
        self.assertEqual(set(reasons), {"quarantined"})
        for entry, call in concurrent_calls:
            result = call.wait()
            expected = tokens.expected_text(call.body)
            if not result.is_complete:
                # The stream ran on a crashed engine; the caller retries.
                self.assertTrue(expected.startswith(result.text))
                outcomes = [error["outcome"] for error in result.errors]
                self.assertEqual(outcomes, ["ran"])
                result = start_call(entry, call.body["prompt"], 100).wait()
            self.assertTrue(result.is_complete, result)
            self.assertEqual(result.text, expected)
        survivors = [name for name in _DECODE if name not in crashed]
        assert_released(self, fleet, survivors)


def _has_two_crash_records(entry: Process) -> bool:
    fingerprints = [
        record["fingerprint"] for record in read_status(entry)["quarantine"]
    ]
    return any(
        fingerprints.count(fingerprint) >= 2 for fingerprint in fingerprints
    )
