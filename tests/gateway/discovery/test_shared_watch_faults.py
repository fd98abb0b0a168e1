"""Followers of shared watches under random faults, on a test clock."""

from __future__ import annotations

import heapq
import random
import unittest
from typing import Any

from burdockspan.gateway.discovery.watchers import WatchPosition
from burdockspan.gateway.fleet.exchange import Received
from tests.gateway.discovery.test_shared_watches import _Network, _Store, _Vm

# `drain_ms` and `config_ms` of the deployments that share watches.
_LIMIT_S = 3.0
# Time without faults after which a VM is bound by the limit.
_CALM_S = 5.0
_STEP_S = 0.1
_STEPS = 400


class _Fleet:
    """VMs whose datagrams are lost, late and repeated.

    VMs are suspended, and watchers lose the store without an error.
    """

    def __init__(self, seed: int, loss: float) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.network = _Network()
        self.store = _Store()
        self.written_s: dict[int, float] = {}
        self.vms = [_Vm(self.network, f"vm-{i}") for i in range(8)]
        zones = {vm.name: "zone-a" for vm in self.vms}
        for vm in self.vms:
            vm.watches.set_vms(zones)
            vm.poll(self.store)
        self.network.deliver = self.send  # type: ignore[method-assign]
        # Arrival, number, sending, sender, receiver, value, echo.
        self.datagrams: list[tuple[float, int, float, str, str, Any, Any]] = []
        self.sent = 0
        self.echo_s: dict[tuple[str, str], float] = {}
        self.suspended_s = {vm.name: 0.0 for vm in self.vms}
        self.cut_off_s = {vm.name: 0.0 for vm in self.vms}
        self.next_call_s = {vm.name: 0.0 for vm in self.vms}
        self.called_s: dict[str, float] = {}

    def send(self, sender: str, receiver: str, value: Any) -> None:
        if self.random.random() < self.loss:
            return
        now_s = self.network.now_s
        for _ in range(2 if self.random.random() < 0.1 else 1):
            self.sent += 1
            arrives_s = now_s + self.random.choice([0.0, 0.1, 0.1, 0.4])
            echo_s = self.echo_s.get((sender, receiver))
            heapq.heappush(
                self.datagrams,
                (arrives_s, self.sent, now_s, sender, receiver, value, echo_s),
            )

    def deliver(self) -> None:
        now_s = self.network.now_s
        while self.datagrams and self.datagrams[0][0] <= now_s:
            _, number, *rest = heapq.heappop(self.datagrams)
            sent_s, sender, receiver, value, echo_s = rest
            if self.suspended_s[receiver] > now_s:
                waiting = (self.suspended_s[receiver], number, *rest)
                heapq.heappush(self.datagrams, waiting)  # type: ignore[arg-type]
                continue
            received = Received(sender, value, echo_s)
            self.network.vm_by_name[receiver].receive(received)
            known_s = self.echo_s.get((receiver, sender), 0.0)
            self.echo_s[receiver, sender] = max(known_s, sent_s)

    def disturb(self, change_share: float) -> None:
        now_s = self.network.now_s
        if self.random.random() < change_share:
            removed = self.random.random() < 0.3
            value = None if removed else {"n": now_s}
            self.store.put(f"i-{self.random.randrange(4)}", value)
            self.written_s[self.store.revision] = now_s
        if self.random.random() < 0.01:
            name = self.random.choice(self.vms).name
            duration_s = self.random.choice([0.5, 3.0, 8.0])
            self.suspended_s[name] = now_s + duration_s
        if self.random.random() < 0.01:
            for vm in self.vms:
                if vm.watches.is_watcher():
                    cut_s = self.random.choice([1.0, 4.0])
                    self.cut_off_s[vm.name] = now_s + cut_s

    def watch(self, vm: _Vm) -> None:
        """Goes on with a call that the store answers with a change, or late."""
        now_s = self.network.now_s
        if now_s < max(self.next_call_s[vm.name], self.cut_off_s[vm.name]):
            return
        if vm.name not in self.called_s:
            vm.sharing.watcher.on_call()
        called_s = self.called_s.setdefault(vm.name, now_s)
        before = vm.position
        has_changed = self.store.revision > (before.revision or 0)
        if not has_changed and now_s - called_s < 0.9:
            return
        del self.called_s[vm.name]
        answered_s = called_s + 0.9
        if has_changed and self.suspended_s[vm.name] < called_s:
            answered_s = now_s
        revision = max(
            before.revision or 1,
            *(r for r, s in self.written_s.items() if s <= answered_s),
            0,
        )
        for stored in self.store.changes_since(before.revision or 0):
            if stored.revision <= revision:
                vm.sharing.watcher.apply_change(stored)
        vm.position = WatchPosition(revision)
        vm.sharing.record_poll(before, vm.position)
        self.next_call_s[vm.name] = now_s + (0.3 if has_changed else 0.0)

    def list_late(self, vm: _Vm) -> dict[str, Any]:
        """Returns the objects that a VM lacks after the time limit."""
        now_s = self.network.now_s
        faults_s = max(self.suspended_s[vm.name], self.cut_off_s[vm.name])
        if faults_s > now_s - _CALM_S:
            return {}
        newest = {stored.name: stored for stored in self.store.log}
        return {
            name: stored.value
            for name, stored in newest.items()
            if self.written_s[stored.revision] <= now_s - _LIMIT_S
            and vm.applied.get(name) != stored.value
        }

    def play(self, change_share: float) -> list[tuple[float, str, Any]]:
        """Returns the VMs that were late, with the time and the objects."""
        late = []
        for step in range(_STEPS):
            self.network.now_s = round(1000.0 + step * _STEP_S, 1)
            self.disturb(change_share)
            self.deliver()
            live = [
                vm
                for vm in self.vms
                if self.suspended_s[vm.name] <= self.network.now_s
            ]
            for index, vm in enumerate(live):
                if step % 5 == index % 5:
                    vm.watches.send_statements()
            for vm in live:
                if not vm.follow():
                    self.watch(vm)
            for vm in live:
                if lacking := self.list_late(vm):
                    late.append((self.network.now_s, vm.name, lacking))
        return late


class SharedWatchFaultsTest(unittest.TestCase):
    def test_followers_in_touch_keep_the_time_limit(self) -> None:
        """Guards against VMs that follow an old state, for long or for good."""
        for seed in (10, 17, 27, 40, 96):
            for loss in (0.0, 0.2, 0.6):
                with self.subTest(seed=seed, loss=loss):
                    fleet = _Fleet(seed, loss)
                    late = fleet.play(0.02 if seed % 2 else 0.2)
                    self.assertEqual(late[:3], [])


if __name__ == "__main__":
    unittest.main()
