"""Time limits of one call to an endpoint."""

from __future__ import annotations

import enum
import math
from collections.abc import Callable

from burdockspan.values.clock import Clock

# A socket timeout of 0 would mean non-blocking mode.
_MIN_WAIT_S = 0.001

OnSilence = Callable[[], float | None]
"""Called when an endpoint has sent nothing for the limit of silence.

Returns the time to wait on before it is called again, in seconds; None to end
the call.
"""


class TimeLimit(enum.Enum):
    """Which limit ended a call.

    DEADLINE: the time for the whole call.
    SILENCE: the time without a byte of the endpoint.
    """

    DEADLINE = "deadline"
    SILENCE = "silence"


class CallTimer:
    """Bounds all waits of one call.

    Every wait ends at the deadline, whatever the endpoint sends meanwhile. A
    wait for data may end earlier, after a limit of silence.

    Attributes:
      deadline_s: when the call ends at the latest, in monotonic seconds.
      silence_limit_s: limit of the time without a byte, in seconds.
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
        self.silence_limit_s = silence_limit_s
        self.on_silence = on_silence
        self.ended_by: TimeLimit | None = None

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
        silence_limit_s = self.silence_limit_s
        while True:
            remaining_s = self.remaining_s()
            limit_s = min(remaining_s, max(_MIN_WAIT_S, silence_limit_s))
            try:
                return wait(None if math.isinf(limit_s) else limit_s)
            except TimeoutError:
                if limit_s == remaining_s:
                    continue
                next_limit_s = self.on_silence()
            if next_limit_s is None:
                raise self._end(
                    TimeLimit.SILENCE, f"no data for {silence_limit_s:.3g} s"
                )
            silence_limit_s = next_limit_s

    def _end(self, limit: TimeLimit, detail: str) -> TimeoutError:
        self.ended_by = limit
        return TimeoutError(detail)


__all__ = ["CallTimer", "OnSilence", "TimeLimit"]
