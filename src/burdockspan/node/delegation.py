"""Delegates the placement of this node's calls to the owner of their pool.

The owner only queues and places calls. If it does not respond in time, this
node places the call by its own load reports. In both cases the engine itself
accepts or refuses the reservation, so nodes may disagree on the owner without
harm.
"""

from __future__ import annotations

import dataclasses

from burdockspan.configuration.document import Service
from burdockspan.membership import ownership, table
from burdockspan.membership.calls import CallMessage, CallNeeds, CallStep
from burdockspan.membership.values import Member
from burdockspan.node import attempts, endpoint_table, queues
from burdockspan.node.call_messages import make_call_effect
from burdockspan.node.context import Context
from burdockspan.node.effects import Count, Effects, SendDatagram
from burdockspan.node.grants import start_attempt
from burdockspan.node.tables import PlacementRequest, Tables, make_attempt_id
from burdockspan.requests.lifecycle import RequestRow, State
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import Placement
from burdockspan.values.refusal import Execution, Reason, Refusal
from burdockspan.values.submission import CallKind, Priority

# Timeouts are checked on ticks, 50 ms apart. This one is shorter, so that a
# request sent on one tick has timed out by the next. An owner in the region
# responds much faster.
_RESPONSE_TIMEOUT_S = 0.04
# The request of a queued call is repeated at this interval. Each repetition
# keeps the call in the owner's queue and makes the owner repeat a lost grant.
_REPEAT_INTERVAL_S = 0.25
# After this many requests without a response, an owner counts as unresponsive.
_MAX_REQUESTS = 2
# An unresponsive owner gets no requests for this long, which covers most of the
# time until the membership protocol declares a failed owner dead.
_UNRESPONSIVE_OWNER_S = 1.0


def find_owner(
    tables: Tables, service: Service, context: Context
) -> Member | None:
    """Returns the other VM that places calls on a service's pool.

    None if this node places them itself: it owns the pool, no member is live,
    or the owner is unresponsive.
    """
    members = tables.members
    name = _find_pool_owner(tables, service.name)
    if name is None or name == members.vm:
        return None
    if context.clock() < tables.unresponsive_owners_until_s.get(name, 0.0):
        return None
    return members.by_vm[name]


def owns_pool(tables: Tables, service: str) -> bool:
    """Returns whether this node owns the pool of a service.

    True also if no member is live, since this node then places the calls.
    """
    return _find_pool_owner(tables, service) in (None, tables.members.vm)


def request_placement(
    tables: Tables,
    service: Service,
    request_row: RequestRow,
    pieces: int,
    owner: Member,
    context: Context,
) -> Effects:
    """Requests endpoints for a queued request from the owner of the pool."""
    now_s = context.clock()
    attempt = make_attempt_id(tables)
    request = PlacementRequest(
        request_row.submission.request_id,
        service.name,
        owner.vm,
        owner.address,
        pieces,
        next_s=now_s + _RESPONSE_TIMEOUT_S,
    )
    tables.placement_requests_by_attempt[attempt] = request
    return (
        Count("delegation.asked"),
        _send_request(tables, request_row, attempt, request, now_s),
    )


def receive_response(
    tables: Tables, message: CallMessage, address: str, context: Context
) -> Effects:
    """Applies a response of the owner of a pool."""
    attempt = message.attempt
    request = tables.placement_requests_by_attempt.get(attempt)
    if request is None:
        return _reject_late_grant(tables, message, address)
    if message.step is CallStep.QUEUED:
        tables.placement_requests_by_attempt[attempt] = dataclasses.replace(
            request, repetitions=0, next_s=context.clock() + _REPEAT_INTERVAL_S
        )
        return ()
    del tables.placement_requests_by_attempt[attempt]
    if message.step is CallStep.REFUSE:
        return attempts.refuse(
            tables,
            request.request_id,
            _read_refusal(message),
            context.clock(),
        )
    placement = _read_placement(tables, message, request, context)
    service = _find_service(tables, request.service)
    request_row = tables.requests_by_id.get(request.request_id)
    if placement is None or service is None or request_row is None:
        # The grant cannot be used: an endpoint is unknown or not usable here,
        # which the owner may not know yet, or the service or the request is
        # gone. ENDED makes the owner release the endpoints.
        ended = CallMessage(CallStep.ENDED, attempt)
        datagram = make_call_effect(tables, request.address, ended)
        return (datagram, *_enqueue_locally(tables, request, context))
    tables.owner_addresses_by_attempt[attempt] = request.address
    return start_attempt(tables, service, placement, context)


