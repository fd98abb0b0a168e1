"""P3 when open connections go silent, and when a caller reads slowly."""

from __future__ import annotations

import unittest

from burdockspan.configuration.document import Policy
from standins import launcher, tokens
from tests.support.calls import RunningCall, start_call
from tests.support.fleets import (
    assert_released,
    count_reserved_pieces,
    make_configuration,
    make_plan,
    running_fleet,
)

_DECODE = ("decode-1", "decode-2")
_ENGINES = (*_DECODE, "prefill-1", "prefill-2")


class SilentConnectionTest(unittest.TestCase):
    def setUp(self) -> None:
        plan = make_plan(entries=2, token_gap_ms=10)
        policy = Policy(first_byte_timeout_s=1.0)
        self.fleet = self.enterContext(
            running_fleet(plan, make_configuration(policy))
        )

    def test_silent_idle_connections_cost_no_answer(self) -> None:
        """Guards against pooled connections that a firewall has dropped."""
        for number in range(4):
            for entry in self.fleet.entries:
                self.assert_whole(start_call(entry, f"warm {number}", 3))
        self.silence()
        calls = [
            start_call(entry, f"p{number}", 20, stream=number % 2 == 0)
            for number in range(4)
            for entry in self.fleet.entries
        ]
        for call in calls:
            self.assert_whole(call)
        assert_released(self, self.fleet, _DECODE)

    def test_silent_stream_is_resumed(self) -> None:
        """Guards against lost or repeated tokens in a resumed stream."""
        calls = [
            start_call(entry, f"p{number}", 200)
            for number in range(4)
            for entry in self.fleet.entries
        ]
        for call in calls:
            call.wait_for_tokens(5)
        self.silence()
        for call in calls:
            self.assert_whole(call)
        assert_released(self, self.fleet, _DECODE)

    def test_slow_reader_gets_its_whole_answer(self) -> None:
        """Guards against a caller that pauses being taken for gone."""
        call = start_call(self.fleet.entries[0], "slow", 300)
        call.wait_for_tokens(5)
        call.pause()
        launcher.wait_until(
            lambda: count_reserved_pieces(self.fleet, _DECODE) == 0,
            "the engine has finished at its own pace",
        )
        self.assertFalse(call.outcome.is_complete)
        call.resume()
        self.assert_whole(call)

    def silence(self) -> None:
        for name in _ENGINES:
            self.fleet.processes_by_name[name].set_faults(silent_open=True)

    def assert_whole(self, call: RunningCall) -> None:
        ended = call.wait()
        self.assertTrue(ended.is_complete, ended)
        self.assertEqual(ended.text, tokens.expected_text(call.body))
