"""What the VMs tell each other about generations that wait for memory."""

from __future__ import annotations

import dataclasses
import json
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
# VMs hold back fully if as many wait elsewhere, relative to the VMs.
_FULL_HOLD_BACK_SHARE = 0.1
_MAX_SERVICES = 16
_MAX_BYTES = 900
_MAX_PRIORITIES = 10
_FIELDS = 4
_MAX_ACCOUNTS = 16
# A VM leaves memory to an account elsewhere that was served less than this
# share of what its own account was served lately.
_FAIR_SHARE = 0.7


@dataclasses.dataclass(frozen=True)
class Waiting:
    """The generations of one priority that wait at a VM.

    Attributes:
      priority: 0 is the most urgent.
      count: how many wait that can still meet their objective.
      oldest_s: how long the first of them has waited.
      account: key of the account among theirs that was served least lately.
    """

    priority: int
    count: int
    oldest_s: float
    account: str | None = None


@dataclasses.dataclass(frozen=True)
class Statement:
    """What a VM says of one service.

    Attributes:
      waiting: who waits there, by priority.
      tokens_by_account: tokens that it served lately, by the accounts' keys.
    """

    waiting: tuple[Waiting, ...]
    tokens_by_account: Mapping[str, int]


_NOTHING = Statement((), {})


@dataclasses.dataclass(frozen=True)
class _Received:
    statement_by_service: Mapping[str, Statement]
    received_s: float


class FleetWaiting:
    """The latest statements of the other VMs."""

    def __init__(
        self,
        boot_clock: Clock,
        interval_s: Callable[[], float],
        count_vms: Callable[[], int],
    ) -> None:
        """Starts without statements.

        Args:
          boot_clock: clock that includes time suspended, in seconds.
          interval_s: returns the time between two statuses of a VM.
          count_vms: returns the number of VMs.
        """
        self._count_vms = count_vms
        self._boot_clock = boot_clock
        self._interval_s = interval_s
        self._lock = threading.Lock()
        self._received_by_vm: dict[str, _Received] = {}

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
                self._received_by_vm.pop(received.vm, None)
            else:
                self._received_by_vm[received.vm] = _Received(
                    decoded.ok_value, now_s
                )
        return Ok(None)

    def hold_back_interval_s(self, ahead: int) -> float:
        """Returns the time between two requests of a VM that holds back.

        Args:
          ahead: how many generations at other VMs should be served before.
        """
        full = _FULL_HOLD_BACK_SHARE * self._count_vms()
        return self._interval_s() * min(1.0, ahead / full)

    def most_urgent(self, service: str) -> int | None:
        """Returns the most urgent priority that waits at another VM.

        Returns:
          The priority; None if no recent statement names one.
        """
        return min(
            (waiting.priority for waiting in self.list_waiting(service)),
            default=None,
        )

    def list_waiting(self, service: str) -> tuple[Waiting, ...]:
        """Returns who waits for a service at the other VMs."""
        return tuple(
            waiting
            for statement in self._list_recent(service)
            for waiting in statement.waiting
        )

    def tokens(self, service: str, account: str) -> float:
        """Returns the tokens that the other VMs served to an account lately."""
        return float(
            sum(
                statement.tokens_by_account.get(account, 0)
                for statement in self._list_recent(service)
            )
        )

    def _list_recent(self, service: str) -> list[Statement]:
        now_s = self._boot_clock()
        with self._lock:
            return [
                received.statement_by_service.get(service, _NOTHING)
                for received in self._received_by_vm.values()
                if now_s - received.received_s <= _MAX_AGE_S
            ]


