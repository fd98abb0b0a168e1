"""Checks across the answers of a questionnaire."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from burdockspan.configuration.actions import (
    covers,
    find_priority,
    split_action,
)
from burdockspan.configuration.answers import (
    ModelServiceAnswers,
    PlainServiceAnswers,
    Questionnaire,
    RouteAnswers,
)
from burdockspan.configuration.fields import Section, add_problem

_NON_IDEMPOTENT_METHODS = ("POST", "PATCH")
"""Methods that HTTP does not define as idempotent (RFC 9110, 9.2.2)."""


def check_answers(root: Section, answers: Questionnaire) -> None:
    """Adds problems for answers that contradict each other."""
    _check_names(root, answers)
    _check_delays(root, answers)
    for index, service in enumerate(answers.model_services):
        _check_memory(root, f"model_services[{index}]", service)
    _check_priorities(root, answers)
    _check_actions(root, answers)
    _check_deadlines(root, answers)


def _check_names(root: Section, answers: Questionnaire) -> None:
    zones = [zone.name for zone in answers.zones]
    _report_repeated(root, "availability_zones[{}].name", zones)
    clients = answers.clients
    _report_repeated(root, "clients[{}].name", [c.name for c in clients])
    hashes = [client.key_sha256 for client in clients]
    _report_repeated(root, "clients[{}].key_sha256", hashes)
    model_services = [service.name for service in answers.model_services]
    plain_services = [service.name for service in answers.plain_services]
    _report_repeated(root, "model_services[{}].name", model_services)
    _report_repeated(
        root, "plain_services[{}].name", plain_services, set(model_services)
    )
    seen_models: set[str] = set()
    for index, service in enumerate(answers.model_services):
        models = [item.model.name for item in service.models]
        field = f"model_services[{index}].models[{{}}].name"
        _report_repeated(root, field, models, seen_models)
        seen_models.update(models)
    for index, plain in enumerate(answers.plain_services):
        prefixes = [route.prefix for route in plain.routes]
        field = f"plain_services[{index}].routes[{{}}].prefix"
        _report_repeated(root, field, prefixes)


def _report_repeated(
    root: Section,
    field: str,
    values: Iterable[str],
    used_values: Iterable[str] = (),
) -> None:
    seen = set(used_values)
    for index, value in enumerate(values):
        if value in seen:
            add_problem(root, field.format(index), value, "each only once")
        seen.add(value)


def _check_delays(root: Section, answers: Questionnaire) -> None:
    zones = {zone.name for zone in answers.zones}
    seen: set[frozenset[str]] = set()
    for index, delay in enumerate(answers.delays):
        pair = frozenset((delay.zone, delay.other))
        for name in sorted(pair - zones):
            allowed = f"one of: {', '.join(sorted(zones))}"
            add_problem(root, f"delays[{index}].between", name, allowed)
        if pair in seen:
            value = [delay.zone, delay.other]
            allowed = "each pair of zones only once"
            add_problem(root, f"delays[{index}].between", value, allowed)
        seen.add(pair)
    for zone, other in itertools.combinations(answers.zones, 2):
        pair = frozenset((zone.name, other.name))
        if zone.region == other.region and pair not in seen:
            allowed = (
                f"a delay between {zone.name} and {other.name}, which are in "
                "one region"
            )
            add_problem(root, "delays", None, allowed)


def _check_memory(
    root: Section, path: str, service: ModelServiceAnswers
) -> None:
    capacity = service.pieces * service.piece_tokens
    weights = sum(item.weights_bytes for item in service.models)
    for index, item in enumerate(service.models):
        context = item.model.context_tokens
        if context > capacity:
            allowed = (
                f"at most {capacity} tokens, which is what an engine can hold "
                f"beside {weights / 1e9:g} GB of weights and a tenth of its "
                "memory for its own use; see replica_memory"
            )
            field = f"{path}.models[{index}].context"
            add_problem(root, field, f"{context} tokens", allowed)
        size = context * service.kv_bytes_per_token
        transfer_s = size / service.link_bytes_per_s
        if transfer_s > service.cache_life_s:
            allowed = (
                f"at least {transfer_s:.3g} s, the time in which link_rate "
                f"transfers the KV cache of {context} tokens"
            )
            life = f"{service.cache_life_s:g} s"
            add_problem(root, f"{path}.cache_lifetime", life, allowed)


def _check_priorities(root: Section, answers: Questionnaire) -> None:
    work = answers.work
    known = [service.name for service in answers.plain_services]
    for service in answers.plain_services:
        for route in service.routes:
            route_name = f"{service.name}{route.prefix}"
            known.append(route_name)
            if find_priority(work, service.name, route.prefix) is None:
                allowed = f"{route_name} must be in work.urgent or work.patient"
                add_problem(root, "work", None, allowed)
    for key, route_names in (
        ("urgent", work.urgent),
        ("patient", work.patient),
    ):
        for route_name in route_names:
            if route_name not in known:
                allowed = (
                    f"one of: {', '.join(known)}; completions carry their "
                    "priority in a header"
                )
                add_problem(root, f"work.{key}", route_name, allowed)
    for route_name in sorted(set(work.urgent) & set(work.patient)):
        add_problem(root, "work.patient", route_name, "not also in work.urgent")


def _check_actions(root: Section, answers: Questionnaire) -> None:
    work = answers.work
    by_name = {service.name: service for service in answers.plain_services}
    lists = (
        ("never_repeat", work.never_repeat),
        ("may_repeat", work.may_repeat),
    )
    for key, actions in lists:
        for action in actions:
            _check_action(root, f"work.{key}", action, by_name)
    for action in sorted(set(work.never_repeat) & set(work.may_repeat)):
        add_problem(root, "work.may_repeat", action, "not also in never_repeat")
    listed = work.never_repeat + work.may_repeat
    for service in answers.plain_services:
        for route in service.routes:
            for method in route.methods:
                if method not in _NON_IDEMPOTENT_METHODS or any(
                    covers(action, service.name, method, route.prefix)
                    for action in listed
                ):
                    continue
                allowed = (
                    f"'{method} {service.name}{route.prefix}' must be in "
                    "work.never_repeat or work.may_repeat"
                )
                add_problem(root, "work", None, allowed)


def _check_action(
    root: Section,
    field: str,
    action: str,
    by_name: dict[str, PlainServiceAnswers],
) -> None:
    method, name, path = split_action(action)
    if name not in by_name:
        allowed = f"a plain service: {', '.join(by_name) or 'none'}"
        add_problem(root, field, action, allowed)
        return
    routes = by_name[name].routes
    if "//" in path or {".", ".."} & set(path.split("/")):
        add_problem(root, field, action, "a path without '//', '.' and '..'")
    elif path != "/" and path.endswith("/"):
        # Many services treat a path with and without a trailing slash alike,
        # but the action would not cover the path without it.
        add_problem(root, field, action, "a path without '/' at its end")
    elif not any(_overlaps(route, method, path) for route in routes):
        prefixes = ", ".join(
            f"{'/'.join(route.methods)} {route.prefix}" for route in routes
        )
        add_problem(
            root, field, action, f"within a route of {name}: {prefixes}"
        )


def _overlaps(route: RouteAnswers, method: str, path: str) -> bool:
    nested = path.startswith(route.prefix) or route.prefix.startswith(path)
    return method in route.methods and nested


def _check_deadlines(root: Section, answers: Questionnaire) -> None:
    policy = answers.policy
    if policy.urgent_deadline_s > policy.patient_deadline_s:
        allowed = f"at least urgent_deadline, {policy.urgent_deadline_s:g} s"
        value = f"{policy.patient_deadline_s:g} s"
        add_problem(root, "limits.patient_deadline", value, allowed)


__all__ = ["check_answers"]
