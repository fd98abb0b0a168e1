"""Simulated network of membership nodes on a simulated clock."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

from burdockspan.membership import swim, wire
from burdockspan.membership.table import Members, live_vms, make_members
from burdockspan.membership.values import Message, Outgoing

TICK_S = 0.05
_EPOCH_S = 1_700_000_000.0


class Network:
    """Nodes that exchange datagrams with delay, loss and partitions.

    Attributes:
      random: source of randomness of the network and its nodes.
      now_s: simulated time, the monotonic clock of all nodes.
      loss: share of the datagrams that are lost.
      jitter_s: maximum random delay of a datagram.
      side_by_vm: side of a partition that a VM is on; 0 if it is missing.
      blocked: pairs of VMs whose datagrams to each other are lost.
      frozen: VMs whose processes are frozen; datagrams to them wait.
      tables: membership state by VM, of the processes that run or are frozen.
      incarnations: incarnations that a VM has had, in order, with repetitions.
      on_receive: called with the receiving VM and each message.
      sent_bytes: bytes of all datagrams sent.
      largest_bytes: size of the largest datagram sent.
      starts: number of starts by VM.
    """

    def __init__(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.loss = 0.0
        self.jitter_s = 0.002
        self.side_by_vm: dict[str, int] = {}
        self.blocked: set[frozenset[str]] = set()
        self.frozen: set[str] = set()
        self.tables: dict[str, Members] = {}
        self.incarnations: dict[str, list[int]] = {}
        self.on_receive: Callable[[str, Message], None] = lambda vm, message: (
            None
        )
        self.sent_bytes = 0
        self.largest_bytes = 0
        self.starts: dict[str, int] = {}
        self._by_address: dict[str, str] = {}
        self._messages_by_frozen_vm: dict[str, list[Message]] = {}
        self._in_transit: list[tuple[float, int, str, str, bytes]] = []
        self._order = itertools.count()

    def start(self, vm: str, seeds: tuple[str, ...] = ("ip-0:1",)) -> None:
        address = f"ip-{vm}:1"
        self.tables[vm] = make_members(
            vm=vm,
            address=address,
            availability_zone="zone",
            region="region",
            seeds=seeds,
            now_s=self.now_s,
            wall_s=_EPOCH_S + self.now_s,
        )
        self._by_address[address] = vm
        self.starts[vm] = self.starts.get(vm, 0) + 1
        self.incarnations.setdefault(vm, []).append(
            self.tables[vm].me.incarnation
        )
        self.frozen.discard(vm)
        self._messages_by_frozen_vm[vm] = []

    def stop(self, vm: str) -> None:
        del self.tables[vm]
        self.frozen.discard(vm)

    def freeze(self, vm: str) -> None:
        self.frozen.add(vm)

    def resume(self, vm: str) -> None:
        self.frozen.discard(vm)
        messages, self._messages_by_frozen_vm[vm] = (
            self._messages_by_frozen_vm[vm],
            [],
        )
        for message in messages:
            self._receive(vm, message)

    def send(self, vm: str, outgoing: tuple[Outgoing, ...]) -> None:
        for item in outgoing:
            data = wire.encode(item.message).unwrap()
            self.sent_bytes += len(data)
            self.largest_bytes = max(self.largest_bytes, len(data))
            if self.random.random() < self.loss:
                continue
            arrival_s = self.now_s + 0.001
            arrival_s += self.random.random() * self.jitter_s
            entry = (arrival_s, next(self._order), vm, item.address, data)
            heapq.heappush(self._in_transit, entry)

    def run(self, duration_s: float) -> None:
        for _ in range(round(duration_s / TICK_S)):
            self.step()

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> bool:
        end_s = self.now_s + limit_s
        while not condition():
            if self.now_s >= end_s:
                return False
            self.step()
        return True

    def step(self) -> None:
        end_s = self.now_s + TICK_S
        while self._in_transit and self._in_transit[0][0] <= end_s:
            arrival_s, _, source, address, data = heapq.heappop(
                self._in_transit
            )
            self.now_s = arrival_s
            self._deliver(source, address, data)
        self.now_s = end_s
        for vm in sorted(self.tables):
            if vm not in self.frozen:
                table, outgoing = swim.tick(
                    self.tables[vm], self.now_s, self.random.random
                )
                self._update(vm, table, outgoing)

    def live_vms_at(self, vm: str) -> tuple[str, ...]:
        return live_vms(self.tables[vm])

    def has_converged(self) -> bool:
        """Returns whether each running node has just the running ones as live.

        The nodes must also agree on the incarnation of each.
        """
        running = tuple(sorted(set(self.tables) - self.frozen))
        return all(
            self.live_vms_at(vm) == running
            and all(
                self.tables[vm].by_vm[other].incarnation
                == self.tables[other].me.incarnation
                for other in running
            )
            for vm in running
        )

    def connected(self, vm: str, other: str) -> bool:
        """Returns whether two running nodes can exchange messages now."""
        reachable = self.side_by_vm.get(vm, 0) == self.side_by_vm.get(other, 0)
        return reachable and {vm, other} <= set(self.tables) - self.frozen

    def _deliver(self, source: str, address: str, data: bytes) -> None:
        vm = self._by_address.get(address)
        if vm is None or vm not in self.tables:
            return
        if self.side_by_vm.get(source, 0) != self.side_by_vm.get(vm, 0):
            return
        if frozenset((source, vm)) in self.blocked:
            return
        message = wire.decode(data).unwrap()
        if vm in self.frozen:
            self._messages_by_frozen_vm[vm].append(message)
        else:
            self._receive(vm, message)

    def _receive(self, vm: str, message: Message) -> None:
        self.on_receive(vm, message)
        table, outgoing = swim.receive(self.tables[vm], message, self.now_s)
        self._update(vm, table, outgoing)

    def _update(
        self, vm: str, table: Members, outgoing: tuple[Outgoing, ...]
    ) -> None:
        self.tables[vm] = table
        self.incarnations.setdefault(vm, []).append(table.me.incarnation)
        self.send(vm, outgoing)


def make_network(size: int, seed: int = 0) -> Network:
    """Returns a network of `size` nodes that all know each other."""
    network = Network(seed)
    for number in range(size):
        network.start(str(number))
    assert network.run_until(network.has_converged, 30.0)
    return network


def make_table(vm: str = "a") -> Members:
    """Returns the state of a node at 0 s that knows no other member."""
    return make_members(
        vm=vm,
        address=f"ip-{vm}:1",
        availability_zone="zone",
        region="region",
        seeds=(),
        now_s=0.0,
        wall_s=1e9,
    )
