"""Entry VMs on a test clock that follow the platform in one of three ways.

The systems of `node.documents` and `node.gossip`, the adoption, the membership
and the watch are the product's. Its threads are replaced by events of a loop,
its sockets by an in-memory network with delay and loss.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from typing import Any

from result import Ok, Result

from bench.fanout_platform import HEADER_BYTES, FakePlatform
from bench.fanout_vm import DistributionMethod, EntryVm
from bench.loop import EventLoop
from burdockspan.configuration.adoption import Adoption, generation_of
from burdockspan.configuration.document import Configuration
from burdockspan.membership import table, wire
from burdockspan.membership.merge import merge_members
from burdockspan.membership.values import Member, Outgoing, Versions
from burdockspan.node import (
    documents,
    effects,
    gossip,
    messages,
    platform_reader,
)
from burdockspan.object_api.objects import PlatformError, WatchBatch
from burdockspan.object_api.vms import VmList
from burdockspan.object_api.watch import advance
from burdockspan.peering.snapshot import Snapshot, make_snapshot

_POLL_INTERVAL_S = 2.0
_WATCH_TIMEOUT_S = 3.0
_TICK_S = 0.05
_IDLE_S = 0.5
_UDP_BYTES = 28
_MEMBER_BYTES = 60
_LOSS = 0.01
# A lost segment is sent again after the least TCP timeout.
_RESEND_S = 0.2
# Processor time of one answer to a fetch, on the node's only thread.
_SERVE_S = 0.008


class Fleet:
    """All entry VMs, their network and the platform."""

    def __init__(
        self,
        vms: list[EntryVm],
        platform: FakePlatform,
        loop: EventLoop,
        way: DistributionMethod,
        size_of: Callable[[object], int],
        listed: int,
        seed: int,
    ) -> None:
        self._listed = listed
        self.vms, self.platform, self.loop, self.way = vms, platform, loop, way
        self._size_of = size_of
        self._random = random.Random(seed)
        self._by_address = {vm.address: vm for vm in vms}
        self.active_s: dict[int, dict[str, float]] = {}

    def start(self, first: Configuration) -> None:
        """Joins all members and starts what the product's threads do."""
        members = [vm.tables.members.me for vm in self.vms]
        for vm in self.vms:
            self._join(vm, members, first)
            # The ticks of VMs are not in step.
            phase_s = vm.random.random() * _TICK_S
            if self.way is DistributionMethod.FAN_OUT:
                self.loop.call_later(phase_s, lambda vm=vm: self._tick(vm))
            if self.way is DistributionMethod.POLL_PER_VM:
                self.loop.call_later(
                    vm.random.random() * _POLL_INTERVAL_S,
                    lambda vm=vm: self._poll(vm),
                )
                continue
            self.loop.call_later(phase_s, lambda vm=vm: self._watch(vm))
            self.loop.call_later(
                phase_s, lambda vm=vm: self._read_regularly(vm)
            )

    def _join(
        self, vm: EntryVm, members: list[Member], first: Configuration
    ) -> None:
        if self.way is DistributionMethod.FAN_OUT:
            peers = [
                member
                for member in members
                if self._by_address[member.address].region == vm.region
            ]
            joined = merge_members(vm.tables.members, peers, 0.0)
            vm.tables.members = dataclasses.replace(
                joined,
                next_probe_s=vm.random.random() * 0.2,
                member_sends={},
            )
        vm.tables.members = table.with_versions(
            vm.tables.members, Versions(first.generation, 1)
        )
        vm.tables.initial_fetch = None
        vm.tables.vm_list = VmList(1)
        vm.tables.adoption = Adoption(first, first)

    def _tick(self, vm: EntryVm) -> None:
        self._perform(vm, gossip.tick(vm.tables, vm.context))
        if vm.tables.adoption.pending_since_s is not None:
            self._perform(vm, documents.activate(vm.tables, vm.context))
        self.loop.call_later(_TICK_S, lambda: self._tick(vm))

    def _watch(self, vm: EntryVm) -> None:
        def take(outcome: Result[WatchBatch, PlatformError]) -> None:
            step = advance(vm.watch, outcome, vm.random.random)
            vm.watch = step.state
            for event in step.events:
                self._see_configuration(vm, event.value)
            self.loop.call_later(step.delay_s, lambda: self._watch(vm))

        if self.way is DistributionMethod.WATCH_PER_VM or vm.is_watcher():
            self.platform.watch(
                vm.caller, vm.watch.after, _WATCH_TIMEOUT_S, take
            )
        else:
            idle: Result[Any, PlatformError] = Ok(WatchBatch(vm.watch.after))
            self.loop.call_later(_IDLE_S, lambda: take(idle))

    def _read_regularly(self, vm: EntryVm) -> None:
        step_s = platform_reader._CHECK_INTERVAL_S

        def wait(outcome: object = None) -> None:
            del outcome
            pause_s = step_s * (0.75 + vm.random.random() / 2)
            self.loop.call_later(pause_s, lambda: self._read_regularly(vm))

        vm.waited_s += step_s
        watching = (
            self.way is DistributionMethod.WATCH_PER_VM or vm.is_watcher()
        )
        due_s = platform_reader.read_interval_s(watching, vm.listed)
        if vm.waited_s < due_s:
            wait()
            return
        vm.waited_s = 0.0
        self._read(vm, wait, with_configuration=not watching)

    def _poll(self, vm: EntryVm) -> None:
        pause_s = _POLL_INTERVAL_S * (0.75 + vm.random.random() / 2)
        self._read(
            vm,
            lambda: self.loop.call_later(pause_s, lambda: self._poll(vm)),
            with_configuration=True,
        )

    def _read(
        self, vm: EntryVm, then: Callable[[], None], *, with_configuration: bool
    ) -> None:
        def take_list(outcome: Result[VmList, PlatformError]) -> None:
            vm.listed = 0
            if isinstance(outcome, Ok):
                vm.listed = self._listed
                self._see_vm_list(vm, outcome.ok_value)
            then()

        def take_configuration(
            outcome: Result[Configuration, PlatformError],
        ) -> None:
            if isinstance(outcome, Ok):
                self._see_configuration(vm, outcome.ok_value)
            self.platform.list_vms(vm.caller, take_list)

        if with_configuration:
            self.platform.get(vm.caller, take_configuration)
        else:
            self.platform.list_vms(vm.caller, take_list)

    def _see_configuration(
        self,
        vm: EntryVm,
        configuration: Configuration,
        source: str = messages.PLATFORM_SOURCE,
    ) -> None:
        # Each process decodes a document of its own. Adoption tells a newer
        # one from the one it holds by identity, so a shared object would be
        # taken for news.
        own = dataclasses.replace(configuration)
        seen = messages.ConfigurationReceived(source, own)
        self._perform(
            vm, documents.receive_configuration(vm.tables, seen, vm.context)
        )

    def _see_vm_list(self, vm: EntryVm, vm_list: VmList) -> None:
        seen = messages.VmListReceived(vm_list)
        self._perform(
            vm, documents.receive_vm_list(vm.tables, seen, vm.context)
        )

    def _perform(self, vm: EntryVm, batch: effects.Effects) -> None:
        for effect in batch:
            if isinstance(effect, effects.SendDatagram):
                self._send(vm, effect.outgoing)
            elif isinstance(effect, effects.PullDocuments):
                self._pull(vm, effect)
            elif isinstance(effect, effects.OfferConfiguration):
                self._offer(vm, effect)
        active = generation_of(vm.tables.adoption.active)
        by_vm = self.active_s.setdefault(active, {})
        by_vm.setdefault(vm.name, self.loop.now_s)

    def _delay_s(self, vm: EntryVm, peer: EntryVm) -> float:
        one_way_s = 0.0003 if vm.zone == peer.zone else 0.0015
        return one_way_s * (1 + self._random.random())

    def _send(self, vm: EntryVm, outgoing: Outgoing) -> None:
        peer = self._by_address[outgoing.address]
        size = len(wire.encode(outgoing.message).unwrap()) + _UDP_BYTES
        vm.count_bytes(size)
        if self._random.random() < _LOSS:
            return

        def arrive() -> None:
            peer.count_bytes(size)
            message = messages.PeerMessage(outgoing.message, self.loop.now_s)
            batch = gossip.receive(peer.tables, message, peer.context)
            self._perform(peer, batch)

        self.loop.call_later(self._delay_s(vm, peer), arrive)

    def _call(
        self, vm: EntryVm, peer: EntryVm, serve: Callable[[], object]
    ) -> None:
        """Runs `serve` at the peer after a handshake and its other calls."""
        path_s = 3 * self._delay_s(vm, peer)
        if self._random.random() < _LOSS:
            path_s += _RESEND_S
        began_s = max(self.loop.now_s + path_s, peer.busy_s)
        peer.busy_s = began_s + _SERVE_S
        self.loop.call_later(peer.busy_s - self.loop.now_s, serve)

    def _pull(self, vm: EntryVm, effect: effects.PullDocuments) -> None:
        peer = self._by_address[effect.address]

        def serve() -> None:
            tables = peer.tables
            snapshot = make_snapshot(
                tables.members, b"-", b"-", effect.versions, self.loop.now_s
            )
            stored = tables.adoption.stored
            size = HEADER_BYTES + _MEMBER_BYTES * len(snapshot.members)
            if snapshot.configuration is not None:
                size += self._size_of(stored)
            if snapshot.vm_list is not None:
                size += self._size_of(tables.vm_list)
            vm.count_bytes(size)
            peer.count_bytes(size)
            listed = tables.vm_list
            self.loop.call_later(
                self._delay_s(vm, peer),
                lambda: self._take(vm, peer, snapshot, stored, listed),
            )

        self._call(vm, peer, serve)

    def _take(
        self,
        vm: EntryVm,
        peer: EntryVm,
        snapshot: Snapshot,
        stored: Configuration | None,
        listed: VmList,
    ) -> None:
        seen = messages.SnapshotFetched(snapshot)
        self._perform(vm, gossip.receive_snapshot(vm.tables, seen, vm.context))
        if snapshot.vm_list is not None:
            self._see_vm_list(vm, listed)
        if snapshot.configuration is not None and stored is not None:
            self._see_configuration(vm, stored, peer.address)

    def _offer(self, vm: EntryVm, effect: effects.OfferConfiguration) -> None:
        peer = self._by_address[effect.address]
        size = self._size_of(effect.configuration) + HEADER_BYTES

        def serve() -> None:
            vm.count_bytes(size)
            peer.count_bytes(size)
            self._see_configuration(peer, effect.configuration, "peer")
            versions = peer.tables.members.versions
            stored = messages.ConfigurationStored(
                versions.configuration_generation
            )
            self.loop.call_later(
                self._delay_s(vm, peer),
                lambda: self._perform(
                    vm,
                    documents.record_confirmation(
                        vm.tables, stored, vm.context
                    ),
                ),
            )

        self._call(vm, peer, serve)


__all__ = ["Fleet"]
