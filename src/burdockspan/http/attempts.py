"""Attempts of a model request, up to the answer of the decode engine."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import TypeVar

from result import Err, Ok, Result

from burdockspan.configuration.document import Policy
from burdockspan.endpoints import engine
from burdockspan.endpoints.answers import Prefilled, may_have_run
from burdockspan.endpoints.connections import Abort, Exchange
from burdockspan.endpoints.crashes import confirm_crash
from burdockspan.endpoints.engine import Link, Waits
from burdockspan.http.parsing import Request
from burdockspan.http.ports import Ports
from burdockspan.http.prompts import Prompt
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import (
    Event,
    Failure,
    FailureKind,
    Placement,
)
from burdockspan.values.refusal import Execution, Reason, Refusal
from burdockspan.values.submission import Submission

_Value = TypeVar("_Value")
_LEAST_WAIT_S = 0.01


class Stopped:
    """The attempt is not current, or its caller or deadline has gone."""


@dataclasses.dataclass(frozen=True)
class Job:
    """A model request that is to be run.

    Attributes:
      ports: collaborators.
      policy: limits and timeouts.
      request: the caller's request.
      submission: the request as the node sees it.
      prompt: the parsed body.
      body: body for the decode engine.
      traceparent: trace context to send onwards.
    """

    ports: Ports
    policy: Policy
    request: Request
    submission: Submission
    prompt: Prompt
    body: bytes
    traceparent: str | None = None


class Run:
    """State of a job while its handler runs.

    Attributes:
      job: the job.
      execution: whether any attempt so far has run.
      placement: current placement; None before the first.
      abort: sockets of the current attempt.
    """

    def __init__(self, job: Job) -> None:
        self.job = job
        self.execution = Execution.NOT_RUN
        self.placement: Placement | None = None
        self.abort = Abort()
        self._touched: set[str] = set()

    def begin(self, placement: Placement) -> None:
        """Starts another attempt."""
        self.placement = placement
        self.abort = Abort()
        self.job.ports.router.attach(placement.attempt, self.abort.abort)

    def touch(self, endpoint: Endpoint) -> None:
        """Notes that the attempt may hold memory at an endpoint."""
        self._touched.add(endpoint.name)

    def untouch(self, endpoint: Endpoint) -> None:
        """Notes that the attempt holds nothing at an endpoint."""
        self._touched.discard(endpoint.name)

    def release(self) -> None:
        """Asks the node to free what the current attempt may hold."""
        touched, self._touched = self._touched, set()
        if self.placement is not None:
            for name in sorted(touched):
                self.job.ports.router.release(self.placement.attempt, name)

    def record(self, event: Event) -> bool:
        """Reports progress; False means that the attempt must stop."""
        assert self.placement is not None
        attempt = self.placement.attempt
        return self.job.ports.router.record(attempt, event)

    def remaining_s(self) -> float:
        """Returns the seconds until the deadline, at least a little."""
        left_s = self.job.submission.deadline_s - self.job.ports.clock()
        return max(_LEAST_WAIT_S, left_s)

    def past_deadline(self) -> bool:
        """Whether the deadline has passed."""
        return self.job.ports.clock() >= self.job.submission.deadline_s

    def finish(self, execution: Execution, status: int) -> None:
        """Releases everything and ends the request."""
        self.release()
        request_id = self.job.submission.request_id
        self.job.ports.router.finish(request_id, execution, status)


def replace_attempt(
    run: Run, problem: Failure | Stopped
) -> Result[Placement, Refusal] | Refusal:
    """Releases a failed attempt and asks for another placement."""
    run.release()
    if isinstance(problem, Stopped) or run.abort.aborted:
        return make_stop_refusal(run)
    assert run.placement is not None
    run.job.ports.metrics.count(f"attempts.failed.{problem.kind.value}", 1)
    return run.job.ports.router.replace(run.placement.attempt, problem)


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


def make_link(run: Run, endpoint: Endpoint) -> Link:
    """Returns how the current attempt reaches an engine."""
    assert run.placement is not None
    headers: tuple[tuple[str, str], ...] = ()
    if run.job.traceparent is not None:
        headers = (("traceparent", run.job.traceparent),)
    return Link(
        run.job.ports.connections,
        endpoint,
        run.placement.attempt,
        run.abort,
        headers,
    )


def make_stop_refusal(run: Run) -> Refusal:
    """Returns the refusal of a request that had to stop."""
    if run.past_deadline():
        return Refusal(
            504,
            run.execution,
            Reason.DEADLINE,
            "the deadline passed before the answer was complete",
            field="Burdockspan-Deadline",
        )
    return Refusal(
        503,
        run.execution,
        Reason.CANCELLED,
        "the request was cancelled or is no longer current",
        retry_after_s=1.0,
    )


def _reserve(
    run: Run, placement: Placement, endpoint: Endpoint
) -> Result[None, Failure | Stopped]:
    run.touch(endpoint)
    outcome = _hop(
        run,
        "reserve",
        endpoint,
        lambda link: engine.reserve(link, placement.pieces, _first_byte_s(run)),
    )
    if isinstance(outcome, Err):
        if _is_refused(outcome.err_value):
            run.untouch(endpoint)
        return outcome
    return Ok(None) if run.record(Event.RESERVED) else Err(Stopped())


def _prefill(
    run: Run, endpoint: Endpoint
) -> Result[Prefilled, Failure | Stopped]:
    if not run.record(Event.PREFILL_SENT):
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
        lambda link: engine.prefill(
            link, job.submission.path, job.prompt.body, _first_byte_s(run)
        ),
    )
    if isinstance(outcome, Err):
        if _is_refused(outcome.err_value):
            run.execution = before
            run.untouch(endpoint)
        return outcome
    run.execution = Execution.RAN
    return outcome if run.record(Event.PREFILLED) else Err(Stopped())


def _import(
    run: Run, endpoint: Endpoint, source: Endpoint, prefilled: Prefilled
) -> Result[None, Failure | Stopped]:
    # The transfer cannot succeed once the cache has expired.
    wait_s = max(_LEAST_WAIT_S, min(prefilled.life_s, run.remaining_s()))
    outcome = _hop(
        run,
        "import",
        endpoint,
        lambda link: engine.import_cache(
            link, source.address, prefilled.cache, wait_s
        ),
    )
    if isinstance(outcome, Ok):
        return Ok(None) if run.record(Event.TRANSFERRED) else Err(Stopped())
    problem = outcome.err_value
    if isinstance(problem, Failure) and problem.kind is FailureKind.SILENT:
        late = dataclasses.replace(problem, kind=FailureKind.TIMED_OUT)
        return Err(late)
    return outcome


def _decode(
    run: Run, endpoint: Endpoint
) -> Result[Exchange, Failure | Stopped]:
    if not run.record(Event.DECODE_SENT):
        return Err(Stopped())
    job = run.job
    silence_s = job.policy.stream_silence_s
    keep_waiting: Callable[[], bool] = lambda: False  # noqa: E731
    if not job.prompt.streamed:
        # The head of a whole answer arrives after the last token.
        keep_waiting = lambda: _is_running(run, endpoint)  # noqa: E731
        silence_s = job.policy.first_byte_timeout_s
    waits = Waits(_first_byte_s(run), silence_s, keep_waiting)
    return _hop(
        run,
        "decode",
        endpoint,
        lambda link: engine.decode(link, job.submission.path, job.body, waits),
    )


def _is_running(run: Run, endpoint: Endpoint) -> bool:
    if run.past_deadline() or run.abort.aborted or run.placement is None:
        return False
    attempt = run.placement.attempt
    listed = engine.list_attempts(run.job.ports.connections, endpoint)
    if isinstance(listed, Err):
        return False
    _, rows = listed.ok_value
    return any(row.attempt == attempt for row in rows)


def _hop(
    run: Run,
    name: str,
    endpoint: Endpoint,
    call: Callable[[Link], Result[_Value, Failure]],
) -> Result[_Value, Failure | Stopped]:
    ports = run.job.ports
    began_s = ports.clock()
    attributes: dict[str, str | int | float | bool] = {
        "endpoint": endpoint.name
    }
    parent = run.job.traceparent
    with ports.traces.span(name, parent, attributes) as onwards:
        link = make_link(run, endpoint)
        if onwards is not None:
            link = dataclasses.replace(
                link, headers=(("traceparent", onwards),)
            )
        outcome = call(link)
    ports.metrics.time(f"hops.{name}", ports.clock() - began_s)
    if isinstance(outcome, Ok):
        return outcome
    if run.abort.aborted:
        return Err(Stopped())
    failure = outcome.err_value
    if failure.kind is FailureKind.SILENT:
        check_silence(run, endpoint)
    elif failure.kind is FailureKind.CONNECTION_LOST:
        failure = confirm_crash(ports.connections, endpoint, failure)
    return Err(failure)


def check_silence(run: Run, endpoint: Endpoint) -> bool:
    """Tells a silent connection from a dead endpoint.

    Returns:
      Whether the endpoint answered on a new connection; the older ones to it
      are then not used again.
    """
    connections = run.job.ports.connections
    alive = engine.check_health(connections, endpoint).is_ok()
    if alive:
        connections.close_older(endpoint.address)
    return alive


def _is_refused(problem: Failure | Stopped) -> bool:
    return isinstance(problem, Failure) and not may_have_run(problem)


def _first_byte_s(run: Run) -> float:
    return min(run.job.policy.first_byte_timeout_s, run.remaining_s())


__all__ = [
    "Job",
    "Run",
    "Stopped",
    "check_silence",
    "make_link",
    "make_stop_refusal",
    "replace_attempt",
    "run_attempt",
]
