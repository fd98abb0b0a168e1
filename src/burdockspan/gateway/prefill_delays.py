"""How long prompts lately queued at each prefill engine, and what follows.

The load is that of a pool that lost prefill engines: the last one gets more
prompts than it can read, and each of them would be late. A decode engine can
read prompts as well, but that delays its streams by the time of the reading.
"""

from __future__ import annotations

import math
import threading

from burdockspan.gateway.state import Incarnation
from burdockspan.gateway.values import Endpoint, Route

# What one prompt met is worth little for one that comes after so long.
_HALF_LIFE_S = 0.25
# A queue below this is that of a burst, and ends by itself.
_SHORT_QUEUE_S = 0.2
# Beyond this share of the objective in the queue, a generation is late.
_LONG_QUEUE_SHARE = 0.5
# A decode engine reads prompts at half the speed of a prefill engine.
_DECODER_SPEED = 0.5
# Share of the gap objective that streams may be delayed by one prompt; the rest
# is the time of an event and of a second prompt that comes at once.
_GAP_SHARE = 0.6


class PrefillDelays:
    """Waits that this VM's own prompts met, by engine."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_incarnation: dict[Incarnation, tuple[float, float]] = {}

    def record(self, endpoint: Endpoint, delay_s: float, now_s: float) -> None:
        """Notes how long a prompt waited that has just been read."""
        with self._lock:
            self._by_incarnation[endpoint.incarnation] = (delay_s, now_s)

    def expected_delay_s(self, endpoint: Endpoint, now_s: float) -> float:
        """Returns how long a prompt is expected to wait there."""
        held = self._by_incarnation.get(endpoint.incarnation)
        if held is None:
            return 0.0
        delay_s, at_s = held
        return delay_s * math.pow(0.5, max(0.0, now_s - at_s) / _HALF_LIFE_S)


def should_decoder_prefill(
    route: Route, tokens: int, speed: float, delay_s: float
) -> bool:
    """Returns whether the decode engine should read a prompt itself.

    Args:
      route: route of the generation.
      tokens: length of the prompt.
      speed: prompt tokens per second that a prefill engine reads; 0 if unknown.
      delay_s: expected wait at the best prefill engine, in seconds.
    """
    if speed <= 0 or delay_s <= _SHORT_QUEUE_S:
        return False
    if delay_s > _LONG_QUEUE_SHARE * route.objective_s:
        return True
    read_s = tokens / (_DECODER_SPEED * speed)
    return read_s <= _GAP_SHARE * route.gap_objective_s


__all__ = ["PrefillDelays", "should_decoder_prefill"]
