"""State of each endpoint: load report, breaker and reservations.

The functions are pure: each returns a new row.
"""

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

# Polls run every 250 ms and gossip adds a delay. The limit tolerates two lost
# polls, and an endpoint that leaves still gets no new work after 3 s.
UNRESPONSIVE_AFTER_S = 2.0

# Prompt length assumed for each call that another node placed on an engine.
_DEFAULT_PROMPT_TOKENS = 1000
_UNLIMITED_CALLS = 1_000_000


@dataclasses.dataclass(frozen=True)
class EndpointRow:
    """State of one endpoint.

    Attributes:
      endpoint: name, address and size.
      report: its newest load report.
      breaker: its circuit breaker.
      drained: whether the VM list, a drain, a planned stop or a change of its
        role takes it out of new work.
      reported_leaving: whether its process refuses new work because it leaves.
      refused_s: when it last refused work because it leaves, as far as this
        node knows.
      report_received_s: time from which the age of its reports counts,
        monotonic seconds.
      reservations: reservations that this node placed, by attempt. A released
        one stays until a report that was measured after its release.
      prompt_tokens: prompt lengths of attempts that it prefills for this node.
      boot: identity of its process in the newest report.
      previous_boot: identity of the process before that one; empty if none is
        known.
    """

    endpoint: Endpoint
    report: LoadReport | None = None
    breaker: BreakerState = dataclasses.field(default_factory=BreakerState)
    drained: bool = False
    reported_leaving: bool = False
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
        """Whether the configuration or the endpoint itself refuses new work."""
        return self.drained or self.reported_leaving


def replace_endpoints(
    rows: Mapping[str, EndpointRow], endpoints: Iterable[Endpoint]
) -> dict[str, EndpointRow]:
    """Returns the rows for a new list of endpoints.

    An endpoint keeps its state as long as its address stays the same.
    """
    replaced = {}
    for endpoint in endpoints:
        endpoint_row = rows.get(endpoint.name)
        if (
            endpoint_row is None
            or endpoint_row.endpoint.address != endpoint.address
        ):
            endpoint_row = EndpointRow(endpoint)
        replaced[endpoint.name] = dataclasses.replace(
            endpoint_row, endpoint=endpoint
        )
    return replaced


def accept_report(
    endpoint_row: EndpointRow, report: LoadReport, report_received_s: float
) -> EndpointRow:
    """Returns the row after a load report; an older report changes nothing.

    A reservation that was released before the report was measured is removed,
    since the report already includes its memory as free.

    A new boot identity means that the process was replaced: the new one has
    none of the earlier reservations, and earlier refusals of work by a leaving
    process no longer count.

    Args:
      endpoint_row: the endpoint.
      report: the load report.
      report_received_s: the time from which the age of the report counts,
        monotonic seconds: when the poll was sent, or an estimate of that for a
        report that came by gossip.
    """
    if (
        endpoint_row.report is not None
        and report.measured_s <= endpoint_row.report.measured_s
    ):
        return endpoint_row
    has_restarted = bool(endpoint_row.boot) and report.boot != endpoint_row.boot
    remaining = {
        attempt: reservation
        for attempt, reservation in endpoint_row.reservations.items()
        if not has_restarted
        and (
            reservation.released_s is None
            or reservation.released_s >= report.measured_s
        )
    }
    # A report that was measured before the endpoint refused work does not
    # contradict the refusal.
    refused_later = report.measured_s <= endpoint_row.refused_s
    leaving = (
        endpoint_row.reported_leaving and refused_later and not has_restarted
    )
    return dataclasses.replace(
        endpoint_row,
        report=report,
        boot=report.boot,
        previous_boot=endpoint_row.boot
        if has_restarted
        else endpoint_row.previous_boot,
        report_received_s=max(
            endpoint_row.report_received_s, report_received_s
        ),
        reported_leaving=leaving or report.leaving,
        reservations=remaining,
        breaker=BreakerState() if has_restarted else endpoint_row.breaker,
    )


def record_full(endpoint_row: EndpointRow, now_s: float) -> EndpointRow:
    """Returns the row after its engine refused a reservation as full."""
    report = endpoint_row.report
    if report is None:
        report = LoadReport(
            endpoint_row.endpoint.name,
            "",
            False,
            endpoint_row.endpoint.pieces,
            0,
            0,
            0,
            now_s,
        )
    return dataclasses.replace(
        endpoint_row,
        report=dataclasses.replace(report, free_pieces=0, measured_s=now_s),
    )


def record_leaving(endpoint_row: EndpointRow, now_s: float) -> EndpointRow:
    """Returns the row after its endpoint refused work because it leaves.

    It counts as leaving until a later report says otherwise.
    """
    return dataclasses.replace(
        endpoint_row, reported_leaving=True, refused_s=now_s
    )


def set_breaker(endpoint_row: EndpointRow, state: BreakerState) -> EndpointRow:
    """Returns the row with a new state of its circuit breaker."""
    return dataclasses.replace(endpoint_row, breaker=state)


