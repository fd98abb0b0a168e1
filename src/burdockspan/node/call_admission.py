"""Admission control of new calls and of retries."""

from __future__ import annotations

from result import Err, Ok, Result

from burdockspan.admission import limits, queue
from burdockspan.configuration.document import Service
from burdockspan.node import attempts, delegation, health, queues
from burdockspan.node.catalog import Catalog
from burdockspan.node.context import Context
from burdockspan.node.effects import Answer, Count, Effects
from burdockspan.node.forecasts import has_usable_endpoints, make_forecast
from burdockspan.node.gossip import count_live_entry_vms, decide_quarantine
from burdockspan.node.messages import Retry, Submit
from burdockspan.node.readiness import is_accepting
from burdockspan.node.tables import Tables
from burdockspan.requests import lifecycle
from burdockspan.requests.lifecycle import RequestRow, State
from burdockspan.resilience import retries
from burdockspan.resilience.quarantine import Decision
from burdockspan.values.placement import Failure, FailureKind
from burdockspan.values.refusal import Execution, Reason, Refusal
from burdockspan.values.submission import CallKind, Submission

_RETRY_AFTER_S = 1.0
_COPY_RETRY_AFTER_S = 2.0


def submit(tables: Tables, message: Submit, context: Context) -> Effects:
    """Admits a new call to the queue of its service, or refuses it."""
    submission = message.submission
    now_s = context.clock()
    admitted = _admit(tables, submission, context, now_s)
    if isinstance(admitted, Err):
        refusal = admitted.err_value
        return (
            Count(f"refused.{refusal.reason.value}"),
            Answer(message.future, Err(refusal)),
        )
    service = admitted.ok_value
    tables.retry_budget = retries.earn(tables.retry_budget)
    tables.requests_by_id[submission.request_id] = RequestRow(submission)
    tables.futures_by_request[submission.request_id] = message.future
    tables.caller_gone_by_request[submission.request_id] = message.caller_gone
    queued = _enqueue(tables, service, submission, context)
    return (Count("accepted"), *queued)


def retry(tables: Tables, message: Retry, context: Context) -> Effects:
    """Ends a failed attempt, then queues its request again or refuses it."""
    now_s = context.clock()
    request_row = attempts.find_current(tables, message.attempt)
    if request_row is None:
        refusal = _make_ended_refusal(tables, message)
        return (Answer(message.future, Err(refusal)),)
    failure = message.failure
    effects = health.record_failure(tables, request_row, failure, context)
    request_id = request_row.submission.request_id
    tables.futures_by_request[request_id] = message.future
    retry_refusal = _check_retry(tables, request_row, failure, context, now_s)
    effects += attempts.fail(tables, request_row, failure, now_s)
    if retry_refusal is not None:
        return effects + attempts.refuse(
            tables, request_id, retry_refusal, now_s
        )
    service = _find_service(tables, request_row.submission)
    if service is None:
        removed_refusal = _make_refusal(
            503, Reason.NO_ENDPOINT, "The service was removed."
        )
        return effects + attempts.refuse(
            tables, request_id, removed_refusal, now_s
        )
    queued = _enqueue(tables, service, request_row.submission, context)
    return (*effects, *queued)


def _enqueue(
    tables: Tables, service: Service, submission: Submission, context: Context
) -> Effects:
    """Requests endpoints from the pool owner, or queues the call here."""
    owner = delegation.find_owner(tables, service, context)
    if owner is None:
        return queues.enqueue(tables, service, submission, context)
    request_row = tables.requests_by_id[submission.request_id]
    pieces = queues.required_pieces(service, submission)
    return delegation.request_placement(
        tables, service, request_row, pieces, owner, context
    )


def _admit(
    tables: Tables, submission: Submission, context: Context, now_s: float
) -> Result[Service, Refusal]:
    catalog = tables.catalog
    if catalog is None:
        return Err(
            _make_refusal(
                503,
                Reason.NO_CONFIGURATION,
                "This entry VM holds no configuration yet.",
            )
        )
    if not is_accepting(tables, context):
        return Err(
            _make_refusal(503, Reason.STOPPING, "This entry VM is stopping.")
        )
    service = _find_service(tables, submission)
    if service is None:
        return Err(
            _make_refusal(404, Reason.UNKNOWN_SERVICE, "No such service.", None)
        )
    for refusal in (
        _check_quarantine(tables, submission, context),
        _check_client(tables, catalog, submission, now_s),
        _check_endpoints(tables, service, now_s),
    ):
        if refusal is not None:
            return Err(refusal)
    if delegation.find_owner(tables, service, context) is not None:
        return Ok(service)
    forecast = make_forecast(tables, service, now_s)
    waiting = tables.waiting_by_service.get(service.name, {})
    limit = catalog.configuration.policy.queue_limit
    admitted = queue.admit(waiting, submission, forecast, now_s, limit)
    return admitted.map(lambda _: service)


