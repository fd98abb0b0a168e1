"""Attempts of one request: their limits, and the effects of their failures."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping

from burdockspan.endpoints.call_timer import TimeLimit
from burdockspan.endpoints.sockets import AbortHandle
from burdockspan.gateway.accounts.identification import holds_key
from burdockspan.gateway.accounts.values import Account
from burdockspan.gateway.admission.retry_budget import SpentRetry
from burdockspan.gateway.callers.messages import (
    CallerConnection,
    Response,
    make_problem,
)
from burdockspan.gateway.context import Context
from burdockspan.gateway.endpoints import passive_health
from burdockspan.gateway.endpoints.part_quarantine import Part, list_parts
from burdockspan.gateway.fleet.peers import Peer
from burdockspan.gateway.fleet.reachability import OUT_OF_REACH
from burdockspan.gateway.fleet.vm_heartbeats import HEARTBEAT_INTERVAL_S
from burdockspan.gateway.ports import EndpointResponse
from burdockspan.gateway.values import (
    Endpoint,
    InboundCall,
    RelayNote,
    Route,
    Service,
)
from burdockspan.resilience.crash_evidence import SURVIVAL_S
from burdockspan.values.placement import Failure, FailureKind

# After these failures a request has certainly not run: the endpoint reported
# this, or received no byte.
NOT_STARTED = frozenset(
    (FailureKind.NOT_CONNECTED, FailureKind.REFUSED, FailureKind.LEAVING)
)
# With less time until the deadline, no attempt can succeed.
MIN_ATTEMPT_S = 0.02
CRASHES_ENDPOINTS = "crashes endpoints"
"""Reason of the refusal of a request in quarantine."""
KEY_REMOVED = "key removed"
"""Reason of the refusal of a request whose key has been removed meanwhile."""
# How many parts of a prompt a log line names.
_LOGGED_PARTS = 16
# Value of Retry-After. After this delay, the suspicion against an endpoint that
# has crashed keeps requests away from it, so that a retry is likely to succeed.
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True)
class RoutedRequest:
    """A request for which a route and a service have been chosen.

    Attributes:
      call: the request.
      route: its route.
      service: name of the chosen service.
      configuration_version: version of the configuration in force when it
        arrived.
      services_by_name: services of that configuration.
      deadline_s: when the complete response is due, in monotonic seconds.
      caller: connection of its caller.
      abort: aborts its calls to endpoints.
      priority: that of its account, or else of its route; 0 is the highest.
      account: client account that it is from; None if none is known.
      software_version: version of the endpoints that it may run at, for a
        stream that has begun there; None allows all endpoints.
      tries_part: whether it is the one request that tries a refused part of
        prompts again.
      relay: note of the VM that relayed it; None if it came from a caller.
    """

    call: InboundCall
    route: Route
    service: str
    configuration_version: int
    services_by_name: Mapping[str, Service]
    deadline_s: float
    caller: CallerConnection
    abort: AbortHandle
    priority: int = 0
    account: Account | None = None
    software_version: str | None = None
    tries_part: bool = False
    relay: RelayNote | None = None

    @property
    def parts(self) -> tuple[Part, ...]:
        """The parts of its prompt that other prompts may have as well."""
        return list_parts(self.service, self.call.shared_parts)


class Attempts:
    """Counts the attempts of one request, and spends the retry budget on them.

    Attributes:
      run_count: number of attempts that may have run, here or at the VM that
        relayed the request.
      call_count: number of calls that reached an endpoint, likewise. The first
        completed prefill is not counted, since every generation needs one. Each
        counted call but the first is a retry in the retry budget.
      tried_incarnations: endpoints that attempts were sent to.
      last_failure: failure of the latest failed attempt.
      asked_peers: VMs that were asked to serve the request.
      may_have_begun_elsewhere: whether one of them may have begun a run.
      writing_since_s: when the run in progress sent its first event, in
        monotonic seconds; None before, and for other requests.
    """

    def __init__(self, context: Context, request: RoutedRequest) -> None:
        self._context = context
        self._request = request
        earlier = request.relay or RelayNote()
        self._earlier_calls = earlier.calls
        self.run_count = earlier.runs
        self.call_count = earlier.calls
        self._parts = request.parts
        self._has_survived = False
        self._retries: list[SpentRetry] = []
        # A prefill at the VM that relayed the request is not told, so that any
        # further one counts as a call.
        self._has_prefilled = earlier.calls > 0
        self.tried_incarnations: set[tuple[str, int]] = set()
        self.last_failure: Failure | None = None
        self.asked_peers: set[str] = set()
        self.may_have_begun_elsewhere = False
        self.writing_since_s: float | None = None

    def try_start(self) -> bool:
        """Returns whether an attempt may start, and pays for a retry.

        An attempt is a retry if an earlier call of the request has been
        counted in `call_count`. A retry is paid from the retry budget.
        """
        return self.explain_no_run() is None and self.try_pay()

    def explain_no_run(self, runs_in_progress: int = 0) -> str | None:
        """Returns why no further run may start, or None if one may.

        Args:
          runs_in_progress: runs that have started and are not recorded yet.
        """
        route = self._request.route
        runs = self.run_count + runs_in_progress
        if self._request.caller.gone:
            return "caller gone"
        if self.is_quarantined():
            return CRASHES_ENDPOINTS
        if self.is_key_removed():
            return KEY_REMOVED
        if self.remaining_s() < MIN_ATTEMPT_S:
            return "no time left"
        if runs and not (route.repeatable and runs < route.max_attempts):
            return "no run left"
        return None

    def is_quarantined(self) -> bool:
        """Returns whether a part of the prompt crashes endpoints."""
        if self._request.tries_part and not self.run_count:
            return False
        return bool(self._context.part_quarantine.find_refused(self._parts))

    def is_key_removed(self) -> bool:
        """Returns whether the account no longer holds the request's key."""
        request = self._request
        if request.account is None or request.route.public:
            return False
        active = self._context.state.active_configuration()
        table = None if active is None else active.accounts
        return not holds_key(table, request.account, request.call)

    def try_pay(self, calls: int = 1) -> bool:
        """Returns whether calls are paid for; all but the first are retries.

        Args:
          calls: number of calls to come, and of those that have been sent and
            are not recorded yet.
        """
        budget, service = self._context.retry_budget, self._request.service
        while len(self._retries) < self.call_count + calls - 1:
            retry = budget.try_spend(service)
            if retry is None:
                return False
            self._retries.append(retry)
        return True

    def refund(self, calls: int = 0) -> None:
        """Returns what was paid for calls that will not be made.

        Args:
          calls: number of calls that have been sent and are not recorded yet.
        """
        budget, service = self._context.retry_budget, self._request.service
        while len(self._retries) > max(0, self.call_count + calls - 1):
            budget.refund(service, self._retries.pop())

    def try_prefill(self) -> bool:
        """Returns whether a prefill may start, and pays for a retry.

        A prefill that is a retry is paid from the retry budget. If the prefill
        is then not counted as a call, for example because the connection could
        not be opened, the next call of the request needs no further payment.
        """
        return (
            not self.is_quarantined()
            and not self.is_key_removed()
            and self.try_pay()
        )

    @property
    def has_prefilled(self) -> bool:
        """Whether a prefill has been completed; another counts as a call."""
        return self._has_prefilled

    @property
    def has_called_here(self) -> bool:
        """Whether a call of this VM has reached an endpoint."""
        has_prefilled_here = self._has_prefilled and not self._earlier_calls
        return self.call_count > self._earlier_calls or has_prefilled_here

    def remaining_s(self) -> float:
        """Returns the time until the complete response is due."""
        return self._request.deadline_s - self._context.clock()

    def record_event(self) -> None:
        """Records that the run in progress has sent an event."""
        if self.writing_since_s is None:
            self.writing_since_s = self._context.clock()
        elif not self._has_survived and not self._has_just_begun():
            self._record_survival()

    def record_end(self) -> None:
        """Records that the run in progress has ended well."""
        self._context.crash_records.record_answer(self._request.call)
        if not self._has_survived:
            self._record_survival()

    def _record_survival(self) -> None:
        self._has_survived = True
        if self._parts:
            self._context.part_quarantine.record_survival(self._parts)

    def _writing_s(self) -> float | None:
        """Returns how long the run in progress has sent events."""
        if self.writing_since_s is None:
            return None
        return self._context.clock() - self.writing_since_s

    def _has_just_begun(self) -> bool:
        writing_s = self._writing_s()
        return writing_s is None or writing_s < SURVIVAL_S

    def record_run(self, endpoint: Endpoint) -> None:
        """Records a response of an endpoint: the request has run there."""
        self.call_count += 1
        self.run_count += 1
        self.tried_incarnations.add(endpoint.incarnation)

    def record_failure(self, endpoint: Endpoint, failure: Failure) -> None:
        """Records a failed attempt; it counts as a run if it may have run."""
        self.tried_incarnations.add(endpoint.incarnation)
        if failure.kind is not FailureKind.NOT_CONNECTED:
            self.call_count += 1
        if failure.kind not in NOT_STARTED:
            self.run_count += 1
        self._record("attempt failed", endpoint, failure)

    def record_prefill(self) -> None:
        """Records a completed prefill; the first does not count as a call."""
        if self._has_prefilled:
            self.call_count += 1
        self._has_prefilled = True

    def record_prefill_failure(
        self, endpoint: Endpoint, failure: Failure
    ) -> None:
        """Records a failed prefill, which does not count as a run."""
        self.tried_incarnations.add(endpoint.incarnation)
        if failure.kind is not FailureKind.NOT_CONNECTED:
            self.call_count += 1
        if failure.kind is FailureKind.REFUSED:
            self._context.state.record_failure(
                endpoint, passive_health.REFUSED_PROMPT_WEIGHT
            )
        self._record("prefill failed", endpoint, failure, is_run=False)

    def record_relay_failure(self, peer: Peer, failure: Failure) -> None:
        """Records that another VM did not serve the request.

        It counts as a run if the other VM may have begun one.
        """
        self.last_failure = failure
        if failure.kind not in NOT_STARTED:
            self.call_count += 1
            self.run_count += 1
            self.may_have_begun_elsewhere = True
        has_declined = failure.kind is FailureKind.REFUSED
        self._context.registry.count(
            "relay", "declined" if has_declined else failure.kind.value
        )
        self._context.log(
            "relay failed",
            request_id=self._request.call.request_id,
            peer=peer.vm,
            kind=failure.kind.value,
            limit=failure.limit or None,
            detail=failure.detail,
            caller_gone=self._request.caller.gone,
        )

    def record_truncated_stream(
        self, endpoint: Endpoint, failure: Failure
    ) -> None:
        """Records the failure of a stream that is already counted as a run.

        A stream that is cut at its deadline says nothing about its endpoint.
        """
        at_deadline = failure.limit == TimeLimit.DEADLINE.value
        self._record(
            "stream broke off", endpoint, failure, is_blamed=not at_deadline
        )

    def _record(
        self,
        event: str,
        endpoint: Endpoint,
        failure: Failure,
        is_blamed: bool = True,
        is_run: bool = True,
    ) -> None:
        """Logs and counts a failure.

        While the caller is connected, the failure also adds to the suspicion
        against the endpoint, and a lost connection is reported as a suspected
        crash. Once the caller has gone, its calls to endpoints are aborted, so
        that a failure says nothing about the endpoint.

        Args:
          event: name of the log line.
          endpoint: the endpoint.
          failure: the failure.
          is_blamed: whether the failure says something about the endpoint.
          is_run: whether a run failed, and not the prefill of its prompt.
        """
        context, request = self._context, self._request
        self.last_failure = failure
        if is_blamed and not request.caller.gone:
            if failure.limit == TimeLimit.SILENCE.value:
                context.state.record_silence(endpoint, was_left=True)
            else:
                weight = passive_health.failure_weight(failure.kind)
                context.state.record_failure(endpoint, weight)
            if failure.kind is FailureKind.CONNECTION_LOST:
                is_suspected = is_run and self._has_just_begun()
                context.crash_records.report_suspected_crash(
                    request.call,
                    endpoint,
                    self._parts if is_suspected else (),
                )
        context.registry.count("attempt", failure.kind.value)
        if failure.limit:
            context.registry.count("call_limit", failure.limit)
        writing_s = self._writing_s()
        context.log(
            event,
            request_id=request.call.request_id,
            endpoint=endpoint.id,
            address=endpoint.address,
            zone=endpoint.zone,
            kind=failure.kind.value,
            limit=failure.limit or None,
            detail=failure.detail,
            caller_gone=request.caller.gone,
            parts=list(request.call.shared_parts[:_LOGGED_PARTS]),
            writing_s=None if writing_s is None else round(writing_s, 3),
        )
        if is_run:
            self.writing_since_s = None
            self._has_survived = False

    def make_error_response(
        self, reason: str, retry_after_s: float
    ) -> Response:
        """Returns the error response that ends the request.

        Its status tells the caller whether the request may have run.
        """
        context, request = self._context, self._request
        is_late = self.remaining_s() <= MIN_ATTEMPT_S
        failure = self.last_failure
        detail = reason if failure is None else f"{reason}; {failure.detail}"
        if not self.run_count and self.is_key_removed():
            reason = detail = KEY_REMOVED
            response = make_problem(401, "not_run", detail)
        elif not self.run_count:
            response = make_problem(503, "not_run", detail, retry_after_s)
        elif is_late or (failure and failure.kind is FailureKind.UNRESPONSIVE):
            response = make_problem(504, "unknown", detail)
        else:
            response = make_problem(502, "unknown", detail)
        context.registry.count("refusal", reason.replace(" ", "_"))
        context.log(
            "refused",
            request_id=request.call.request_id,
            status=response.status,
            reason=reason,
            runs=self.run_count,
            arrivals=self.call_count,
            last_failure=failure.kind.value if failure else None,
            waited_s=round(context.clock() - request.call.arrived_s, 3),
            retry_after_s=round(retry_after_s, 2)
            if response.status == 503
            else None,
            caller_gone=request.caller.gone,
        )
        return response


