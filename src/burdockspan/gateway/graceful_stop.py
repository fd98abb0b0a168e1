"""Which requests a process still takes after SIGTERM."""

from __future__ import annotations

import math

from burdockspan.gateway.values import RequestKind, Route
from burdockspan.values.clock import Clock

# The load balancer asks once a second and takes a VM out after two misses;
# until then it still sends new connections. In a zone without another VM it
# never stops.
LEAVE_ROTATION_S = 3.0
# A stream lasts for seconds; one that began this long after SIGTERM may not end
# before the process does.
_STREAMS_S = 2.5
# Left of the grace time for closing connections and writing the log.
_CLOSING_S = 0.5


class GracefulStop:
    """The graceful stop of a process.

    Attributes:
      deadline_s: when the process ends at the latest, monotonic seconds;
        infinite before the stop.
    """

    def __init__(self, grace_s: float, clock: Clock) -> None:
        self._grace_s = grace_s
        self._clock = clock
        self._begun_s = math.inf
        self.deadline_s = math.inf

    @property
    def begun(self) -> bool:
        """Whether the process is to stop."""
        return self._begun_s < math.inf

    def begin(self) -> None:
        """Begins the stop; further calls change nothing."""
        if not self.begun:
            self._begun_s = self._clock()
            remaining_s = max(0.0, self._grace_s - _CLOSING_S)
            self.deadline_s = self._begun_s + remaining_s

    def has_left_rotation(self) -> bool:
        """Returns whether the load balancer has noticed."""
        return self._clock() >= self._begun_s + LEAVE_ROTATION_S

    def accepts(self, route: Route, deadline_s: float) -> bool:
        """Returns whether a new request can end before the process does.

        Args:
          route: its route.
          deadline_s: when its final answer is due, monotonic seconds.
        """
        if not self.begun:
            return True
        if route.kind is RequestKind.STREAM:
            return self._clock() < self._begun_s + _STREAMS_S
        return deadline_s <= self.deadline_s


__all__ = ["LEAVE_ROTATION_S", "GracefulStop"]
