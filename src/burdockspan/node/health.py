"""Passive health checks: what attempts show of their endpoints."""

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

# Kinds of failure that count against the circuit breaker of the endpoint.
_BREAKER_FAILURE_KINDS = frozenset(
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
    tables: Tables, request_row: RequestRow, failure: Failure, context: Context
) -> Effects:
    """Records a failure in the endpoint's row, breaker and crash records."""
    now_s = context.clock()
    endpoint_row = tables.endpoints_by_name.get(failure.endpoint)
    effects: Effects = (Count(f"failures.{failure.kind.value}"),)
    if endpoint_row is None:
        return effects
    if failure.kind is FailureKind.FULL:
        endpoint_row = endpoint_table.record_full(endpoint_row, now_s)
    elif failure.kind is FailureKind.LEAVING:
        endpoint_row = endpoint_table.record_leaving(endpoint_row, now_s)
        record_leaving_status(tables, failure.endpoint)
    elif failure.kind in _BREAKER_FAILURE_KINDS and not _is_cancelled_stream(
        request_row, failure
    ):
        state = breaker.record(endpoint_row.breaker, False, 0.0, now_s)
        endpoint_row = endpoint_table.set_breaker(endpoint_row, state)
    tables.endpoints_by_name[failure.endpoint] = endpoint_row
    crashed_boot = _find_crashed_boot(endpoint_row, request_row, failure)
    if crashed_boot is not None:
        fingerprint = request_row.submission.fingerprint
        record_crash(
            tables, fingerprint, failure.endpoint, crashed_boot, context
        )
        effects += (Count("strikes"), *disseminate(tables, context))
    return effects


def _is_cancelled_stream(request_row: RequestRow, failure: Failure) -> bool:
    """Returns whether another node may have cancelled a broken stream.

    While this process is frozen, other nodes cancel its attempts as orphans.
    The streams that it finds broken afterwards are no engine failures.
    """
    lost = failure.kind is FailureKind.CONNECTION_LOST
    return lost and request_row.last_event is AttemptEvent.FIRST_BYTE


def _find_crashed_boot(
    endpoint_row: EndpointRow, request_row: RequestRow, failure: Failure
) -> str | None:
    """Returns the boot identity of the process that crashed during a request.

    None if the failure does not show a crash.
    """
    if not outcome.may_be_crash(request_row.last_event, failure.kind):
        return None
    if (
        request_row.attempt not in endpoint_row.reservations
        and endpoint_row.previous_boot
    ):
        # The load report of the new process arrived before this failure.
        return endpoint_row.previous_boot
    restarted = failure.boot and failure.boot != endpoint_row.boot
    if failure.kind is FailureKind.CRASHED or restarted:
        return endpoint_row.boot
    return None


def record_success(
    tables: Tables, request_row: RequestRow, event: AttemptEvent, now_s: float
) -> None:
    """Records in its circuit breaker how long an endpoint took for a stage.

    The stages are the prefill and the wait for the first byte.

    Args:
      tables: tables of the node.
      request_row: the request before the event.
      event: the event that ends the stage; others are ignored.
      now_s: monotonic time.
    """
    placement = request_row.placement
    if placement is None:
        return
    took_s = now_s - request_row.last_event_s
    if event is AttemptEvent.PREFILLED and placement.prefill is not None:
        # Prompts differ in length, so prefills are compared per token.
        tokens = max(1, request_row.submission.prompt_tokens)
        _record_latency(tables, placement.prefill, took_s / tokens, now_s)
    elif event is AttemptEvent.FIRST_BYTE:
        answering = placement.decode or placement.service
        if answering is not None:
            _record_latency(tables, answering, took_s, now_s)


def _record_latency(
    tables: Tables, endpoint: Endpoint, latency_s: float, now_s: float
) -> None:
    endpoint_row = tables.endpoints_by_name.get(endpoint.name)
    if endpoint_row is None:
        return
    peers = (
        other.breaker
        for name, other in tables.endpoints_by_name.items()
        if name != endpoint.name
        and other.endpoint.service == endpoint.service
        and other.endpoint.pool is endpoint.pool
    )
    state = breaker.record(
        endpoint_row.breaker,
        True,
        latency_s,
        now_s,
        breaker.median_latency_s(peers),
    )
    tables.endpoints_by_name[endpoint.name] = endpoint_table.set_breaker(
        endpoint_row, state
    )


__all__ = ["record_failure", "record_success"]