def explain_missing_endpoint(
    context: Context, request: RoutedRequest, attempts: Attempts
) -> tuple[str, float]:
    """Returns why no endpoint accepts a request, and when one is expected to.

    Returns:
      The reason of the refusal, and the value of Retry-After in seconds.
    """
    version = request.software_version
    if context.reachability.is_out_of_reach(request.service):
        return OUT_OF_REACH, RETRY_AFTER_S
    soonest = context.state.find_soonest(
        request.service, attempts.tried_incarnations, version
    )
    if soonest is None and version is not None:
        return "no endpoint of the version", RETRY_AFTER_S
    if soonest is None or soonest[1] == 0:
        return "no endpoint", RETRY_AFTER_S
    endpoint, wait_s = soonest
    if math.isinf(wait_s):
        wait_s = HEARTBEAT_INTERVAL_S
    reason = context.state.conditions.explain_wait(endpoint)
    return reason, max(RETRY_AFTER_S, wait_s)


def log_silence(
    context: Context,
    request: RoutedRequest,
    endpoint: Endpoint,
    silent_s: float,
    moves: bool,
    reason: str,
) -> None:
    """Logs whether a request leaves an endpoint that is silent, and why."""
    decision = "moves" if moves else "waits"
    context.registry.count("silence", decision)
    context.log(
        "endpoint silent",
        request_id=request.call.request_id,
        endpoint=endpoint.id,
        silent_s=round(silent_s, 3),
        decision=decision,
        reason=reason,
    )


