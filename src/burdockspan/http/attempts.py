"""Attempts of a model request, up to the answer of the decode engine."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import TypeVar

from result import Err, Ok, Result

from burdockspan.endpoints import engine
from burdockspan.endpoints.crashes import confirm_crash
from burdockspan.endpoints.engine import EngineContext, ResponseTimeouts
from burdockspan.endpoints.exchange import Exchange
from burdockspan.endpoints.responses import PrefillResult, may_have_run
from burdockspan.http.run import (
    LEAST_WAIT_S,
    Run,
    Stopped,
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


def replace_attempt(
    run: Run, problem: Failure | Stopped
) -> Result[Placement, Refusal] | Refusal:
    """Releases a failed attempt and asks for another placement."""
    run.release()
    if isinstance(problem, Stopped) or run.abort.aborted:
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
    run: Run, placement: Placement
) -> Result[Exchange, Failure | Stopped]:
    """Reserves, prefills, transfers and starts to decode."""
    run.begin(placement)
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
    run: Run, placement: Placement, endpoint: Endpoint
) -> Result[None, Failure | Stopped]:
    run.touch(endpoint)
    outcome = _hop(
        run,
        "reserve",
        endpoint,
        lambda engine_context: engine.reserve(
            engine_context, placement.pieces, _first_byte_s(run)
        ),
    )
    if isinstance(outcome, Err):
        if _is_refused(outcome.err_value):
            run.untouch(endpoint)
        return outcome
    return Ok(None) if run.record(AttemptEvent.RESERVED) else Err(Stopped())


def _prefill(
    run: Run, endpoint: Endpoint
) -> Result[PrefillResult, Failure | Stopped]:
    if not run.record(AttemptEvent.PREFILL_SENT):
        return Err(Stopped())
    before = run.execution
    if before is Execution.NOT_RUN:
        run.execution = Execution.UNKNOWN
    run.touch(endpoint)
    job = run.job
    outcome = _hop(
        run,
        "prefill",
        endpoint,
        lambda engine_context: engine.prefill(
            engine_context,
            job.submission.path,
            job.prompt.body,
            _first_byte_s(run),
        ),
    )
    if isinstance(outcome, Err):
        if _is_refused(outcome.err_value):
            run.execution = before
            run.untouch(endpoint)
        return outcome
    run.execution = Execution.RAN
    return outcome if run.record(AttemptEvent.PREFILLED) else Err(Stopped())


def _import(
    run: Run, endpoint: Endpoint, source: Endpoint, prefilled: PrefillResult
) -> Result[None, Failure | Stopped]:
    # The transfer cannot succeed once the cache has expired.
    wait_s = max(LEAST_WAIT_S, min(prefilled.lifetime_s, run.remaining_s()))
    outcome = _hop(
        run,
        "import",
        endpoint,
        lambda engine_context: engine.import_cache(
            engine_context, source.address, prefilled.cache, wait_s
        ),
    )
    if isinstance(outcome, Ok):
        return (
            Ok(None) if run.record(AttemptEvent.TRANSFERRED) else Err(Stopped())
        )
    problem = outcome.err_value
    if (
        isinstance(problem, Failure)
        and problem.kind is FailureKind.UNRESPONSIVE
    ):
        late = dataclasses.replace(problem, kind=FailureKind.TIMED_OUT)
        return Err(late)
    return outcome


def _decode(
    run: Run, endpoint: Endpoint
) -> Result[Exchange, Failure | Stopped]:
    if not run.record(AttemptEvent.DECODE_SENT):
        return Err(Stopped())
    job = run.job
    idle_timeout_s = job.policy.stream_silence_s
    keep_waiting: Callable[[], bool] = lambda: False  # noqa: E731
    if not job.prompt.streamed:
        # The head of a whole answer arrives after the last token.
        keep_waiting = lambda: _is_running(run, endpoint)  # noqa: E731
        idle_timeout_s = job.policy.first_byte_timeout_s
    timeouts = ResponseTimeouts(
        _first_byte_s(run), idle_timeout_s, job.prompt.streamed, keep_waiting
    )
    return _hop(
        run,
        "decode",
        endpoint,
        lambda engine_context: engine.decode(
            engine_context, job.submission.path, job.body, timeouts
        ),
    )


def _is_running(run: Run, endpoint: Endpoint) -> bool:
    if run.past_deadline() or run.abort.aborted or run.placement is None:
        return False
    attempt = run.placement.attempt
    listed = engine.list_attempts(run.job.context.connections, endpoint)
    if isinstance(listed, Err):
        return False
    _, rows = listed.ok_value
    return any(row.attempt == attempt for row in rows)


def _hop(
    run: Run,
    name: str,
    endpoint: Endpoint,
    call: Callable[[EngineContext], Result[_Value, Failure]],
) -> Result[_Value, Failure | Stopped]:
    context = run.job.context
    began_s = context.clock()
    attributes: dict[str, str | int | float | bool] = {
        "endpoint": endpoint.name
    }
    parent = run.job.traceparent
    with context.traces.span(name, parent, attributes) as onwards:
        engine_context = make_engine_context(run, endpoint)
        if onwards is not None:
            engine_context = dataclasses.replace(
                engine_context, headers=(("traceparent", onwards),)
            )
        outcome = call(engine_context)
    context.metrics.time(f"hops.{name}", context.clock() - began_s)
    if isinstance(outcome, Ok):
        return outcome
    if run.abort.aborted:
        return Err(Stopped())
    failure = outcome.err_value
    if failure.kind is FailureKind.UNRESPONSIVE:
        check_silence(run, endpoint)
    elif failure.kind is FailureKind.CONNECTION_LOST:
        failure = confirm_crash(context.connections, endpoint, failure)
    return Err(failure)


def check_silence(run: Run, endpoint: Endpoint) -> bool:
    """Tells a silent connection from a dead endpoint.

    Returns:
      Whether the endpoint answered on a new connection; the older ones to it
      are then not used again.
    """
    connections = run.job.context.connections
    alive = engine.check_health(connections, endpoint).is_ok()
    if alive:
        connections.retire_connections(endpoint.address)
    return alive


def _is_refused(problem: Failure | Stopped) -> bool:
    return isinstance(problem, Failure) and not may_have_run(problem)


def _first_byte_s(run: Run) -> float:
    return min(run.job.policy.first_byte_timeout_s, run.remaining_s())


__all__ = ["check_silence", "replace_attempt", "run_attempt"]
