"""Generations that wait for decode memory, in one line for each service."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable
from typing import TypeVar

from burdockspan.gateway.values import InboundCall, Route
from burdockspan.values.clock import Clock

T = TypeVar("T")

# Room that other VMs give back is noticed by asking; the own ends of runs wake
# the line at once.
_POLL_S = 0.1
# Callers wait for most of the timeout. One that waits for less than this share
# was refused before: its wait and the time to its return are spent.
_FIRST_ATTEMPT_SHARE = 0.82


@dataclasses.dataclass(frozen=True)
class QueuedGeneration:
    """One waiting generation.

    Attributes:
      late: whether it can no longer meet its objective; those that can go
        first.
      arrived_s: when it arrived; within a group, the first goes first.
      number: distinguishes tickets.
    """

    late: bool
    arrived_s: float
    number: int

    @property
    def rank(self) -> tuple[bool, float, int]:
        """Order in the line, least first."""
        return self.late, self.arrived_s, self.number


def is_retry_after_refusal(call: InboundCall, route: Route) -> bool:
    """Returns whether a caller seems to come back after a refusal."""
    return call.caller_timeout_s < _FIRST_ATTEMPT_SHARE * route.timeout_s


class AdmissionQueue:
    """Generations of one service, of which only the first asks for room."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self._queued: dict[int, QueuedGeneration] = {}
        self._numbers = 0

    def wait(
        self,
        late: bool,
        arrived_s: float,
        until_s: float,
        try_reserve: Callable[[], T | None],
        has_gone: Callable[[], bool],
    ) -> T | None:
        """Waits for room.

        Args:
          late: whether the request can no longer meet its objective.
          arrived_s: when it arrived.
          until_s: when to give up.
          try_reserve: takes room; returns None if there is none.
          has_gone: whether the caller has left.

        Returns:
          What `ask` returned, or None after giving up.
        """
        queued = self._enqueue(late, arrived_s)
        try:
            while not has_gone():
                if self._is_first(queued):
                    found = try_reserve()
                    if found is not None:
                        return found
                remaining_s = until_s - self._clock()
                if remaining_s <= 0:
                    return None
                with self._changed:
                    self._changed.wait(min(_POLL_S, remaining_s))
            return None
        finally:
            with self._changed:
                del self._queued[queued.number]
                self._changed.notify_all()

    def wake(self) -> None:
        """Tells the line that there may be room, or that a caller left."""
        with self._changed:
            self._changed.notify_all()

    def length(self) -> int:
        """Returns how many generations wait."""
        return len(self._queued)

    def _enqueue(self, late: bool, arrived_s: float) -> QueuedGeneration:
        with self._changed:
            self._numbers += 1
            queued = QueuedGeneration(late, arrived_s, self._numbers)
            self._queued[queued.number] = queued
            return queued

    def _is_first(self, queued: QueuedGeneration) -> bool:
        with self._changed:
            queued_generations = self._queued.values()
            return all(
                queued.rank <= other.rank for other in queued_generations
            )


class AdmissionQueues:
    """The lines of a process, by service."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._queue_by_service: dict[str, AdmissionQueue] = {}

    def for_service(self, service: str) -> AdmissionQueue:
        """Returns the line of a service."""
        with self._lock:
            queue = self._queue_by_service.get(service)
            if queue is None:
                queue = AdmissionQueue(self._clock)
                self._queue_by_service[service] = queue
            return queue


__all__ = [
    "QueuedGeneration",
    "AdmissionQueue",
    "AdmissionQueues",
    "is_retry_after_refusal",
]
