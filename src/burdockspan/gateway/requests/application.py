"""Handles requests of callers: checks and routes them, runs and logs them."""

from __future__ import annotations

import dataclasses
import math
import threading
import traceback
from collections.abc import Iterator
from typing import Any

from result import Err, Ok, Result

from burdockspan.endpoints.sockets import AbortHandle
from burdockspan.gateway.accounts.identification import (
    Denial,
    Identity,
    identify,
)
from burdockspan.gateway.accounts.quotas import Charge
from burdockspan.gateway.callers.ingress import Handler
from burdockspan.gateway.callers.messages import (
    RawRequest,
    Response,
    TruncatedError,
    make_problem,
)
from burdockspan.gateway.choice.routing import choose_service, find_route
from burdockspan.gateway.context import Context
from burdockspan.gateway.endpoints.crash_records import RECORD_TTL_S
from burdockspan.gateway.fleet.relay_messages import make_declined, split_note
from burdockspan.gateway.requests.attempts import (
    CRASHES_ENDPOINTS,
    RoutedRequest,
)
from burdockspan.gateway.requests.generation import generate
from burdockspan.gateway.requests.plain import forward
from burdockspan.gateway.requests.request_priority import choose_priority
from burdockspan.gateway.requests.resumption import restrict_to_origin
from burdockspan.gateway.state import ActiveConfiguration
from burdockspan.gateway.values import InboundCall, RelayNote, Route
from burdockspan.resilience.crash_evidence import TRIAL_INTERVAL_S

# A process has a configuration within a few calls to the store after its start.
_UNREADY_RETRY_AFTER_S = 1.0
_OVERLOADED_RETRY_AFTER_S = 1.0
_OVERLOADED = "this router serves as many requests as it can"
# Time that a process takes to restart after it has stopped.
_RESTART_DELAY_S = 0.5


class InFlightRequests:
    """Counts and limits the requests in flight.

    Attributes:
      count: number of requests in flight.
    """

    def __init__(self, limit: int) -> None:
        self._lock = threading.Lock()
        self._limit = limit
        self.count = 0

    def try_enter(self) -> bool:
        """Counts the start of a request; returns False at the limit."""
        with self._lock:
            if self.count >= self._limit:
                return False
            self.count += 1
            return True

    def leave(self) -> None:
        """Counts the end of a request."""
        with self._lock:
            self.count -= 1


def make_handler(context: Context, in_flight: InFlightRequests) -> Handler:
    """Returns the handler of callers' requests.

    Args:
      context: dependencies.
      in_flight: counts the requests in flight.
    """

    def handle(raw: RawRequest) -> Response:
        if not in_flight.try_enter():
            context.registry.count("refusal", "overloaded")
            return make_problem(
                503, "not_run", _OVERLOADED, _OVERLOADED_RETRY_AFTER_S
            )
        return _handle_counted(context, raw, in_flight)

    return handle


def make_relay_handler(
    context: Context, in_flight: InFlightRequests
) -> Handler:
    """Returns the handler of requests that other VMs relay.

    Args:
      context: dependencies.
      in_flight: counts the relayed requests in flight.
    """

    def handle(raw: RawRequest) -> Response:
        note, headers = split_note(raw.headers)
        reason = _explain_decline(context, note)
        if reason is None and not in_flight.try_enter():
            reason = _OVERLOADED
        if reason is not None:
            context.registry.count("relay", "declined_here")
            context.log("relayed request declined", reason=reason)
            return make_declined(reason, _OVERLOADED_RETRY_AFTER_S)
        context.registry.count("relay", "taken")
        relayed = dataclasses.replace(raw, headers=headers, relay=note)
        return _handle_counted(context, relayed, in_flight)

    return handle


def _explain_decline(context: Context, note: RelayNote) -> str | None:
    """Returns why this VM takes no relayed request; None if it takes one."""
    if context.graceful_stop.has_begun:
        return "this router is stopping"
    active = context.state.active_configuration()
    version = active.configuration.version if active is not None else 0
    if active is None or version < note.configuration_version:
        return f"configuration {version} is older than that of the request"
    return None


def _handle_counted(
    context: Context, raw: RawRequest, in_flight: InFlightRequests
) -> Response:
    """Handles a request that has been counted, until its response ends."""
    try:
        decoded = context.platform.decode_call(raw)
        response = _handle_safely(context, raw, decoded)
    except BaseException:
        in_flight.leave()
        raise
    call = decoded.ok()
    request_id = call.request_id if call is not None else None
    return _with_accounting(context, raw, request_id, response, in_flight)


