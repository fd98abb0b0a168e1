"""A fleet of VMs that share quotas, on a test clock, with faults.

The exchange is a queue of datagrams, which may be lost, late or repeated. A
suspended VM reads its datagrams when it goes on.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Mapping
from typing import Any

from burdockspan.gateway.accounts import quota_messages
from burdockspan.gateway.accounts.quota_messages import Message
from burdockspan.gateway.accounts.quota_shares import QuotaShares, Ticket
from burdockspan.gateway.accounts.values import Quota

_POLL_S = 0.01
# As the exchange sends its statuses.
_STATUS_S = 0.5
_STATUSES_PER_S = 60.0


@dataclasses.dataclass(frozen=True)
class Links:
    """How datagrams travel.

    Attributes:
      delay_s: shortest and longest delay.
      lost: share of the datagrams that are lost.
      repeated: share that arrives twice, the second time up to `late_s` later.
      late: share that arrives up to `late_s` later.
      late_s: see above.
    """

    delay_s: tuple[float, float] = (0.0003, 0.003)
    lost: float = 0.0
    repeated: float = 0.0
    late: float = 0.0
    late_s: float = 3.0


@dataclasses.dataclass
class Vm:
    """A VM of the fleet.

    Attributes:
      name: its name.
      shares: its shares of the quotas; new after each restart.
      boot_s: its boot, so that the clocks of VMs differ.
      group: VMs of other groups are out of its reach.
      frozen_until_s: it does nothing before this time.
      alive: whether its process runs.
      pending: its waiting requests.
      polls: whether a poll of the waiting requests is due.
    """

    name: str
    shares: QuotaShares
    boot_s: float
    group: int = 0
    frozen_until_s: float = 0.0
    alive: bool = True
    pending: list[Ticket] = dataclasses.field(default_factory=list)
    polls: bool = False


class Fleet:
    """VMs, their datagrams, and the requests that they have granted.

    Attributes:
      now_s: present time.
      vms: the VMs by name.
      granted: time and units of the granted requests, by account.
      refused: number of refused requests.
      waits_s: waits of the granted requests.
      datagrams: number of datagrams sent.
    """

    def __init__(
        self,
        count: int,
        quotas: Mapping[str, Quota],
        slack: float,
        seed: int,
        links: Links,
    ) -> None:
        self.now_s = 0.0
        self.vms: dict[str, Vm] = {}
        self.granted: dict[str, list[tuple[float, float]]] = {
            account: [] for account in quotas
        }
        self.refused = 0
        self.waits_s: list[float] = []
        self.datagrams = 0
        self._quotas = dict(quotas)
        self._slack = slack
        self._random = random.Random(seed)
        self._links = links
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        for _ in range(count):
            self.add_vm(count)

    def call_at(self, at_s: float, function: Callable[[], None]) -> None:
        """Calls a function at a time."""
        heapq.heappush(self._events, (at_s, next(self._numbers), function))

    def run(self, until_s: float) -> None:
        """Runs the events until a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, function = heapq.heappop(self._events)
            function()
        self.now_s = until_s

    def _clock_s(self, vm: Vm) -> float:
        return self.now_s + vm.boot_s

    def _make_shares(self, name: str) -> QuotaShares:
        return QuotaShares(
            self._random.randrange(2**40),
            self._slack,
            lambda: [other for other in self.vms if other != name],
            self._random.random,
        )

    def add_vm(self, counted: int) -> Vm:
        """Adds a VM, which counts `counted` VMs."""
        name = f"vm-{len(self.vms)}"
        boot_s = self._random.uniform(10.0, 1e5)
        vm = Vm(name, self._make_shares(name), boot_s)
        self.vms[name] = vm
        self._start(vm, counted)
        self.call_at(
            self.now_s + self._random.random() * _STATUS_S,
            lambda: self._send_status(vm),
        )
        return vm

    def _start(self, vm: Vm, counted: int) -> None:
        vm.shares.set_quotas(self._quotas, self._clock_s(vm))
        vm.shares.set_vm_count(counted, self._clock_s(vm))

    def count_vms(self, counted: int) -> None:
        """Tells all VMs how many there are."""
        for vm in self.vms.values():
            vm.shares.set_vm_count(counted, self._clock_s(vm))

    def set_quotas(self, quotas: Mapping[str, Quota]) -> None:
        """Changes the limits at all VMs."""
        self._quotas = dict(quotas)
        for vm in self.vms.values():
            vm.shares.set_quotas(quotas, self._clock_s(vm))

    def kill(self, vm: Vm) -> None:
        """Ends the process of a VM."""
        vm.alive = False
        vm.pending.clear()

    def restart(self, vm: Vm, counted: int) -> None:
        """Starts the process of a VM again."""
        vm.alive = True
        vm.shares = self._make_shares(vm.name)
        self._start(vm, counted)

    def _send_status(self, vm: Vm) -> None:
        statement = vm.shares.state_count()
        if vm.alive and self.now_s >= vm.frozen_until_s and statement:
            self.send(
                vm, [(peer, statement) for peer in self.vms if peer != vm.name]
            )
        interval_s = max(_STATUS_S, len(self.vms) / _STATUSES_PER_S)
        self.call_at(self.now_s + interval_s, lambda: self._send_status(vm))

    def send(self, vm: Vm, messages: list[tuple[str, Message]]) -> None:
        """Sends messages of a VM."""
        links, draw = self._links, self._random
        for peer, message in messages:
            self.datagrams += 1
            value = quota_messages.encode(message)
            copies = 1 + (draw.random() < links.repeated)
            for copy in range(copies):
                if draw.random() < links.lost:
                    continue
                delay_s = draw.uniform(*links.delay_s)
                if copy or draw.random() < links.late:
                    delay_s += draw.uniform(0.0, links.late_s)
                self._deliver(vm, self.vms[peer], value, self.now_s + delay_s)

    def _deliver(self, sender: Vm, vm: Vm, value: Any, at_s: float) -> None:
        def deliver() -> None:
            if not vm.alive or sender.group != vm.group:
                return
            if self.now_s < vm.frozen_until_s:
                self.call_at(vm.frozen_until_s, deliver)
                return
            message = quota_messages.decode(value).unwrap()
            answer = vm.shares.receive(sender.name, message, self._clock_s(vm))
            self.send(vm, answer)
            self._settle(vm)

        self.call_at(at_s, deliver)

    def request(
        self, vm: Vm, account: str, units: float, wait_s: float
    ) -> None:
        """A request arrives at a VM; at a suspended one it waits there."""
        if not vm.alive:
            return
        if self.now_s < vm.frozen_until_s:
            self.call_at(
                vm.frozen_until_s,
                lambda: self.request(vm, account, units, wait_s),
            )
            return
        ticket = vm.shares.request(account, units, wait_s, self._clock_s(vm))
        vm.pending.append(ticket)
        self._poll(vm)

    def _poll(self, vm: Vm) -> None:
        if not vm.alive:
            return
        self.send(vm, vm.shares.advance(self._clock_s(vm)))
        self._settle(vm)
        if vm.pending and not vm.polls:
            vm.polls = True

            def poll() -> None:
                vm.polls = False
                if self.now_s < vm.frozen_until_s:
                    self.call_at(vm.frozen_until_s, poll)
                else:
                    self._poll(vm)

            self.call_at(self.now_s + _POLL_S, poll)

    def _settle(self, vm: Vm) -> None:
        """Records the requests of a VM that have been decided."""
        now_s = self._clock_s(vm)
        for ticket in [
            ticket for ticket in vm.pending if ticket.taken is not None
        ]:
            vm.pending.remove(ticket)
            if ticket.taken:
                self.granted[ticket.account].append((self.now_s, ticket.units))
                self.waits_s.append(now_s - ticket.asked_s)
            else:
                self.refused += 1


def measure_excess(
    granted: list[tuple[float, float]], rate_per_s: float, capacity: float
) -> float:
    """Returns by how much `rate_per_s` x window + `capacity` was exceeded.

    The largest excess over windows of all lengths, as one bucket that starts
    full measures it; 0 if there is none.

    Args:
      granted: times and units, in their order.
      rate_per_s: the limit.
      capacity: units that may be used at once.
    """
    level, at_s, excess = capacity, 0.0, 0.0
    for now_s, units in granted:
        level = min(capacity, level + rate_per_s * (now_s - at_s)) - units
        at_s = now_s
        excess = max(excess, -level)
    return excess


__all__ = ["Fleet", "Links", "Vm", "measure_excess"]
