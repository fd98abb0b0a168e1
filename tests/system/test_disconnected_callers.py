"""Guarantee P1: no memory stays reserved for a disconnected caller."""

from __future__ import annotations

import unittest

from standins import launcher
from tests.support.calls import start_call
from tests.support.fleets import (
    RELEASE_LIMIT_S,
    assert_released,
    count_reserved_pieces,
    make_plan,
    running_fleet,
)

_ENGINES = ("decode-1", "decode-2", "prefill-1", "prefill-2")
_DECODE = _ENGINES[:2]


class DisconnectedCallerTest(unittest.TestCase):
    def setUp(self) -> None:
        plan = make_plan(
            entries=2,
            token_gap_ms=20,
            engine_options=("--prefill-tokens-per-s", "2000"),
        )
        self.fleet = self.enterContext(running_fleet(plan))

    def test_caller_disconnected_mid_stream_releases_memory(self) -> None:
        """Guards against generation for a caller that has disconnected."""
        for reset in (False, True):
            calls = [
                start_call(entry, f"p{number}", 1000)
                for number in range(3)
                for entry in self.fleet.entries
            ]
            for call in calls:
                call.wait_for_tokens(2)
            self.assertEqual(count_reserved_pieces(self.fleet, _DECODE), 6)
            for call in calls:
                call.disconnect(reset)
            assert_released(self, self.fleet, _DECODE)

    def test_caller_disconnected_mid_prefill_releases_memory(self) -> None:
        """Guards against a cancellation that waits for the prefill."""
        # 20,000 tokens take 10 s to prefill.
        calls = [
            start_call(entry, f"{number}" * 80_000)
            for number, entry in enumerate(self.fleet.entries)
        ]
        processes = self.fleet.processes_by_name
        launcher.wait_until(
            lambda: (
                sum(
                    processes[name].call("GET", "/load").json()["running"]
                    for name in _ENGINES[2:]
                )
                >= 1
                and count_reserved_pieces(self.fleet, _DECODE) > 0
            ),
            "a prefill is running",
        )
        for call in calls:
            call.disconnect()
        assert_released(self, self.fleet, _DECODE)
        launcher.wait_until(
            lambda: (
                not any(
                    processes[name].call("GET", "/load").json()["running"]
                    for name in _ENGINES[2:]
                )
            ),
            "the prefill was cancelled",
            RELEASE_LIMIT_S,
        )