def _handle_safely(
    context: Context, raw: RawRequest, decoded: Result[InboundCall, str]
) -> Response:
    try:
        return _handle(context, raw, decoded)
    except Exception:
        context.log("handler failed", exception=traceback.format_exc())
        context.registry.count("refusal", "internal")
        return make_problem(500, "unknown", "the router failed")


def _handle(
    context: Context, raw: RawRequest, decoded: Result[InboundCall, str]
) -> Response:
    if isinstance(decoded, Err):
        context.registry.count("refusal", "malformed")
        context.log("malformed request", detail=decoded.err_value)
        return make_problem(400, "malformed", decoded.err_value)
    call = decoded.ok_value
    if context.crash_records.is_quarantined(call):
        return _refuse_quarantined(context, call, RECORD_TTL_S)
    routed = _route_request(context, call, raw)
    if isinstance(routed, Err):
        return routed.err_value
    restricted = restrict_to_origin(context, routed.ok_value)
    if isinstance(restricted, Err):
        return restricted.err_value
    request = restricted.ok_value
    charged = _charge(context, request)
    if isinstance(charged, Err):
        return charged.err_value
    response = _run(context, request)
    if charged.ok_value is not None and response.not_run:
        context.account_quotas.give_back(charged.ok_value)
    return response


def _run(context: Context, request: RoutedRequest) -> Response:
    checked = _check_parts(context, request)
    if isinstance(checked, Err):
        return checked.err_value
    request, call = checked.ok_value, request.call
    if not (request.relay and request.relay.calls):
        context.retry_budget.record_request(request.service)
    service = request.services_by_name.get(request.service)
    if (
        service
        and service.engine is not None
        and call.generation_size is not None
    ):
        return generate(context, request, service.engine, call.generation_size)
    return forward(context, request)


def _charge(
    context: Context, request: RoutedRequest
) -> Result[Charge | None, Response]:
    """Charges the quota of the account, unless another VM has done so."""
    if request.account is None or request.relay is not None:
        return Ok(None)
    charged = context.account_quotas.charge(
        request.account,
        request.call.generation_size,
        request.route.objective_s,
        request.call.request_id,
    )
    if isinstance(charged, Ok):
        return charged
    context.registry.count("refusal", "quota")
    return Err(
        make_problem(
            429,
            "not_run",
            "the account has used up its quota",
            charged.err_value.retry_after_s,
        )
    )


def _route_request(
    context: Context, call: InboundCall, raw: RawRequest
) -> Result[RoutedRequest, Response]:
    active = context.state.active_configuration()
    if active is None:
        return Err(_refuse_unready(context, call))
    route = find_route(active.routes, call.host, call.path)
    if route is None:
        version = active.configuration.version
        context.registry.count("refusal", "no_route")
        context.log(
            "no route",
            request_id=call.request_id,
            host=call.host,
            path=call.path[:200],
            configuration=version,
        )
        detail = f"configuration {version} has no route for this host and path"
        return Err(make_problem(404, "not_run", detail))
    identified = _identify(context, active, route, call, raw.relay)
    if isinstance(identified, Err):
        return identified
    account = identified.ok_value.account
    call = identified.ok_value.call
    deadline_s = call.arrived_s + min(call.caller_timeout_s, route.timeout_s)
    if not context.graceful_stop.accepts(route, deadline_s):
        return Err(_refuse_stopping(context, call))
    abort = AbortHandle()
    raw.caller.notify_when_gone(abort.abort)
    return Ok(
        RoutedRequest(
            call=call,
            route=route,
            service=choose_service(route, context.random_float),
            configuration_version=active.configuration.version,
            services_by_name=active.configuration.services_by_name,
            deadline_s=deadline_s,
            caller=raw.caller,
            abort=abort,
            priority=choose_priority(route, account),
            account=account,
            relay=raw.relay,
        )
    )


