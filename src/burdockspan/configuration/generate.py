"""Generation of a configuration from a questionnaire."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Mapping

from burdockspan.configuration.answers import (
    Given,
    ModelServiceAnswers,
    PlainServiceAnswers,
    Questionnaire,
    Work,
)
from burdockspan.configuration.document import (
    Client,
    Configuration,
    Distance,
    Origin,
    Service,
)
from burdockspan.configuration.limits import LIMITS
from burdockspan.configuration.paths import flatten, item_path
from burdockspan.configuration.routes import generate_routes

DEFAULT = "default"

_ENGINE_ANSWERS: Mapping[str, str] = {
    "piece_tokens": "piece",
    "concurrency": "prefill_concurrency",
    "checks_fencing": "endpoints_check_fencing",
    "cache_life_s": "cache_lifetime",
    "link_bytes_per_s": "link_rate",
    "kv_bytes_per_token": "kv_cache_per_token",
    "prefill_tokens_per_s": "prefill_speed",
    "token_gap_s": "decode_speed",
}
"""Answer that sets each field of a model service, apart from `pieces`."""

_PIECES_ANSWERS = "replica_memory, models.weights, kv_cache_per_token, piece"
"""Answers that `pieces` of a model service is calculated from."""
_MODEL_ANSWERS: Mapping[str, str] = {
    "context_tokens": "context",
    "version": "version",
    "adapters": "adapters",
}
_PLAIN_ANSWERS: Mapping[str, str] = {
    "concurrency": "concurrency",
    "checks_fencing": "endpoints_check_fencing",
}
_CLIENT_ANSWERS: Mapping[str, str] = {
    "key_sha256": "key_sha256",
    "requests_per_s": "rate",
    "burst": "burst",
}


def generate(
    questionnaire: Questionnaire, previous: Configuration | None = None
) -> Configuration:
    """Returns the configuration that valid answers describe.

    The result is deterministic and does not depend on the order of the
    answers. Every value has an Origin, apart from generation, acceptance,
    drains, planned stops and roles.

    Args:
      questionnaire: valid answers.
      previous: configuration in force, whose drains, planned stops and
        roles are kept; None before the first.
    """
    services = [
        _make_model_service(item) for item in questionnaire.model_services
    ]
    services += [
        _make_plain_service(item, questionnaire.work)
        for item in questionnaire.plain_services
    ]
    document = Configuration(
        generation=previous.generation + 1 if previous else 1,
        team=questionnaire.team,
        clients=tuple(
            Client(c.name, c.key_sha256, c.requests_per_s, c.burst)
            for c in sorted(questionnaire.clients, key=lambda c: c.name)
        ),
        services=tuple(sorted(services, key=lambda service: service.name)),
        policy=questionnaire.policy,
        distances=_make_distances(questionnaire),
        drains=previous.drains if previous else (),
        stops=previous.stops if previous else (),
        roles=previous.roles if previous else (),
    )
    answers = dict(_origins(questionnaire, document))
    paths = flatten(
        dataclasses.replace(document, drains=(), stops=(), roles=())
    )
    origins = tuple(
        Origin(path, answers.get(path, DEFAULT)) for path in sorted(paths)
    )
    return dataclasses.replace(document, origins=origins)


def _make_model_service(answers: ModelServiceAnswers) -> Service:
    models = (item.model for item in answers.models)
    return Service(
        name=answers.name,
        models=tuple(
            dataclasses.replace(model, adapters=tuple(sorted(model.adapters)))
            for model in sorted(models, key=lambda model: model.name)
        ),
        pieces=answers.pieces,
        piece_tokens=answers.piece_tokens,
        concurrency=answers.concurrency,
        checks_fencing=answers.checks_fencing,
        cache_life_s=answers.cache_life_s,
        link_bytes_per_s=answers.link_bytes_per_s,
        kv_bytes_per_token=answers.kv_bytes_per_token,
        prefill_tokens_per_s=answers.prefill_tokens_per_s,
        token_gap_s=1.0 / answers.decode_tokens_per_s,
    )


def _make_plain_service(answers: PlainServiceAnswers, work: Work) -> Service:
    return Service(
        name=answers.name,
        routes=tuple(
            generated.route for generated in generate_routes(answers, work)
        ),
        pieces=0,
        concurrency=answers.concurrency,
        checks_fencing=answers.checks_fencing,
    )


def _make_distances(questionnaire: Questionnaire) -> tuple[Distance, ...]:
    distances = (
        Distance(
            min(delay.zone, delay.other),
            max(delay.zone, delay.other),
            delay.one_way_ms,
        )
        for delay in questionnaire.delays
    )
    return tuple(sorted(distances, key=lambda item: (item.zone, item.other)))


def _origins(
    questionnaire: Questionnaire, document: Configuration
) -> Iterator[tuple[str, str]]:
    yield "team", "team"
    for key in questionnaire.limits_given:
        yield f"policy.{LIMITS[key][0]}", f"limits.{key}"
    for distance in document.distances:
        path = item_path("distances", distance)
        between = f"{distance.zone}, {distance.other}"
        yield f"{path}.one_way_ms", f"delays[{between}].one_way"
    for client in questionnaire.clients:
        answer = f"clients.{client.name}"
        # The default of burst follows from the rate. An answer for burst is
        # yielded later and replaces this origin.
        yield f"{answer}.burst", f"{answer}.rate"
        yield from _given_origins(answer, answer, _CLIENT_ANSWERS, client.given)
    for engines in questionnaire.model_services:
        yield from _engine_origins(engines)
    for plain in questionnaire.plain_services:
        yield from _plain_origins(plain, questionnaire.work)


def _engine_origins(
    answers: ModelServiceAnswers,
) -> Iterator[tuple[str, str]]:
    path = f"services.{answers.name}"
    answer = f"model_services.{answers.name}"
    yield f"{path}.pieces", f"{answer}: {_PIECES_ANSWERS}"
    yield from _given_origins(path, answer, _ENGINE_ANSWERS, answers.given)
    for item in answers.models:
        yield from _given_origins(
            f"{path}.models.{item.model.name}",
            f"{answer}.models.{item.model.name}",
            _MODEL_ANSWERS,
            item.given,
        )


def _plain_origins(
    answers: PlainServiceAnswers, work: Work
) -> Iterator[tuple[str, str]]:
    path = f"services.{answers.name}"
    answer = f"plain_services.{answers.name}"
    yield from _given_origins(path, answer, _PLAIN_ANSWERS, answers.given)
    for generated in generate_routes(answers, work):
        route = item_path(f"{path}.routes", generated.route)
        yield f"{route}.idempotent", generated.repeat_answer
        yield f"{route}.priority", generated.priority_answer
        if generated.timeout_given:
            declared = f"{answer}.routes.{generated.declared_prefix}"
            yield f"{route}.timeout_s", f"{declared}.timeout"


def _given_origins(
    path: str, answer: str, keys: Mapping[str, str], given: Given
) -> Iterator[tuple[str, str]]:
    for field, key in keys.items():
        if key in given:
            yield f"{path}.{field}", f"{answer}.{key}"


__all__ = ["DEFAULT", "generate"]
