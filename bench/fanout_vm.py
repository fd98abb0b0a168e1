"""One simulated entry VM, and the ways in which it can hear of changes."""

from __future__ import annotations

import enum
import random

from bench.fanout_platform import Caller
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
    """How entry VMs hear of changes."""

    WATCH_PER_VM = "watch per VM"
    FAN_OUT = "two per zone"
    POLL_PER_VM = "poll per VM"


class EntryVm:
    """State of one entry VM in the simulation."""

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
        self.caller = Caller(
            zone,
            make_call_limiter(lambda: loop.now_s),
            self.random.random,
            self.count_bytes,
        )
        self.watch = WatchState()
        self.waited_s = platform_reader.initial_elapsed_s(self.random.random)
        self.listed = 0
        self.busy_s = 0.0
        self.bytes = 0
        self.watching: tuple[object, bool] = (None, False)

    def count_bytes(self, size: int) -> None:
        """Counts bytes that this VM sent or received."""
        self.bytes += size

    def is_watcher(self) -> bool:
        """Returns whether the product would let this VM watch."""
        by_vm = self.tables.members.by_vm
        if self.watching[0] is not by_vm:
            live = table.live_vms(self.tables.members, self.zone)
            chosen = ownership.watchers(self.zone, live)
            self.watching = (by_vm, self.name in chosen)
        return self.watching[1]


__all__ = ["EntryVm", "DistributionMethod"]
