"""What the news that reached a process says of its endpoints."""

from __future__ import annotations

from burdockspan.node.tables import Tables
from burdockspan.values.endpoint import LoadReport

_SILENCE_LIMIT_S = 2.0


class EndpointObserver:
    """An observer's own record of the reports told to one process."""

    def __init__(self) -> None:
        self.generation_before = 0
        self._newest: dict[str, LoadReport] = {}
        self._heard_s: dict[str, float] = {}
        self._leaving: set[str] = set()

    def record_report(
        self, report: LoadReport, now_s: float, tables: Tables
    ) -> None:
        """Notes a report that the process is told now."""
        name = report.endpoint
        held = self._newest.get(name)
        if name not in tables.endpoints_by_name:
            return
        if held is not None and report.measured_s <= held.measured_s:
            return
        if held is not None and held.boot != report.boot:
            self._leaving.discard(name)
        self._newest[name] = report
        self._heard_s[name] = report.measured_s
        if report.leaving:
            self._leaving.add(name)

    def find_problem(
        self, name: str, now_s: float, tables: Tables
    ) -> str | None:
        """Returns why an endpoint must not be chosen, None if it may."""
        silent_s = now_s - self._heard_s.get(name, float("-inf"))
        if silent_s > _SILENCE_LIMIT_S:
            return f"{name} was chosen {silent_s:.2f} s after its last word"
        if name in self._leaving:
            return f"{name} was chosen although it is leaving"
        if name in _find_drained(tables, now_s):
            return f"{name} was chosen although it is drained"
        if any(vm.name == name and vm.leaving for vm in tables.vm_list.vms):
            return f"{name} was chosen although the VM list removes it"
        return None


def _find_drained(tables: Tables, now_s: float) -> frozenset[str]:
    active = tables.adoption.active
    if active is None:
        return frozenset()
    # A stop acts at the next tick; the model looks a tick later.
    due = {stop.vm for stop in active.stops if stop.at_s <= now_s}
    due &= tables.drained_vms | {drain.vm for drain in active.drains}
    return frozenset(due | {drain.vm for drain in active.drains})


__all__ = ["EndpointObserver"]
