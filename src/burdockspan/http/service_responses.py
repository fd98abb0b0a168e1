"""Relay of the responses of plain services to callers."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
from collections.abc import Iterator

from result import Err, Ok, Result

from burdockspan.claims.record import STORED_BODY_LIMIT_BYTES, ReceivedResponse
from burdockspan.endpoints.failures import EndpointError
from burdockspan.endpoints.service import ServiceResponse
from burdockspan.http.claim_guard import ClaimGuard
from burdockspan.http.context import HandlerContext
from burdockspan.http.headers import make_response_headers
from burdockspan.http.parsing import Request
from burdockspan.http.refusals import Response, make_stopped_refusal
from burdockspan.http.relay import ClosingBody
from burdockspan.http.routes import Destination
from burdockspan.values.placement import AttemptEvent, Failure, Placement
from burdockspan.values.refusal import Execution, Refusal
from burdockspan.values.submission import Submission


class TruncatedResponseError(OSError):
    """Ends a response to the caller whose remainder is missing.

    On an OSError, waitress closes the connection without the final chunk, so
    that the caller sees an incomplete body.
    """


@dataclasses.dataclass(frozen=True)
class ServiceJob:
    """A plain service call that is ready to run."""

    context: HandlerContext
    request: Request
    submission: Submission
    destination: Destination
    body: bytes
    guard: ClaimGuard
    traceparent: str | None


def make_job_stop_refusal(job: ServiceJob, execution: Execution) -> Refusal:
    """Returns the refusal of a call that had to stop."""
    is_past_deadline = job.context.clock() >= job.submission.deadline_s
    return make_stopped_refusal(execution, is_past_deadline)


def begin_response(
    job: ServiceJob, placement: Placement, response: ServiceResponse
) -> Result[Response, Failure | Refusal]:
    """Returns the response to the caller, which relays the rest of the body."""
    exchange = response.exchange
    parts = (
        exchange.iterate() if response.body is None else iter([response.body])
    )
    try:
        first = _read_before_response(job, parts)
    except EndpointError as error:
        exchange.close()
        return Err(error.failure)
    status, body = exchange.status, _relay(job, response, first, parts)
    if not job.context.router.record_event(
        placement.attempt, AttemptEvent.FIRST_BYTE
    ):
        # The attempt must stop, but its claim still records the response.
        with contextlib.suppress(TruncatedResponseError):
            collections.deque(body, maxlen=0)
        exchange.close()
        return Err(make_job_stop_refusal(job, Execution.RAN))

    assert placement.service is not None
    end_span = job.context.traces.begin(
        "relay", job.traceparent, {"endpoint": placement.service.name}
    )

    def clean_up() -> None:
        end_span()
        exchange.close()
        job.guard.finish_without_response(Execution.UNKNOWN)
        job.context.router.finish(job.request.request_id, Execution.RAN, status)

    headers = make_response_headers(exchange.headers.items())
    return Ok(Response(status, headers, ClosingBody(body, clean_up)))


def _read_before_response(job: ServiceJob, parts: Iterator[bytes]) -> bytes:
    """Reads the part of the body that must arrive before responding.

    For an idempotent call this is the first part. The response to a
    non-idempotent call is read up to the size that its claim stores: if the
    connection is lost before, the caller gets a refusal instead of a truncated
    response.
    """
    if job.guard.claim is None:
        return next(parts, b"")
    buffer = bytearray()
    for part in parts:
        buffer += part
        if len(buffer) > STORED_BODY_LIMIT_BYTES:
            break
    return bytes(buffer)


def _relay(
    job: ServiceJob,
    response: ServiceResponse,
    first: bytes,
    parts: Iterator[bytes],
) -> Iterator[bytes]:
    if job.guard.claim is None:
        return _relay_parts(first, parts)
    return _relay_and_record(job, response, first, parts)


def _relay_parts(first: bytes, parts: Iterator[bytes]) -> Iterator[bytes]:
    yield first
    try:
        yield from parts
    except EndpointError as error:
        raise TruncatedResponseError(str(error)) from error


def _relay_and_record(
    job: ServiceJob,
    response: ServiceResponse,
    first: bytes,
    parts: Iterator[bytes],
) -> Iterator[bytes]:
    # The last byte is sent after the claim has recorded the outcome, so that a
    # caller with the complete response can look the outcome up.
    has_more_parts = False
    yield first[:-1]
    last = first[-1:]
    for part in _relay_parts(b"", parts):
        if part:
            has_more_parts = True
            yield last + part[:-1]
            last = part[-1:]
    exchange = response.exchange
    media_type = exchange.headers.get("Content-Type", "")
    stored = None if has_more_parts else first
    job.guard.finish_with_response(
        ReceivedResponse(exchange.status, media_type, stored)
    )
    yield last


__all__ = [
    "ServiceJob",
    "TruncatedResponseError",
    "begin_response",
    "make_job_stop_refusal",
]
