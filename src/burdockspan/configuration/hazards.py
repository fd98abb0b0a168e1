"""Changes after which an action may run more than once."""

from __future__ import annotations

from burdockspan.configuration.document import Configuration, Route, Service


def find_repeatable(
    old: Configuration | None, new: Configuration
) -> tuple[str, ...]:
    """Returns the actions that only the old document runs at most once.

    Returns:
      Actions as `METHOD service/prefix`. An action that the new document does
      not route at all is not among them, as it cannot run.
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
        if _repeats(by_name.get(service.name), method, route.prefix)
    )


def _repeats(service: Service | None, method: str, path: str) -> bool:
    if service is None:
        return False
    # Longer prefixes count too: they take part of the action's calls.
    route = _find_route(service, method, path)
    nested = (r for r in service.routes if r.prefix.startswith(path))
    concerned = [r for r in nested if method in r.methods]
    if route is not None:
        concerned.append(route)
    return any(r.idempotent for r in concerned)


def _find_route(service: Service, method: str, path: str) -> Route | None:
    fitting = [
        route
        for route in service.routes
        if path.startswith(route.prefix) and method in route.methods
    ]
    return max(fitting, key=lambda route: len(route.prefix), default=None)


__all__ = ["find_repeatable"]
