"""What the reports delivered to a process say about its endpoints."""

from __future__ import annotations

from burdockspan.node.tables import Tables
from burdockspan.values.endpoint import LoadReport

_UNRESPONSIVE_AFTER_S = 2.0


class EndpointObserver:
    """Independent record of the load reports delivered to one process.

    Attributes:
      generation_before_restart: the active generation of the process that this
        one replaced, 0 if there was none.
    """

    def __init__(self) -> None:
        self.generation_before_restart = 0
        self._newest_reports: dict[str, LoadReport] = {}
        self._measured_s_by_endpoint: dict[str, float] = {}
        self._leaving: set[str] = set()

    def record_report(
        self, report: LoadReport, now_s: float, tables: Tables
    ) -> None:
        """Records a report that is delivered to the process now."""
        name = report.endpoint
        newest = self._newest_reports.get(name)
        if name not in tables.endpoints_by_name:
            return
        if newest is not None and report.measured_s <= newest.measured_s:
            return
        if newest is not None and newest.boot != report.boot:
            self._leaving.discard(name)
        self._newest_reports[name] = report
        self._measured_s_by_endpoint[name] = report.measured_s
        if report.leaving:
            self._leaving.add(name)

    def find_violation(
        self, name: str, now_s: float, tables: Tables
    ) -> str | None:
        """Returns why an endpoint must not be chosen, None if it may be."""
        report_age_s = now_s - self._measured_s_by_endpoint.get(
            name, float("-inf")
        )
        if report_age_s > _UNRESPONSIVE_AFTER_S:
            return (
                f"{name} was chosen {report_age_s:.2f} s after its last report"
            )
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
    # A planned stop takes effect at the next tick of the node, so a stop that
    # is due counts only once the node has drained the VM.
    due = {stop.vm for stop in active.stops if stop.at_s <= now_s}
    due &= tables.drained_vms | {drain.vm for drain in active.drains}
    return frozenset(due | {drain.vm for drain in active.drains})


__all__ = ["EndpointObserver"]
