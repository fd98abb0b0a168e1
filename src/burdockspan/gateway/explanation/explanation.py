"""Explains where a request would go now, without sending it.

Nothing is taken, written, logged or sent: each function called here reads.
"""

from __future__ import annotations

import dataclasses
import math
from typing import Any

from result import Err

from burdockspan.endpoints.sockets import AbortHandle
from burdockspan.gateway.accounts.identification import identify
from burdockspan.gateway.accounts.quotas import count_units
from burdockspan.gateway.accounts.values import Account
from burdockspan.gateway.admission.admission_queue import is_retry_after_refusal
from burdockspan.gateway.callers.messages import CallerConnection
from burdockspan.gateway.choice.prefill_delays import (
    should_decode_engine_prefill,
)
from burdockspan.gateway.choice.routing import choose_service, find_route
from burdockspan.gateway.context import Context
from burdockspan.gateway.endpoints.part_quarantine import list_parts
from burdockspan.gateway.explanation.candidates import (
    CandidateExplanation,
    explain_decode,
    explain_plain,
    explain_prefill,
)
from burdockspan.gateway.requests.attempts import (
    CRASHES_ENDPOINTS,
    RoutedRequest,
)
from burdockspan.gateway.requests.generation_attempts import (
    MAX_PREFILL_ENGINES,
)
from burdockspan.gateway.requests.request_priority import (
    choose_priority,
    find_precedence,
)
from burdockspan.gateway.state import ActiveConfiguration
from burdockspan.gateway.values import (
    EngineProperties,
    GenerationSize,
    InboundCall,
    RequestKind,
    Route,
)
from burdockspan.placement.sampling import RandomFloat

Explanation = dict[str, Any]
"""What would happen to a request, as JSON values."""

_UNKNOWN_ORIGIN = "unknown here"
_OTHER_SERVICE = "other service"
_PART_REFUSED = (
    "a part of the prompt is in quarantine, unless this request may try it"
)
_NOTES = (
    "service and order are one draw where they are random",
    "crash records are matched with an empty body",
)


def explain(
    context: Context, call: InboundCall, random_float: RandomFloat
) -> Explanation:
    """Returns where a request would go now, and why.

    Args:
      context: dependencies.
      call: the request.
      random_float: source of the one draw, which is not that of the requests.
    """
    view = dataclasses.replace(
        context,
        endpoint_capacity=context.endpoint_capacity.with_random(random_float),
        random_float=random_float,
    )
    explanation: Explanation = {
        "goes_to": None,
        "refusals": [],
        "relayed_to": None,
        "waits_for": None,
        "quota": None,
        "queue": None,
        "resumption": None,
        "stages": {},
        "request_id": call.request_id,
        "notes": _NOTES,
    }
    if context.crash_records.is_quarantined(call):
        explanation["refusals"].append(CRASHES_ENDPOINTS)
    active = context.state.active_configuration()
    if active is None:
        explanation["refusals"].append("no configuration")
        return explanation
    age_s = context.configuration_proof.age_s()
    explanation["configuration"] = {
        "version": active.configuration.version,
        "proof_age_s": None if math.isinf(age_s) else round(age_s, 3),
    }
    route = find_route(active.routes, call.host, call.path)
    if route is None:
        explanation["refusals"].append("no route for this host and path")
        return explanation
    explanation["route"] = _describe_route(route)
    identified = identify(
        active.accounts, route, call, None, age_s, context.proof_limits
    )
    if isinstance(identified, Err):
        explanation["refusals"].append(identified.err_value.value)
        return explanation
    account = identified.ok_value.account
    call = identified.ok_value.call
    request = _route(view, active, route, call, account)
    _explain_request(view, request, explanation)
    return explanation


