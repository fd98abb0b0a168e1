"""Load reports, leaving marks and strikes that nodes share by gossip."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Mapping
from typing import TypeVar

from burdockspan.membership.values import (
    AgedReport,
    LeavingMark,
    Strike,
    StrikeKey,
)
from burdockspan.values.endpoint import LoadReport

_K = TypeVar("_K")

STRIKE_LIFE_S = 600.0
REPORT_LIFE_S = 10.0

# Zones are 1.5 ms apart; the rest is for queues on the way.
_HOP_S = 0.003
# A copy of a known report that took another path differs by milliseconds. It
# is not newer; polls are 250 ms apart.
_NEWER_S = 0.1
# Bounds the memory that a burst of strikes can take on a node.
_STRIKES_LIMIT = 10_000


@dataclasses.dataclass(frozen=True)
class Shared:
    """Entries that nodes share, and how often each was sent.

    Attributes:
      reports: newest load report by endpoint.
      marks: leaving mark by endpoint.
      strikes: expiry of each strike, seconds on the monotonic clock.
      report_sends: times sent, for reports that are still spread.
      mark_sends: times sent, for marks that are still spread.
      strike_sends: times sent, for strikes that are still spread.
    """

    reports: Mapping[str, LoadReport] = dataclasses.field(default_factory=dict)
    marks: Mapping[str, LeavingMark] = dataclasses.field(default_factory=dict)
    strikes: Mapping[StrikeKey, float] = dataclasses.field(default_factory=dict)
    report_sends: Mapping[str, int] = dataclasses.field(default_factory=dict)
    mark_sends: Mapping[str, int] = dataclasses.field(default_factory=dict)
    strike_sends: Mapping[StrikeKey, int] = dataclasses.field(
        default_factory=dict
    )


def add_reports(shared: Shared, reports: Iterable[LoadReport]) -> Shared:
    """Returns the entries with newer reports taken over."""
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


def add_marks(shared: Shared, marks: Iterable[LeavingMark]) -> Shared:
    """Returns the entries with marks of higher precedence taken over."""
    newer: dict[str, LeavingMark] = {}
    for mark in marks:
        held = newer.get(mark.endpoint) or shared.marks.get(mark.endpoint)
        if held is None or _mark_rank(mark) > _mark_rank(held):
            newer[mark.endpoint] = mark
    if not newer:
        return shared
    return dataclasses.replace(
        shared,
        marks={**shared.marks, **newer},
        mark_sends={**shared.mark_sends, **dict.fromkeys(newer, 0)},
    )


def add_strikes(
    shared: Shared, strikes: Mapping[StrikeKey, float], now_s: float
) -> Shared:
    """Returns the union of strikes; a known strike keeps its expiry.

    Args:
      shared: entries held.
      strikes: expiry of each strike, seconds on the monotonic clock.
      now_s: now on the same clock.
    """
    room = _STRIKES_LIMIT - len(shared.strikes)
    newer = {
        key: min(expires_s, now_s + STRIKE_LIFE_S)
        for key, expires_s in strikes.items()
        if expires_s > now_s and key not in shared.strikes
    }
    newer = dict(list(newer.items())[: max(0, room)])
    if not newer:
        return shared
    return dataclasses.replace(
        shared,
        strikes={**shared.strikes, **newer},
        strike_sends={**shared.strike_sends, **dict.fromkeys(newer, 0)},
    )


def prune(shared: Shared, now_s: float) -> Shared:
    """Returns the entries without expired reports and strikes."""
    reports = {
        name: report
        for name, report in shared.reports.items()
        if now_s - report.measured_s < REPORT_LIFE_S
    }
    strikes = {
        key: expires_s
        for key, expires_s in shared.strikes.items()
        if expires_s > now_s
    }
    return dataclasses.replace(
        shared,
        reports=reports,
        strikes=strikes,
        report_sends=_keep(shared.report_sends, reports),
        strike_sends=_keep(shared.strike_sends, strikes),
    )


def forget_marks(shared: Shared, endpoints: Iterable[str]) -> Shared:
    """Returns the entries without the marks of endpoints that are gone."""
    gone = set(endpoints)
    marks = {
        name: mark for name, mark in shared.marks.items() if name not in gone
    }
    return dataclasses.replace(
        shared, marks=marks, mark_sends=_keep(shared.mark_sends, marks)
    )


def age_report(report: LoadReport, now_s: float) -> AgedReport:
    """Returns a report for a message that is sent now."""
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


def place_report(report: AgedReport, now_s: float) -> LoadReport:
    """Returns a received report on this node's clock.

    The time on the way is unknown. An allowance is added for each hop, so
    that a copy never looks newer than the measurement.
    """
    return LoadReport(
        report.endpoint,
        report.boot,
        report.leaving,
        report.pieces,
        report.free_pieces,
        report.running,
        report.waiting,
        now_s - report.age_ms / 1000 - _HOP_S,
        report.role,
    )


def age_strike(key: StrikeKey, expires_s: float, now_s: float) -> Strike | None:
    """Returns a strike for a message that is sent now, None if about to expire.

    Each hop takes off a second, so that copies that nodes hand to each other
    expire and never live longer than the first.
    """
    remaining_s = math.floor(expires_s - now_s) - 1
    return Strike(key, remaining_s) if remaining_s > 0 else None


def place_strikes(
    strikes: Iterable[Strike], now_s: float
) -> dict[StrikeKey, float]:
    """Returns the expiry of received strikes on this node's clock."""
    return {strike.key: now_s + strike.remaining_s for strike in strikes}


def _is_newer(report: LoadReport, held: LoadReport | None) -> bool:
    return held is None or report.measured_s > held.measured_s + _NEWER_S


def _mark_rank(mark: LeavingMark) -> tuple[int, bool]:
    return mark.generation, mark.leaving


def _keep(sends: Mapping[_K, int], held: Mapping[_K, object]) -> dict[_K, int]:
    return {key: count for key, count in sends.items() if key in held}


__all__ = [
    "REPORT_LIFE_S",
    "STRIKE_LIFE_S",
    "Shared",
    "add_marks",
    "add_reports",
    "add_strikes",
    "age_report",
    "age_strike",
    "forget_marks",
    "place_report",
    "place_strikes",
    "prune",
]
