"""A request that crashes engines is stopped after two of them."""

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
    def test_crashing_request_kills_at_most_two_decode_engines(self) -> None:
        """Guards against one request that kills engine after engine."""
        self.check(_DECODE)

    def test_crashing_request_kills_at_most_two_prefill_engines(self) -> None:
        """Guards against crashes that are only noticed at decode engines."""
        self.check(_PREFILL)

    def check(self, victims: tuple[str, ...]) -> None:
        plan = make_plan(prefill=5, decode=5, token_gap_ms=20)
        fleet = self.enterContext(running_fleet(plan))
        for name in victims:
            fleet.processes_by_name[name].set_faults(crash_marker=_MARKER)
        beside = [
            (entry, start_call(entry, f"{entry.name} {number}", 100))
            for number in range(5)
            for entry in fleet.entries
        ]
        for _, call in beside:
            call.wait_for_tokens(1)
        outcomes = []
        for entry in (*fleet.entries, *fleet.entries):
            ended = start_call(entry, _MARKER, 5).wait()
            self.assertFalse(ended.is_complete)
            outcomes += [error["reason"] for error in ended.errors]
            # Gossip takes up to a second, so that copies sent at the same
            # moment through several entry VMs may crash an engine each.
            launcher.wait_until(
                lambda: all(map(_holds_two_strikes, fleet.entries)),
                "every entry VM holds the strikes",
            )
        self.assertEqual(len(outcomes), 8)
        crashed = [
            name
            for name in victims
            if fleet.processes_by_name[name].popen.poll() is not None
        ]
        self.assertLessEqual(len(crashed), 2, outcomes)
        self.assertEqual(set(outcomes), {"quarantined"})
        for entry, call in beside:
            ended = call.wait()
            expected = tokens.expected_text(call.body)
            if not ended.is_complete:
                # Its stream ran at a crashed engine; its caller tries again.
                self.assertTrue(expected.startswith(ended.text))
                outcome = [error["outcome"] for error in ended.errors]
                self.assertEqual(outcome, ["ran"])
                ended = start_call(entry, call.body["prompt"], 100).wait()
            self.assertTrue(ended.is_complete, ended)
            self.assertEqual(ended.text, expected)
        rest = [name for name in _DECODE if name not in crashed]
        assert_released(self, fleet, rest)


def _holds_two_strikes(entry: Process) -> bool:
    rows = [row["fingerprint"] for row in read_status(entry)["quarantine"]]
    return any(rows.count(fingerprint) >= 2 for fingerprint in rows)
