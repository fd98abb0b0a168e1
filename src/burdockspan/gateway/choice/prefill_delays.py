"""Queueing delays at prefill engines, and when a decode engine prefills.

After a pool has lost prefill engines, the remaining ones may receive more
prompts than they can process, so that all generations become late. A decode
engine can prefill a prompt as well, but this delays its streams by the duration
of the prefill.
"""

from __future__ import annotations

import math
import threading

from burdockspan.gateway.state import Incarnation
from burdockspan.gateway.values import Endpoint, Route

# The delay of one prompt soon says little about the delay of the next.
_HALF_LIFE_S = 0.25
# A shorter queue comes from a burst and drains without intervention.
_SHORT_QUEUE_S = 0.2
# A generation that spends more than this share of its objective in the queue is
# late.
_LONG_QUEUE_SHARE = 0.5
# A decode engine prefills at half the speed of a prefill engine.
_DECODE_ENGINE_SPEED_FACTOR = 0.5
# Share of the gap objective by which the prefill of one prompt may delay the
# streams of a decode engine. The rest is left for decoding the next event, and
# for a second prompt that arrives at the same time.
_GAP_SHARE = 0.6


class PrefillDelays:
    """Queueing delays of this VM's own prompts, by engine."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_incarnation: dict[Incarnation, tuple[float, float]] = {}

    def record(self, endpoint: Endpoint, delay_s: float, now_s: float) -> None:
        """Records the queueing delay of a prompt whose prefill has ended."""
        with self._lock:
            self._by_incarnation[endpoint.incarnation] = (delay_s, now_s)

    def expected_delay_s(self, endpoint: Endpoint, now_s: float) -> float:
        """Returns the expected queueing delay of a prompt at an engine."""
        recorded = self._by_incarnation.get(endpoint.incarnation)
        if recorded is None:
            return 0.0
        delay_s, recorded_s = recorded
        return delay_s * math.pow(
            0.5, max(0.0, now_s - recorded_s) / _HALF_LIFE_S
        )


def should_decode_engine_prefill(
    route: Route, tokens: int, engine_tokens_per_s: float, delay_s: float
) -> bool:
    """Returns whether the decode engine should prefill a prompt itself.

    Args:
      route: route of the generation.
      tokens: length of the prompt.
      engine_tokens_per_s: prompt tokens per second that a prefill engine
        processes; 0 if unknown.
      delay_s: expected queueing delay at the best prefill engine.
    """
    if engine_tokens_per_s <= 0 or delay_s <= _SHORT_QUEUE_S:
        return False
    if delay_s > _LONG_QUEUE_SHARE * route.objective_s:
        return True
    prefill_s = tokens / (_DECODE_ENGINE_SPEED_FACTOR * engine_tokens_per_s)
    return prefill_s <= _GAP_SHARE * route.gap_objective_s


__all__ = ["PrefillDelays", "should_decode_engine_prefill"]