def summarize(explanation: Explanation) -> str:
    """Returns in one line what would happen to a request."""
    if explanation["refusals"]:
        return "refused: " + "; ".join(explanation["refusals"])
    steps = []
    resumption = explanation["resumption"]
    if resumption and resumption["known_from"] == _UNKNOWN_ORIGIN:
        return "asks other VMs and the store where the stream began"
    quota = explanation["quota"]
    if quota is not None and not quota["charged_now"]:
        steps.append("waits shortly for units of other VMs, or is refused")
    if explanation["relayed_to"] is not None:
        steps.append(f"is relayed to {explanation['relayed_to']}")
        return ", then ".join(steps)
    ahead = explanation["queue"]["ahead"] if explanation["queue"] else 0
    if ahead:
        steps.append(f"waits behind {ahead} generations")
    if explanation["goes_to"] is not None:
        steps.append(f"is sent to {explanation['goes_to']}")
    elif explanation["waits_for"] is None:
        steps.append("is refused: no endpoint")
    else:
        steps.append(_describe_wait(**explanation["waits_for"]))
    return ", then ".join(steps)


def _describe_wait(endpoint: str, wait_s: float | None) -> str:
    if wait_s is None:
        return "is refused: limits whose share is unknown here"
    if wait_s > 0.0:
        return f"waits {wait_s} s for {endpoint}, or is refused"
    return "waits for memory, or is refused"


def _describe_route(route: Route) -> dict[str, Any]:
    return {
        "name": route.name,
        "kind": route.kind.value,
        "objective_s": route.objective_s,
        "timeout_s": route.timeout_s,
        "share_by_service": {
            service.name: service.weight for service in route.services
        },
    }


def _route(
    context: Context,
    active: ActiveConfiguration,
    route: Route,
    call: InboundCall,
    account: Account | None,
) -> RoutedRequest:
    return RoutedRequest(
        call=call,
        route=route,
        service=choose_service(route, context.random_float),
        configuration_version=active.configuration.version,
        services_by_name=active.configuration.services_by_name,
        deadline_s=call.arrived_s + min(call.caller_timeout_s, route.timeout_s),
        caller=CallerConnection(),
        abort=AbortHandle(),
        priority=choose_priority(route, account),
        account=account,
    )


def _explain_request(
    context: Context, request: RoutedRequest, explanation: Explanation
) -> None:
    """Adds what happens to a request that has a route and an account."""
    call, refusals = request.call, explanation["refusals"]
    if not context.graceful_stop.accepts(request.route, request.deadline_s):
        refusals.append("this VM is stopping")
    request, resumption = _resume(context, request)
    if resumption is not None and resumption["known_from"] == _OTHER_SERVICE:
        refusals.append("the stream began at a service of another route")
    quota = _explain_quota(context, request.account, call.generation_size)
    if context.part_quarantine.find_refused(
        list_parts(request.service, call.shared_parts)
    ):
        refusals.append(_PART_REFUSED)
    reach = context.reachability.explain(request.service)
    explanation |= {
        "account": request.account.name if request.account else None,
        "priority": request.priority,
        "resumption": resumption,
        "quota": quota,
        "service": request.service,
        "reach": reach,
    }
    service = request.services_by_name.get(request.service)
    engine = service.engine if service is not None else None
    if engine is not None and call.generation_size is not None:
        explanation |= _explain_generation(
            context, request, engine, call.generation_size
        )
    else:
        explanation["stages"] = {
            "plain": _to_plain(
                explain_plain(
                    context, request.service, request.software_version
                )
            )
        }
    if reach["out_of_reach"]:
        peer = context.peers.choose(request.service, set(), asks_again=True)
        explanation["relayed_to"] = None if peer is None else peer.vm
    is_unknown = resumption is not None and (
        resumption["known_from"] == _UNKNOWN_ORIGIN
    )
    if not (refusals or explanation["relayed_to"] or is_unknown):
        explanation["goes_to"] = _find_first(explanation["stages"])
        explanation["waits_for"] = _find_soonest(context, request)


def _find_soonest(
    context: Context, request: RoutedRequest
) -> dict[str, Any] | None:
    soonest = context.state.find_soonest(
        request.service, software_version=request.software_version
    )
    if soonest is None:
        return None
    endpoint, wait_s = soonest
    return {
        "endpoint": endpoint.id,
        "wait_s": None if math.isinf(wait_s) else round(wait_s, 3),
    }


