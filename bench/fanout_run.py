"""One fleet of entry VMs that passes through all parts of a comparison."""

from __future__ import annotations

import dataclasses
import random
import statistics

from bench.fanout_fleet import Fleet
from bench.fanout_platform import FakePlatform
from bench.fanout_vm import DistributionMethod, EntryVm
from bench.loop import EventLoop
from burdockspan.configuration.codec import dump_configuration
from burdockspan.configuration.document import Client, Configuration
from burdockspan.object_api.vm_codec import dump_vm_list
from burdockspan.object_api.vms import Vm, VmList, VmRole

_ZONES = tuple(f"zone-{letter}" for letter in "abcdefg")
_REGION_BY_ZONE = {
    zone: "nl-west" if zone < "zone-e" else "maghreb-north" for zone in _ZONES
}
_CUT_ZONE = _ZONES[0]
_CLIENTS = 440
_ENDPOINTS_PER_VM = 660 / 350
_WARM_S = 5.0
# Two intervals of the reads that VMs make every 30 s.
_STEADY_S = 60.0
_CHANGES = 5
_GAP_S = 7.0
_SLOW_SERVICE_S = 0.8
_CUT_S = 20.0
_OUTAGE_S = 40.0
_RETURN_S = 12.0


@dataclasses.dataclass(frozen=True)
class Figures:
    """What one run showed.

    Attributes:
      calls_per_s: platform calls of all VMs in steady operation.
      peak_calls: most platform calls of all VMs in one second, steady.
      bytes_per_s: control bytes of the mean VM in steady operation.
      worst_bytes_per_s: the same of the VM with the most.
      change_bytes: bytes that one change adds at the mean VM.
      changes_s: time until each change was in force on the last VM.
      slow_s: the same while the platform takes 0.8 s to answer.
      cut_s: the same while one zone is cut off, over the other zones.
      cut_zone_s: the same over the zone that is cut off.
      outage_peak: most calls attempted in one second of an outage.
      return_peak: most calls in one second after the outage.
      return_s: time from a change at the return until the last VM.
    """

    calls_per_s: float
    peak_calls: int
    bytes_per_s: float
    worst_bytes_per_s: float
    change_bytes: float
    changes_s: tuple[float, ...]
    slow_s: tuple[float, ...]
    cut_s: tuple[float, ...]
    cut_zone_s: tuple[float, ...]
    outage_peak: int
    return_peak: int
    return_s: float


