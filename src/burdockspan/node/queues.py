"""Enqueues calls in the queue of their service."""

from __future__ import annotations

from burdockspan.admission import forecast as admission_forecast
from burdockspan.admission import queue
from burdockspan.admission.forecast import Rate
from burdockspan.configuration.document import Service
from burdockspan.node import grants
from burdockspan.node.context import Context
from burdockspan.node.effects import Effects
from burdockspan.node.forecasts import make_forecast
from burdockspan.node.tables import Tables
from burdockspan.placement import memory
from burdockspan.values.submission import CallKind, Priority, Submission


def enqueue(
    tables: Tables, service: Service, submission: Submission, context: Context
) -> Effects:
    """Enqueues a call and places the queued calls that fit."""
    now_s = context.clock()
    pieces = required_pieces(service, submission)
    if submission.priority is Priority.URGENT:
        rate = tables.urgent_rate_by_service.get(service.name, Rate())
        tables.urgent_rate_by_service[service.name] = (
            admission_forecast.record_amount(rate, pieces, now_s)
        )
    waiting = tables.waiting_by_service.setdefault(service.name, {})
    forecast = make_forecast(tables, service, now_s)
    waiting[submission.request_id] = queue.make_waiting_call(
        submission, pieces, forecast
    )
    return grants.grant(tables, service, context)


def required_pieces(service: Service, submission: Submission) -> int:
    """Returns the memory pieces that a call needs; 1 for a service call."""
    if submission.kind is CallKind.SERVICE:
        return 1
    return memory.pieces_for(
        submission.prompt_tokens, submission.max_tokens, service.piece_tokens
    )


__all__ = ["enqueue", "required_pieces"]
