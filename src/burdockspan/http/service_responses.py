"""Answers of plain services on their way to callers."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
from collections.abc import Iterator

from result import Err, Ok, Result

from burdockspan.claims.record import STORED_BODY_LIMIT_BYTES, ReceivedResponse
from burdockspan.endpoints.failures import EndpointError
from burdockspan.endpoints.service import ServiceResponse
from burdockspan.http.claiming import Guard
from burdockspan.http.context import HandlerContext
from burdockspan.http.headers import make_response_headers
from burdockspan.http.parsing import Request
from burdockspan.http.refusals import Response, make_stopped
from burdockspan.http.relay import ClosingBody
from burdockspan.http.routes import Destination
from burdockspan.values.placement import AttemptEvent, Failure, Placement
from burdockspan.values.refusal import Execution, Refusal
from burdockspan.values.submission import Submission


class TruncatedResponseError(OSError):
    """Ends an answer whose rest is missing.

    waitress closes the connection on an OSError without the final chunk, so
    that the caller sees an incomplete body.
    """


@dataclasses.dataclass(frozen=True)
class ServiceJob:
    """A plain service call that is to be run."""

    context: HandlerContext
    request: Request
    submission: Submission
    destination: Destination
    body: bytes
    guard: Guard
    traceparent: str | None


def make_job_stopped(job: ServiceJob, execution: Execution) -> Refusal:
    """Returns the refusal of a call that had to stop."""
    past = job.context.clock() >= job.submission.deadline_s
    return make_stopped(execution, past)


def begin_response(
    job: ServiceJob, placement: Placement, answer: ServiceResponse
) -> Result[Response, Failure | Refusal]:
    """Returns the caller's answer, whose rest may still be arriving."""
    exchange = answer.exchange
    parts = exchange.iterate() if answer.body is None else iter([answer.body])
    try:
        first = _read_first(job, parts)
    except EndpointError as error:
        exchange.close()
        return Err(error.failure)
    status, body = exchange.status, _relay(job, answer, first, parts)
    if not job.context.router.record_event(
        placement.attempt, AttemptEvent.FIRST_BYTE
    ):
        # An answer that is no longer wanted still settles the claim.
        with contextlib.suppress(TruncatedResponseError):
            collections.deque(body, maxlen=0)
        exchange.close()
        return Err(make_job_stopped(job, Execution.RAN))

    assert placement.service is not None
    end_span = job.context.traces.begin(
        "relay", job.traceparent, {"endpoint": placement.service.name}
    )

    def clean_up() -> None:
        end_span()
        exchange.close()
        job.guard.refuse(Execution.UNKNOWN)
        job.context.router.finish(job.request.request_id, Execution.RAN, status)

    headers = make_response_headers(exchange.headers.items())
    return Ok(Response(status, headers, ClosingBody(body, clean_up)))


def _read_first(job: ServiceJob, parts: Iterator[bytes]) -> bytes:
    """Reads what must have arrived before the caller's answer begins.

    For an idempotent call this is the first part. The answer of an action is
    read up to the size that its claim stores, so that a service which breaks
    off before leads to a truthful refusal.
    """
    if job.guard.held is None:
        return next(parts, b"")
    collected = bytearray()
    for part in parts:
        collected += part
        if len(collected) > STORED_BODY_LIMIT_BYTES:
            break
    return bytes(collected)


def _relay(
    job: ServiceJob,
    answer: ServiceResponse,
    first: bytes,
    parts: Iterator[bytes],
) -> Iterator[bytes]:
    if job.guard.held is None:
        return _pass_on(first, parts)
    return _pass_on_and_settle(job, answer, first, parts)


def _pass_on(first: bytes, parts: Iterator[bytes]) -> Iterator[bytes]:
    yield first
    try:
        yield from parts
    except EndpointError as error:
        raise TruncatedResponseError(str(error)) from error


def _pass_on_and_settle(
    job: ServiceJob,
    answer: ServiceResponse,
    first: bytes,
    parts: Iterator[bytes],
) -> Iterator[bytes]:
    # The last byte is held back until the claim is settled, so that a caller
    # that has the whole answer finds its outcome.
    more = False
    yield first[:-1]
    last = first[-1:]
    for part in _pass_on(b"", parts):
        if part:
            more = True
            yield last + part[:-1]
            last = part[-1:]
    exchange = answer.exchange
    media_type = exchange.headers.get("Content-Type", "")
    stored = None if more else first
    job.guard.settle(ReceivedResponse(exchange.status, media_type, stored))
    yield last


__all__ = [
    "ServiceJob",
    "TruncatedResponseError",
    "begin_response",
    "make_job_stopped",
]