class _Run:
    """One fleet that passes through all parts."""

    def __init__(self, way: DistributionMethod, size: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.loop = EventLoop()
        self.generation = 1
        sizes = {
            Configuration: len(dump_configuration(_make_configuration(1))),
            VmList: _measure_vm_list(size),
        }
        first = _make_configuration(1)
        self.platform = FakePlatform(
            self.loop, lambda value: sizes[type(value)], first
        )
        self.vms = [
            EntryVm(number, zone, _REGION_BY_ZONE[zone], self.loop, seed)
            for number in range(size)
            for zone in (_ZONES[number % len(_ZONES)],)
        ]
        self.fleet = Fleet(
            self.vms,
            self.platform,
            self.loop,
            way,
            lambda value: sizes[type(value)],
            _count_vms(size),
            seed,
        )
        self.fleet.start(first)

    def run(self) -> Figures:
        """Returns the figures of all parts."""
        self._go(_WARM_S)
        began_s, before = self.loop.now_s, self._bytes()
        self._go(_STEADY_S)
        spent = [b - a for a, b in zip(before, self._bytes(), strict=True)]
        calls = self._count_calls(began_s)
        peak = self._peak(began_s)
        rate = statistics.mean(spent) / _STEADY_S
        began_s, before = self.loop.now_s, self._bytes()
        changes = self._change(_CHANGES)
        added = (
            statistics.mean(self._bytes()) - statistics.mean(before)
        ) - rate * (self.loop.now_s - began_s)
        normal_s = self.platform.service_time_s
        self.platform.service_time_s = _SLOW_SERVICE_S
        slow = self._change(2)
        self.platform.service_time_s = normal_s
        cut = self._cut()
        cut_s = [self._last_s(written, cut=False) for written in cut]
        cut_zone_s = [self._last_s(written, cut=True) for written in cut]
        outage_peak, return_peak, back = self._outage()
        return Figures(
            calls / _STEADY_S,
            peak,
            rate,
            max(spent) / _STEADY_S,
            added / _CHANGES,
            tuple(map(self._last_s, changes)),
            tuple(map(self._last_s, slow)),
            tuple(cut_s),
            tuple(cut_zone_s),
            outage_peak,
            return_peak,
            self._last_s(back),
        )

    def _go(self, duration_s: float) -> None:
        until_s = self.loop.now_s + duration_s
        self.loop.run_until(until_s)
        self.loop.now_s = until_s

    def _write(self) -> tuple[int, float]:
        self.generation += 1
        self.platform.write(_make_configuration(self.generation))
        return self.generation, self.loop.now_s

    def _change(self, count: int) -> list[tuple[int, float]]:
        written = []
        for _ in range(count):
            offset_s = self.random.random() * 3.0
            self._go(offset_s)
            written.append(self._write())
            self._go(_GAP_S - offset_s)
        return written

    def _cut(self) -> list[tuple[int, float]]:
        self.platform.cut_zones = frozenset([_CUT_ZONE])
        written = self._change(2)
        self._go(_CUT_S - 2 * _GAP_S)
        self.platform.cut_zones = frozenset()
        self._go(_RETURN_S)
        return written

    def _outage(self) -> tuple[int, int, tuple[int, float]]:
        began_s = self.loop.now_s
        self.platform.begin_outage()
        self._go(_OUTAGE_S)
        outage_peak = self._peak(began_s)
        self.platform.out = False
        ended_s = self.loop.now_s
        written = self._write()
        self._go(_RETURN_S)
        return outage_peak, self._peak(ended_s), written

    def _last_s(
        self, written: tuple[int, float], cut: bool | None = None
    ) -> float:
        """Returns the time to the last VM of all, of or outside the cut."""
        generation, at_s = written
        times = []
        for vm in self.vms:
            if cut is not None and (vm.zone == _CUT_ZONE) != cut:
                continue
            reached = [
                by_vm[vm.name]
                for number, by_vm in self.fleet.active_s.items()
                if number >= generation and vm.name in by_vm
            ]
            times.append(min(reached, default=float("inf")) - at_s)
        return max(times, default=0.0)

    def _bytes(self) -> list[int]:
        return [vm.bytes for vm in self.vms]

    def _count_calls(self, since_s: float) -> int:
        return sum(at_s >= since_s for at_s in self.platform.calls)

    def _peak(self, since_s: float) -> int:
        """Returns the most calls in any window of 1 s."""
        times = sorted(at for at in self.platform.calls if at >= since_s)
        first = most = 0
        for last, at_s in enumerate(times):
            while times[first] <= at_s - 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most


def measure(task: tuple[DistributionMethod, int, int]) -> Figures:
    """Returns the figures of one way, number of entry VMs and seed."""
    return _Run(*task).run()


def _make_configuration(generation: int) -> Configuration:
    clients = tuple(
        Client(f"client-{number}", f"{number:064x}", 10.0, 10)
        for number in range(_CLIENTS)
    )
    return Configuration(generation, "bench", clients=clients)


def _count_vms(entries: int) -> int:
    return entries + round(entries * _ENDPOINTS_PER_VM)


def _measure_vm_list(entries: int) -> int:
    roles = [VmRole.ENTRY] * entries
    roles += [VmRole.DECODE] * (_count_vms(entries) - entries)
    vms = tuple(
        Vm(
            f"vm-{number:04d}",
            _ZONES[number % 7],
            f"10.0.{number // 250}.{number % 250 + 1}:8000",
            "qalam-models",
            role,
            False,
        )
        for number, role in enumerate(roles)
    )
    return len(dump_vm_list(VmList(1, vms)))


__all__ = ["Figures", "measure"]
