"""Generation of the routes of a plain service."""

from __future__ import annotations

import dataclasses

from burdockspan.configuration.actions import (
    covers,
    find_priority,
    split_action,
)
from burdockspan.configuration.answers import (
    PlainServiceAnswers,
    RouteAnswers,
    Work,
)
from burdockspan.configuration.document import Route


@dataclasses.dataclass(frozen=True)
class GeneratedRoute:
    """A route and the answers behind its values.

    Attributes:
      route: the route.
      declared: prefix of the declared route that it comes from.
      repeat_answer: answer that decided whether it is idempotent.
      priority_answer: answer that decided its priority.
      timeout_given: whether the timeout was answered.
    """

    route: Route
    declared: str
    repeat_answer: str
    priority_answer: str
    timeout_given: bool


def generate_routes(
    service: PlainServiceAnswers, work: Work
) -> tuple[GeneratedRoute, ...]:
    """Returns the routes of a service, by prefix and then by methods.

    An action that never repeats gets a non-idempotent route of its own, with
    the other methods of the declared route in an idempotent route of the same
    prefix. Routes of the same prefix never share a method.
    """
    prefixes = {route.prefix: route for route in service.routes}
    for action in work.never_repeat:
        _, name, path = split_action(action)
        declared = _find_declared(service, path)
        if name == service.name and declared is not None:
            prefixes.setdefault(path, declared)
    found: list[GeneratedRoute] = []
    for prefix, declared in sorted(prefixes.items()):
        found += _split(service.name, prefix, declared, work)
    return tuple(found)


def _find_declared(
    service: PlainServiceAnswers, path: str
) -> RouteAnswers | None:
    fitting = (r for r in service.routes if path.startswith(r.prefix))
    return max(fitting, key=lambda route: len(route.prefix), default=None)


def _split(
    service: str, prefix: str, declared: RouteAnswers, work: Work
) -> list[GeneratedRoute]:
    priority = find_priority(work, service, declared.prefix)
    assert priority is not None, f"unchecked questionnaire: {prefix}"
    by_idempotence: dict[bool, list[str]] = {True: [], False: []}
    for method in sorted(declared.methods):
        never = _listed(work.never_repeat, service, method, prefix)
        by_idempotence[never is None].append(method)
    found: list[GeneratedRoute] = []
    for idempotent, methods in by_idempotence.items():
        if not methods:
            continue
        route = Route(
            prefix=prefix,
            methods=tuple(methods),
            idempotent=idempotent,
            priority=priority[0],
            timeout_s=declared.timeout_s,
        )
        found.append(
            GeneratedRoute(
                route=route,
                declared=declared.prefix,
                repeat_answer=_repeat_answer(route, service, work),
                priority_answer=priority[1],
                timeout_given="timeout" in declared.given,
            )
        )
    return found


def _repeat_answer(route: Route, service: str, work: Work) -> str:
    key = "may_repeat" if route.idempotent else "never_repeat"
    actions = work.may_repeat if route.idempotent else work.never_repeat
    listed = (
        _listed(actions, service, method, route.prefix)
        for method in route.methods
    )
    names = sorted({name for name in listed if name is not None})
    return f"work.{key}: {', '.join(names)}" if names else "default"


def _listed(
    actions: tuple[str, ...], service: str, method: str, path: str
) -> str | None:
    fitting = (a for a in actions if covers(a, service, method, path))
    return max(fitting, key=len, default=None)


__all__ = ["GeneratedRoute", "generate_routes"]