def _resume(
    context: Context, request: RoutedRequest
) -> tuple[RoutedRequest, dict[str, Any] | None]:
    """Returns the request, restricted to what is known here of its stream."""
    call = request.call
    resumed = call.resumed_request_id
    if (
        call.last_event_id is None and resumed is None
    ) or request.route.kind is not RequestKind.STREAM:
        return request, None
    origin = None if resumed is None else context.origins.find_here(resumed)
    version, service, source = None, request.service, "record"
    if origin is not None:
        version, service = origin.software_version, origin.service
        if service not in {item.name for item in request.route.services}:
            return request, {"version": version, "known_from": _OTHER_SERVICE}
    else:
        history = context.state.version_history
        age_s = context.state.endpoints_age_s()
        is_fresh = age_s is not None and age_s <= context.endpoints_max_age_s
        if len(request.route.services) == 1 and is_fresh:
            version = history.sole_version(service)
        source = "sole_version" if version is not None else _UNKNOWN_ORIGIN
    restricted = dataclasses.replace(
        request, service=service, software_version=version
    )
    return restricted, {"version": version, "known_from": source}


def _explain_quota(
    context: Context, account: Account | None, size: GenerationSize | None
) -> dict[str, Any] | None:
    if account is None or account.quota is None:
        return None
    units = count_units(account.quota, size)
    held = context.account_quotas.measure(account.name) or 0.0
    return {
        "unit": account.quota.unit.value,
        "rate_per_s": account.quota.rate_per_s,
        "units": units,
        "held_here": round(held, 1),
        "charged_now": held >= units,
    }


def _explain_generation(
    context: Context,
    request: RoutedRequest,
    engine: EngineProperties,
    size: GenerationSize,
) -> dict[str, Any]:
    version, service = request.software_version, request.service
    precedence = find_precedence(context, request, size)
    is_late = version is None and is_retry_after_refusal(
        request.call, request.route
    )
    place = context.admission_queues.explain(
        service, version, is_late, request.call.arrived_s, precedence
    )
    decode = explain_decode(context, service, engine, size, version)
    zone = context.state.zone
    if decode and decode[0].usable:
        zone = decode[0].zone
    prefill = explain_prefill(context, service, size, zone)
    return {
        "queue": {
            "ahead": place.ahead,
            "late": is_late,
            "ordered": precedence.is_ordered,
            "waiting_here_by_priority": dict(place.waiting_by_priority),
            "waiting_elsewhere_by_priority": (
                context.admission_queues.count_elsewhere(service)
            ),
        },
        "decode_engine_prefills": _decode_engine_prefills(
            context, request, size, decode, prefill
        ),
        "stages": {"decode": _to_plain(decode), "prefill": _to_plain(prefill)},
    }


def _decode_engine_prefills(
    context: Context,
    request: RoutedRequest,
    size: GenerationSize,
    decode: tuple[CandidateExplanation, ...],
    prefill: tuple[CandidateExplanation, ...],
) -> bool:
    """Returns whether no prefill engine is there, or all would be late."""
    if decode and decode[0].usable and decode[0].stage is None:
        return True
    tried = [item.endpoint for item in prefill if item.usable]
    entry_by_id = context.state.endpoint_table().by_id
    now_s = context.clock()
    delays = [
        context.prefill_delays.expected_delay_s(entry_by_id[id].endpoint, now_s)
        for id in tried[:MAX_PREFILL_ENGINES]
        if id in entry_by_id
    ]
    return not delays or should_decode_engine_prefill(
        request.route,
        size.prompt_tokens,
        context.demand.engine_tokens_per_s(request.service),
        min(delays),
    )


def _to_plain(
    candidates: tuple[CandidateExplanation, ...],
) -> list[dict[str, Any]]:
    return [dataclasses.asdict(candidate) for candidate in candidates]


def _find_first(stages: dict[str, list[dict[str, Any]]]) -> str | None:
    """Returns the endpoint that answers the request."""
    candidates = stages.get("decode", stages.get("plain", []))
    return next(
        (item["endpoint"] for item in candidates if item["reason"] is None),
        None,
    )


__all__ = ["Explanation", "explain", "summarize"]
