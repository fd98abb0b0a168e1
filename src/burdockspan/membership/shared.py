"""Load reports, leaving statuses and crash records shared by gossip."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Mapping
from typing import TypeVar

from burdockspan.membership.values import (
    AgedReport,
    CrashKey,
    CrashRecord,
    LeavingStatus,
)
from burdockspan.values.endpoint import LoadReport

_K = TypeVar("_K")

CRASH_RECORD_LIFETIME_S = 600.0
REPORT_LIFETIME_S = 10.0

# Allowance for the transit time of a datagram: 1.5 ms between zones, the rest
# for queueing. It is added to the age of each received report.
_HOP_ALLOWANCE_S = 0.003
# A report replaces another one only if it was measured this much later. Copies
# of one report that took different paths differ by milliseconds, successive
# polls by 250 ms.
_MIN_MEASUREMENT_GAP_S = 0.1
# Bounds the memory that a burst of crash records can use on a node.
_CRASH_RECORDS_LIMIT = 10_000


@dataclasses.dataclass(frozen=True)
class SharedEntries:
    """Entries that all nodes share by gossip.

    An entry is disseminated as long as its key is in the mapping of sends,
    which counts how often this node has sent the entry.

    Attributes:
      reports: newest load report by endpoint.
      leaving_statuses: leaving status by endpoint.
      expiry_s_by_crash: crash records, as the expiry of each in monotonic
        seconds.
      report_sends: number of sends by endpoint, for reports.
      leaving_sends: number of sends by endpoint, for leaving statuses.
      crash_record_sends: number of sends, for crash records.
    """

    reports: Mapping[str, LoadReport] = dataclasses.field(default_factory=dict)
    leaving_statuses: Mapping[str, LeavingStatus] = dataclasses.field(
        default_factory=dict
    )
    expiry_s_by_crash: Mapping[CrashKey, float] = dataclasses.field(
        default_factory=dict
    )
    report_sends: Mapping[str, int] = dataclasses.field(default_factory=dict)
    leaving_sends: Mapping[str, int] = dataclasses.field(default_factory=dict)
    crash_record_sends: Mapping[CrashKey, int] = dataclasses.field(
        default_factory=dict
    )


def merge_reports(
    shared: SharedEntries, reports: Iterable[LoadReport]
) -> SharedEntries:
    """Returns the entries with newer reports added."""
    newer = {
        report.endpoint: report
        for report in reports
        if _is_newer(report, shared.reports.get(report.endpoint))
    }
    if not newer:
        return shared
    return dataclasses.replace(
        shared,
        reports={**shared.reports, **newer},
        report_sends={**shared.report_sends, **dict.fromkeys(newer, 0)},
    )


def merge_leaving_statuses(
    shared: SharedEntries, leaving_statuses: Iterable[LeavingStatus]
) -> SharedEntries:
    """Returns the entries with leaving statuses of higher precedence added."""
    newer: dict[str, LeavingStatus] = {}
    for status in leaving_statuses:
        known = newer.get(status.endpoint) or shared.leaving_statuses.get(
            status.endpoint
        )
        if known is None or _leaving_precedence(status) > _leaving_precedence(
            known
        ):
            newer[status.endpoint] = status
    if not newer:
        return shared
    return dataclasses.replace(
        shared,
        leaving_statuses={**shared.leaving_statuses, **newer},
        leaving_sends={**shared.leaving_sends, **dict.fromkeys(newer, 0)},
    )


def merge_crash_records(
    shared: SharedEntries,
    expiry_s_by_crash: Mapping[CrashKey, float],
    now_s: float,
) -> SharedEntries:
    """Returns the entries with new crash records added.

    A crash record that is already known keeps its expiry. Beyond the limit of
    10,000 records, new ones are dropped.

    Args:
      shared: known entries.
      expiry_s_by_crash: expiry of each crash record, monotonic seconds.
      now_s: monotonic seconds.
    """
    capacity = _CRASH_RECORDS_LIMIT - len(shared.expiry_s_by_crash)
    newer = {
        key: min(expires_s, now_s + CRASH_RECORD_LIFETIME_S)
        for key, expires_s in expiry_s_by_crash.items()
        if expires_s > now_s and key not in shared.expiry_s_by_crash
    }
    newer = dict(list(newer.items())[: max(0, capacity)])
    if not newer:
        return shared
    return dataclasses.replace(
        shared,
        expiry_s_by_crash={**shared.expiry_s_by_crash, **newer},
        crash_record_sends={
            **shared.crash_record_sends,
            **dict.fromkeys(newer, 0),
        },
    )


def prune(shared: SharedEntries, now_s: float) -> SharedEntries:
    """Returns the entries without expired reports and crash records."""
    reports = {
        name: report
        for name, report in shared.reports.items()
        if now_s - report.measured_s < REPORT_LIFETIME_S
    }
    expiry_s_by_crash = {
        key: expires_s
        for key, expires_s in shared.expiry_s_by_crash.items()
        if expires_s > now_s
    }
    return dataclasses.replace(
        shared,
        reports=reports,
        expiry_s_by_crash=expiry_s_by_crash,
        report_sends=_remaining_sends(shared.report_sends, reports),
        crash_record_sends=_remaining_sends(
            shared.crash_record_sends, expiry_s_by_crash
        ),
    )


def remove_leaving_statuses(
    shared: SharedEntries, endpoints: Iterable[str]
) -> SharedEntries:
    """Returns the entries without the leaving statuses of some endpoints."""
    removed = set(endpoints)
    leaving_statuses = {
        name: status
        for name, status in shared.leaving_statuses.items()
        if name not in removed
    }
    return dataclasses.replace(
        shared,
        leaving_statuses=leaving_statuses,
        leaving_sends=_remaining_sends(shared.leaving_sends, leaving_statuses),
    )


def to_aged_report(report: LoadReport, now_s: float) -> AgedReport:
    """Returns a load report for a message that is sent now."""
    age_s = max(0.0, now_s - report.measured_s)
    return AgedReport(
        report.endpoint,
        report.boot,
        report.leaving,
        report.pieces,
        report.free_pieces,
        report.running,
        report.waiting,
        math.ceil(age_s * 1000),
        report.role,
    )


def from_aged_report(report: AgedReport, now_s: float) -> LoadReport:
    """Returns a received load report, dated on this node's clock.

    The transit time is unknown. An allowance for it is added to the age at each
    hop, so that no copy appears newer than the measurement.
    """
    return LoadReport(
        report.endpoint,
        report.boot,
        report.leaving,
        report.pieces,
        report.free_pieces,
        report.running,
        report.waiting,
        now_s - report.age_ms / 1000 - _HOP_ALLOWANCE_S,
        report.role,
    )


def to_crash_record(
    key: CrashKey, expires_s: float, now_s: float
) -> CrashRecord | None:
    """Returns a crash record for a message that is sent now.

    Each hop reduces the remaining time by at least a second, so copies that
    nodes pass to each other expire no later than the original.

    Returns:
      None if the record is about to expire.
    """
    remaining_s = math.floor(expires_s - now_s) - 1
    return CrashRecord(key, remaining_s) if remaining_s > 0 else None


def expiry_by_crash(
    crash_records: Iterable[CrashRecord], now_s: float
) -> dict[CrashKey, float]:
    """Returns the expiry of received crash records, on this node's clock."""
    return {
        crash_record.key: now_s + crash_record.remaining_s
        for crash_record in crash_records
    }


def _is_newer(report: LoadReport, known: LoadReport | None) -> bool:
    return (
        known is None
        or report.measured_s > known.measured_s + _MIN_MEASUREMENT_GAP_S
    )


def _leaving_precedence(status: LeavingStatus) -> tuple[int, bool]:
    return status.generation, status.leaving


def _remaining_sends(
    sends: Mapping[_K, int], entries: Mapping[_K, object]
) -> dict[_K, int]:
    return {key: count for key, count in sends.items() if key in entries}


__all__ = [
    "REPORT_LIFETIME_S",
    "CRASH_RECORD_LIFETIME_S",
    "SharedEntries",
    "merge_leaving_statuses",
    "merge_reports",
    "merge_crash_records",
    "to_aged_report",
    "to_crash_record",
    "remove_leaving_statuses",
    "from_aged_report",
    "expiry_by_crash",
    "prune",
]
