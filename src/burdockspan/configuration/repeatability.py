"""Check for actions that a change allows to run more than once."""

from __future__ import annotations

from burdockspan.configuration.document import Configuration, Route, Service


def find_newly_repeatable(
    old: Configuration | None, new: Configuration
) -> tuple[str, ...]:
    """Returns the actions that only the old document runs at most once.

    Returns:
      Actions as `METHOD service/prefix`. An action that the new document does
      not route at all cannot run, so it is left out.
    """
    if old is None:
        return ()
    by_name = {service.name: service for service in new.services}
    return tuple(
        f"{method} {service.name}{route.prefix}"
        for service in old.services
        for route in service.routes
        if not route.idempotent
        for method in route.methods
        if _may_repeat(by_name.get(service.name), method, route.prefix)
    )


def _may_repeat(service: Service | None, method: str, path: str) -> bool:
    if service is None:
        return False
    # Routes with longer prefixes count too, since they match some of the
    # action's calls.
    route = _find_route(service, method, path)
    nested = (r for r in service.routes if r.prefix.startswith(path))
    overlapping = [r for r in nested if method in r.methods]
    if route is not None:
        overlapping.append(route)
    return any(r.idempotent for r in overlapping)


def _find_route(service: Service, method: str, path: str) -> Route | None:
    matching = [
        route
        for route in service.routes
        if path.startswith(route.prefix) and method in route.methods
    ]
    return max(matching, key=lambda route: len(route.prefix), default=None)


__all__ = ["find_newly_repeatable"]