def free_capacity(endpoint_row: EndpointRow) -> int:
    """Returns the expected free memory pieces of a decode engine.

    For a plain service, returns the calls that it can still take.
    """
    if endpoint_row.endpoint.pool is Pool.DECODE:
        return memory.expected_free_pieces(
            endpoint_row.endpoint.pieces,
            endpoint_row.report,
            endpoint_row.reservations.values(),
        )
    if endpoint_row.endpoint.concurrency == 0:
        return _UNLIMITED_CALLS
    own_count = sum(
        reservation.released_s is None
        for reservation in endpoint_row.reservations.values()
    )
    return max(0, endpoint_row.endpoint.concurrency - own_count)


def reserve(
    endpoint_row: EndpointRow,
    attempt: AttemptId,
    pieces: int,
    prompt_tokens: int,
) -> EndpointRow:
    """Returns the row after an attempt was placed at its endpoint."""
    reservations = dict(endpoint_row.reservations)
    tokens = dict(endpoint_row.prompt_tokens)
    if endpoint_row.endpoint.pool is Pool.PREFILL:
        tokens[attempt] = prompt_tokens
    reservations[attempt] = Reservation(endpoint_row.endpoint.name, pieces)
    return dataclasses.replace(
        endpoint_row, reservations=reservations, prompt_tokens=tokens
    )


def confirm_reservation(
    endpoint_row: EndpointRow, attempt: AttemptId, now_s: float
) -> EndpointRow:
    """Returns the row after the endpoint confirmed an attempt."""
    reservation = endpoint_row.reservations.get(attempt)
    if reservation is None or reservation.confirmed_s is not None:
        return endpoint_row
    confirmed = dataclasses.replace(reservation, confirmed_s=now_s)
    return dataclasses.replace(
        endpoint_row,
        reservations={**endpoint_row.reservations, attempt: confirmed},
    )


def release(
    endpoint_row: EndpointRow, attempt: AttemptId, now_s: float
) -> EndpointRow:
    """Returns the row after an attempt has released the endpoint.

    A confirmed reservation stays, with the time of its release, until a report
    that was measured later.
    """
    tokens = {
        key: count
        for key, count in endpoint_row.prompt_tokens.items()
        if key != attempt
    }
    reservations = dict(endpoint_row.reservations)
    reservation = reservations.pop(attempt, None)
    if reservation is not None and reservation.confirmed_s is not None:
        reservations[attempt] = dataclasses.replace(
            reservation, released_s=now_s
        )
    return dataclasses.replace(
        endpoint_row, reservations=reservations, prompt_tokens=tokens
    )


def make_view(
    endpoint_row: EndpointRow,
    catalog: Catalog,
    zone: str,
    now_s: float,
    index: prefix.PrefixIndex | None = None,
    blocks: tuple[int, ...] = (),
) -> EndpointView:
    """Returns the load and state that a placement decision uses.

    Args:
      endpoint_row: the endpoint.
      catalog: the active configuration.
      zone: availability zone of this VM.
      now_s: monotonic time.
      index: expected content of the prefix caches, for a prefill engine.
      blocks: block hashes of the prompt.
    """
    endpoint = endpoint_row.endpoint
    report = endpoint_row.report
    own_count = sum(
        reservation.released_s is None
        for reservation in endpoint_row.reservations.values()
    )
    # The report already counts the calls that the endpoint confirmed before the
    # report was measured.
    reported_own_count = sum(
        reservation.released_s is None
        and report is not None
        and reservation.confirmed_s is not None
        and reservation.confirmed_s < report.measured_s
        for reservation in endpoint_row.reservations.values()
    )
    running = (
        own_count
        if report is None
        else report.running + own_count - reported_own_count
    )
    waiting = 0 if report is None else report.waiting
    cached_tokens = 0
    if index is not None and blocks:
        cached_tokens = prefix.cached_tokens(index, endpoint.name, blocks)
    return EndpointView(
        endpoint=endpoint,
        free_pieces=memory.expected_free_pieces(
            endpoint.pieces, report, endpoint_row.reservations.values()
        ),
        running=max(0, running),
        waiting=waiting,
        waiting_tokens=sum(endpoint_row.prompt_tokens.values())
        + max(0, running + waiting - own_count) * _DEFAULT_PROMPT_TOKENS,
        report_age_s=float("inf")
        if report is None
        else now_s - report.measured_s,
        distance_ms=delay_ms(catalog, zone, endpoint.availability_zone),
        cached_tokens=cached_tokens,
        usable=is_usable(endpoint_row, now_s),
    )


def is_usable(endpoint_row: EndpointRow, now_s: float) -> bool:
    """Returns whether new work may be sent to an endpoint.

    An endpoint without a recent report may be leaving or gone, and the VM list
    shows that only later. It gets no new work until a new report arrives.
    """
    if endpoint_row.leaving or not is_responsive(endpoint_row, now_s):
        return False
    return breaker.allows(endpoint_row.breaker, now_s)


def is_responsive(endpoint_row: EndpointRow, now_s: float) -> bool:
    """Returns whether the newest report is recent enough for new work."""
    return now_s - endpoint_row.report_received_s <= UNRESPONSIVE_AFTER_S


__all__ = [
    "UNRESPONSIVE_AFTER_S",
    "EndpointRow",
    "accept_report",
    "confirm_reservation",
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
