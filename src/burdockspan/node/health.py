"""What attempts tell of the health of their endpoints."""

from __future__ import annotations

from burdockspan.node import endpoint_table
from burdockspan.node.context import Context
from burdockspan.node.effects import Count, Effects
from burdockspan.node.endpoint_table import EndpointRow
from burdockspan.node.gossip import (
    disseminate,
    record_crash,
    record_leaving_status,
)
from burdockspan.node.tables import Tables
from burdockspan.requests import outcome
from burdockspan.requests.lifecycle import RequestRow
from burdockspan.resilience import breaker
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import AttemptEvent, Failure, FailureKind

# Kinds of failure that say something about the health of the endpoint.
_UNHEALTHY = frozenset(
    {
        FailureKind.NOT_CONNECTED,
        FailureKind.CONNECTION_LOST,
        FailureKind.UNRESPONSIVE,
        FailureKind.CRASHED,
        FailureKind.ENDPOINT_ERROR,
        FailureKind.TIMED_OUT,
    }
)


def record_failure(
    tables: Tables, row: RequestRow, failure: Failure, context: Context
) -> Effects:
    """Notes in the endpoint's row, breaker and strikes how it failed."""
    now_s = context.clock()
    endpoint = tables.endpoints_by_name.get(failure.endpoint)
    effects: Effects = (Count(f"failures.{failure.kind.value}"),)
    if endpoint is None:
        return effects
    if failure.kind is FailureKind.FULL:
        endpoint = endpoint_table.record_full(endpoint, now_s)
    elif failure.kind is FailureKind.LEAVING:
        endpoint = endpoint_table.record_leaving(endpoint, now_s)
        record_leaving_status(tables, failure.endpoint)
    elif failure.kind in _UNHEALTHY and not _is_cancelled_stream(row, failure):
        state = breaker.record(endpoint.breaker, False, 0.0, now_s)
        endpoint = endpoint_table.set_breaker(endpoint, state)
    tables.endpoints_by_name[failure.endpoint] = endpoint
    crashed_boot = _find_crashed_boot(endpoint, row, failure)
    if crashed_boot is not None:
        fingerprint = row.submission.fingerprint
        record_crash(
            tables, fingerprint, failure.endpoint, crashed_boot, context
        )
        effects += (Count("strikes"), *disseminate(tables, context))
    return effects


def _is_cancelled_stream(row: RequestRow, failure: Failure) -> bool:
    """Returns whether the engine may have ended the stream on request.

    A sweeper cancels the attempts of a process that was frozen. When that
    resumes, its broken streams say nothing of the engine's health.
    """
    lost = failure.kind is FailureKind.CONNECTION_LOST
    return lost and row.reached is AttemptEvent.FIRST_BYTE


def _find_crashed_boot(
    endpoint: EndpointRow, row: RequestRow, failure: Failure
) -> str | None:
    """Returns the boot identity that crashed under a request, if one did."""
    if not outcome.may_be_crash(row.reached, failure.kind):
        return None
    if row.attempt not in endpoint.reservations and endpoint.previous_boot:
        # A report of the new process came before the request's own failure.
        return endpoint.previous_boot
    restarted = failure.boot and failure.boot != endpoint.boot
    if failure.kind is FailureKind.CRASHED or restarted:
        return endpoint.boot
    return None


def record_success(
    tables: Tables, row: RequestRow, event: AttemptEvent, now_s: float
) -> None:
    """Tells the breaker of an endpoint how long its part of a call took.

    Args:
      tables: tables of the node.
      row: the request before the event.
      event: what has happened.
      now_s: monotonic time.
    """
    placement = row.placement
    if placement is None:
        return
    took_s = now_s - row.reached_s
    if event is AttemptEvent.PREFILLED and placement.prefill is not None:
        # Prompts differ in length, so prefills are compared by the token.
        tokens = max(1, row.submission.prompt_tokens)
        _record_latency(tables, placement.prefill, took_s / tokens, now_s)
    elif event is AttemptEvent.FIRST_BYTE:
        answering = placement.decode or placement.service
        if answering is not None:
            _record_latency(tables, answering, took_s, now_s)


def _record_latency(
    tables: Tables, endpoint: Endpoint, latency_s: float, now_s: float
) -> None:
    row = tables.endpoints_by_name.get(endpoint.name)
    if row is None:
        return
    peers = (
        other.breaker
        for name, other in tables.endpoints_by_name.items()
        if name != endpoint.name
        and other.endpoint.service == endpoint.service
        and other.endpoint.pool is endpoint.pool
    )
    state = breaker.record(
        row.breaker, True, latency_s, now_s, breaker.median_latency_s(peers)
    )
    tables.endpoints_by_name[endpoint.name] = endpoint_table.set_breaker(
        row, state
    )


__all__ = ["record_failure", "record_success"]
