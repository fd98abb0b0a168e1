"""Balances the stages of the engines from what VMs state on the exchange.

Heartbeats tell the demand of a large fleet only after 8 s. A change of stage
takes seconds itself, so that a burst would be over.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from result import Err, Ok, Result

from burdockspan.gateway.choice import stages
from burdockspan.gateway.choice.stages import PromptMeasurement
from burdockspan.gateway.fleet.exchange import Exchange, Received
from burdockspan.membership import ownership
from burdockspan.values.clock import Clock

_TOPIC = "demand"
_INTERVAL_S = 1.0
# A VM that has stated nothing for this many intervals of the exchange is left
# out: its callers reach other VMs.
_LAPSE_INTERVALS = 3.0
# After orders, the engines need seconds to change.
_PAUSE_AFTER_ORDERS_S = 3.0

Measurements = Mapping[str, PromptMeasurement]
Balance = Callable[[Sequence[Measurements]], bool]
"""Balances all services, given the measurements of each VM; returns whether
orders were due."""


class DemandExchange:
    """What the VMs state of their prompts, and which of them sends orders."""

    def __init__(
        self,
        exchange: Exchange,
        vm: str,
        measure: Callable[[], Measurements],
        clock: Clock,
    ) -> None:
        self._exchange = exchange
        self._vm = vm
        self._measure = measure
        self._clock = clock
        self._lock = threading.Lock()
        self._stated_by_vm: dict[str, tuple[float, Measurements]] = {}
        exchange.add_topic(_TOPIC, self._make_value, self._receive)

    def _make_value(self) -> Any:
        return stages.encode_measurements(self._measure()) or None

    def _receive(self, received: Received) -> Result[None, str]:
        if not isinstance(received.value, dict):
            return Err("not an object")
        measurements = stages.decode_measurements(received.value)
        with self._lock:
            self._stated_by_vm[received.vm] = (self._clock(), measurements)
        return Ok(None)

    def list_measurements(self) -> list[Measurements]:
        """Returns the measurements of this VM and of the others.

        Those of a VM that states none are empty.
        """
        oldest_s = (
            self._clock() - _LAPSE_INTERVALS * self._exchange.interval_s()
        )
        peers = set(self._exchange.list_peers())
        with self._lock:
            self._stated_by_vm = {
                vm: stated
                for vm, stated in self._stated_by_vm.items()
                if stated[0] >= oldest_s
            }
            stated_by_vm = {
                vm: stated for vm, (_, stated) in self._stated_by_vm.items()
            }
        others = (stated_by_vm.get(vm, {}) for vm in peers | set(stated_by_vm))
        return [self._measure(), *others]

    def is_first(self) -> bool:
        """Returns whether this VM precedes all that state measurements."""
        with self._lock:
            vms = {self._vm, *self._stated_by_vm}
        return ownership.owner_of(_TOPIC, vms) == self._vm

    def run(self, balance: Balance, stopped: threading.Event) -> None:
        """Balances the stages until `stopped` is set."""
        wait_s = _INTERVAL_S
        while not stopped.wait(wait_s):
            wait_s = _INTERVAL_S
            measurements = self.list_measurements()
            if self.is_first() and balance(measurements):
                wait_s = _PAUSE_AFTER_ORDERS_S


__all__ = ["Balance", "DemandExchange", "Measurements"]
