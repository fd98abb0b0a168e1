"""Queues of generations that wait for decode memory, one for each service."""

from __future__ import annotations

import collections
import dataclasses
import threading
from collections.abc import Callable, Mapping
from typing import TypeVar

from burdockspan.gateway.admission.fleet_waiting import (
    FleetWaiting,
    HoldBack,
    Statement,
    group_waiting,
)
from burdockspan.gateway.admission.precedence import (
    UNORDERED,
    Precedence,
    Rank,
    ServiceOrder,
)
from burdockspan.gateway.values import InboundCall, Route
from burdockspan.values.clock import Clock

T = TypeVar("T")

# Memory that other VMs release is found by polling; the end of a generation of
# this VM wakes the queue at once.
_POLL_INTERVAL_S = 0.1
# A request for memory takes some milliseconds. One that has taken longer waits
# for a silent engine, and no longer keeps the others from asking other engines.
_TURN_S = 0.1
# On its first attempt, a caller waits for most of the route's timeout. A caller
# that waits for less than this share of the timeout was refused before: it has
# spent the rest on its first wait and on the delay before the retry.
_MIN_FIRST_ATTEMPT_SHARE = 0.82


@dataclasses.dataclass(frozen=True)
class QueuedGeneration:
    """A generation in the queue.

    Attributes:
      is_late: whether it can no longer meet its objective. Generations that
        can still meet theirs go first.
      arrived_s: when it arrived, in monotonic seconds; within either group,
        the first to arrive goes first.
      number: unique number.
      precedence: goes before the arrival within either group.
    """

    is_late: bool
    arrived_s: float
    number: int
    precedence: Precedence = UNORDERED


@dataclasses.dataclass(frozen=True)
class QueuePlace:
    """The place of a generation in the queue.

    Attributes:
      ahead: number of generations that go first.
      waiting_by_priority: number of those in the queue, by combined priority;
        0 is the most urgent, and that of all where generations have no order.
    """

    ahead: int
    waiting_by_priority: Mapping[int, int]


def is_retry_after_refusal(call: InboundCall, route: Route) -> bool:
    """Returns whether a request appears to be a retry after a refusal."""
    return call.caller_timeout_s < _MIN_FIRST_ATTEMPT_SHARE * route.timeout_s


class AdmissionQueue:
    """The queue of one service; only its first generation requests memory.

    While the first one waits for an engine that is silent, the next one counts
    as the first.
    """

    def __init__(
        self,
        clock: Clock,
        hold_back: HoldBack | None = None,
        fleet_tokens: Callable[[str], float] = lambda _: 0.0,
    ) -> None:
        self._clock = clock
        self._order = ServiceOrder(clock, fleet_tokens)
        self._hold_back = hold_back
        self._changed = threading.Condition()
        self._queued: dict[int, QueuedGeneration] = {}
        self._asking_since_s_by_number: dict[int, float] = {}
        self._last_number = 0

    def wait(
        self,
        is_late: bool,
        arrived_s: float,
        give_up_s: float,
        try_reserve: Callable[[], T | None],
        has_gone: Callable[[], bool],
        may_wait_on: Callable[[], bool] = lambda: False,
        precedence: Precedence = UNORDERED,
        begin_wait: Callable[[], None] = lambda: None,
    ) -> T | None:
        """Waits until memory has been reserved.

        Args:
          is_late: whether the request can no longer meet its objective.
          arrived_s: when it arrived, in monotonic seconds.
          give_up_s: when to stop waiting, in monotonic seconds.
          try_reserve: reserves memory; returns None if there is none.
          has_gone: returns whether the caller has gone.
          may_wait_on: returns whether the request waits beyond `give_up_s`.
          precedence: its place besides its arrival.
          begin_wait: called once if memory was not reserved at once.

        Returns:
          What `try_reserve` returned; None after `give_up_s`, or if the caller
          has gone.
        """
        queued = self._enqueue(is_late, arrived_s, precedence)
        result = None
        has_begun_wait = False
        try:
            while not has_gone():
                if self._is_first(queued):
                    if self._may_ask(queued):
                        result = self._ask(queued, try_reserve)
                    elif is_late:
                        # Others will take the memory that it waits for.
                        return None
                    if result is not None:
                        return result
                if not has_begun_wait:
                    has_begun_wait = True
                    begin_wait()
                remaining_s = give_up_s - self._clock()
                if remaining_s <= 0:
                    if not may_wait_on():
                        return None
                    remaining_s = _POLL_INTERVAL_S
                with self._changed:
                    self._changed.wait(min(_POLL_INTERVAL_S, remaining_s))
            return None
        finally:
            with self._changed:
                del self._queued[queued.number]
                if result is not None or not has_gone():
                    self._order.record(precedence, result is not None)
                self._changed.notify_all()

    def make_statement(self) -> Statement:
        """Returns who waits here in time, and whom this VM served lately."""
        now_s = self._clock()
        with self._changed:
            waiting = group_waiting(
                (
                    (queued.precedence, now_s - queued.arrived_s)
                    for queued in self._queued.values()
                    if queued.precedence.is_ordered and not queued.is_late
                ),
                self._order.tokens,
            )
            return Statement(waiting, self._order.list_own_tokens())

    def _may_ask(self, queued: QueuedGeneration) -> bool:
        """Returns whether a generation need not leave memory to other VMs."""
        if self._hold_back is None:
            return True
        with self._changed:
            return self._hold_back.may_ask(
                queued.precedence,
                queued.is_late,
                self._order.is_starved(queued.precedence),
                self._order.is_priority_starved(queued.precedence),
                self._order.tokens,
            )

    def _ask(
        self, queued: QueuedGeneration, try_reserve: Callable[[], T | None]
    ) -> T | None:
        since_s_by_number = self._asking_since_s_by_number
        with self._changed:
            since_s_by_number[queued.number] = self._clock()
        try:
            return try_reserve()
        finally:
            with self._changed:
                del since_s_by_number[queued.number]

    def wake(self) -> None:
        """Wakes the queue after memory was released or a caller has gone."""
        with self._changed:
            self._changed.notify_all()

    def length(self) -> int:
        """Returns the number of generations in the queue."""
        return len(self._queued)

    def explain(
        self, is_late: bool, arrived_s: float, precedence: Precedence
    ) -> QueuePlace:
        """Returns the place that a generation would take, without taking it."""
        with self._changed:
            rank = self._rank(
                QueuedGeneration(
                    is_late, arrived_s, self._last_number + 1, precedence
                )
            )
            others = tuple(self._queued.values())
            return QueuePlace(
                ahead=sum(self._rank(other) < rank for other in others),
                waiting_by_priority=collections.Counter(
                    other.precedence.priority for other in others
                ),
            )

    def _enqueue(
        self, is_late: bool, arrived_s: float, precedence: Precedence
    ) -> QueuedGeneration:
        with self._changed:
            self._last_number += 1
            queued = QueuedGeneration(
                is_late, arrived_s, self._last_number, precedence
            )
            self._queued[queued.number] = queued
            return queued

    def _is_first(self, queued: QueuedGeneration) -> bool:
        now_s = self._clock()
        with self._changed:
            rank = self._rank(queued)
            return all(
                rank <= self._rank(other)
                or now_s - self._asking_since_s_by_number.get(number, now_s)
                > _TURN_S
                for number, other in self._queued.items()
            )

    def _rank(self, queued: QueuedGeneration) -> tuple[bool, Rank, float, int]:
        """Returns the sort key; the least is first in the queue."""
        return (
            queued.is_late,
            self._order.rank(queued.precedence),
            queued.arrived_s,
            queued.number,
        )


