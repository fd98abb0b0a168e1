"""Readiness of this VM, and the servers that tell it and the metrics."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from burdockspan.gateway.callers.messages import make_status_line
from burdockspan.gateway.context import Context
from burdockspan.gateway.explanation.server import (
    BODY_LIMIT_BYTES,
    PATH,
    serve_explanation,
)
from burdockspan.gateway.settings import (
    GatewaySettings,
)
from burdockspan.http.listener import Server, make_server

_STATUS_THREADS = 1
# Above it, a body is not read at all; below, its handler names its own limit.
_BODY_LIMIT_BYTES = 2 * BODY_LIMIT_BYTES

# A VM that hears from the store itself has a proof that is younger than this
# share of the limit.
_READY_PROOF_SHARE = 0.7


def has_recent_proof(context: Context) -> bool:
    """Returns whether this VM will go on serving requests with keys.

    The load balancer takes some seconds to notice that a VM is not ready, and
    callers that come back after a refusal are late.
    """
    active = context.state.active_configuration()
    if active is None or active.accounts is None:
        return True
    limit_s = _READY_PROOF_SHARE * context.proof_limits.known_key_s
    return context.configuration_proof.age_s() <= limit_s


def is_ready(context: Context) -> bool:
    """Returns whether the load balancer should send callers to this VM."""
    active = context.state.active_configuration()
    if context.graceful_stop.has_begun or active is None:
        return False
    if not has_recent_proof(context):
        return False
    return context.state.has_endpoint(active.configuration.services_by_name)


def make_status_servers(
    settings: GatewaySettings, context: Context
) -> tuple[Server, ...]:
    """Returns the servers of the readiness check and of the metrics."""
    last_logged = {"ready": False}

    def serve_ready(_: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        ready = is_ready(context)
        if ready != last_logged["ready"]:
            last_logged["ready"] = ready
            context.log("readiness changed", ready=ready)
        return _respond(start_response, 200 if ready else 503, b"")

    def serve_metrics(
        environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        if environ["PATH_INFO"] == PATH:
            return serve_explanation(context, environ, start_response)
        return _respond(start_response, 200, context.registry.render())

    servers = [make_server(serve_ready, settings.ready_address, 1)]
    if settings.metrics_address is not None:
        metrics = make_server(
            serve_metrics,
            settings.metrics_address,
            _STATUS_THREADS,
            max_request_body_size=_BODY_LIMIT_BYTES,
        )
        servers.append(metrics)
    return tuple(servers)


def _respond(start_response: Any, status: int, body: bytes) -> Iterable[bytes]:
    headers = [
        ("Content-Type", "text/plain; version=0.0.4"),
        ("Content-Length", str(len(body))),
    ]
    start_response(make_status_line(status), headers)
    return [body]


__all__ = ["has_recent_proof", "is_ready", "make_status_servers"]
