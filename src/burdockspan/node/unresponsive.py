"""Endpoints that fell silent between their choice and their work."""

from __future__ import annotations

from burdockspan.node import endpoint_table
from burdockspan.node.tables import Tables
from burdockspan.requests.lifecycle import RequestRow
from burdockspan.values.placement import AttemptEvent
from burdockspan.values.refusal import Execution, Reason, Refusal

_RETRY_AFTER_S = 1.0


def find_unresponsive(
    tables: Tables, row: RequestRow, event: AttemptEvent, now_s: float
) -> str | None:
    """Returns the endpoint that must not be sent this work any more.

    A process that froze after it chose an endpoint has not heard whether the
    endpoint is leaving.
    """
    placement = row.placement
    if placement is None:
        return None
    endpoint = None
    if event is AttemptEvent.DISPATCHED:
        endpoint = placement.service
    elif event is AttemptEvent.PREFILL_SENT:
        endpoint = placement.prefill
    endpoint_row = endpoint and tables.endpoints_by_name.get(endpoint.name)
    if not endpoint_row or endpoint_table.is_responsive(endpoint_row, now_s):
        return None
    return endpoint_row.endpoint.name


def make_refusal(endpoint: str) -> Refusal:
    """Refuses a call whose endpoint fell silent before the call was sent."""
    return Refusal(
        503,
        Execution.NOT_RUN,
        Reason.NO_ENDPOINT,
        f"Endpoint {endpoint} has not been heard of since it was chosen.",
        _RETRY_AFTER_S,
    )


__all__ = ["find_unresponsive", "make_refusal"]
