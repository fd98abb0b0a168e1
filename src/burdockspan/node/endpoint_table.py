"""The node's table of endpoints."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

from burdockspan.node.catalog import Catalog, delay_ms
from burdockspan.placement import memory, prefix
from burdockspan.placement.memory import Reservation
from burdockspan.resilience import breaker
from burdockspan.resilience.breaker import BreakerState
from burdockspan.values.endpoint import (
    Endpoint,
    EndpointView,
    LoadReport,
    Pool,
)
from burdockspan.values.ids import AttemptId

# With polls every 250 ms and gossip this leaves room for two lost polls, and
# still stops new work to a leaving endpoint within 3 s.
UNRESPONSIVE_AFTER_S = 2.0

# Prompt tokens assumed for a call of another node that waits at an engine.
_FOREIGN_PROMPT_TOKENS = 1000
_UNLIMITED_CALLS = 1_000_000


@dataclasses.dataclass(frozen=True)
class EndpointRow:
    """One endpoint.

    Attributes:
      endpoint: the endpoint.
      report: its newest load report.
      breaker: its circuit breaker.
      drained: whether the VM list, a drain or a planned stop removes it.
      self_leaving: whether its process says that it takes no new work.
      refused_s: when it last refused work as leaving, as far as is known.
      heard_s: when a newer report last arrived, monotonic seconds.
      reservations: this node's, by attempt, until a report includes them.
      prompt_tokens: tokens of this node's attempts that it prefills.
      boot: identity of its process in the newest report.
      previous_boot: identity of the process before; empty for the first.
    """

    endpoint: Endpoint
    report: LoadReport | None = None
    breaker: BreakerState = dataclasses.field(default_factory=BreakerState)
    drained: bool = False
    self_leaving: bool = False
    refused_s: float = float("-inf")
    report_received_s: float = float("-inf")
    reservations: Mapping[AttemptId, Reservation] = dataclasses.field(
        default_factory=dict
    )
    prompt_tokens: Mapping[AttemptId, int] = dataclasses.field(
        default_factory=dict
    )
    boot: str = ""
    previous_boot: str = ""

    @property
    def leaving(self) -> bool:
        """Whether it takes no new work, from any source."""
        return self.drained or self.self_leaving


def replace_endpoints(
    rows: Mapping[str, EndpointRow], endpoints: Iterable[Endpoint]
) -> dict[str, EndpointRow]:
    """Returns the table for a new list of endpoints; known ones keep state."""
    replaced = {}
    for endpoint in endpoints:
        row = rows.get(endpoint.name)
        if row is None or row.endpoint.address != endpoint.address:
            row = EndpointRow(endpoint)
        replaced[endpoint.name] = dataclasses.replace(row, endpoint=endpoint)
    return replaced


def accept_report(
    row: EndpointRow, report: LoadReport, report_received_s: float
) -> EndpointRow:
    """Returns the row after a load report; older reports change nothing.

    `heard_s` is when the endpoint was asked, as far as is known, in monotonic
    seconds.

    A release that the report was measured after changes no expectation, and its
    reservation is dropped.

    A new boot identity means that the process was replaced: it holds none of
    the earlier reservations, and what is known of its leaving is void.
    """
    if row.report is not None and report.measured_s <= row.report.measured_s:
        return row
    restarted = bool(row.boot) and report.boot != row.boot
    kept = {
        attempt: reservation
        for attempt, reservation in row.reservations.items()
        if not restarted
        and (
            reservation.released_s is None
            or reservation.released_s >= report.measured_s
        )
    }
    # A report measured before the endpoint refused work says nothing of that.
    refused_since = report.measured_s <= row.refused_s
    leaving = row.self_leaving and refused_since and not restarted
    return dataclasses.replace(
        row,
        report=report,
        boot=report.boot,
        previous_boot=row.boot if restarted else row.previous_boot,
        report_received_s=max(row.report_received_s, report_received_s),
        self_leaving=leaving or report.leaving,
        reservations=kept,
        breaker=BreakerState() if restarted else row.breaker,
    )


def record_full(row: EndpointRow, now_s: float) -> EndpointRow:
    """Returns the row after its engine refused a reservation as full."""
    report = row.report
    if report is None:
        report = LoadReport(
            row.endpoint.name, "", False, row.endpoint.pieces, 0, 0, 0, now_s
        )
    return dataclasses.replace(
        row,
        report=dataclasses.replace(report, free_pieces=0, measured_s=now_s),
    )


def record_leaving(row: EndpointRow, now_s: float) -> EndpointRow:
    """Returns the row of an endpoint that refused work because it leaves.

    It counts as leaving until a later report says otherwise.
    """
    return dataclasses.replace(row, self_leaving=True, refused_s=now_s)


def set_breaker(row: EndpointRow, state: BreakerState) -> EndpointRow:
    """Returns the row with another state of its circuit breaker."""
    return dataclasses.replace(row, breaker=state)


def free_capacity(row: EndpointRow) -> int:
    """Returns the expected free pieces, or free calls of a plain service."""
    if row.endpoint.pool is Pool.DECODE:
        return memory.expected_free_pieces(
            row.endpoint.pieces, row.report, row.reservations.values()
        )
    if row.endpoint.concurrency == 0:
        return _UNLIMITED_CALLS
    own = sum(
        reservation.released_s is None
        for reservation in row.reservations.values()
    )
    return max(0, row.endpoint.concurrency - own)


def reserve(
    row: EndpointRow, attempt: AttemptId, pieces: int, prompt_tokens: int
) -> EndpointRow:
    """Returns the row after an attempt was placed there."""
    reservations = dict(row.reservations)
    tokens = dict(row.prompt_tokens)
    if row.endpoint.pool is Pool.PREFILL:
        tokens[attempt] = prompt_tokens
    reservations[attempt] = Reservation(row.endpoint.name, pieces)
    return dataclasses.replace(
        row, reservations=reservations, prompt_tokens=tokens
    )


def confirm(row: EndpointRow, attempt: AttemptId, now_s: float) -> EndpointRow:
    """Returns the row after the endpoint took an attempt in."""
    reservation = row.reservations.get(attempt)
    if reservation is None or reservation.confirmed_s is not None:
        return row
    confirmed = dataclasses.replace(reservation, confirmed_s=now_s)
    return dataclasses.replace(
        row, reservations={**row.reservations, attempt: confirmed}
    )


def release(row: EndpointRow, attempt: AttemptId, now_s: float) -> EndpointRow:
    """Returns the row after an attempt has left the endpoint."""
    tokens = {
        key: count for key, count in row.prompt_tokens.items() if key != attempt
    }
    reservations = dict(row.reservations)
    reservation = reservations.pop(attempt, None)
    if reservation is not None and reservation.confirmed_s is not None:
        reservations[attempt] = dataclasses.replace(
            reservation, released_s=now_s
        )
    return dataclasses.replace(
        row, reservations=reservations, prompt_tokens=tokens
    )


def make_view(
    row: EndpointRow,
    catalog: Catalog,
    zone: str,
    now_s: float,
    index: prefix.PrefixIndex | None = None,
    blocks: tuple[int, ...] = (),
) -> EndpointView:
    """Returns the endpoint as a placement decision sees it now.

    Args:
      row: the endpoint.
      catalog: the configuration in force.
      zone: availability zone of this VM.
      now_s: monotonic time.
      index: believed prefix caches, for a prefill engine.
      blocks: block hashes of the prompt.
    """
    endpoint = row.endpoint
    report = row.report
    own = sum(
        reservation.released_s is None
        for reservation in row.reservations.values()
    )
    included = sum(
        reservation.released_s is None
        and report is not None
        and reservation.confirmed_s is not None
        and reservation.confirmed_s < report.measured_s
        for reservation in row.reservations.values()
    )
    running = own if report is None else report.running + own - included
    waiting = 0 if report is None else report.waiting
    cached = 0
    if index is not None and blocks:
        cached = prefix.cached_tokens(index, endpoint.name, blocks)
    return EndpointView(
        endpoint=endpoint,
        free_pieces=memory.expected_free_pieces(
            endpoint.pieces, report, row.reservations.values()
        ),
        running=max(0, running),
        waiting=waiting,
        waiting_tokens=sum(row.prompt_tokens.values())
        + max(0, running + waiting - own) * _FOREIGN_PROMPT_TOKENS,
        report_age_s=float("inf")
        if report is None
        else now_s - report.measured_s,
        distance_ms=delay_ms(catalog, zone, endpoint.availability_zone),
        cached_tokens=cached,
        usable=is_usable(row, now_s),
    )


def is_usable(row: EndpointRow, now_s: float) -> bool:
    """Returns whether new work may be sent to an endpoint.

    An endpoint that no node has heard from lately may be leaving or gone, and
    the VM list that would say so lags. It gets no new work until it is heard
    from again.
    """
    if row.leaving or not is_responsive(row, now_s):
        return False
    return breaker.allows(row.breaker, now_s)


def is_responsive(row: EndpointRow, now_s: float) -> bool:
    """Returns whether the endpoint was heard of in the last 2 s."""
    return now_s - row.report_received_s <= UNRESPONSIVE_AFTER_S


__all__ = [
    "UNRESPONSIVE_AFTER_S",
    "EndpointRow",
    "accept_report",
    "confirm",
    "free_capacity",
    "reserve",
    "is_responsive",
    "is_usable",
    "release",
    "record_full",
    "record_leaving",
    "replace_endpoints",
    "set_breaker",
    "make_view",
]
