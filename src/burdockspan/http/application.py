"""The WSGI application for callers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from result import Err, Ok, Result

from burdockspan.configuration.document import Client, Configuration
from burdockspan.http.claim_guard import adjust_refusal_for_key
from burdockspan.http.completions import complete
from burdockspan.http.concurrency import ActiveCalls, CountedBody
from burdockspan.http.context import HandlerContext
from burdockspan.http.listener import WsgiApplication
from burdockspan.http.models import MODELS_PATH, list_models, show_model
from burdockspan.http.outcomes import OUTCOMES_PREFIX, show_outcome
from burdockspan.http.parsing import (
    Request,
    authenticate,
    get_header,
    make_request,
)
from burdockspan.http.prompts import CHAT_PATH, COMPLETIONS_PATH
from burdockspan.http.refusals import (
    Response,
    make_refusal_response,
    make_status_line,
)
from burdockspan.http.routes import SERVICES_PREFIX, make_method_refusal
from burdockspan.http.services import call_plain_service
from burdockspan.observe.logs import log_fault
from burdockspan.observe.traces import parse_traceparent
from burdockspan.values.ids import make_request_id
from burdockspan.values.refusal import Execution, Reason, Refusal

REQUEST_ID_HEADER = "Burdockspan-Request-Id"
_RETRY_AFTER_S = 1.0
# Default limit of concurrent calls: the largest number of `threads` that the
# settings allow.
CALLS_LIMIT = 4096


def make_application(
    context: HandlerContext, calls_limit: int = CALLS_LIMIT
) -> WsgiApplication:
    """Returns the WSGI application that answers callers.

    Args:
      context: dependencies of the handlers.
      calls_limit: maximum concurrent calls; calls beyond it are refused.
    """
    calls = ActiveCalls(calls_limit)

    def application(
        environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        if not calls.enter():
            return respond(environ, start_response, _refuse_excess)
        try:
            body = respond(environ, start_response, _handle_safely)
        except BaseException:
            calls.leave()
            raise
        return CountedBody(body, calls.leave)

    def respond(
        environ: dict[str, Any],
        start_response: Any,
        handle: Callable[[HandlerContext, Request], Response],
    ) -> Iterable[bytes]:
        request = make_request(environ, make_request_id(), context.clock())
        response = handle(context, request)
        duration_s = context.clock() - request.arrived_s
        context.metrics.count(f"answers.{response.status}", 1)
        if response.refusal is not None:
            reason = response.refusal.reason.value
            outcome = response.refusal.execution.value
            context.metrics.count(f"refusals.{reason}.{outcome}", 1)
        context.metrics.time("answers.head", duration_s)
        headers = [*response.headers, (REQUEST_ID_HEADER, request.request_id)]
        start_response(make_status_line(response.status), headers)
        return response.body

    return application


def _refuse_excess(context: HandlerContext, request: Request) -> Response:
    del context
    detail = "this router serves as many calls as it can at a time"
    refusal = _make_unavailable_refusal(request, Reason.OVERLOADED, detail)
    return make_refusal_response(refusal, request.request_id)


def _handle_safely(context: HandlerContext, request: Request) -> Response:
    try:
        return _handle(context, request)
    except Exception:
        log_fault("handler failed", request_id=request.request_id)
        refusal = Refusal(
            500,
            Execution.UNKNOWN,
            Reason.INTERNAL,
            "the router failed to handle the call",
        )
        return make_refusal_response(refusal, request.request_id)


def _handle(context: HandlerContext, request: Request) -> Response:
    admitted = _admit(context, request)
    if isinstance(admitted, Err):
        return make_refusal_response(admitted.err_value, request.request_id)
    configuration, client = admitted.ok_value
    parent = parse_traceparent(get_header(request, "traceparent"))
    attributes: dict[str, str | int | float | bool] = {
        "client": client.name,
        "request_id": request.request_id,
    }
    with context.traces.span("request", parent, attributes) as traceparent:
        return _route(context, request, configuration, client, traceparent)


def _admit(
    context: HandlerContext, request: Request
) -> Result[tuple[Configuration, Client], Refusal]:
    configuration = context.router.configuration()
    if configuration is None:
        return Err(
            _make_unavailable_refusal(
                request,
                Reason.NO_CONFIGURATION,
                "this router holds no configuration yet",
            )
        )
    authenticated = authenticate(request, configuration)
    if isinstance(authenticated, Err):
        return Err(adjust_refusal_for_key(request, authenticated.err_value))
    if _is_new_work(request) and not context.router.is_ready():
        return Err(
            _make_unavailable_refusal(
                request, Reason.STOPPING, "this router takes no new calls"
            )
        )
    return Ok((configuration, authenticated.ok_value))


def _is_new_work(request: Request) -> bool:
    return request.path in (
        COMPLETIONS_PATH,
        CHAT_PATH,
    ) or request.path.startswith(SERVICES_PREFIX)


def _make_unavailable_refusal(
    request: Request, reason: Reason, detail: str
) -> Refusal:
    refusal = Refusal(
        503,
        Execution.NOT_RUN,
        reason,
        detail,
        retry_after_s=_RETRY_AFTER_S,
    )
    return adjust_refusal_for_key(request, refusal)


def _route(
    context: HandlerContext,
    request: Request,
    configuration: Configuration,
    client: Client,
    traceparent: str | None,
) -> Response:
    path, request_id = request.path, request.request_id
    if path in (COMPLETIONS_PATH, CHAT_PATH):
        if request.method != "POST":
            return _refuse_method(request, "POST")
        return complete(context, request, configuration, client, traceparent)
    if path.startswith(SERVICES_PREFIX):
        return call_plain_service(
            context, request, configuration, client, traceparent
        )
    if request.method != "GET" and path.startswith("/v1/"):
        return _refuse_method(request, "GET")
    if path == MODELS_PATH:
        return list_models(configuration)
    if path.startswith(MODELS_PATH + "/"):
        name = path.removeprefix(MODELS_PATH + "/")
        return show_model(configuration, name, request_id)
    if path.startswith(OUTCOMES_PREFIX):
        key = path.removeprefix(OUTCOMES_PREFIX)
        return show_outcome(context, client, key, request_id)
    refusal = Refusal(
        404,
        Execution.NOT_RUN,
        Reason.UNKNOWN_PATH,
        f"path {path[:200]!r} does not exist",
        field="path",
    )
    return make_refusal_response(refusal, request_id)


def _refuse_method(request: Request, allowed: str) -> Response:
    refusal = make_method_refusal(request.method, (allowed,))
    return make_refusal_response(refusal, request.request_id)


__all__ = [
    "CALLS_LIMIT",
    "REQUEST_ID_HEADER",
    "WsgiApplication",
    "make_application",
]