def log_stream_end(
    context: Context,
    request: RoutedRequest,
    endpoint: Endpoint,
    response: EndpointResponse,
) -> None:
    """Logs the end of a stream that its endpoint did not break off."""
    context.log(
        "stream ended",
        request_id=request.call.request_id,
        endpoint=endpoint.id,
        status=response.status,
        framing=response.framing.value,
    )


def log_attempt(
    context: Context,
    request: RoutedRequest,
    endpoint: Endpoint,
    **fields: object,
) -> None:
    """Logs the endpoint of an attempt, and the inputs of the choice."""
    age_s = context.state.endpoints_age_s()
    limit_per_s = context.state.conditions.rate_limits.limit_per_s(endpoint)
    if limit_per_s is not None:
        fields["limit_per_s"] = limit_per_s
    if request.software_version is not None:
        fields["caller_after_event"] = request.call.last_event_id
        fields["resumes"] = request.call.resumed_request_id
    context.log(
        "attempt",
        request_id=request.call.request_id,
        route=request.route.name,
        service=request.service,
        configuration=request.configuration_version,
        account=request.call.account,
        endpoint=endpoint.id,
        address=endpoint.address,
        zone=endpoint.zone,
        version=endpoint.software_version,
        fleet_age_s=None if age_s is None else round(age_s, 2),
        **fields,
    )


__all__ = [
    "CRASHES_ENDPOINTS",
    "KEY_REMOVED",
    "MIN_ATTEMPT_S",
    "NOT_STARTED",
    "RETRY_AFTER_S",
    "Attempts",
    "RoutedRequest",
    "explain_missing_endpoint",
    "log_attempt",
    "log_silence",
    "log_stream_end",
]
