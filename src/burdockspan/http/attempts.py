"""Attempts of a completion, up to the response of the decode engine."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import TypeVar

from result import Err, Ok, Result

from burdockspan.endpoints import engine
from burdockspan.endpoints.call_timer import OnSilence
from burdockspan.endpoints.crashes import confirm_crash
from burdockspan.endpoints.engine import EngineContext, ResponseTimeouts
from burdockspan.endpoints.exchange import Exchange
from burdockspan.endpoints.fetch import CONTROL_TIMEOUT_S
from burdockspan.endpoints.responses import PrefillResult, may_have_run
from burdockspan.http.completion_run import (
    MIN_TIMEOUT_S,
    AttemptStopped,
    CompletionRun,
    make_engine_context,
    make_stop_refusal,
)
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import (
    AttemptEvent,
    Failure,
    FailureKind,
    Placement,
)
from burdockspan.values.refusal import Execution, Refusal

_Value = TypeVar("_Value")


def retry_attempt(
    run: CompletionRun, problem: Failure | AttemptStopped
) -> Result[Placement, Refusal] | Refusal:
    """Releases a failed attempt and requests another placement.

    Returns:
      The placement or refusal of the node, or a refusal of this handler if the
      request must stop. The node may not know that an earlier attempt ran, so
      the outcome in its refusal may need correction. The outcome in the
      handler's refusal is final.
    """
    run.release_reservations()
    if isinstance(problem, AttemptStopped) or run.abort.aborted:
        return make_stop_refusal(run)
    assert run.placement is not None
    run.job.context.metrics.count(f"attempts.failed.{problem.kind.value}", 1)
    job = run.job
    priority = job.submission.priority.value
    with job.context.traces.span(
        "queue", job.traceparent, {"priority": priority}
    ):
        return job.context.router.retry(run.placement.attempt, problem)


def run_attempt(
    run: CompletionRun, placement: Placement
) -> Result[Exchange, Failure | AttemptStopped]:
    """Reserves memory, prefills, transfers the KV cache and starts decoding."""
    run.begin_attempt(placement)
    assert placement.decode is not None
    assert placement.prefill is not None
    reserved = _reserve(run, placement, placement.decode)
    if isinstance(reserved, Err):
        return reserved
    prefilled = _prefill(run, placement.prefill)
    if isinstance(prefilled, Err):
        return prefilled
    imported = _import(
        run, placement.decode, placement.prefill, prefilled.ok_value
    )
    if isinstance(imported, Err):
        return imported
    return _decode(run, placement.decode)


def _reserve(
    run: CompletionRun, placement: Placement, endpoint: Endpoint
) -> Result[None, Failure | AttemptStopped]:
    run.add_reservation(endpoint)
    outcome = _call_engine(
        run,
        "reserve",
        endpoint,
        lambda engine_context: engine.reserve(
            engine_context, placement.pieces, _first_byte_timeout_s(run)
        ),
    )
    if isinstance(outcome, Err):
        if _did_not_start(outcome.err_value):
            run.remove_reservation(endpoint)
        return outcome
    return (
        Ok(None)
        if run.record_event(AttemptEvent.RESERVED)
        else Err(AttemptStopped())
    )


def _prefill(
    run: CompletionRun, endpoint: Endpoint
) -> Result[PrefillResult, Failure | AttemptStopped]:
    if not run.record_event(AttemptEvent.PREFILL_SENT):
        return Err(AttemptStopped())
    execution_before = run.execution
    if execution_before is Execution.NOT_RUN:
        run.execution = Execution.UNKNOWN
    run.add_reservation(endpoint)
    job = run.job
    outcome = _call_engine(
        run,
        "prefill",
        endpoint,
        lambda engine_context: engine.prefill(
            engine_context,
            job.submission.path,
            job.prompt.body,
            _first_byte_timeout_s(run),
        ),
    )
    if isinstance(outcome, Err):
        if _did_not_start(outcome.err_value):
            run.execution = execution_before
            run.remove_reservation(endpoint)
        return outcome
    run.execution = Execution.RAN
    return (
        outcome
        if run.record_event(AttemptEvent.PREFILLED)
        else Err(AttemptStopped())
    )


def _import(
    run: CompletionRun,
    endpoint: Endpoint,
    source: Endpoint,
    prefilled: PrefillResult,
) -> Result[None, Failure | AttemptStopped]:
    # The transfer cannot succeed after the KV cache has expired.
    timeout_s = max(MIN_TIMEOUT_S, min(prefilled.lifetime_s, run.remaining_s()))
    outcome = _call_engine(
        run,
        "import",
        endpoint,
        lambda engine_context: engine.import_cache(
            engine_context, source.address, prefilled.cache, timeout_s
        ),
    )
    if isinstance(outcome, Ok):
        return (
            Ok(None)
            if run.record_event(AttemptEvent.TRANSFERRED)
            else Err(AttemptStopped())
        )
    problem = outcome.err_value
    if (
        isinstance(problem, Failure)
        and problem.kind is FailureKind.UNRESPONSIVE
    ):
        # The transfer exceeded the lifetime of the KV cache or the deadline.
        timed_out = dataclasses.replace(problem, kind=FailureKind.TIMED_OUT)
        return Err(timed_out)
    return outcome


def _decode(
    run: CompletionRun, endpoint: Endpoint
) -> Result[Exchange, Failure | AttemptStopped]:
    if not run.record_event(AttemptEvent.DECODE_SENT):
        return Err(AttemptStopped())
    job = run.job
    idle_timeout_s = job.policy.stream_silence_s
    first_byte_timeout_s = _first_byte_timeout_s(run)

    def wait_for_whole_response() -> float | None:
        return first_byte_timeout_s if _is_running(run, endpoint) else None

    on_silence: OnSilence = lambda: None  # noqa: E731
    if not job.prompt.streamed:
        # A response that is not streamed starts after the last token, so a
        # late first byte is no failure while the attempt is running.
        on_silence = wait_for_whole_response
        idle_timeout_s = job.policy.first_byte_timeout_s
    timeouts = ResponseTimeouts(
        run.remaining_s(),
        first_byte_timeout_s,
        idle_timeout_s,
        job.prompt.streamed,
        on_silence,
    )
    return _call_engine(
        run,
        "decode",
        endpoint,
        lambda engine_context: engine.decode(
            engine_context, job.submission.path, job.body, timeouts
        ),
    )


def _is_running(run: CompletionRun, endpoint: Endpoint) -> bool:
    if run.is_past_deadline() or run.abort.aborted or run.placement is None:
        return False
    attempt = run.placement.attempt
    listed = engine.list_attempts(
        run.job.context.connections, endpoint, _control_limit_s(run)
    )
    if isinstance(listed, Err):
        return False
    _, engine_attempts = listed.ok_value
    return any(item.attempt == attempt for item in engine_attempts)


def _call_engine(
    run: CompletionRun,
    name: str,
    endpoint: Endpoint,
    call: Callable[[EngineContext], Result[_Value, Failure]],
) -> Result[_Value, Failure | AttemptStopped]:
    context = run.job.context
    started_s = context.clock()
    attributes: dict[str, str | int | float | bool] = {
        "endpoint": endpoint.name
    }
    parent = run.job.traceparent
    with context.traces.span(name, parent, attributes) as child_traceparent:
        engine_context = make_engine_context(run, endpoint)
        if child_traceparent is not None:
            engine_context = dataclasses.replace(
                engine_context, headers=(("traceparent", child_traceparent),)
            )
        outcome = call(engine_context)
    context.metrics.time(f"hops.{name}", context.clock() - started_s)
    if isinstance(outcome, Ok):
        return outcome
    if run.abort.aborted:
        return Err(AttemptStopped())
    failure = outcome.err_value
    if failure.kind is FailureKind.UNRESPONSIVE:
        probe_endpoint(run, endpoint)
    elif failure.kind is FailureKind.CONNECTION_LOST:
        failure = confirm_crash(context.connections, endpoint, failure)
    return Err(failure)


def probe_endpoint(run: CompletionRun, endpoint: Endpoint) -> bool:
    """Distinguishes a stalled connection from an endpoint that is down.

    Returns:
      Whether the health check succeeded on a new connection. If it did, the
      older connections to the endpoint are not reused.
    """
    connections = run.job.context.connections
    healthy = engine.check_health(
        connections, endpoint, _control_limit_s(run)
    ).is_ok()
    if healthy:
        connections.retire_connections(endpoint.address)
    return healthy


def _did_not_start(problem: Failure | AttemptStopped) -> bool:
    return isinstance(problem, Failure) and not may_have_run(problem)


def _control_limit_s(run: CompletionRun) -> float:
    return min(CONTROL_TIMEOUT_S, run.remaining_s())


def _first_byte_timeout_s(run: CompletionRun) -> float:
    return min(run.job.policy.first_byte_timeout_s, run.remaining_s())


__all__ = ["probe_endpoint", "retry_attempt", "run_attempt"]
