"""Restricts resumed streams to the software version that began them."""

from __future__ import annotations

import dataclasses

from result import Err, Ok, Result

from burdockspan.gateway.callers.messages import Response, make_problem
from burdockspan.gateway.context import Context
from burdockspan.gateway.requests.attempts import (
    RETRY_AFTER_S,
    Attempts,
    RoutedRequest,
)
from burdockspan.gateway.streams.stream_origins import Origin, make_route_key
from burdockspan.gateway.values import Endpoint, RequestKind


def restrict_to_origin(
    context: Context, request: RoutedRequest
) -> Result[RoutedRequest, Response]:
    """Returns the request, restricted to the version that began its stream.

    Returns a refusal if the caller resumes a stream whose origin is unknown:
    events of another version must not follow those that the caller has.
    """
    call = request.call
    is_resumed = (call.last_event_id or call.resumed_request_id) is not None
    if not is_resumed or request.route.kind is not RequestKind.STREAM:
        return Ok(request)
    origin = _find_known_origin(context, request, call.resumed_request_id)
    if origin is None:
        return Err(_refuse(context, request))
    return Ok(_restrict(request, origin))


def restrict_to_begun(
    context: Context, request: RoutedRequest, attempts: Attempts
) -> Result[RoutedRequest, Response]:
    """Returns the request, restricted if another VM may have begun its stream.

    Returns a refusal if the version is unknown: that VM may have published
    another version than this one would begin at.
    """
    route = request.route
    if (
        not attempts.may_have_begun_elsewhere
        or request.software_version is not None
        or route.kind is not RequestKind.STREAM
        or not route.resumable
    ):
        return Ok(request)
    origin = _find_known_origin(context, request, request.call.request_id)
    if origin is None:
        return Err(_refuse_begun(attempts))
    return Ok(_restrict(request, origin))


def _restrict(request: RoutedRequest, origin: Origin) -> RoutedRequest:
    return dataclasses.replace(
        request,
        service=origin.service,
        software_version=origin.software_version,
    )


def _find_known_origin(
    context: Context, request: RoutedRequest, resumed: str | None
) -> Origin | None:
    """Returns the origin of a stream, at a service of its route."""
    call = request.call
    origin, source = _find_origin(context, request, resumed)
    services = {service.name for service in request.route.services}
    context.registry.count("resumed_stream", source)
    context.log(
        "stream to resume",
        request_id=call.request_id,
        resumes=resumed,
        after_event=call.last_event_id,
        version=origin.software_version if origin else None,
        service=origin.service if origin else None,
        known_from=source,
    )
    if origin is None or origin.service not in services:
        return None
    return origin


def publish_origin(
    context: Context, request: RoutedRequest, endpoint: Endpoint
) -> None:
    """Publishes the origin of a resumable stream whose response has begun.

    A stream that a caller has resumed is published under both requests: the
    caller names the first one again if it resumes the stream once more.
    """
    route = request.route
    if route.kind is not RequestKind.STREAM or not route.resumable:
        return
    origin = Origin(endpoint.service, endpoint.software_version)
    call = request.call
    for request_id in {call.request_id, call.resumed_request_id} - {None}:
        context.origins.publish(str(request_id), origin)
    remaining_s = call.arrived_s + call.caller_timeout_s - context.clock()
    first_id = call.resumed_request_id or call.request_id
    context.origin_records.record(first_id, origin, remaining_s)


def _find_origin(
    context: Context, request: RoutedRequest, resumed: str | None
) -> tuple[Origin | None, str]:
    """Returns the origin of a resumed stream, and how it is known."""
    have_all_answered = False
    if resumed is not None:
        origin, have_all_answered = context.origins.ask(resumed)
        if origin is not None:
            return origin, "record"
        if context.origins.is_disputed(resumed):
            return None, "disputed"
    history = context.state.version_history
    versions = {
        service.name: history.sole_version(service.name)
        for service in request.route.services
    }
    version = versions.get(request.service)
    # Another service may have begun the stream before the route changed.
    sole_service = context.state.route_history.sole_version(
        make_route_key(request.route)
    )
    is_known = sole_service == request.service and _is_table_fresh(context)
    if version is not None and is_known:
        sole = Origin(request.service, version)
        if not have_all_answered and not _is_sole_now(context, request, sole):
            return None, "unproven"
        return sole, "sole_version"
    if resumed is None or None not in versions.values():
        return None, "unknown"
    origin = context.origin_records.find(resumed)
    return origin, "store" if origin is not None else "unknown"


def _is_table_fresh(context: Context) -> bool:
    """Returns whether no endpoint can be present that this VM does not know."""
    age_s = context.state.endpoints_age_s()
    return age_s is not None and age_s <= context.endpoints_max_age_s


def _is_sole_now(
    context: Context, request: RoutedRequest, origin: Origin
) -> bool:
    """Returns whether the store lists no other version at this moment.

    A VM that does not answer may have begun the stream at an endpoint that this
    VM does not know yet.
    """
    versions = context.latest_versions.find(
        origin.service, request.call.arrived_s
    )
    return versions is not None and versions <= {origin.software_version}


def _refuse_begun(attempts: Attempts) -> Response:
    """Returns the refusal of a request that may have run."""
    return attempts.make_error_response("unknown version", RETRY_AFTER_S)


def _refuse(context: Context, request: RoutedRequest) -> Response:
    if request.relay is not None and request.relay.runs:
        return _refuse_begun(Attempts(context, request))
    context.registry.count("refusal", "unknown_version")
    context.log(
        "refused",
        request_id=request.call.request_id,
        status=503,
        reason="unknown version",
        retry_after_s=RETRY_AFTER_S,
    )
    detail = "no VM that answers knows at which software the stream began"
    return make_problem(503, "not_run", detail, RETRY_AFTER_S)


__all__ = ["publish_origin", "restrict_to_begun", "restrict_to_origin"]
