"""Time limits of one call to an endpoint."""

from __future__ import annotations

import enum
import math
from collections.abc import Callable

from burdockspan.values.clock import Clock

# A socket timeout of 0 would mean non-blocking mode.
_MIN_WAIT_S = 0.001
# A process that was suspended for longer than the limit of silence may have
# data to read. It has this time to read a part before the endpoint counts as
# silent.
_CATCH_UP_S = 0.05

OnSilence = Callable[[], float | None]
"""Called when an endpoint has sent no whole part for the limit of silence.

Returns the time to wait on before it is called again, in seconds; None to end
the call.
"""


class TimeLimit(enum.Enum):
    """Which limit ended a call.

    DEADLINE: the time for the whole call.
    SILENCE: the time without a whole part of the response.
    """

    DEADLINE = "deadline"
    SILENCE = "silence"


class CallTimer:
    """Bounds all waits of one call.

    Every wait ends at the deadline, whatever the endpoint sends meanwhile. A
    wait for data may end earlier, if no whole part of the response, that is its
    head or a part of its body, has come within a limit of silence.

    Attributes:
      deadline_s: when the call ends at the latest, in monotonic seconds.
      on_silence: decides whether a silent call ends.
      ended_by: the limit that has ended the call; None before.
    """

    def __init__(
        self,
        clock: Clock,
        time_limit_s: float = math.inf,
        silence_limit_s: float = math.inf,
        on_silence: OnSilence = lambda: None,
    ) -> None:
        self._clock = clock
        self.deadline_s = clock() + time_limit_s
        self.restart_silence(silence_limit_s)
        self.on_silence = on_silence
        self.ended_by: TimeLimit | None = None

    def restart_silence(self, limit_s: float) -> None:
        """Waits for the next part, for at most a limit in seconds."""
        self._silent_since_s = self._clock()
        self._wait_on(limit_s)

    def _wait_on(self, limit_s: float) -> None:
        self._silence_ends_s = self._clock() + limit_s
        self._catches_up = False

    def remaining_s(self) -> float:
        """Returns the time until the deadline, in seconds.

        Raises:
          TimeoutError: the deadline has passed.
        """
        remaining_s = self.deadline_s - self._clock()
        if remaining_s <= 0:
            raise self._end(TimeLimit.DEADLINE, "the call exceeded its time")
        return max(_MIN_WAIT_S, remaining_s)

    def send_limit_s(self) -> float | None:
        """Returns the limit of a wait for the endpoint to read.

        An endpoint that reads slowly is not silent: only the deadline counts.

        Raises:
          TimeoutError: the deadline has passed.
        """
        remaining_s = self.remaining_s()
        return None if math.isinf(remaining_s) else remaining_s

    def wait_for_data(self, wait: Callable[[float | None], int]) -> int:
        """Waits for data until the call ends.

        Args:
          wait: waits for at most a time in seconds, or without a limit if it
            is None; raises TimeoutError if there was no data.

        Returns:
          What `wait` returned.

        Raises:
          TimeoutError: the call has ended.
        """
        while True:
            remaining_s = self.remaining_s()
            silence_s = self._silence_remaining_s()
            if silence_s > 0:
                limit_s = min(remaining_s, max(_MIN_WAIT_S, silence_s))
                try:
                    return wait(None if math.isinf(limit_s) else limit_s)
                except TimeoutError:
                    if limit_s == remaining_s:
                        continue
            next_limit_s = self.on_silence()
            if next_limit_s is None:
                silent_s = self._clock() - self._silent_since_s
                detail = f"no part of the response for {silent_s:.3g} s"
                raise self._end(TimeLimit.SILENCE, detail)
            self._wait_on(next_limit_s)

    def _silence_remaining_s(self) -> float:
        remaining_s = self._silence_ends_s - self._clock()
        if remaining_s <= 0 and not self._catches_up:
            self._catches_up = True
            self._silence_ends_s = self._clock() + _CATCH_UP_S
            return _CATCH_UP_S
        return remaining_s

    def _end(self, limit: TimeLimit, detail: str) -> TimeoutError:
        self.ended_by = limit
        return TimeoutError(detail)


__all__ = ["CallTimer", "OnSilence", "TimeLimit"]
