"""Handler of completion calls, streamed or not."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterator

from result import Err, Ok, Result

from burdockspan.configuration.document import Client, Configuration
from burdockspan.endpoints.crashes import confirm_crash
from burdockspan.endpoints.exchange import Exchange
from burdockspan.endpoints.failures import EndpointError
from burdockspan.endpoints.fetch import RESPONSE_LIMIT_BYTES
from burdockspan.endpoints.responses import make_protocol_failure, parse_object
from burdockspan.http.attempts import retry_attempt, run_attempt
from burdockspan.http.completion_run import (
    AttemptStopped,
    CompletionJob,
    CompletionRun,
    make_stop_refusal,
)
from burdockspan.http.context import HandlerContext
from burdockspan.http.event_stream import make_error_event
from burdockspan.http.parsing import (
    Request,
    make_fingerprint,
    parse_call_options,
    read_body,
)
from burdockspan.http.prompts import Prompt, parse_prompt
from burdockspan.http.refusals import Response, make_refusal_response
from burdockspan.http.relay import ClosingBody, Relay
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import AttemptEvent, Failure, FailureKind
from burdockspan.values.refusal import Execution, Reason, Refusal
from burdockspan.values.submission import CallKind, Priority, Submission

# Status under which proxies log a caller that closed the connection early.
_CLIENT_CLOSED_REQUEST_STATUS = 499


def complete(
    context: HandlerContext,
    request: Request,
    configuration: Configuration,
    client: Client,
    traceparent: str | None,
) -> Response:
    """Answers a completion call."""
    job = _make_job(context, request, configuration, client, traceparent)
    if isinstance(job, Err):
        return make_refusal_response(job.err_value, request.request_id)
    run = CompletionRun(job.ok_value)
    try:
        outcome = _run_until_response(run)
    except BaseException:
        run.finish(run.execution, 500)
        raise
    if isinstance(outcome, Err):
        refusal = outcome.err_value
        run.finish(refusal.execution, refusal.status)
        return make_refusal_response(refusal, request.request_id)
    return outcome.ok_value


def _make_job(
    context: HandlerContext,
    request: Request,
    configuration: Configuration,
    client: Client,
    traceparent: str | None,
) -> Result[CompletionJob, Refusal]:
    policy = configuration.policy
    options = parse_call_options(request, policy, Priority.PATIENT)
    if isinstance(options, Err):
        return options
    raw_body = read_body(request, policy)
    if isinstance(raw_body, Err):
        return raw_body
    parsed = parse_prompt(request.path, raw_body.ok_value, configuration)
    if isinstance(parsed, Err):
        return parsed
    prompt = parsed.ok_value
    submission = Submission(
        request_id=request.request_id,
        client=client.name,
        kind=CallKind.COMPLETION,
        target=prompt.model.name,
        path=request.path,
        priority=options.ok_value.priority,
        arrived_s=request.arrived_s,
        deadline_s=options.ok_value.deadline_s,
        prompt_tokens=prompt.prompt_tokens,
        max_tokens=prompt.max_tokens,
        prefix=context.block_hashes(prompt.text),
        fingerprint=_make_prompt_fingerprint(client, prompt),
        streamed=prompt.streamed,
    )
    body = json.dumps(prompt.body).encode()
    return Ok(
        CompletionJob(
            context, policy, request, submission, prompt, body, traceparent
        )
    )


def _make_prompt_fingerprint(client: Client, prompt: Prompt) -> str:
    return make_fingerprint(client.name, prompt.model.name, prompt.body)


def _run_until_response(run: CompletionRun) -> Result[Response, Refusal]:
    """Runs attempts until one yields a response to the caller."""
    job = run.job
    priority = job.submission.priority.value
    with job.context.traces.span(
        "queue", job.traceparent, {"priority": priority}
    ):
        placed = job.context.router.submit(
            job.submission, job.request.caller_gone
        )
    while True:
        if isinstance(placed, Err):
            return Err(_correct_execution(run, placed.err_value))
        outcome: Result[Response, Failure | AttemptStopped]
        started = run_attempt(run, placed.ok_value)
        if isinstance(started, Err):
            outcome = started
        elif job.prompt.streamed:
            outcome = _begin_stream(run, started.ok_value)
        else:
            outcome = _read_response(run, started.ok_value)
        if isinstance(outcome, Ok):
            return outcome
        retried = retry_attempt(run, outcome.err_value)
        if isinstance(retried, Refusal):
            return Err(retried)
        placed = retried


def _correct_execution(run: CompletionRun, refusal: Refusal) -> Refusal:
    # This handler knows whether an earlier attempt ran; the node that refuses
    # the next one may not.
    if refusal.execution is Execution.NOT_RUN:
        return dataclasses.replace(refusal, execution=run.execution)
    return refusal


def _read_response(
    run: CompletionRun, exchange: Exchange
) -> Result[Response, Failure | AttemptStopped]:
    body = exchange.read(RESPONSE_LIMIT_BYTES)
    if isinstance(body, Err):
        return Err(
            _classify_failure(run, exchange.call.endpoint, body.err_value)
        )
    value = parse_object(body.ok_value)
    if value is None or not isinstance(value.get("choices"), list):
        endpoint = exchange.call.endpoint
        return Err(make_protocol_failure(endpoint, "answer is no completion"))
    if not run.record_event(AttemptEvent.FIRST_BYTE):
        return Err(AttemptStopped())
    headers = (
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body.ok_value))),
    )
    run.finish(Execution.RAN, 200)
    return Ok(Response(200, headers, [body.ok_value]))


def _begin_stream(
    run: CompletionRun, exchange: Exchange
) -> Result[Response, Failure | AttemptStopped]:
    endpoint = exchange.call.endpoint
    media_type = exchange.headers.get("Content-Type", "")
    if not media_type.startswith("text/event-stream"):
        exchange.close()
        return Err(make_protocol_failure(endpoint, "answer is no event stream"))
    relay = Relay(run, endpoint, exchange)
    events = relay.iterate()
    try:
        first_events = next(events, b"")
    except EndpointError as error:
        relay.close()
        return Err(_classify_failure(run, endpoint, error.failure))
    if not run.record_event(AttemptEvent.FIRST_BYTE):
        relay.close()
        return Err(AttemptStopped())
    stream_status = _StreamStatus()
    end_span = run.job.context.traces.begin(
        "relay", run.job.traceparent, {"endpoint": endpoint.name}
    )
    headers = (
        ("Content-Type", "text/event-stream; charset=utf-8"),
        ("Cache-Control", "no-cache"),
    )

    def clean_up() -> None:
        end_span()
        relay.close()
        run.finish(Execution.RAN, stream_status.status)

    body = ClosingBody(
        _stream(run, endpoint, first_events, events, stream_status), clean_up
    )
    return Ok(Response(200, headers, body))


def _classify_failure(
    run: CompletionRun, endpoint: Endpoint, failure: Failure
) -> Failure | AttemptStopped:
    if run.abort.aborted:
        return AttemptStopped()
    if failure.kind is not FailureKind.CONNECTION_LOST:
        return failure
    return confirm_crash(run.job.context.connections, endpoint, failure)


class _StreamStatus:
    """Final status of a stream, initially that of a disconnected caller."""

    def __init__(self) -> None:
        self.status = _CLIENT_CLOSED_REQUEST_STATUS


def _stream(
    run: CompletionRun,
    endpoint: Endpoint,
    first_events: bytes,
    events: Iterator[bytes],
    stream_status: _StreamStatus,
) -> Iterator[bytes]:
    yield first_events
    try:
        yield from events
        stream_status.status = 200
    except EndpointError as error:
        refusal = _make_stream_refusal(run, error.failure)
        stream_status.status = refusal.status
        run.job.context.metrics.count("streams.failed", 1)
        problem = _classify_failure(run, endpoint, error.failure)
        if not isinstance(problem, AttemptStopped):
            # Only reports the failure to the node. The result is not used,
            # since a response that has begun cannot be replaced.
            retry_attempt(run, problem)
        yield make_error_event(refusal, run.job.request.request_id)


def _make_stream_refusal(run: CompletionRun, failure: Failure) -> Refusal:
    if run.abort.aborted or run.is_past_deadline():
        return make_stop_refusal(run)
    return Refusal(
        502,
        Execution.RAN,
        Reason.ENDPOINT_FAILED,
        f"the stream broke off: {failure.kind.value} at {failure.endpoint}",
    )


__all__ = ["complete"]
