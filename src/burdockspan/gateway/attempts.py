"""One request's attempts: what they may cost, and what a failure means."""

from __future__ import annotations

import dataclasses

from burdockspan.endpoints.sockets import AbortHandle
from burdockspan.gateway import evidence
from burdockspan.gateway.context import Context
from burdockspan.gateway.replies import Caller, Reply, make_problem
from burdockspan.gateway.values import Endpoint, InboundCall, Route
from burdockspan.values.placement import Failure, FailureKind

# The endpoint said that it did not start, or no byte reached it.
NOT_STARTED = frozenset(
    (FailureKind.NOT_CONNECTED, FailureKind.REFUSED, FailureKind.LEAVING)
)
# Below this time no attempt can succeed.
LEAST_ATTEMPT_S = 0.02
# A caller that was refused for want of an endpoint finds one after the time in
# which a crashed endpoint is suspected.
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True)
class Job:
    """A request that is being handled.

    Attributes:
      call: the request.
      route: its route.
      service: the service that it was given to.
      version: configuration in force when it arrived.
      deadline_s: when its final answer is due, monotonic seconds.
      caller: connection of its caller.
      abort: ends its calls to endpoints.
    """

    call: InboundCall
    route: Route
    service: str
    version: int
    deadline_s: float
    caller: Caller
    abort: AbortHandle


class Attempts:
    """Counts what the attempts of one request have cost.

    Attributes:
      runs: attempts that may have run.
      arrivals: calls that reached an endpoint; those beyond the first are
        paid for. The first reading of the prompt is not counted.
      tried: endpoints that an attempt went to.
      last_failure: newest failure of an attempt.
    """

    def __init__(self, context: Context, job: Job) -> None:
        self._context = context
        self._job = job
        self.runs = 0
        self.arrivals = 0
        self._paid = 0
        self._read = False
        self.tried: set[tuple[str, int]] = set()
        self.last_failure: Failure | None = None

    def may_start(self) -> bool:
        """Takes the cost of one more attempt; False if it is not allowed."""
        if self._job.caller.gone or self.left_s() < LEAST_ATTEMPT_S:
            return False
        if self.runs and not self._may_repeat():
            return False
        return self._pay_next()

    def may_prefill(self) -> bool:
        """Takes the cost of having the prompt read; False without budget.

        A call that turns out not to be counted leaves its cost to the next.
        """
        return self._pay_next()

    def _pay_next(self) -> bool:
        if self._paid >= self.arrivals:
            return True
        if not self._context.budget.spend(self._job.service):
            return False
        self._paid += 1
        return True

    def _may_repeat(self) -> bool:
        route = self._job.route
        return route.repeatable and self.runs < route.max_attempts

    def left_s(self) -> float:
        """Returns the time until the final answer is due."""
        return self._job.deadline_s - self._context.clock()

    def note_run(self, endpoint: Endpoint) -> None:
        """Notes that an endpoint answered, so that the request has run."""
        self.arrivals += 1
        self.runs += 1
        self.tried.add(endpoint.incarnation)

    def note_failure(self, endpoint: Endpoint, failure: Failure) -> None:
        """Notes a failed attempt, and what it tells of the endpoint."""
        self.tried.add(endpoint.incarnation)
        if failure.kind is not FailureKind.NOT_CONNECTED:
            self.arrivals += 1
        if failure.kind not in NOT_STARTED:
            self.runs += 1
        self._report("attempt failed", endpoint, failure)

    def note_prefill(self) -> None:
        """Notes that a prompt was read."""
        if self._read:
            self.arrivals += 1
        self._read = True

    def note_prefill_failure(
        self, endpoint: Endpoint, failure: Failure
    ) -> None:
        """Notes that a prompt was not read; reading it is no run."""
        self.tried.add(endpoint.incarnation)
        if failure.kind is not FailureKind.NOT_CONNECTED:
            self.arrivals += 1
        if failure.kind is FailureKind.REFUSED:
            self._context.tables.note_failure(
                endpoint, evidence.REFUSED_PROMPT_WEIGHT
            )
        self._report("prefill failed", endpoint, failure)

    def note_broken_stream(self, endpoint: Endpoint, failure: Failure) -> None:
        """Notes that an attempt that had been counted as a run broke off."""
        self._report("stream broke off", endpoint, failure)

    def _report(self, event: str, endpoint: Endpoint, failure: Failure) -> None:
        context, job = self._context, self._job
        self.last_failure = failure
        if not job.caller.gone:
            weight = evidence.weight_of(failure.kind)
            context.tables.note_failure(endpoint, weight)
            if failure.kind is FailureKind.CONNECTION_LOST:
                context.crashes.suspect(job.call, endpoint)
        context.registry.count("attempt", failure.kind.value)
        context.log(
            event,
            request_id=job.call.request_id,
            endpoint=endpoint.id,
            address=endpoint.address,
            zone=endpoint.zone,
            kind=failure.kind.value,
            detail=failure.detail,
            caller_gone=job.caller.gone,
        )

    def give_up(self, reason: str, retry_after_s: float) -> Reply:
        """Returns the refusal or failure that is true of the request."""
        context, job = self._context, self._job
        late = self.left_s() <= LEAST_ATTEMPT_S
        failure = self.last_failure
        detail = reason if failure is None else f"{reason}; {failure.detail}"
        if not self.runs:
            reply = make_problem(503, "not_run", detail, retry_after_s)
        elif late or (failure and failure.kind is FailureKind.UNRESPONSIVE):
            reply = make_problem(504, "unknown", detail)
        else:
            reply = make_problem(502, "unknown", detail)
        context.registry.count("refusal", reason.replace(" ", "_"))
        context.log(
            "refused",
            request_id=job.call.request_id,
            status=reply.status,
            reason=reason,
            runs=self.runs,
            arrivals=self.arrivals,
            last_failure=failure.kind.value if failure else None,
            waited_s=round(context.clock() - job.call.arrived_s, 3),
            retry_after_s=round(retry_after_s, 2)
            if reply.status == 503
            else None,
            caller_gone=job.caller.gone,
        )
        return reply


def log_attempt(
    context: Context, job: Job, endpoint: Endpoint, **inputs: object
) -> None:
    """Writes which endpoint an attempt goes to, and why."""
    age_s = context.tables.fleet_age_s()
    context.log(
        "attempt",
        request_id=job.call.request_id,
        route=job.route.name,
        service=job.service,
        configuration=job.version,
        endpoint=endpoint.id,
        address=endpoint.address,
        zone=endpoint.zone,
        fleet_age_s=None if age_s is None else round(age_s, 2),
        **inputs,
    )


__all__ = [
    "LEAST_ATTEMPT_S",
    "NOT_STARTED",
    "RETRY_AFTER_S",
    "Attempts",
    "Job",
    "log_attempt",
]
