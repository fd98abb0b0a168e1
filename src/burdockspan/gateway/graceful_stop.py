"""The graceful stop: which requests a process still accepts after SIGTERM."""

from __future__ import annotations

import math

from burdockspan.gateway.values import RequestKind, Route
from burdockspan.values.clock import Clock

# The load balancer checks readiness once a second and takes a VM out of
# rotation after two failed checks. It sends new connections until then, and in
# an availability zone without another VM also afterwards.
LEAVE_ROTATION_S = 3.0
# Time after SIGTERM during which new streams are accepted. Streams last for
# seconds, so a stream that starts later might outlast the process.
_STREAM_ACCEPT_S = 2.5
# Part of the grace period for closing connections and writing the log.
_CLOSE_RESERVE_S = 0.5
# Last part of the stop, in which connections close after their next answer even
# if others are in use.
_LAST_ANSWERS_S = 0.3


class GracefulStop:
    """State of the graceful stop of a process.

    Attributes:
      deadline_s: when the process stops serving at the latest, in monotonic
        seconds; infinite before the stop.
    """

    def __init__(self, grace_s: float, clock: Clock) -> None:
        self._grace_s = grace_s
        self._clock = clock
        self._started_s = math.inf
        self.deadline_s = math.inf

    @property
    def has_begun(self) -> bool:
        """Whether the stop has begun."""
        return self._started_s < math.inf

    def set_grace_s(self, grace_s: float) -> None:
        """Changes the grace period, unless the stop has begun."""
        self._grace_s = grace_s

    def begin(self) -> None:
        """Begins the stop; later calls have no effect."""
        if not self.has_begun:
            self._started_s = self._clock()
            remaining_s = max(0.0, self._grace_s - _CLOSE_RESERVE_S)
            self.deadline_s = self._started_s + remaining_s

    def has_left_rotation(self) -> bool:
        """Returns whether the load balancer has taken this VM out."""
        return self._clock() >= self._started_s + LEAVE_ROTATION_S

    def has_last_answers(self) -> bool:
        """Returns whether connections close as soon as they are idle."""
        return self._clock() >= self.deadline_s - _LAST_ANSWERS_S

    def accepts(self, route: Route, deadline_s: float) -> bool:
        """Returns whether a new request can end before the process does.

        Args:
          route: route of the request.
          deadline_s: deadline of the request, in monotonic seconds.
        """
        if not self.has_begun:
            return True
        if route.kind is RequestKind.STREAM:
            return self._clock() < self._started_s + _STREAM_ACCEPT_S
        return deadline_s <= self.deadline_s


__all__ = ["LEAVE_ROTATION_S", "GracefulStop"]
