"""Routing of plain service calls."""

from __future__ import annotations

import dataclasses
from urllib import parse

from result import Err, Ok, Result

from burdockspan.configuration.document import Configuration, Route, Service
from burdockspan.http.parsing import Request
from burdockspan.http.refusals import make_malformed_refusal
from burdockspan.values.refusal import Execution, Reason, Refusal

SERVICES_PREFIX = "/services/"


@dataclasses.dataclass(frozen=True)
class Destination:
    """Destination of a plain service call.

    Attributes:
      service: the service.
      route: the route with the longest prefix of the path, preferably one
        that allows the method.
      path: decoded path at the service, starting with `/`.
      url: percent-encoded path and query.
    """

    service: Service
    route: Route
    path: str
    url: str


def find_destination(
    request: Request, configuration: Configuration
) -> Result[Destination, Refusal]:
    """Returns the destination of a call under `/services/`."""
    name, _, rest = request.path.removeprefix(SERVICES_PREFIX).partition("/")
    service = next(
        (
            service
            for service in configuration.services
            if service.name == name and service.routes
        ),
        None,
    )
    if service is None:
        detail = f"service {name[:200]!r} does not exist"
        return Err(_make_not_found_refusal(Reason.UNKNOWN_SERVICE, detail))
    path = "/" + rest
    # A service that resolves such segments would run another path than the
    # one that the route was chosen for.
    segments = path.split("/")[1:]
    if any(part in (".", "..") for part in segments) or "//" in path:
        detail = "path must not contain empty, '.' or '..' segments"
        return Err(make_malformed_refusal("path", detail))
    if "\ufffd" in path:
        return Err(make_malformed_refusal("path", "path is not UTF-8"))
    if not (request.query.isascii() and request.query.isprintable()):
        detail = "query must be printable ASCII, other characters escaped"
        return Err(make_malformed_refusal("query", detail))
    route = _find_route(service, path, request.method)
    if route is None:
        detail = f"service {name!r} has no route for {path[:200]!r}"
        return Err(_make_not_found_refusal(Reason.UNKNOWN_PATH, detail))
    if request.method not in route.methods:
        allowed = tuple(
            method
            for other in service.routes
            if other.prefix == route.prefix
            for method in other.methods
        )
        return Err(make_method_refusal(request.method, allowed))
    url = parse.quote(path, safe="/:@!$&'()*+,;=~-._")
    if request.query:
        url += "?" + request.query
    return Ok(Destination(service, route, path, url))


def make_method_refusal(method: str, allowed: tuple[str, ...]) -> Refusal:
    """Returns the refusal of a method that a path does not allow."""
    names = ", ".join(allowed)
    return Refusal(
        405,
        Execution.NOT_RUN,
        Reason.METHOD_NOT_ALLOWED,
        f"method {method} is not allowed here",
        field="method",
        limit=names,
    )


def _find_route(service: Service, path: str, method: str) -> Route | None:
    matching = [
        route for route in service.routes if path.startswith(route.prefix)
    ]
    # A prefix may have two routes: one for a non-idempotent method and one for
    # its other methods.
    return max(
        matching,
        key=lambda route: (len(route.prefix), method in route.methods),
        default=None,
    )


def _make_not_found_refusal(reason: Reason, detail: str) -> Refusal:
    return Refusal(404, Execution.NOT_RUN, reason, detail, field="path")


__all__ = [
    "SERVICES_PREFIX",
    "Destination",
    "find_destination",
    "make_method_refusal",
]