def _check_quarantine(
    tables: Tables, submission: Submission, context: Context
) -> Refusal | None:
    decision = decide_quarantine(tables, submission.fingerprint, context)
    if decision is Decision.REFUSE:
        detail = "The request has crashed two endpoints and is quarantined."
        return _make_refusal(422, Reason.QUARANTINED, detail, None)
    if decision is Decision.SINGLE and _is_running(tables, submission):
        detail = (
            "A copy of this request, which crashed an endpoint, is running."
        )
        return _make_refusal(
            503, Reason.QUARANTINED, detail, _COPY_RETRY_AFTER_S
        )
    return None


def _is_running(tables: Tables, submission: Submission) -> bool:
    return any(
        request_row.submission.fingerprint == submission.fingerprint
        and request_row.submission.request_id != submission.request_id
        and request_row.state not in lifecycle.TERMINAL_STATES
        for request_row in tables.requests_by_id.values()
    )


def _check_client(
    tables: Tables, catalog: Catalog, submission: Submission, now_s: float
) -> Refusal | None:
    client = catalog.clients_by_name.get(submission.client)
    if client is None:
        return None
    limit = limits.share_limit(client, count_live_entry_vms(tables))
    bucket = tables.buckets_by_client.get(submission.client)
    if bucket is None:
        bucket = limits.make_bucket(limit, now_s)
    spent = limits.spend(bucket, limit, now_s)
    if isinstance(spent, Err):
        return spent.err_value
    tables.buckets_by_client[submission.client] = spent.ok_value
    return None


def _check_endpoints(
    tables: Tables, service: Service, now_s: float
) -> Refusal | None:
    if has_usable_endpoints(tables, service, now_s):
        return None
    detail = f"Service {service.name} has no endpoint that can be used now."
    return _make_refusal(503, Reason.NO_ENDPOINT, detail)


def _find_service(tables: Tables, submission: Submission) -> Service | None:
    if tables.catalog is None:
        return None
    if submission.kind is CallKind.COMPLETION:
        return tables.catalog.service_by_model.get(submission.target)
    return tables.catalog.services_by_name.get(submission.target)


def _check_retry(
    tables: Tables,
    request_row: RequestRow,
    failure: Failure,
    context: Context,
    now_s: float,
) -> Refusal | None:
    """Returns the refusal of a failed request, None if it may be retried."""
    catalog = tables.catalog
    if catalog is None:
        return _make_refusal(503, Reason.NO_CONFIGURATION, "No configuration.")
    if now_s >= request_row.submission.deadline_s:
        detail = f"The deadline passed: {failure.detail}"
        return _make_refusal(504, Reason.DEADLINE, detail, None)
    failure_refusal = _make_refusal(
        502 if failure.kind is not FailureKind.TIMED_OUT else 504,
        Reason.ENDPOINT_FAILED,
        f"Endpoint {failure.endpoint}: {failure.detail or failure.kind.value}",
    )
    limit = catalog.configuration.policy.attempts_limit
    if not lifecycle.may_retry(request_row, failure, limit):
        return failure_refusal
    fingerprint = request_row.submission.fingerprint
    decision = decide_quarantine(tables, fingerprint, context)
    if decision is Decision.REFUSE:
        detail = "The request has crashed two endpoints and is quarantined."
        return _make_refusal(422, Reason.QUARANTINED, detail, None)
    if lifecycle.is_refused_before_start(request_row, failure):
        return None
    spent = retries.spend(tables.retry_budget, now_s)
    if isinstance(spent, Err):
        return failure_refusal
    tables.retry_budget = spent.ok_value
    return None


def _make_ended_refusal(tables: Tables, message: Retry) -> Refusal:
    request_id = tables.request_id_by_attempt.get(message.attempt, "")
    request_row = tables.requests_by_id.get(request_id)
    if request_row is not None and request_row.refusal is not None:
        return request_row.refusal
    execution = (
        Execution.UNKNOWN if request_row is None else request_row.execution
    )
    reason = Reason.INTERNAL
    if request_row is not None and request_row.state is State.CANCELLED:
        reason = Reason.CANCELLED
    return Refusal(
        499 if reason is Reason.CANCELLED else 500,
        execution,
        reason,
        "The attempt has ended.",
    )


def _make_refusal(
    status: int,
    reason: Reason,
    detail: str,
    retry_after_s: float | None = _RETRY_AFTER_S,
) -> Refusal:
    return Refusal(status, Execution.NOT_RUN, reason, detail, retry_after_s)


__all__ = ["retry", "submit"]
