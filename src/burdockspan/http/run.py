"""State of a model request while its handler runs."""

from __future__ import annotations

import dataclasses

from burdockspan.configuration.document import Policy
from burdockspan.endpoints.engine import EngineContext
from burdockspan.endpoints.sockets import AbortHandle
from burdockspan.http.context import HandlerContext
from burdockspan.http.parsing import Request
from burdockspan.http.prompts import Prompt
from burdockspan.http.refusals import make_stopped
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import AttemptEvent, Placement
from burdockspan.values.refusal import Execution, Refusal
from burdockspan.values.submission import Submission

LEAST_WAIT_S = 0.01


class Stopped:
    """The attempt is not current, or its caller or deadline has gone."""


@dataclasses.dataclass(frozen=True)
class Job:
    """A model request that is to be run.

    Attributes:
      context: dependencies of the handlers.
      policy: limits and timeouts.
      request: the caller's request.
      submission: the request as the node sees it.
      prompt: the parsed body.
      body: body for the decode engine.
      traceparent: trace context to send onwards.
    """

    context: HandlerContext
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
        self.abort = AbortHandle()
        self._touched: set[str] = set()

    def begin(self, placement: Placement) -> None:
        """Starts another attempt."""
        self.placement = placement
        self.abort = AbortHandle()
        self.job.context.router.register_abort(
            placement.attempt, self.abort.abort
        )

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
                self.job.context.router.release(self.placement.attempt, name)

    def record(self, event: AttemptEvent) -> bool:
        """Reports progress; False means that the attempt must stop."""
        assert self.placement is not None
        attempt = self.placement.attempt
        return self.job.context.router.record_event(attempt, event)

    def remaining_s(self) -> float:
        """Returns the seconds until the deadline, at least a little."""
        left_s = self.job.submission.deadline_s - self.job.context.clock()
        return max(LEAST_WAIT_S, left_s)

    def past_deadline(self) -> bool:
        """Whether the deadline has passed."""
        return self.job.context.clock() >= self.job.submission.deadline_s

    def finish(self, execution: Execution, status: int) -> None:
        """Releases everything and ends the request."""
        self.release()
        request_id = self.job.submission.request_id
        self.job.context.router.finish(request_id, execution, status)


def make_engine_context(run: Run, endpoint: Endpoint) -> EngineContext:
    """Returns how the current attempt reaches an engine."""
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


def make_stop_refusal(run: Run) -> Refusal:
    """Returns the refusal of a request that had to stop."""
    return make_stopped(run.execution, run.past_deadline())


__all__ = [
    "LEAST_WAIT_S",
    "Job",
    "Run",
    "Stopped",
    "make_engine_context",
    "make_stop_refusal",
]
