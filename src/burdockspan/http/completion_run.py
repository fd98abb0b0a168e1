"""State of a completion while its handler runs."""

from __future__ import annotations

import dataclasses

from burdockspan.configuration.document import Policy
from burdockspan.endpoints.engine import EngineContext
from burdockspan.endpoints.sockets import AbortHandle
from burdockspan.http.context import HandlerContext
from burdockspan.http.parsing import Request
from burdockspan.http.prompts import Prompt
from burdockspan.http.refusals import make_stopped_refusal
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import AttemptEvent, Placement
from burdockspan.values.refusal import Execution, Refusal
from burdockspan.values.submission import Submission

MIN_TIMEOUT_S = 0.01


class AttemptStopped:
    """The attempt must stop.

    It is no longer current, its caller has disconnected, or its deadline has
    passed.
    """


@dataclasses.dataclass(frozen=True)
class CompletionJob:
    """A completion that is ready to run.

    Attributes:
      context: dependencies of the handlers.
      policy: limits and timeouts.
      request: request of the caller.
      submission: the call as it is submitted to the node.
      prompt: the parsed body.
      body: body of the call to the decode engine.
      traceparent: trace context for the calls to engines.
    """

    context: HandlerContext
    policy: Policy
    request: Request
    submission: Submission
    prompt: Prompt
    body: bytes
    traceparent: str | None = None


class CompletionRun:
    """State of a completion while its handler runs.

    Attributes:
      job: the completion.
      execution: whether any attempt so far has run.
      placement: current placement; None before the first.
      abort: aborts the calls of the current attempt.
    """

    def __init__(self, job: CompletionJob) -> None:
        self.job = job
        self.execution = Execution.NOT_RUN
        self.placement: Placement | None = None
        self.abort = AbortHandle()
        self._reserved_endpoints: set[str] = set()

    def begin_attempt(self, placement: Placement) -> None:
        """Starts an attempt on a new placement."""
        self.placement = placement
        self.abort = AbortHandle()
        self.job.context.router.register_abort(
            placement.attempt, self.abort.abort
        )

    def add_reservation(self, endpoint: Endpoint) -> None:
        """Records that the attempt may have a reservation at an endpoint."""
        self._reserved_endpoints.add(endpoint.name)

    def remove_reservation(self, endpoint: Endpoint) -> None:
        """Records that the attempt has no reservation at an endpoint."""
        self._reserved_endpoints.discard(endpoint.name)

    def release_reservations(self) -> None:
        """Makes the node release the reservations of the current attempt."""
        reserved_endpoints, self._reserved_endpoints = (
            self._reserved_endpoints,
            set(),
        )
        if self.placement is not None:
            for name in sorted(reserved_endpoints):
                self.job.context.router.release(self.placement.attempt, name)

    def record_event(self, event: AttemptEvent) -> bool:
        """Reports progress to the node; False if the attempt must stop."""
        assert self.placement is not None
        attempt = self.placement.attempt
        return self.job.context.router.record_event(attempt, event)

    def remaining_s(self) -> float:
        """Returns the time until the deadline, at least `MIN_TIMEOUT_S`."""
        remaining_s = self.job.submission.deadline_s - self.job.context.clock()
        return max(MIN_TIMEOUT_S, remaining_s)

    def is_past_deadline(self) -> bool:
        """Whether the deadline has passed."""
        return self.job.context.clock() >= self.job.submission.deadline_s

    def finish(self, execution: Execution, status: int) -> None:
        """Releases all reservations and ends the request."""
        self.release_reservations()
        request_id = self.job.submission.request_id
        self.job.context.router.finish(request_id, execution, status)


def make_engine_context(
    run: CompletionRun, endpoint: Endpoint
) -> EngineContext:
    """Returns the context of the calls of the current attempt to an engine."""
    assert run.placement is not None
    headers: tuple[tuple[str, str], ...] = ()
    if run.job.traceparent is not None:
        headers = (("traceparent", run.job.traceparent),)
    return EngineContext(
        run.job.context.connections,
        endpoint,
        run.placement.attempt,
        run.abort,
        headers,
    )


def make_stop_refusal(run: CompletionRun) -> Refusal:
    """Returns the refusal of a request that had to stop."""
    return make_stopped_refusal(run.execution, run.is_past_deadline())


__all__ = [
    "MIN_TIMEOUT_S",
    "AttemptStopped",
    "CompletionJob",
    "CompletionRun",
    "make_engine_context",
    "make_stop_refusal",
]
