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
class Ticket:
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


def is_second_attempt(call: InboundCall, route: Route) -> bool:
    """Returns whether a caller seems to come back after a refusal."""
    return call.patience_s < _FIRST_ATTEMPT_SHARE * route.timeout_s


class WaitingLine:
    """Generations of one service, of which only the first asks for room."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self._tickets: dict[int, Ticket] = {}
        self._numbers = 0

    def wait(
        self,
        late: bool,
        arrived_s: float,
        until_s: float,
        ask: Callable[[], T | None],
        gone: Callable[[], bool],
    ) -> T | None:
        """Waits for room.

        Args:
          late: whether the request can no longer meet its objective.
          arrived_s: when it arrived.
          until_s: when to give up.
          ask: takes room; returns None if there is none.
          gone: whether the caller has left.

        Returns:
          What `ask` returned, or None after giving up.
        """
        ticket = self._enter(late, arrived_s)
        try:
            while not gone():
                if self._is_first(ticket):
                    found = ask()
                    if found is not None:
                        return found
                left_s = until_s - self._clock()
                if left_s <= 0:
                    return None
                with self._changed:
                    self._changed.wait(min(_POLL_S, left_s))
            return None
        finally:
            with self._changed:
                del self._tickets[ticket.number]
                self._changed.notify_all()

    def notify(self) -> None:
        """Tells the line that there may be room, or that a caller left."""
        with self._changed:
            self._changed.notify_all()

    def length(self) -> int:
        """Returns how many generations wait."""
        return len(self._tickets)

    def _enter(self, late: bool, arrived_s: float) -> Ticket:
        with self._changed:
            self._numbers += 1
            ticket = Ticket(late, arrived_s, self._numbers)
            self._tickets[ticket.number] = ticket
            return ticket

    def _is_first(self, ticket: Ticket) -> bool:
        with self._changed:
            tickets = self._tickets.values()
            return all(ticket.rank <= other.rank for other in tickets)


class WaitingLines:
    """The lines of a process, by service."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._line_by_service: dict[str, WaitingLine] = {}

    def of(self, service: str) -> WaitingLine:
        """Returns the line of a service."""
        with self._lock:
            line = self._line_by_service.get(service)
            if line is None:
                line = WaitingLine(self._clock)
                self._line_by_service[service] = line
            return line


__all__ = ["Ticket", "WaitingLine", "WaitingLines", "is_second_attempt"]
