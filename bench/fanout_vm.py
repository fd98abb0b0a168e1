"""One simulated entry VM, and the methods by which it learns of changes."""

from __future__ import annotations

import enum
import random

from bench.fanout_platform import VmClient
from bench.loop import EventLoop
from burdockspan.membership import ownership, table
from burdockspan.membership.table import make_members
from burdockspan.node import platform_reader
from burdockspan.node.context import Context
from burdockspan.node.tables import Tables
from burdockspan.object_api.calls import make_call_limiter
from burdockspan.object_api.watch import WatchState
from burdockspan.settings import Settings


class DistributionMethod(enum.Enum):
    """How entry VMs learn of configuration changes.

    With WATCH_PER_VM each VM has a watch on the platform. With FAN_OUT two VMs
    per zone have one, and gossip disseminates the change. With POLL_PER_VM each
    VM polls the platform.
    """

    WATCH_PER_VM = "watch per VM"
    FAN_OUT = "two per zone"
    POLL_PER_VM = "poll per VM"


class EntryVm:
    """State of one entry VM in the simulation.

    Attributes:
      name: name of the VM.
      address: peer address.
      zone: availability zone.
      region: region.
      random: random source of the VM.
      context: context of the node.
      tables: state of the node.
      client: the VM as a client of the platform.
      watch: state of its watch.
      since_read_s: time since its last read of the platform.
      vm_count: number of VMs in the last VM list, 0 if the read failed.
      busy_until_s: when the node has served the calls of its peers.
      transferred_bytes: bytes sent and received.
      cached_watcher: the member table of the last watcher selection, and
        whether the VM was selected.
    """

    def __init__(
        self, number: int, zone: str, region: str, loop: EventLoop, seed: int
    ) -> None:
        self.name = f"entry-{number:03d}"
        self.address = f"10.0.{number // 250}.{number % 250 + 1}:7000"
        self.zone, self.region = zone, region
        self.random = random.Random(seed * 1000 + number)
        settings = Settings(
            self.name,
            zone,
            region,
            "127.0.0.1:1",
            "127.0.0.1:2",
            self.address,
            "http://127.0.0.1:4",
        )
        self.context = Context(
            settings,
            lambda: loop.now_s,
            lambda: 1.8e9,
            self.random.random,
        )
        self.tables = Tables(
            make_members(
                vm=self.name,
                address=self.address,
                availability_zone=zone,
                region=region,
                seeds=(),
                now_s=0.0,
                wall_s=1.0,
            )
        )
        self.client = VmClient(
            zone,
            make_call_limiter(lambda: loop.now_s),
            self.random.random,
            self.count_bytes,
        )
        self.watch = WatchState()
        self.since_read_s = platform_reader.initial_elapsed_s(
            self.random.random
        )
        self.vm_count = 0
        self.busy_until_s = 0.0
        self.transferred_bytes = 0
        self.cached_watcher: tuple[object, bool] = (None, False)

    def count_bytes(self, size: int) -> None:
        """Adds bytes that this VM sent or received."""
        self.transferred_bytes += size

    def is_watcher(self) -> bool:
        """Returns whether the product would choose this VM as a watcher."""
        by_vm = self.tables.members.by_vm
        if self.cached_watcher[0] is not by_vm:
            live = table.live_vms(self.tables.members, self.zone)
            chosen = ownership.watchers(self.zone, live)
            self.cached_watcher = (by_vm, self.name in chosen)
        return self.cached_watcher[1]


__all__ = ["DistributionMethod", "EntryVm"]
