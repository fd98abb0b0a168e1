"""Entry VMs on a simulated clock that learn of changes by one of three methods.

The functions of `node.documents` and `node.gossip`, the adoption, the
membership and the watch are the product's. Events of a loop stand for its
threads, and an in-memory network with delay and loss for its sockets.
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
_TICK_INTERVAL_S = 0.05
_NON_WATCHER_INTERVAL_S = 0.5
_PROBE_INTERVAL_S = 0.2
_SAME_ZONE_DELAY_S = 0.0003
_CROSS_ZONE_DELAY_S = 0.0015
_UDP_BYTES = 28
_MEMBER_BYTES = 60
_LOSS_SHARE = 0.01
# TCP sends a lost segment again after its minimum retransmission timeout.
_RETRANSMIT_S = 0.2
# Processor time of the response to one fetch. The node has one thread, so
# fetches wait for each other.
_FETCH_PROCESSING_S = 0.008


class Fleet:
    """All entry VMs, their network and the platform.

    Attributes:
      vms: the entry VMs.
      platform: the platform.
      loop: the simulated clock and its events.
      method: how the VMs learn of changes.
      activation_times: when each generation became active, by generation and
        VM.
    """

    def __init__(
        self,
        vms: list[EntryVm],
        platform: FakePlatform,
        loop: EventLoop,
        method: DistributionMethod,
        get_size_bytes: Callable[[object], int],
        vm_count: int,
        seed: int,
    ) -> None:
        self._vm_count = vm_count
        self.vms, self.platform, self.loop, self.method = (
            vms,
            platform,
            loop,
            method,
        )
        self._get_size_bytes = get_size_bytes
        self._random = random.Random(seed)
        self._by_address = {vm.address: vm for vm in vms}
        self.activation_times: dict[int, dict[str, float]] = {}

    def start(self, first: Configuration) -> None:
        """Joins all members and schedules the work of the product's threads."""
        members = [vm.tables.members.me for vm in self.vms]
        for vm in self.vms:
            self._join_members(vm, members, first)
            # The ticks of the VMs are out of phase.
            phase_s = vm.random.random() * _TICK_INTERVAL_S
            if self.method is DistributionMethod.FAN_OUT:
                self.loop.call_later(phase_s, lambda vm=vm: self._tick(vm))
            if self.method is DistributionMethod.POLL_PER_VM:
                self.loop.call_later(
                    vm.random.random() * _POLL_INTERVAL_S,
                    lambda vm=vm: self._poll(vm),
                )
                continue
            self.loop.call_later(phase_s, lambda vm=vm: self._watch(vm))
            self.loop.call_later(
                phase_s, lambda vm=vm: self._read_periodically(vm)
            )

    def _join_members(
        self, vm: EntryVm, members: list[Member], first: Configuration
    ) -> None:
        if self.method is DistributionMethod.FAN_OUT:
            peers = [
                member
                for member in members
                if self._by_address[member.address].region == vm.region
            ]
            joined = merge_members(vm.tables.members, peers, 0.0)
            vm.tables.members = dataclasses.replace(
                joined,
                next_probe_s=vm.random.random() * _PROBE_INTERVAL_S,
                member_sends={},
            )
        vm.tables.members = table.with_versions(
            vm.tables.members, Versions(first.generation, 1)
        )
        vm.tables.initial_fetch = None
        vm.tables.vm_list = VmList(1)
        vm.tables.adoption = Adoption(first, first)

    def _tick(self, vm: EntryVm) -> None:
        self._run_effects(vm, gossip.tick(vm.tables, vm.context))
        if vm.tables.adoption.pending_since_s is not None:
            self._run_effects(vm, documents.activate(vm.tables, vm.context))
        self.loop.call_later(_TICK_INTERVAL_S, lambda: self._tick(vm))

    def _watch(self, vm: EntryVm) -> None:
        def handle_outcome(outcome: Result[WatchBatch, PlatformError]) -> None:
            step = advance(vm.watch, outcome, vm.random.random)
            vm.watch = step.state
            for event in step.events:
                self._receive_configuration(vm, event.value)
            self.loop.call_later(step.delay_s, lambda: self._watch(vm))

        if self.method is DistributionMethod.WATCH_PER_VM or vm.is_watcher():
            self.platform.watch(
                vm.client, vm.watch.after, _WATCH_TIMEOUT_S, handle_outcome
            )
        else:
            no_events: Result[Any, PlatformError] = Ok(
                WatchBatch(vm.watch.after)
            )
            self.loop.call_later(
                _NON_WATCHER_INTERVAL_S, lambda: handle_outcome(no_events)
            )

    def _read_periodically(self, vm: EntryVm) -> None:
        interval_s = platform_reader._CHECK_INTERVAL_S

        def schedule_next(outcome: object = None) -> None:
            del outcome
            # Jitter of up to 25% of the interval.
            delay_s = interval_s * (0.75 + vm.random.random() / 2)
            self.loop.call_later(delay_s, lambda: self._read_periodically(vm))

        vm.since_read_s += interval_s
        watching = (
            self.method is DistributionMethod.WATCH_PER_VM or vm.is_watcher()
        )
        due_s = platform_reader.vm_list_interval_s(watching, vm.vm_count)
        if vm.since_read_s < due_s:
            schedule_next()
            return
        vm.since_read_s = 0.0
        self._read(vm, schedule_next, with_configuration=not watching)

    def _poll(self, vm: EntryVm) -> None:
        # Jitter of up to 25% of the interval.
        delay_s = _POLL_INTERVAL_S * (0.75 + vm.random.random() / 2)
        self._read(
            vm,
            lambda: self.loop.call_later(delay_s, lambda: self._poll(vm)),
            with_configuration=True,
        )

    def _read(
        self,
        vm: EntryVm,
        on_done: Callable[[], None],
        *,
        with_configuration: bool,
    ) -> None:
        def handle_vm_list(outcome: Result[VmList, PlatformError]) -> None:
            vm.vm_count = 0
            if isinstance(outcome, Ok):
                vm.vm_count = self._vm_count
                self._receive_vm_list(vm, outcome.ok_value)
            on_done()

        def handle_configuration(
            outcome: Result[Configuration, PlatformError],
        ) -> None:
            if isinstance(outcome, Ok):
                self._receive_configuration(vm, outcome.ok_value)
            self.platform.list_vms(vm.client, handle_vm_list)

        if with_configuration:
            self.platform.get(vm.client, handle_configuration)
        else:
            self.platform.list_vms(vm.client, handle_vm_list)

    def _receive_configuration(
        self,
        vm: EntryVm,
        configuration: Configuration,
        source: str = messages.PLATFORM_SOURCE,
    ) -> None:
        # Each VM gets a copy, since each process decodes its own document.
        # Adoption accepts an offered document if `choose_newer` returns the
        # same object. If the VMs shared one object, adoption would also accept
        # the document that is already stored.
        own_copy = dataclasses.replace(configuration)
        message = messages.ConfigurationReceived(source, own_copy)
        self._run_effects(
            vm, documents.receive_configuration(vm.tables, message, vm.context)
        )

    def _receive_vm_list(self, vm: EntryVm, vm_list: VmList) -> None:
        message = messages.VmListReceived(vm_list)
        self._run_effects(
            vm, documents.receive_vm_list(vm.tables, message, vm.context)
        )

    def _run_effects(self, vm: EntryVm, batch: effects.Effects) -> None:
        for effect in batch:
            if isinstance(effect, effects.SendDatagram):
                self._send(vm, effect.outgoing)
            elif isinstance(effect, effects.PullDocuments):
                self._pull_documents(vm, effect)
            elif isinstance(effect, effects.OfferConfiguration):
                self._offer_configuration(vm, effect)
        active = generation_of(vm.tables.adoption.active)
        by_vm = self.activation_times.setdefault(active, {})
        by_vm.setdefault(vm.name, self.loop.now_s)

    def _delay_s(self, vm: EntryVm, peer: EntryVm) -> float:
        one_way_s = (
            _SAME_ZONE_DELAY_S if vm.zone == peer.zone else _CROSS_ZONE_DELAY_S
        )
        return one_way_s * (1 + self._random.random())

    def _send(self, vm: EntryVm, outgoing: Outgoing) -> None:
        peer = self._by_address[outgoing.address]
        size = len(wire.encode(outgoing.message).unwrap()) + _UDP_BYTES
        vm.count_bytes(size)
        if self._random.random() < _LOSS_SHARE:
            return

        def arrive() -> None:
            peer.count_bytes(size)
            message = messages.PeerMessage(outgoing.message, self.loop.now_s)
            batch = gossip.receive(peer.tables, message, peer.context)
            self._run_effects(peer, batch)

        self.loop.call_later(self._delay_s(vm, peer), arrive)

    def _call_peer(
        self, vm: EntryVm, peer: EntryVm, serve: Callable[[], object]
    ) -> None:
        """Runs `serve` after a handshake and the earlier calls of the peer."""
        # A round trip for the handshake, and the request.
        path_s = 3 * self._delay_s(vm, peer)
        if self._random.random() < _LOSS_SHARE:
            path_s += _RETRANSMIT_S
        began_s = max(self.loop.now_s + path_s, peer.busy_until_s)
        peer.busy_until_s = began_s + _FETCH_PROCESSING_S
        self.loop.call_later(peer.busy_until_s - self.loop.now_s, serve)

    def _pull_documents(
        self, vm: EntryVm, effect: effects.PullDocuments
    ) -> None:
        peer = self._by_address[effect.address]

        def serve() -> None:
            tables = peer.tables
            # Only whether a document is included matters; its size is added
            # below.
            snapshot = make_snapshot(
                tables.members, b"-", b"-", effect.versions, self.loop.now_s
            )
            stored = tables.adoption.stored
            size = HEADER_BYTES + _MEMBER_BYTES * len(snapshot.members)
            if snapshot.configuration is not None:
                size += self._get_size_bytes(stored)
            if snapshot.vm_list is not None:
                size += self._get_size_bytes(tables.vm_list)
            vm.count_bytes(size)
            peer.count_bytes(size)
            vm_list = tables.vm_list
            self.loop.call_later(
                self._delay_s(vm, peer),
                lambda: self._receive_snapshot(
                    vm, peer, snapshot, stored, vm_list
                ),
            )

        self._call_peer(vm, peer, serve)

    def _receive_snapshot(
        self,
        vm: EntryVm,
        peer: EntryVm,
        snapshot: Snapshot,
        stored: Configuration | None,
        vm_list: VmList,
    ) -> None:
        message = messages.SnapshotFetched(snapshot)
        self._run_effects(
            vm, gossip.receive_snapshot(vm.tables, message, vm.context)
        )
        if snapshot.vm_list is not None:
            self._receive_vm_list(vm, vm_list)
        if snapshot.configuration is not None and stored is not None:
            self._receive_configuration(vm, stored, peer.address)

    def _offer_configuration(
        self, vm: EntryVm, effect: effects.OfferConfiguration
    ) -> None:
        peer = self._by_address[effect.address]
        size = self._get_size_bytes(effect.configuration) + HEADER_BYTES

        def serve() -> None:
            vm.count_bytes(size)
            peer.count_bytes(size)
            self._receive_configuration(peer, effect.configuration, "peer")
            versions = peer.tables.members.versions
            stored = messages.ConfigurationStored(
                versions.configuration_generation
            )
            self.loop.call_later(
                self._delay_s(vm, peer),
                lambda: self._run_effects(
                    vm,
                    documents.record_confirmation(
                        vm.tables, stored, vm.context
                    ),
                ),
            )

        self._call_peer(vm, peer, serve)


__all__ = ["Fleet"]
