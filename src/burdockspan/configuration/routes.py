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
    """A route and the answers that set its values.

    Attributes:
      route: the route.
      declared_prefix: prefix of the route in the questionnaire that it was
        generated from.
      repeat_answer: answer that decides whether it is idempotent.
      priority_answer: answer that sets its priority.
      timeout_given: whether an answer sets its timeout.
    """

    route: Route
    declared_prefix: str
    repeat_answer: str
    priority_answer: str
    timeout_given: bool


def generate_routes(
    service: PlainServiceAnswers, work: Work
) -> tuple[GeneratedRoute, ...]:
    """Returns the routes of a service, sorted by prefix.

    The path of each action that must never repeat becomes a prefix, beside the
    prefixes in the questionnaire. A prefix gets a non-idempotent route for the
    methods that must never repeat and an idempotent route for its other
    methods, so routes with the same prefix never share a method.
    """
    declared_by_prefix = {route.prefix: route for route in service.routes}
    for action in work.never_repeat:
        _, name, path = split_action(action)
        declared = _find_declared(service, path)
        if name == service.name and declared is not None:
            declared_by_prefix.setdefault(path, declared)
    generated: list[GeneratedRoute] = []
    for prefix, declared in sorted(declared_by_prefix.items()):
        generated += _split_by_idempotence(service.name, prefix, declared, work)
    return tuple(generated)


def _find_declared(
    service: PlainServiceAnswers, path: str
) -> RouteAnswers | None:
    matching = (r for r in service.routes if path.startswith(r.prefix))
    return max(matching, key=lambda route: len(route.prefix), default=None)


def _split_by_idempotence(
    service: str, prefix: str, declared: RouteAnswers, work: Work
) -> list[GeneratedRoute]:
    priority = find_priority(work, service, declared.prefix)
    assert priority is not None, f"unchecked questionnaire: {prefix}"
    methods_by_idempotence: dict[bool, list[str]] = {True: [], False: []}
    for method in sorted(declared.methods):
        action = _find_listed(work.never_repeat, service, method, prefix)
        methods_by_idempotence[action is None].append(method)
    generated: list[GeneratedRoute] = []
    for idempotent, methods in methods_by_idempotence.items():
        if not methods:
            continue
        route = Route(
            prefix=prefix,
            methods=tuple(methods),
            idempotent=idempotent,
            priority=priority[0],
            timeout_s=declared.timeout_s,
        )
        generated.append(
            GeneratedRoute(
                route=route,
                declared_prefix=declared.prefix,
                repeat_answer=_repeat_answer(route, service, work),
                priority_answer=priority[1],
                timeout_given="timeout" in declared.given,
            )
        )
    return generated


def _repeat_answer(route: Route, service: str, work: Work) -> str:
    key = "may_repeat" if route.idempotent else "never_repeat"
    actions = work.may_repeat if route.idempotent else work.never_repeat
    listed = (
        _find_listed(actions, service, method, route.prefix)
        for method in route.methods
    )
    names = sorted({name for name in listed if name is not None})
    return f"work.{key}: {', '.join(names)}" if names else "default"


def _find_listed(
    actions: tuple[str, ...], service: str, method: str, path: str
) -> str | None:
    matching = (a for a in actions if covers(a, service, method, path))
    return max(matching, key=len, default=None)


__all__ = ["GeneratedRoute", "generate_routes"]
