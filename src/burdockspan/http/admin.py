"""The WSGI application for operators."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from burdockspan.http.application import WsgiApplication
from burdockspan.http.refusals import (
    Response,
    make_json_response,
    make_status_line,
)
from burdockspan.values.router import Router


def make_admin_application(router: Router) -> WsgiApplication:
    """Returns the application for the admin port."""

    def application(
        environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        response = _make_response(
            router, environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")
        )
        start_response(
            make_status_line(response.status), list(response.headers)
        )
        return response.body

    return application


def _make_response(router: Router, method: str, path: str) -> Response:
    if method not in ("GET", "HEAD"):
        return make_json_response(405, {"detail": "only GET is allowed here"})
    if path == "/admin/health":
        return make_json_response(200, {"state": "live"})
    if path == "/admin/ready":
        # Readiness check of the load balancer, which routes callers to this VM
        # only while the status is 200.
        ready = router.in_rotation()
        return make_json_response(200 if ready else 503, {"ready": ready})
    if path == "/admin/status":
        return make_json_response(200, router.status())
    return make_json_response(404, {"detail": f"path {path!r} does not exist"})


__all__ = ["make_admin_application"]
