"""What the VMs tell each other about generations that wait for memory."""

from __future__ import annotations

import dataclasses
import math
import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from result import Err, Ok, Result

from burdockspan.gateway.admission.precedence import Precedence
from burdockspan.gateway.fleet.exchange import Received
from burdockspan.values.clock import Clock

TOPIC = "waiting"
# A statement is in force for this time. Generations wait for about as long.
_MAX_AGE_S = 1.5
_MAX_SERVICES = 16
_MAX_PRIORITIES = 10
_FIELDS = 3


@dataclasses.dataclass(frozen=True)
class Waiting:
    """The generations of one priority that wait at a VM.

    Attributes:
      priority: 0 is the most urgent.
      count: how many wait that can still meet their objective.
      oldest_s: how long the first of them has waited.
    """

    priority: int
    count: int
    oldest_s: float


WaitingByService = Mapping[str, tuple[Waiting, ...]]


@dataclasses.dataclass(frozen=True)
class _Statement:
    waiting_by_service: WaitingByService
    received_s: float


class FleetWaiting:
    """The latest statements of the other VMs."""

    def __init__(
        self, boot_clock: Clock, interval_s: Callable[[], float]
    ) -> None:
        """Starts without statements.

        Args:
          boot_clock: clock that includes time suspended, in seconds.
          interval_s: returns the time between two statuses of a VM.
        """
        self._boot_clock = boot_clock
        self._interval_s = interval_s
        self._lock = threading.Lock()
        self._statement_by_vm: dict[str, _Statement] = {}

    def receive(self, received: Received) -> Result[None, str]:
        """Applies the statement of another VM.

        One that may have waited in a buffer while this VM was suspended is
        dropped. The proof of its age is older than itself by the time between
        two statuses.
        """
        decoded = _decode(received.value)
        if isinstance(decoded, Err):
            return decoded
        now_s = self._boot_clock()
        max_age_s = _MAX_AGE_S + self._interval_s()
        sent_after_s = received.sent_after_s
        with self._lock:
            if sent_after_s is None or now_s - sent_after_s > max_age_s:
                self._statement_by_vm.pop(received.vm, None)
            else:
                self._statement_by_vm[received.vm] = _Statement(
                    decoded.ok_value, now_s
                )
        return Ok(None)

    def interval_s(self) -> float:
        """Returns the time between two statuses of a VM."""
        return self._interval_s()

    def most_urgent(self, service: str) -> int | None:
        """Returns the most urgent priority that waits at another VM.

        Returns:
          The priority; None if no recent statement names one.
        """
        now_s = self._boot_clock()
        with self._lock:
            stale = [
                vm
                for vm, statement in self._statement_by_vm.items()
                if now_s - statement.received_s > _MAX_AGE_S
            ]
            for vm in stale:
                del self._statement_by_vm[vm]
            return min(
                (
                    waiting.priority
                    for statement in self._statement_by_vm.values()
                    for waiting in statement.waiting_by_service.get(service, ())
                ),
                default=None,
            )


class HoldBack:
    """Decides when a VM leaves memory to the others; not thread-safe.

    While more urgent generations wait at other VMs, the first one here requests
    memory once in the interval of statuses. This finds out when memory is no
    longer scarce. The interval grows with the fleet, so that all VMs together
    do not take the memory that they leave.
    """

    def __init__(
        self,
        clock: Clock,
        most_urgent_elsewhere: Callable[[], int | None],
        interval_s: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._most_urgent_elsewhere = most_urgent_elsewhere
        self._interval_s = interval_s
        self._asked_s = -math.inf

    def may_ask(
        self, precedence: Precedence, is_late: bool, is_starved: bool
    ) -> bool:
        """Returns whether the first generation of a VM may request memory."""
        if not precedence.is_ordered:
            return True
        elsewhere = self._most_urgent_elsewhere()
        if elsewhere is None:
            return True
        if not is_late and (precedence.priority <= elsewhere or is_starved):
            return True
        now_s = self._clock()
        if now_s - self._asked_s < self._interval_s():
            return False
        self._asked_s = now_s
        return True


def encode(waiting_by_service: WaitingByService) -> dict[str, Any]:
    """Returns a statement as a JSON value."""
    return {
        service: [
            [item.priority, item.count, round(item.oldest_s, 2)]
            for item in waiting
        ]
        for service, waiting in list(waiting_by_service.items())[:_MAX_SERVICES]
    }


def _decode(value: Any) -> Result[WaitingByService, str]:
    if not isinstance(value, dict) or len(value) > _MAX_SERVICES:
        return Err("not an object of few services")
    waiting_by_service = {}
    for service, items in value.items():
        if not isinstance(items, list) or len(items) > _MAX_PRIORITIES:
            return Err("not a list of few priorities")
        if not all(_is_valid(item) for item in items):
            return Err("not a priority, a count and a time")
        waiting_by_service[service] = tuple(
            Waiting(item[0], item[1], float(item[2])) for item in items
        )
    return Ok(waiting_by_service)


def _is_valid(item: Any) -> bool:
    return (
        isinstance(item, list)
        and len(item) == _FIELDS
        and all(
            isinstance(number, int | float) and not isinstance(number, bool)
            for number in item
        )
        and isinstance(item[0], int)
        and isinstance(item[1], int)
        and item[1] > 0
    )


def group_waiting(
    waits: Iterable[tuple[int, float]],
) -> tuple[Waiting, ...]:
    """Groups pairs of priority and time waited, in seconds, by priority."""
    waited_by_priority: dict[int, list[float]] = {}
    for priority, waited_s in waits:
        waited_by_priority.setdefault(priority, []).append(waited_s)
    return tuple(
        Waiting(priority, len(waited), max(waited))
        for priority, waited in sorted(waited_by_priority.items())
    )[:_MAX_PRIORITIES]


__all__ = [
    "TOPIC",
    "FleetWaiting",
    "HoldBack",
    "Waiting",
    "WaitingByService",
    "encode",
    "group_waiting",
]