class HoldBack:
    """Decides when a VM leaves memory to the others; not thread-safe.

    While more urgent generations wait at other VMs, the first one here requests
    memory once in an interval. This finds out when memory is no longer scarce.
    The interval grows with the fleet and with those who wait, so that all VMs
    together do not take the memory that they leave, and a few that wait
    elsewhere do not hold up all others.
    """

    def __init__(
        self,
        clock: Clock,
        list_elsewhere: Callable[[], tuple[Waiting, ...]],
        interval_s: Callable[[int], float],
    ) -> None:
        self._clock = clock
        self._list_elsewhere = list_elsewhere
        self._interval_s = interval_s
        self._asked_s = -math.inf

    def may_ask(
        self,
        precedence: Precedence,
        is_late: bool,
        is_starved: bool,
        is_priority_starved: bool = False,
        tokens: Callable[[str | None], float] = lambda _: 0.0,
    ) -> bool:
        """Returns whether the first generation of a VM may request memory.

        Args:
          precedence: its place.
          is_late: whether it can no longer meet its objective.
          is_starved: whether a group of it is served too seldom.
          is_priority_starved: whether that is its priority.
          tokens: returns the tokens that an account was served lately.
        """
        if not precedence.is_ordered:
            return True
        elsewhere = self._list_elsewhere()
        if not elsewhere:
            return True
        if is_priority_starved and not is_late:
            return True
        ahead = sum(
            waiting.count
            for waiting in elsewhere
            if is_late or _goes_before(waiting, precedence, is_starved, tokens)
        )
        now_s = self._clock()
        if now_s - self._asked_s < self._interval_s(ahead):
            return False
        if ahead > 0:
            self._asked_s = now_s
        return True


def _goes_before(
    waiting: Waiting,
    precedence: Precedence,
    is_starved: bool,
    tokens: Callable[[str | None], float],
) -> bool:
    if waiting.priority != precedence.priority:
        return waiting.priority < precedence.priority
    if is_starved or waiting.account in (None, precedence.account):
        return False
    fair = _FAIR_SHARE * tokens(precedence.account)
    return tokens(waiting.account) + precedence.cost < fair


def encode(statement_by_service: Mapping[str, Statement]) -> dict[str, Any]:
    """Returns a statement as a JSON value that a datagram has room for."""
    value: dict[str, Any] = {}
    room_bytes = _MAX_BYTES
    for service, statement in statement_by_service.items():
        waiting = [
            [item.priority, item.count, round(item.oldest_s, 2), item.account]
            for item in statement.waiting
        ]
        pair = [waiting, dict(statement.tokens_by_account)]
        room_bytes -= len(json.dumps([service, pair]))
        if room_bytes < 0 or len(value) >= _MAX_SERVICES:
            break
        value[service] = pair
    return value


def _decode(value: Any) -> Result[Mapping[str, Statement], str]:
    if not isinstance(value, dict) or len(value) > _MAX_SERVICES:
        return Err("not an object of few services")
    statement_by_service = {}
    for service, pair in value.items():
        if not isinstance(pair, list) or len(pair) != len(("items", "tokens")):
            return Err("not a list and an object")
        items, tokens = pair
        if not isinstance(items, list) or len(items) > _MAX_PRIORITIES:
            return Err("not a list of few priorities")
        if not all(_is_valid(item) for item in items):
            return Err("not a priority, a count, a time and an account")
        if not isinstance(tokens, dict) or len(tokens) > _MAX_ACCOUNTS:
            return Err("not the tokens of few accounts")
        if not all(_is_count(count) for count in tokens.values()):
            return Err("not a number of tokens")
        statement_by_service[service] = Statement(
            tuple(
                Waiting(item[0], item[1], float(item[2]), item[3])
                for item in items
            ),
            tokens,
        )
    return Ok(statement_by_service)


def _is_count(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _is_valid(item: Any) -> bool:
    return (
        isinstance(item, list)
        and len(item) == _FIELDS
        and _is_count(item[0])
        and _is_count(item[1])
        and isinstance(item[2], int | float)
        and (item[3] is None or isinstance(item[3], str))
    )


def group_waiting(
    waits: Iterable[tuple[Precedence, float]],
    tokens: Callable[[str | None], float] = lambda _: 0.0,
) -> tuple[Waiting, ...]:
    """Groups those that wait by priority.

    Args:
      waits: their place, and how long they have waited in seconds.
      tokens: returns the tokens that an account was served lately.
    """
    waits_by_priority: dict[int, list[tuple[Precedence, float]]] = {}
    for precedence, waited_s in waits:
        waits_by_priority.setdefault(precedence.priority, []).append(
            (precedence, waited_s)
        )
    return tuple(
        Waiting(
            priority,
            len(items),
            max(waited_s for _, waited_s in items),
            min((place.account for place, _ in items), key=tokens),
        )
        for priority, items in sorted(waits_by_priority.items())
    )[:_MAX_PRIORITIES]


__all__ = [
    "TOPIC",
    "FleetWaiting",
    "HoldBack",
    "Statement",
    "Waiting",
    "encode",
    "group_waiting",
]
