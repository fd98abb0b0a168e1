"""One fleet of entry VMs that passes through all phases of a comparison."""

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
_PARTITIONED_ZONE = _ZONES[0]
_CLIENTS = 440
_ENDPOINTS_PER_VM = 660 / 350
_WARM_UP_S = 5.0
# VMs read the platform every 30 s, so this covers two reads.
_STEADY_S = 60.0
_CHANGES = 5
_CHANGE_INTERVAL_S = 7.0
_SLOW_SERVICE_S = 0.8
_PARTITION_S = 20.0
_OUTAGE_S = 40.0
_RECOVERY_S = 12.0


@dataclasses.dataclass(frozen=True)
class Figures:
    """Figures of one run.

    Attributes:
      calls_per_s: platform calls of all VMs in steady operation.
      peak_calls: most platform calls of all VMs within one second in steady
        operation.
      bytes_per_s: mean of the control bytes per VM in steady operation.
      worst_bytes_per_s: control bytes of the VM that has the most.
      change_bytes: mean of the bytes per VM that one change adds.
      changes_s: time until each change was active on the last VM.
      slow_s: like changes_s, while the platform takes 0.8 s to answer.
      cut_s: like changes_s, in the other zones while one zone is partitioned.
      cut_zone_s: like changes_s, in the partitioned zone.
      outage_peak: most calls attempted within any one second of the outage.
      return_peak: most calls within any one second after the outage.
      return_s: time from a change at the end of the outage until it was active
        on the last VM.
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
    """One fleet that passes through all phases."""

    def __init__(
        self, method: DistributionMethod, size: int, seed: int
    ) -> None:
        self.random = random.Random(seed)
        self.loop = EventLoop()
        self.generation = 1
        sizes = {
            Configuration: len(dump_configuration(_make_configuration(1))),
            VmList: _vm_list_bytes(size),
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
            method,
            lambda value: sizes[type(value)],
            _count_vms(size),
            seed,
        )
        self.fleet.start(first)

    def run(self) -> Figures:
        """Runs all phases and returns their figures."""
        self._advance(_WARM_UP_S)
        began_s, before = self.loop.now_s, self._list_bytes()
        self._advance(_STEADY_S)
        spent_bytes = [
            b - a for a, b in zip(before, self._list_bytes(), strict=True)
        ]
        call_count = self._count_calls(began_s)
        peak_calls = self._find_peak(began_s)
        bytes_per_s = statistics.mean(spent_bytes) / _STEADY_S
        began_s, before = self.loop.now_s, self._list_bytes()
        changes = self._write_changes(_CHANGES)
        added_bytes = (
            statistics.mean(self._list_bytes()) - statistics.mean(before)
        ) - bytes_per_s * (self.loop.now_s - began_s)
        normal_s = self.platform.service_time_s
        self.platform.service_time_s = _SLOW_SERVICE_S
        slow = self._write_changes(2)
        self.platform.service_time_s = normal_s
        during_partition = self._run_partition()
        cut_s = [
            self._propagation_time_s(written, partitioned=False)
            for written in during_partition
        ]
        cut_zone_s = [
            self._propagation_time_s(written, partitioned=True)
            for written in during_partition
        ]
        outage_peak, return_peak, return_change = self._run_outage()
        return Figures(
            call_count / _STEADY_S,
            peak_calls,
            bytes_per_s,
            max(spent_bytes) / _STEADY_S,
            added_bytes / _CHANGES,
            tuple(map(self._propagation_time_s, changes)),
            tuple(map(self._propagation_time_s, slow)),
            tuple(cut_s),
            tuple(cut_zone_s),
            outage_peak,
            return_peak,
            self._propagation_time_s(return_change),
        )

    def _advance(self, duration_s: float) -> None:
        until_s = self.loop.now_s + duration_s
        self.loop.run_until(until_s)
        self.loop.now_s = until_s

    def _write(self) -> tuple[int, float]:
        self.generation += 1
        self.platform.write(_make_configuration(self.generation))
        return self.generation, self.loop.now_s

    def _write_changes(self, count: int) -> list[tuple[int, float]]:
        written = []
        for _ in range(count):
            offset_s = self.random.random() * 3.0
            self._advance(offset_s)
            written.append(self._write())
            self._advance(_CHANGE_INTERVAL_S - offset_s)
        return written

    def _run_partition(self) -> list[tuple[int, float]]:
        self.platform.unreachable_zones = frozenset([_PARTITIONED_ZONE])
        written = self._write_changes(2)
        self._advance(_PARTITION_S - 2 * _CHANGE_INTERVAL_S)
        self.platform.unreachable_zones = frozenset()
        self._advance(_RECOVERY_S)
        return written

    def _run_outage(self) -> tuple[int, int, tuple[int, float]]:
        began_s = self.loop.now_s
        self.platform.begin_outage()
        self._advance(_OUTAGE_S)
        outage_peak = self._find_peak(began_s)
        self.platform.outage = False
        ended_s = self.loop.now_s
        written = self._write()
        self._advance(_RECOVERY_S)
        return outage_peak, self._find_peak(ended_s), written

    def _propagation_time_s(
        self, written: tuple[int, float], partitioned: bool | None = None
    ) -> float:
        """Returns the time until a change was active on the last VM.

        Args:
          written: generation and time of the change.
          partitioned: True for the VMs of the partitioned zone only, False for
            the others only, None for all.
        """
        generation, at_s = written
        times = []
        for vm in self.vms:
            if (
                partitioned is not None
                and (vm.zone == _PARTITIONED_ZONE) != partitioned
            ):
                continue
            activated_s = [
                by_vm[vm.name]
                for activated, by_vm in self.fleet.activation_times.items()
                if activated >= generation and vm.name in by_vm
            ]
            times.append(min(activated_s, default=float("inf")) - at_s)
        return max(times, default=0.0)

    def _list_bytes(self) -> list[int]:
        return [vm.transferred_bytes for vm in self.vms]

    def _count_calls(self, since_s: float) -> int:
        return sum(at_s >= since_s for at_s in self.platform.call_times_s)

    def _find_peak(self, since_s: float) -> int:
        """Returns the most calls in any window of 1 s."""
        times = sorted(
            at_s for at_s in self.platform.call_times_s if at_s >= since_s
        )
        first = most = 0
        for last, at_s in enumerate(times):
            while times[first] <= at_s - 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most


def measure(task: tuple[DistributionMethod, int, int]) -> Figures:
    """Returns the figures of one method, number of entry VMs and seed."""
    return _Run(*task).run()


def _make_configuration(generation: int) -> Configuration:
    clients = tuple(
        Client(f"client-{number}", f"{number:064x}", 10.0, 10)
        for number in range(_CLIENTS)
    )
    return Configuration(generation, "bench", clients=clients)


def _count_vms(entries: int) -> int:
    return entries + round(entries * _ENDPOINTS_PER_VM)


def _vm_list_bytes(entries: int) -> int:
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
