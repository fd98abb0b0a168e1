"""States to the other VMs which generations wait for decode memory here."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable, Mapping
from typing import Any

from burdockspan.gateway.admission import fleet_waiting
from burdockspan.gateway.admission.fleet_waiting import (
    FleetWaiting,
    Statement,
)
from burdockspan.gateway.fleet.exchange import Exchange
from burdockspan.values.clock import Clock

# After its last generation has stopped waiting, a VM says so for this time.
_WITHDRAWN_S = 2.0
# Announcements between two statuses take at most as many datagrams as these.
_ANNOUNCE_INTERVAL_SHARE = 0.5


class WaitingStatements:
    """Makes the statements of this VM, and sends urgent ones at once.

    Attributes:
      fleet: statements of the other VMs.
    """

    def __init__(
        self,
        exchange: Exchange,
        make_statements: Callable[[], Mapping[str, Statement]],
        fleet: FleetWaiting,
        clock: Clock,
    ) -> None:
        self._exchange = exchange
        self._make_statements = make_statements
        self.fleet = fleet
        self._clock = clock
        self._lock = threading.Lock()
        self._announced_s = -math.inf
        self._stated_s = -math.inf

    def make_value(self) -> Any:
        """Returns the present statement; None if there is nothing to say."""
        statements = self._make_statements()
        now_s = self._clock()
        if statements:
            self._stated_s = now_s
        elif now_s - self._stated_s > _WITHDRAWN_S:
            return None
        return fleet_waiting.encode(statements)

    def announce(self, service: str, priority: int) -> None:
        """Tells the other VMs at once that a generation has begun to wait.

        A VM is silent while one with at least this priority is known to wait at
        another VM, which has told the others.
        """
        known = self.fleet.most_urgent(service)
        if known is not None and known <= priority:
            return
        interval_s = _ANNOUNCE_INTERVAL_SHARE * self._exchange.interval_s()
        now_s = self._clock()
        with self._lock:
            if now_s - self._announced_s < interval_s:
                return
            self._announced_s = now_s
        value = self.make_value()
        if value is None:
            return
        for vm in self._exchange.list_peers():
            self._exchange.send(vm, fleet_waiting.TOPIC, value)


def add_waiting_topic(
    exchange: Exchange,
    make_statements: Callable[[], Mapping[str, Statement]],
    fleet: FleetWaiting,
    clock: Clock,
) -> WaitingStatements:
    """Adds the topic to an exchange, and returns the statements of this VM."""
    statements = WaitingStatements(exchange, make_statements, fleet, clock)
    exchange.add_topic(
        fleet_waiting.TOPIC, statements.make_value, fleet.receive
    )
    return statements


__all__ = ["WaitingStatements", "add_waiting_topic"]
