"""The WSGI application for callers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from result import Err, Ok, Result

from burdockspan.configuration.document import Client, Configuration
from burdockspan.http.claiming import hedge_refusal
from burdockspan.http.completions import complete
from burdockspan.http.concurrency import ActiveCalls, CountedBody
from burdockspan.http.listener import WsgiApplication
from burdockspan.http.models import MODELS_PATH, list_models, show_model
from burdockspan.http.outcomes import OUTCOMES_PREFIX, show_outcome
from burdockspan.http.parsing import (
    Request,
    authenticate,
    get_header,
    make_request,
)
from burdockspan.http.ports import Ports
from burdockspan.http.prompts import CHAT_PATH, COMPLETIONS_PATH
from burdockspan.http.refusals import (
    Reply,
    make_refusal_reply,
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
# The largest number of threads that the settings allow.
CALLS_LIMIT = 4096


def make_application(
    ports: Ports, calls_limit: int = CALLS_LIMIT
) -> WsgiApplication:
    """Returns the WSGI application that answers callers.

    Args:
      ports: collaborators.
      calls_limit: most calls served at a time; further ones are refused.
    """
    calls = ActiveCalls(calls_limit)

    def application(
        environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        if not calls.enter():
            return answer(environ, start_response, _refuse_excess)
        try:
            body = answer(environ, start_response, _answer_safely)
        except BaseException:
            calls.leave()
            raise
        return CountedBody(body, calls.leave)

    def answer(
        environ: dict[str, Any],
        start_response: Any,
        handle: Callable[[Ports, Request], Reply],
    ) -> Iterable[bytes]:
        request = make_request(environ, make_request_id(), ports.clock())
        reply = handle(ports, request)
        took_s = ports.clock() - request.arrived_s
        ports.metrics.count(f"answers.{reply.status}", 1)
        if reply.refusal is not None:
            reason = reply.refusal.reason.value
            outcome = reply.refusal.execution.value
            ports.metrics.count(f"refusals.{reason}.{outcome}", 1)
        ports.metrics.time("answers.head", took_s)
        headers = [*reply.headers, (REQUEST_ID_HEADER, request.request_id)]
        start_response(make_status_line(reply.status), headers)
        return reply.body

    return application


def _refuse_excess(ports: Ports, request: Request) -> Reply:
    del ports
    detail = "this router serves as many calls as it can at a time"
    refusal = _make_unready(request, Reason.OVERLOADED, detail)
    return make_refusal_reply(refusal, request.request_id)


def _answer_safely(ports: Ports, request: Request) -> Reply:
    try:
        return _answer(ports, request)
    except Exception:
        log_fault("handler failed", request_id=request.request_id)
        refusal = Refusal(
            500,
            Execution.UNKNOWN,
            Reason.INTERNAL,
            "the router failed to handle the call",
        )
        return make_refusal_reply(refusal, request.request_id)


def _answer(ports: Ports, request: Request) -> Reply:
    admitted = _admit(ports, request)
    if isinstance(admitted, Err):
        return make_refusal_reply(admitted.err_value, request.request_id)
    configuration, client = admitted.ok_value
    parent = parse_traceparent(get_header(request, "traceparent"))
    attributes: dict[str, str | int | float | bool] = {
        "client": client.name,
        "request_id": request.request_id,
    }
    with ports.traces.span("request", parent, attributes) as traceparent:
        return _route(ports, request, configuration, client, traceparent)


def _admit(
    ports: Ports, request: Request
) -> Result[tuple[Configuration, Client], Refusal]:
    configuration = ports.router.configuration()
    if configuration is None:
        return Err(
            _make_unready(
                request,
                Reason.NO_CONFIGURATION,
                "this router holds no configuration yet",
            )
        )
    found = authenticate(request, configuration)
    if isinstance(found, Err):
        return Err(hedge_refusal(request, found.err_value))
    if _starts_work(request) and not ports.router.is_ready():
        return Err(
            _make_unready(
                request, Reason.STOPPING, "this router takes no new calls"
            )
        )
    return Ok((configuration, found.ok_value))


def _starts_work(request: Request) -> bool:
    return request.path in (
        COMPLETIONS_PATH,
        CHAT_PATH,
    ) or request.path.startswith(SERVICES_PREFIX)


def _make_unready(request: Request, reason: Reason, detail: str) -> Refusal:
    refusal = Refusal(
        503,
        Execution.NOT_RUN,
        reason,
        detail,
        retry_after_s=_RETRY_AFTER_S,
    )
    return hedge_refusal(request, refusal)


def _route(
    ports: Ports,
    request: Request,
    configuration: Configuration,
    client: Client,
    traceparent: str | None,
) -> Reply:
    path, request_id = request.path, request.request_id
    if path in (COMPLETIONS_PATH, CHAT_PATH):
        if request.method != "POST":
            return _refuse_method(request, "POST")
        return complete(ports, request, configuration, client, traceparent)
    if path.startswith(SERVICES_PREFIX):
        return call_plain_service(
            ports, request, configuration, client, traceparent
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
        return show_outcome(ports, client, key, request_id)
    refusal = Refusal(
        404,
        Execution.NOT_RUN,
        Reason.UNKNOWN_PATH,
        f"path {path[:200]!r} does not exist",
        field="path",
    )
    return make_refusal_reply(refusal, request_id)


def _refuse_method(request: Request, allowed: str) -> Reply:
    refusal = make_method_refusal(request.method, (allowed,))
    return make_refusal_reply(refusal, request.request_id)


__all__ = [
    "CALLS_LIMIT",
    "REQUEST_ID_HEADER",
    "WsgiApplication",
    "make_application",
]
