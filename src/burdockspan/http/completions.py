"""Completion calls, whole and streamed."""

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
from burdockspan.http.attempts import replace_attempt, run_attempt
from burdockspan.http.context import HandlerContext
from burdockspan.http.parsing import (
    Request,
    make_fingerprint,
    parse_terms,
    read_body,
)
from burdockspan.http.prompts import Prompt, parse_prompt
from burdockspan.http.refusals import Response, make_refusal_response
from burdockspan.http.relay import ClosingBody, Relay
from burdockspan.http.run import Job, Run, Stopped, make_stop_refusal
from burdockspan.http.sse import make_error_event
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import AttemptEvent, Failure, FailureKind
from burdockspan.values.refusal import Execution, Reason, Refusal
from burdockspan.values.submission import CallKind, Priority, Submission

# A caller that has gone is counted under the status that proxies use for it.
_STATUS_CALLER_GONE = 499


def complete(
    context: HandlerContext,
    request: Request,
    configuration: Configuration,
    client: Client,
    traceparent: str | None,
) -> Response:
    """Answers a completion call."""
    made = _make_job(context, request, configuration, client, traceparent)
    if isinstance(made, Err):
        return make_refusal_response(made.err_value, request.request_id)
    run = Run(made.ok_value)
    try:
        outcome = _run_until_answer(run)
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
) -> Result[Job, Refusal]:
    policy = configuration.policy
    terms = parse_terms(request, policy, Priority.PATIENT)
    if isinstance(terms, Err):
        return terms
    raw = read_body(request, policy)
    if isinstance(raw, Err):
        return raw
    parsed = parse_prompt(request.path, raw.ok_value, configuration)
    if isinstance(parsed, Err):
        return parsed
    prompt = parsed.ok_value
    submission = Submission(
        request_id=request.request_id,
        client=client.name,
        kind=CallKind.COMPLETION,
        target=prompt.model.name,
        path=request.path,
        priority=terms.ok_value.priority,
        arrived_s=request.arrived_s,
        deadline_s=terms.ok_value.deadline_s,
        prompt_tokens=prompt.prompt_tokens,
        max_tokens=prompt.max_tokens,
        prefix=context.block_hashes(prompt.text),
        fingerprint=_make_prompt_fingerprint(client, prompt),
        streamed=prompt.streamed,
    )
    body = json.dumps(prompt.body).encode()
    return Ok(
        Job(context, policy, request, submission, prompt, body, traceparent)
    )


def _make_prompt_fingerprint(client: Client, prompt: Prompt) -> str:
    return make_fingerprint(client.name, prompt.model.name, prompt.body)


def _run_until_answer(run: Run) -> Result[Response, Refusal]:
    """Runs attempts until there is something to send to the caller."""
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
            return Err(_make_truthful(run, placed.err_value))
        outcome: Result[Response, Failure | Stopped]
        started = run_attempt(run, placed.ok_value)
        if isinstance(started, Err):
            outcome = started
        elif job.prompt.streamed:
            outcome = _begin_stream(run, started.ok_value)
        else:
            outcome = _read_whole(run, started.ok_value)
        if isinstance(outcome, Ok):
            return outcome
        replaced = replace_attempt(run, outcome.err_value)
        if isinstance(replaced, Refusal):
            return Err(replaced)
        placed = replaced


def _make_truthful(run: Run, refusal: Refusal) -> Refusal:
    # What this handler saw outweighs a refusal that knows of no attempt.
    if refusal.execution is Execution.NOT_RUN:
        return dataclasses.replace(refusal, execution=run.execution)
    return refusal


def _read_whole(
    run: Run, exchange: Exchange
) -> Result[Response, Failure | Stopped]:
    body = exchange.read(RESPONSE_LIMIT_BYTES)
    if isinstance(body, Err):
        return Err(_judge_broken(run, exchange.call.endpoint, body.err_value))
    value = parse_object(body.ok_value)
    if value is None or not isinstance(value.get("choices"), list):
        endpoint = exchange.call.endpoint
        return Err(make_protocol_failure(endpoint, "answer is no completion"))
    if not run.record(AttemptEvent.FIRST_BYTE):
        return Err(Stopped())
    headers = (
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body.ok_value))),
    )
    run.finish(Execution.RAN, 200)
    return Ok(Response(200, headers, [body.ok_value]))


def _begin_stream(
    run: Run, exchange: Exchange
) -> Result[Response, Failure | Stopped]:
    endpoint = exchange.call.endpoint
    media_type = exchange.headers.get("Content-Type", "")
    if not media_type.startswith("text/event-stream"):
        exchange.close()
        return Err(make_protocol_failure(endpoint, "answer is no event stream"))
    relay = Relay(run, endpoint, exchange)
    parts = relay.iterate()
    try:
        first = next(parts, b"")
    except EndpointError as error:
        relay.close()
        return Err(_judge_broken(run, endpoint, error.failure))
    if not run.record(AttemptEvent.FIRST_BYTE):
        relay.close()
        return Err(Stopped())
    ended = _End()
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
        run.finish(Execution.RAN, ended.status)

    body = ClosingBody(_stream(run, endpoint, first, parts, ended), clean_up)
    return Ok(Response(200, headers, body))


def _judge_broken(
    run: Run, endpoint: Endpoint, failure: Failure
) -> Failure | Stopped:
    if run.abort.aborted:
        return Stopped()
    if failure.kind is not FailureKind.CONNECTION_LOST:
        return failure
    return confirm_crash(run.job.context.connections, endpoint, failure)


class _End:
    """How a stream ended; a caller that goes leaves the initial value."""

    def __init__(self) -> None:
        self.status = _STATUS_CALLER_GONE


def _stream(
    run: Run,
    endpoint: Endpoint,
    first: bytes,
    parts: Iterator[bytes],
    ended: _End,
) -> Iterator[bytes]:
    yield first
    try:
        yield from parts
        ended.status = 200
    except EndpointError as error:
        refusal = _make_stream_refusal(run, error.failure)
        ended.status = refusal.status
        run.job.context.metrics.count("streams.failed", 1)
        problem = _judge_broken(run, endpoint, error.failure)
        if not isinstance(problem, Stopped):
            # The node notes the failure; a begun answer is never replaced.
            replace_attempt(run, problem)
        yield make_error_event(refusal, run.job.request.request_id)


def _make_stream_refusal(run: Run, failure: Failure) -> Refusal:
    if run.abort.aborted or run.past_deadline():
        return make_stop_refusal(run)
    return Refusal(
        502,
        Execution.RAN,
        Reason.ENDPOINT_FAILED,
        f"the stream broke off: {failure.kind.value} at {failure.endpoint}",
    )


__all__ = ["complete"]