def _identify(
    context: Context,
    active: ActiveConfiguration,
    route: Route,
    call: InboundCall,
    relay: RelayNote | None,
) -> Result[Identity, Response]:
    """Returns who a request is from, or the response that refuses it."""
    age_s = context.configuration_proof.age_s()
    identified = identify(
        active.accounts, route, call, relay, age_s, context.proof_limits
    )
    if isinstance(identified, Ok):
        return identified
    denial = identified.err_value
    if denial is not Denial.NOT_PROVED:
        response = make_problem(401, "not_run", denial.value)
    elif relay is None:
        response = make_problem(
            503, "not_run", denial.value, _UNREADY_RETRY_AFTER_S
        )
    else:
        # A further VM may have a recent proof.
        response = make_declined(denial.value, _UNREADY_RETRY_AFTER_S)
    context.registry.count("refusal", denial.value.replace(" ", "_"))
    context.log(
        "refused",
        request_id=call.request_id,
        status=response.status,
        reason=denial.value,
        route=route.name,
        account=relay.account if relay else None,
        configuration=active.configuration.version,
        proof_age_s=None if math.isinf(age_s) else round(age_s, 2),
    )
    return Err(response)


def _check_parts(
    context: Context, request: RoutedRequest
) -> Result[RoutedRequest, Response]:
    """Refuses a request with a part of its prompt that crashes engines."""
    refused = context.part_quarantine.find_refused(request.parts)
    if not refused:
        return Ok(request)
    if context.part_quarantine.try_start_trial(refused):
        return Ok(dataclasses.replace(request, tries_part=True))
    return Err(
        _refuse_quarantined(
            context, request.call, TRIAL_INTERVAL_S, part=refused[0].id
        )
    )


def _refuse_quarantined(
    context: Context, call: InboundCall, retry_after_s: float, **fields: object
) -> Response:
    context.registry.count("refusal", "crashes_endpoints")
    context.log(
        "refused",
        request_id=call.request_id,
        status=503,
        reason=CRASHES_ENDPOINTS,
        **fields,
    )
    detail = "requests like this one have crashed the endpoints that ran them"
    return make_problem(503, "not_run", detail, retry_after_s)


def _refuse_stopping(context: Context, call: InboundCall) -> Response:
    context.registry.count("refusal", "stopping")
    context.log(
        "refused", request_id=call.request_id, status=503, reason="stopping"
    )
    detail = "this router is stopping and could not finish the request"
    # In an availability zone without another VM, callers that retry before the
    # process has ended would reach it again.
    remaining_s = max(0.0, context.graceful_stop.deadline_s - context.clock())
    return make_problem(503, "not_run", detail, remaining_s + _RESTART_DELAY_S)


def _refuse_unready(context: Context, call: InboundCall) -> Response:
    context.registry.count("refusal", "no_configuration")
    context.log(
        "refused", request_id=call.request_id, status=503, reason="unready"
    )
    detail = "this router has no configuration yet"
    return make_problem(503, "not_run", detail, _UNREADY_RETRY_AFTER_S)


def _with_accounting(
    context: Context,
    raw: RawRequest,
    request_id: str | None,
    response: Response,
    in_flight: InFlightRequests,
) -> Response:
    """Returns the response; its end will be counted and logged."""
    first_byte_s = context.clock() - raw.arrived_s
    stats: dict[str, Any] = {
        "complete": False,
        "bytes": 0,
        "first_part_s": None,
        "longest_pause_s": 0.0,
    }

    def iterate() -> Iterator[bytes]:
        last_part_s = None
        try:
            for part in response.body:
                now_s = context.clock()
                if last_part_s is None:
                    stats["first_part_s"] = round(now_s - raw.arrived_s, 3)
                else:
                    longest_gap_s = max(
                        stats["longest_pause_s"], now_s - last_part_s
                    )
                    stats["longest_pause_s"] = round(longest_gap_s, 3)
                last_part_s = now_s
                stats["bytes"] += len(part)
                yield part
            stats["complete"] = True
        except TruncatedError as error:
            context.log(
                "answer cut off", request_id=request_id, detail=str(error)
            )
            raise

    close_lock = threading.Lock()

    def close() -> None:
        if not close_lock.acquire(blocking=False):
            return
        response.close()
        in_flight.leave()
        total_s = context.clock() - raw.arrived_s
        context.registry.count("answer", str(response.status))
        context.registry.observe("first_byte", first_byte_s)
        context.registry.observe("answer", total_s)
        context.registry.observe("pause", stats["longest_pause_s"])
        context.log(
            "answered",
            request_id=request_id,
            status=response.status,
            first_byte_s=round(first_byte_s, 3),
            total_s=round(total_s, 3),
            caller_gone=raw.caller.gone,
            relayed=raw.relay is not None,
            **stats,
        )

    return Response(response.status, response.headers, iterate(), close)


__all__ = ["InFlightRequests", "make_handler", "make_relay_handler"]
