"""Pauses that endpoints ask this VM for, with 503 and Retry-After.

After a pause, one request tries the endpoint before all others may. So neither
the requests that have waited at this VM nor those of many VMs arrive at once.
"""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Collection

from burdockspan.gateway.values import Endpoint, Incarnation
from burdockspan.placement.sampling import RandomFloat
from burdockspan.values.clock import Clock

# Bounds what a wrong value does. An endpoint that needs longer asks again.
MAX_PAUSE_S = 300.0
# A pause is extended by a random part of this share of it, so that the VMs do
# not return at the same moment.
_SPREAD_SHARE = 0.25
# Time limit of the request that tries an endpoint after a pause. Then another
# request may try it.
_TRIAL_S = 1.0


@dataclasses.dataclass(frozen=True)
class Pause:
    """A pause of one endpoint.

    Attributes:
      until_s: when the next request may be sent, in monotonic seconds.
      asked_until_s: end of the pause that the endpoint has asked for.
    """

    until_s: float
    asked_until_s: float


class EndpointPauses:
    """The endpoints that have asked this VM for a pause."""

    def __init__(self, clock: Clock, random_float: RandomFloat) -> None:
        self._clock = clock
        self._random_float = random_float
        self._lock = threading.Lock()
        self._pause_by_incarnation: dict[Incarnation, Pause] = {}

    def begin(self, endpoint: Endpoint, pause_s: float) -> None:
        """Records that an endpoint asks for a pause, from now on.

        A pause that ends later stays in force.
        """
        bounded_s = min(MAX_PAUSE_S, pause_s)
        spread_s = _SPREAD_SHARE * bounded_s * self._random_float()
        asked_until_s = self._clock() + bounded_s
        pause = Pause(asked_until_s + spread_s, asked_until_s)
        with self._lock:
            current = self._pause_by_incarnation.get(endpoint.incarnation)
            if current is None or current.asked_until_s < asked_until_s:
                self._pause_by_incarnation[endpoint.incarnation] = pause

    def record_answer(self, endpoint: Endpoint) -> bool:
        """Records an answer that asks for no pause; ends one that has run out.

        Returns:
          Whether a pause has ended.
        """
        with self._lock:
            pause = self._pause_by_incarnation.get(endpoint.incarnation)
            if pause is None or self._clock() < pause.asked_until_s:
                # The answer may be to a request from before the pause.
                return False
            del self._pause_by_incarnation[endpoint.incarnation]
            return True

    def wait_s(self, endpoint: Endpoint) -> float:
        """Returns the time until a request may be sent; 0 if it may be now."""
        pause = self._pause_by_incarnation.get(endpoint.incarnation)
        return 0.0 if pause is None else max(0.0, pause.until_s - self._clock())

    def try_take(self, endpoint: Endpoint) -> bool:
        """Returns whether a request may be sent; after a pause, only one."""
        key = endpoint.incarnation
        with self._lock:
            pause = self._pause_by_incarnation.get(key)
            if pause is None:
                return True
            now_s = self._clock()
            if now_s < pause.until_s:
                return False
            self._pause_by_incarnation[key] = dataclasses.replace(
                pause, until_s=now_s + _TRIAL_S
            )
            return True

    def forget_departed(self, present: Collection[Incarnation]) -> None:
        """Forgets the pauses of endpoints that are not present."""
        with self._lock:
            for key in list(self._pause_by_incarnation):
                if key not in present:
                    del self._pause_by_incarnation[key]


__all__ = ["MAX_PAUSE_S", "EndpointPauses", "Pause"]
