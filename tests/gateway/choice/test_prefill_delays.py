"""Prompts that queue at the last prefill engine of a pool.

Of four prefill engines, two were changed to decoding and one was lost. Nine
prompts of 5,200 tokens then arrived each second at the remaining engine, which
prefills ten a second, and bursts doubled the load. For forty seconds, half of
the streams had a late first event, although decode engines had free capacity.
"""

from __future__ import annotations

import unittest

from burdockspan.gateway.choice.prefill_delays import (
    PrefillDelays,
    should_decode_engine_prefill,
)
from burdockspan.gateway.values import Endpoint, Stage
from tests.gateway.admission.test_bursts import ROUTE

_ENGINE_TOKENS_PER_S = 50_000.0
_ENGINE = Endpoint(
    "i-1", 1, "llm", "10.0.0.1:80", "zone-a", False, 64, Stage.PREFILL
)


class TestPrefillDelays(unittest.TestCase):
    def test_idle_prefill_engine_gets_all_prompts(self) -> None:
        """Guards against delayed streams while prefill engines are idle."""
        for tokens in (100, 5_200, 11_000):
            self.assertFalse(
                should_decode_engine_prefill(
                    ROUTE, tokens, _ENGINE_TOKENS_PER_S, 0.1
                )
            )

    def test_decode_engine_gets_short_prompts_during_a_queue(self) -> None:
        """Guards against a queue that grows until all generations are late."""
        self.assertTrue(
            should_decode_engine_prefill(
                ROUTE, 4_000, _ENGINE_TOKENS_PER_S, 0.3
            )
        )

    def test_prefill_engine_gets_long_prompts_during_a_short_queue(
        self,
    ) -> None:
        """Guards against gaps above the objective because of a short queue."""
        self.assertFalse(
            should_decode_engine_prefill(
                ROUTE, 5_200, _ENGINE_TOKENS_PER_S, 0.3
            )
        )

    def test_decode_engine_gets_all_prompts_during_a_long_queue(self) -> None:
        """Guards against generations that wait until they are late."""
        self.assertTrue(
            should_decode_engine_prefill(
                ROUTE, 11_000, _ENGINE_TOKENS_PER_S, 0.5
            )
        )

    def test_prefill_engine_gets_prompts_if_its_rate_is_unknown(self) -> None:
        """Guards against a decision without a measurement."""
        self.assertFalse(should_decode_engine_prefill(ROUTE, 4_000, 0.0, 9.0))

    def test_expected_delay_decays(self) -> None:
        """Guards against a prefill engine that stays unused after a burst."""
        delays = PrefillDelays()
        self.assertEqual(delays.expected_delay_s(_ENGINE, 10.0), 0.0)
        delays.record(_ENGINE, 0.8, 10.0)
        self.assertEqual(delays.expected_delay_s(_ENGINE, 10.0), 0.8)
        self.assertLess(delays.expected_delay_s(_ENGINE, 10.6), 0.2)
        delays.record(_ENGINE, 0.0, 10.1)
        self.assertEqual(delays.expected_delay_s(_ENGINE, 10.1), 0.0)
