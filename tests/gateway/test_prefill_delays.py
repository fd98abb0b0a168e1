"""Prompts that queue at the last prefill engines of a pool.

The load is that of a day on which a pool of four prefill engines had given two
to decoding and lost one: nine prompts of 5,200 tokens a second came to an
engine that reads ten, and bursts doubled that. Half of the streams had their
first event late for forty seconds, while decode engines had time.
"""

from __future__ import annotations

import unittest

from burdockspan.gateway.prefill_delays import (
    PrefillDelays,
    should_decoder_prefill,
)
from burdockspan.gateway.values import Endpoint, Stage
from tests.gateway.test_bursts import ROUTE

_SPEED = 50_000.0
_ENGINE = Endpoint(
    "i-1", 1, "llm", "10.0.0.1:80", "zone-a", False, 64, Stage.PREFILL
)


class TestPrefillQueues(unittest.TestCase):
    def test_idle_prefill_engine_reads_all_prompts(self) -> None:
        """Guards against delayed streams beside idle prefill engines."""
        for tokens in (100, 5_200, 11_000):
            self.assertFalse(should_decoder_prefill(ROUTE, tokens, _SPEED, 0.1))

    def test_queue_leaves_short_prompts_to_decoders(self) -> None:
        """Guards against a queue that grows until all are late."""
        self.assertTrue(should_decoder_prefill(ROUTE, 4_000, _SPEED, 0.3))

    def test_long_prompt_keeps_streams_within_their_objective(self) -> None:
        """Guards against pauses above the objective for a short queue."""
        self.assertFalse(should_decoder_prefill(ROUTE, 5_200, _SPEED, 0.3))

    def test_long_queue_gets_no_more_prompts(self) -> None:
        """Guards against generations that wait until they are late."""
        self.assertTrue(should_decoder_prefill(ROUTE, 11_000, _SPEED, 0.5))

    def test_unknown_speed_leaves_prompts_to_prefill(self) -> None:
        """Guards against a decision on no measurement."""
        self.assertFalse(should_decoder_prefill(ROUTE, 4_000, 0.0, 9.0))

    def test_old_queue_is_forgotten(self) -> None:
        """Guards against a prefill engine that stays unused after a burst."""
        prefill_delays = PrefillDelays()
        self.assertEqual(prefill_delays.expected_delay_s(_ENGINE, 10.0), 0.0)
        prefill_delays.record(_ENGINE, 0.8, 10.0)
        self.assertEqual(prefill_delays.expected_delay_s(_ENGINE, 10.0), 0.8)
        self.assertLess(prefill_delays.expected_delay_s(_ENGINE, 10.6), 0.2)
        prefill_delays.record(_ENGINE, 0.0, 10.1)
        self.assertEqual(prefill_delays.expected_delay_s(_ENGINE, 10.1), 0.0)
