"""Calls whose endpoint became unresponsive after it was chosen."""

from __future__ import annotations

from burdockspan.node import endpoint_table
from burdockspan.node.tables import Tables
from burdockspan.requests.lifecycle import RequestRow
from burdockspan.values.placement import AttemptEvent
from burdockspan.values.refusal import Execution, Reason, Refusal

_RETRY_AFTER_S = 1.0


def find_unresponsive(
    tables: Tables, request_row: RequestRow, event: AttemptEvent, now_s: float
) -> str | None:
    """Returns the unresponsive endpoint that an event would send work to.

    None if the work may be sent. A process that was frozen after it chose an
    endpoint has no recent report, and the endpoint may be leaving.
    """
    placement = request_row.placement
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
    """Returns the refusal of a call whose endpoint became unresponsive."""
    return Refusal(
        503,
        Execution.NOT_RUN,
        Reason.NO_ENDPOINT,
        f"Endpoint {endpoint} has not been heard of since it was chosen.",
        _RETRY_AFTER_S,
    )


__all__ = ["find_unresponsive", "make_refusal"]