def retry_requests(tables: Tables, context: Context) -> Effects:
    """Repeats placement requests and gives up on unresponsive owners."""
    now_s = context.clock()
    effects: Effects = ()
    for attempt, request in list(tables.placement_requests_by_attempt.items()):
        request_row = tables.requests_by_id.get(request.request_id)
        if request_row is None or request_row.state is not State.QUEUED:
            del tables.placement_requests_by_attempt[attempt]
            ended = CallMessage(CallStep.ENDED, attempt)
            effects += (make_call_effect(tables, request.address, ended),)
            continue
        if now_s < request.next_s:
            continue
        if request.repetitions + 1 >= _MAX_REQUESTS:
            del tables.placement_requests_by_attempt[attempt]
            tables.unresponsive_owners_until_s[request.owner] = (
                now_s + _UNRESPONSIVE_OWNER_S
            )
            ended = CallMessage(CallStep.ENDED, attempt)
            effects += (
                Count("delegation.unanswered"),
                make_call_effect(tables, request.address, ended),
                *_enqueue_locally(tables, request, context),
            )
            continue
        tables.placement_requests_by_attempt[attempt] = dataclasses.replace(
            request,
            repetitions=request.repetitions + 1,
            next_s=now_s + _RESPONSE_TIMEOUT_S,
        )
        effects += (
            _send_request(tables, request_row, attempt, request, now_s),
        )
    return effects


def _find_pool_owner(tables: Tables, service: str) -> str | None:
    """Returns the VM that owns a pool, None if no member is live.

    The result is cached until a member changes.
    """
    members = tables.members
    if tables.pool_owners_cache_key is not members.by_vm:
        tables.pool_owners_cache_key = members.by_vm
        tables.pool_owners_by_service = {}
    owners = tables.pool_owners_by_service
    if service not in owners:
        live = table.live_vms(members)
        owners[service] = ownership.owner_of(f"pool/{service}", live)
    return owners[service]


def _send_request(
    tables: Tables,
    request_row: RequestRow,
    attempt: AttemptId,
    request: PlacementRequest,
    now_s: float,
) -> SendDatagram:
    submission = request_row.submission
    needs = CallNeeds(
        service=request.service,
        completion=submission.kind is CallKind.COMPLETION,
        urgent=submission.priority is Priority.URGENT,
        pieces=request.pieces,
        prompt_tokens=submission.prompt_tokens,
        max_tokens=submission.max_tokens,
        remaining_ms=max(0, round((submission.deadline_s - now_s) * 1000)),
        prefix=submission.prefix,
        excluded=tuple(sorted(request_row.excluded)),
    )
    message = CallMessage(CallStep.REQUEST, attempt, needs)
    return make_call_effect(tables, request.address, message)


def _enqueue_locally(
    tables: Tables, request: PlacementRequest, context: Context
) -> Effects:
    request_row = tables.requests_by_id.get(request.request_id)
    service = _find_service(tables, request.service)
    if (
        request_row is None
        or service is None
        or request_row.state is not State.QUEUED
    ):
        return ()
    return queues.enqueue(tables, service, request_row.submission, context)


def _reject_late_grant(
    tables: Tables, message: CallMessage, address: str
) -> Effects:
    """Informs the owner that its grant came too late to be used.

    The call has been placed without it or has ended. The ENDED message makes
    the owner release the granted endpoints.
    """
    request_id = tables.request_id_by_attempt.get(message.attempt, "")
    request_row = tables.requests_by_id.get(request_id)
    running = request_row is not None and request_row.attempt == message.attempt
    if message.step is not CallStep.GRANT or running:
        return ()
    ended = CallMessage(CallStep.ENDED, message.attempt)
    return (Count("delegation.late"), make_call_effect(tables, address, ended))


def _read_placement(
    tables: Tables,
    message: CallMessage,
    request: PlacementRequest,
    context: Context,
) -> Placement | None:
    """Returns the granted endpoints, None if one is not usable here."""

    def find_usable(name: str | None) -> Endpoint | None:
        endpoint_row = tables.endpoints_by_name.get(name or "")
        if endpoint_row is None or not endpoint_table.is_usable(
            endpoint_row, context.clock()
        ):
            return None
        return endpoint_row.endpoint

    names = (message.prefill, message.decode, message.endpoint)
    prefill, decode, service = (find_usable(name) for name in names)
    endpoints = (prefill, decode, service)
    if any(
        name is not None and endpoint is None
        for name, endpoint in zip(names, endpoints, strict=True)
    ) or not any(endpoints):
        return None
    pieces = request.pieces if decode is not None else 0
    return Placement(
        request.request_id, message.attempt, pieces, prefill, decode, service
    )


def _read_refusal(message: CallMessage) -> Refusal:
    reasons_by_value = {reason.value: reason for reason in Reason}
    retry_ms = message.retry_after_ms
    return Refusal(
        message.status or 503,
        Execution.NOT_RUN,
        reasons_by_value.get(message.reason or "", Reason.OVERLOADED),
        message.detail or "The call cannot be placed in time.",
        None if retry_ms is None else retry_ms / 1000,
    )


def _find_service(tables: Tables, name: str) -> Service | None:
    if tables.catalog is None:
        return None
    return tables.catalog.services_by_name.get(name)


__all__ = [
    "request_placement",
    "find_owner",
    "owns_pool",
    "receive_response",
    "retry_requests",
]