class AdmissionQueues:
    """The queues of a process.

    Each service has a queue, and one for the resumed streams of each software
    version.
    """

    def __init__(self, clock: Clock, fleet: FleetWaiting | None = None) -> None:
        """Starts without queues.

        Args:
          clock: monotonic clock, in seconds.
          fleet: who waits at other VMs; None if this VM acts alone.
        """
        self._clock = clock
        self._fleet = fleet
        self._lock = threading.Lock()
        self._queue_by_key: dict[tuple[str, str | None], AdmissionQueue] = {}

    def for_service(
        self, service: str, software_version: str | None = None
    ) -> AdmissionQueue:
        """Returns a queue, which is created if necessary.

        Args:
          service: name of the service.
          software_version: version that began a stream; None for generations
            that have not begun.
        """
        key = (service, software_version)
        with self._lock:
            queue = self._queue_by_key.get(key)
            if queue is None:
                queue = AdmissionQueue(
                    self._clock,
                    self._make_hold_back(service),
                    lambda account: self._fleet_tokens(service, account),
                )
                self._queue_by_key[key] = queue
            return queue

    def explain(
        self,
        service: str,
        software_version: str | None,
        is_late: bool,
        arrived_s: float,
        precedence: Precedence,
    ) -> QueuePlace:
        """Returns the place in a queue, which is not created."""
        with self._lock:
            queue = self._queue_by_key.get((service, software_version))
        if queue is None:
            return QueuePlace(0, {})
        return queue.explain(is_late, arrived_s, precedence)

    def count_elsewhere(self, service: str) -> dict[int, int]:
        """Returns how many wait at the other VMs, by combined priority."""
        counts: collections.Counter[int] = collections.Counter()
        if self._fleet is not None:
            for waiting in self._fleet.list_waiting(service):
                counts[waiting.priority] += waiting.count
        return dict(counts)

    def most_urgent_elsewhere(self, service: str) -> int | None:
        """Returns the most urgent priority that waits at another VM."""
        return None if self._fleet is None else self._fleet.most_urgent(service)

    def _make_hold_back(self, service: str) -> HoldBack | None:
        fleet = self._fleet
        if fleet is None:
            return None
        return HoldBack(
            self._clock,
            lambda: fleet.list_waiting(service),
            fleet.hold_back_interval_s,
        )

    def _fleet_tokens(self, service: str, account: str) -> float:
        fleet = self._fleet
        return 0.0 if fleet is None else fleet.tokens(service, account)

    def make_statements(self) -> dict[str, Statement]:
        """Returns what to tell by service; resumed streams are not counted."""
        with self._lock:
            queues = list(self._queue_by_key.items())
        statements = {
            service: queue.make_statement()
            for (service, version), queue in queues
            if version is None
        }
        return {
            service: statement
            for service, statement in statements.items()
            if statement.waiting or statement.tokens_by_account
        }


__all__ = [
    "AdmissionQueue",
    "AdmissionQueues",
    "QueuePlace",
    "QueuedGeneration",
    "is_retry_after_refusal",
]
