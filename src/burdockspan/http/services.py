"""Handler of calls to plain services."""

from __future__ import annotations

import dataclasses

from result import Err, Ok, Result

from burdockspan.claims.record import Replay
from burdockspan.configuration.document import Client, Configuration
from burdockspan.endpoints.crashes import confirm_crash
from burdockspan.endpoints.exchange import Call
from burdockspan.endpoints.responses import may_have_run
from burdockspan.endpoints.service import call_service
from burdockspan.endpoints.sockets import AbortHandle
from burdockspan.http.claim_guard import (
    FENCING_HEADER,
    adjust_refusal_for_key,
    claim_key,
    make_replay_response,
)
from burdockspan.http.context import HandlerContext
from burdockspan.http.headers import make_service_headers
from burdockspan.http.parsing import (
    Request,
    make_fingerprint,
    parse_call_options,
    read_body,
)
from burdockspan.http.refusals import Response, make_refusal_response
from burdockspan.http.routes import find_destination
from burdockspan.http.service_responses import (
    ServiceJob,
    begin_response,
    make_job_stop_refusal,
)
from burdockspan.values.placement import (
    AttemptEvent,
    Failure,
    FailureKind,
    Placement,
)
from burdockspan.values.refusal import Execution, Reason, Refusal
from burdockspan.values.submission import CallKind, Submission

_MIN_TIMEOUT_S = 0.01


def call_plain_service(
    context: HandlerContext,
    request: Request,
    configuration: Configuration,
    client: Client,
    traceparent: str | None,
) -> Response:
    """Answers a call under `/services/`."""
    job_result = _make_job(context, request, configuration, client, traceparent)
    if isinstance(job_result, Err):
        problem = job_result.err_value
        if isinstance(problem, Replay):
            context.metrics.count("claims.replayed", 1)
            return make_replay_response(problem.record)
        return make_refusal_response(problem, request.request_id)
    job = job_result.ok_value
    try:
        outcome = _dispatch(job)
    except BaseException:
        job.guard.finish_without_response(Execution.UNKNOWN)
        context.router.finish(request.request_id, Execution.UNKNOWN, 500)
        raise
    if isinstance(outcome, Ok):
        return outcome.ok_value
    refusal = outcome.err_value
    job.guard.finish_without_response(refusal.execution)
    context.router.finish(request.request_id, refusal.execution, refusal.status)
    return make_refusal_response(refusal, request.request_id)


def _make_job(
    context: HandlerContext,
    request: Request,
    configuration: Configuration,
    client: Client,
    traceparent: str | None,
) -> Result[ServiceJob, Refusal | Replay]:
    destination_result = find_destination(request, configuration)
    if isinstance(destination_result, Err):
        return Err(
            adjust_refusal_for_key(request, destination_result.err_value)
        )
    destination = destination_result.ok_value
    policy, route = configuration.policy, destination.route
    options = parse_call_options(request, policy, route.priority)
    if isinstance(options, Err):
        if route.idempotent:
            return options
        return Err(adjust_refusal_for_key(request, options.err_value))
    body_result = read_body(request, policy)
    if isinstance(body_result, Err):
        if route.idempotent:
            return body_result
        # A call with the key may have run before the limit was lowered.
        return Err(adjust_refusal_for_key(request, body_result.err_value))
    body = body_result.ok_value
    guard = claim_key(context, request, client, destination, body)
    if isinstance(guard, Err):
        return guard
    name = destination.service.name
    target = f"{request.method} {name} {destination.url}"
    submission = Submission(
        request_id=request.request_id,
        client=client.name,
        kind=CallKind.SERVICE,
        target=name,
        path=destination.url,
        priority=options.ok_value.priority,
        arrived_s=request.arrived_s,
        deadline_s=options.ok_value.deadline_s,
        fingerprint=make_fingerprint(
            client.name, target, body.decode("latin-1")
        ),
        idempotent=route.idempotent,
    )
    return Ok(
        ServiceJob(
            context,
            request,
            submission,
            destination,
            body,
            guard.ok_value,
            traceparent,
        )
    )


def _dispatch(job: ServiceJob) -> Result[Response, Refusal]:
    router = job.context.router
    queue_attributes = {"priority": job.submission.priority.value}
    with job.context.traces.span(
        "queue", job.traceparent, {**queue_attributes}
    ):
        placed = router.submit(job.submission, job.request.caller_gone)
    execution = Execution.NOT_RUN
    while True:
        if isinstance(placed, Err):
            refusal = placed.err_value
            if refusal.execution is Execution.NOT_RUN:
                refusal = dataclasses.replace(refusal, execution=execution)
            return Err(refusal)
        placement = placed.ok_value
        abort = AbortHandle()
        router.register_abort(placement.attempt, abort.abort)
        if not router.record_event(placement.attempt, AttemptEvent.DISPATCHED):
            return Err(make_job_stop_refusal(job, execution))
        outcome = _run_attempt(job, placement, abort)
        if isinstance(outcome, Ok):
            return outcome
        failure = outcome.err_value
        if isinstance(failure, Refusal):
            return Err(failure)
        if may_have_run(failure):
            execution = Execution.UNKNOWN
        if abort.aborted:
            return Err(make_job_stop_refusal(job, execution))
        if failure.kind is FailureKind.CONNECTION_LOST:
            assert placement.service is not None
            failure = confirm_crash(
                job.context.connections, placement.service, failure
            )
        job.context.metrics.count(f"attempts.failed.{failure.kind.value}", 1)
        with job.context.traces.span(
            "queue", job.traceparent, {**queue_attributes}
        ):
            placed = router.retry(placement.attempt, failure)
        if may_have_run(failure) and not job.submission.idempotent:
            return Err(_make_unknown_refusal(failure))


def _run_attempt(
    job: ServiceJob, placement: Placement, abort: AbortHandle
) -> Result[Response, Failure | Refusal]:
    context = job.context
    started_s = context.clock()
    assert placement.service is not None
    with context.traces.span(
        "service", job.traceparent, {"endpoint": placement.service.name}
    ) as child_traceparent:
        call = _make_call(job, placement, child_traceparent)
        started = call_service(
            context.connections, call, placement.attempt, abort
        )
    context.metrics.time("hops.service", context.clock() - started_s)
    if isinstance(started, Err):
        return started
    return begin_response(job, placement, started.ok_value)


def _make_call(
    job: ServiceJob, placement: Placement, traceparent: str | None
) -> Call:
    route = job.destination.route
    headers = make_service_headers(job.request.environ)
    if job.guard.claim is not None:
        headers[FENCING_HEADER] = str(job.guard.claim.version)
    if traceparent is not None:
        headers["traceparent"] = traceparent
    remaining_s = job.submission.deadline_s - job.context.clock()
    timeout_s = max(_MIN_TIMEOUT_S, min(route.timeout_s, remaining_s))
    assert placement.service is not None
    return Call(
        placement.service,
        job.request.method,
        job.destination.url,
        job.body or None,
        headers,
        timeout_s,
        timeout_s,
        fresh=not route.idempotent,
        time_limit_s=timeout_s,
    )


def _make_unknown_refusal(failure: Failure) -> Refusal:
    return Refusal(
        502,
        Execution.UNKNOWN,
        Reason.ENDPOINT_FAILED,
        f"the service did not answer: {failure.kind.value} at "
        f"{failure.endpoint}; the call may have run",
    )


__all__ = ["call_plain_service"]
