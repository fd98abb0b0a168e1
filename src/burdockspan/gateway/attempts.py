"""One request's attempts: what they may cost, and what a failure means."""

from __future__ import annotations

import dataclasses

from burdockspan.endpoints.sockets import AbortHandle
from burdockspan.gateway import passive_health
from burdockspan.gateway.context import Context
from burdockspan.gateway.messages import (
    CallerConnection,
    Response,
    make_problem,
)
from burdockspan.gateway.values import Endpoint, InboundCall, Route
from burdockspan.values.placement import Failure, FailureKind

# The endpoint said that it did not start, or no byte reached it.
NOT_STARTED = frozenset(
    (FailureKind.NOT_CONNECTED, FailureKind.REFUSED, FailureKind.LEAVING)
)
# Below this time no attempt can succeed.
MIN_ATTEMPT_S = 0.02
# A caller that was refused for want of an endpoint finds one after the time in
# which a crashed endpoint is suspected.
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True)
class RoutedRequest:
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
    caller: CallerConnection
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

    def __init__(self, context: Context, request: RoutedRequest) -> None:
        self._context = context
        self._job = request
        self.runs = 0
        self.arrivals = 0
        self._retries_spent = 0
        self._prefilled = False
        self.tried: set[tuple[str, int]] = set()
        self.last_failure: Failure | None = None

    def try_start(self) -> bool:
        """Takes the cost of one more attempt; False if it is not allowed."""
        if self._job.caller.gone or self.remaining_s() < MIN_ATTEMPT_S:
            return False
        if self.runs and not self._may_repeat():
            return False
        return self._spend_retry()

    def try_prefill(self) -> bool:
        """Takes the cost of having the prompt read; False without budget.

        A call that turns out not to be counted leaves its cost to the next.
        """
        return self._spend_retry()

    def _spend_retry(self) -> bool:
        if self._retries_spent >= self.arrivals:
            return True
        if not self._context.retry_budget.spend(self._job.service):
            return False
        self._retries_spent += 1
        return True

    def _may_repeat(self) -> bool:
        route = self._job.route
        return route.repeatable and self.runs < route.max_attempts

    def remaining_s(self) -> float:
        """Returns the time until the final answer is due."""
        return self._job.deadline_s - self._context.clock()

    def record_run(self, endpoint: Endpoint) -> None:
        """Notes that an endpoint answered, so that the request has run."""
        self.arrivals += 1
        self.runs += 1
        self.tried.add(endpoint.incarnation)

    def record_failure(self, endpoint: Endpoint, failure: Failure) -> None:
        """Notes a failed attempt, and what it tells of the endpoint."""
        self.tried.add(endpoint.incarnation)
        if failure.kind is not FailureKind.NOT_CONNECTED:
            self.arrivals += 1
        if failure.kind not in NOT_STARTED:
            self.runs += 1
        self._record("attempt failed", endpoint, failure)

    def record_prefill(self) -> None:
        """Notes that a prompt was read."""
        if self._prefilled:
            self.arrivals += 1
        self._prefilled = True

    def record_prefill_failure(
        self, endpoint: Endpoint, failure: Failure
    ) -> None:
        """Notes that a prompt was not read; reading it is no run."""
        self.tried.add(endpoint.incarnation)
        if failure.kind is not FailureKind.NOT_CONNECTED:
            self.arrivals += 1
        if failure.kind is FailureKind.REFUSED:
            self._context.state.record_failure(
                endpoint, passive_health.REFUSED_PROMPT_WEIGHT
            )
        self._record("prefill failed", endpoint, failure)

    def record_broken_stream(
        self, endpoint: Endpoint, failure: Failure
    ) -> None:
        """Notes that an attempt that had been counted as a run broke off."""
        self._record("stream broke off", endpoint, failure)

    def _record(self, event: str, endpoint: Endpoint, failure: Failure) -> None:
        context, request = self._context, self._job
        self.last_failure = failure
        if not request.caller.gone:
            weight = passive_health.failure_weight(failure.kind)
            context.state.record_failure(endpoint, weight)
            if failure.kind is FailureKind.CONNECTION_LOST:
                context.crash_records.report_suspected_crash(
                    request.call, endpoint
                )
        context.registry.count("attempt", failure.kind.value)
        context.log(
            event,
            request_id=request.call.request_id,
            endpoint=endpoint.id,
            address=endpoint.address,
            zone=endpoint.zone,
            kind=failure.kind.value,
            detail=failure.detail,
            caller_gone=request.caller.gone,
        )

    def make_refusal(self, reason: str, retry_after_s: float) -> Response:
        """Returns the refusal or failure that is true of the request."""
        context, request = self._context, self._job
        late = self.remaining_s() <= MIN_ATTEMPT_S
        failure = self.last_failure
        detail = reason if failure is None else f"{reason}; {failure.detail}"
        if not self.runs:
            response = make_problem(503, "not_run", detail, retry_after_s)
        elif late or (failure and failure.kind is FailureKind.UNRESPONSIVE):
            response = make_problem(504, "unknown", detail)
        else:
            response = make_problem(502, "unknown", detail)
        context.registry.count("refusal", reason.replace(" ", "_"))
        context.log(
            "refused",
            request_id=request.call.request_id,
            status=response.status,
            reason=reason,
            runs=self.runs,
            arrivals=self.arrivals,
            last_failure=failure.kind.value if failure else None,
            waited_s=round(context.clock() - request.call.arrived_s, 3),
            retry_after_s=round(retry_after_s, 2)
            if response.status == 503
            else None,
            caller_gone=request.caller.gone,
        )
        return response


def log_attempt(
    context: Context,
    request: RoutedRequest,
    endpoint: Endpoint,
    **inputs: object,
) -> None:
    """Writes which endpoint an attempt goes to, and why."""
    age_s = context.state.endpoints_age_s()
    context.log(
        "attempt",
        request_id=request.call.request_id,
        route=request.route.name,
        service=request.service,
        configuration=request.version,
        endpoint=endpoint.id,
        address=endpoint.address,
        zone=endpoint.zone,
        fleet_age_s=None if age_s is None else round(age_s, 2),
        **inputs,
    )


__all__ = [
    "MIN_ATTEMPT_S",
    "NOT_STARTED",
    "RETRY_AFTER_S",
    "Attempts",
    "RoutedRequest",
    "log_attempt",
]
