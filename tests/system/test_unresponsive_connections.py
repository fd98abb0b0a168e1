"""Guarantee P3 with unresponsive connections and with a slow caller."""

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


class UnresponsiveConnectionTest(unittest.TestCase):
    def setUp(self) -> None:
        plan = make_plan(entries=2, token_gap_ms=10)
        policy = Policy(first_byte_timeout_s=1.0)
        self.fleet = self.enterContext(
            running_fleet(plan, make_configuration(policy))
        )

    def test_unresponsive_idle_connections_lose_no_response(self) -> None:
        """Guards against reuse of connections that a firewall has dropped."""
        for number in range(4):
            for entry in self.fleet.entries:
                self.assert_complete(start_call(entry, f"warm {number}", 3))
        self.make_unresponsive()
        calls = [
            start_call(entry, f"p{number}", 20, stream=number % 2 == 0)
            for number in range(4)
            for entry in self.fleet.entries
        ]
        for call in calls:
            self.assert_complete(call)
        assert_released(self, self.fleet, _DECODE)

    def test_unresponsive_stream_is_resumed(self) -> None:
        """Guards against lost or repeated tokens in a resumed stream."""
        calls = [
            start_call(entry, f"p{number}", 200)
            for number in range(4)
            for entry in self.fleet.entries
        ]
        for call in calls:
            call.wait_for_tokens(5)
        self.make_unresponsive()
        for call in calls:
            self.assert_complete(call)
        assert_released(self, self.fleet, _DECODE)

    def test_slow_caller_receives_its_complete_response(self) -> None:
        """Guards against a pausing caller that is treated as disconnected."""
        call = start_call(self.fleet.entries[0], "slow", 300)
        call.wait_for_tokens(5)
        call.pause()
        launcher.wait_until(
            lambda: count_reserved_pieces(self.fleet, _DECODE) == 0,
            "the engine has finished and released its memory",
        )
        self.assertFalse(call.result.is_complete)
        call.resume()
        self.assert_complete(call)

    def make_unresponsive(self) -> None:
        for name in _ENGINES:
            self.fleet.processes_by_name[name].set_faults(silent_open=True)

    def assert_complete(self, call: RunningCall) -> None:
        result = call.wait()
        self.assertTrue(result.is_complete, result)
        self.assertEqual(result.text, tokens.expected_text(call.body))
