"""Parsing of the services in a questionnaire."""

from __future__ import annotations

from result import Err, Ok, Result

from burdockspan.configuration.answers import (
    Given,
    ModelAnswers,
    ModelServiceAnswers,
    PlainServiceAnswers,
    RouteAnswers,
)
from burdockspan.configuration.converters import (
    BYTES,
    BYTES_PER_S,
    SECONDS,
    TOKENS,
    TOKENS_PER_S,
    count,
    flag,
    list_of,
    quantity,
    text,
)
from burdockspan.configuration.document import Model, Route, Service
from burdockspan.configuration.fields import (
    NO_TEXTS,
    Section,
    check_keys,
    read_field,
    read_required,
    read_sections,
)

NAME = text(
    "[a-z0-9][a-z0-9-]{0,62}",
    "a name of up to 63 lower-case letters, digits and '-'",
)
METHODS = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")

_MODEL_NAME = text(
    "[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}",
    "a model name of up to 127 letters, digits and '._:/-'",
)
_VERSION = text("[A-Za-z0-9._-]{1,63}", "a version in quotes, such as '1'")
_METHOD = text("|".join(METHODS), f"one of {', '.join(METHODS)}")
_CONCURRENCY = count(1, 10_000)
_MODEL_KEYS = ("name", "context", "weights", "version", "adapters")
_MODEL_SERVICE_KEYS = (
    "name",
    "models",
    "replica_memory",
    "kv_cache_per_token",
    "piece",
    "prefill_speed",
    "prefill_concurrency",
    "decode_speed",
    "cache_lifetime",
    "link_rate",
    "endpoints_check_fencing",
)
_PLAIN_SERVICE_KEYS = (
    "name",
    "concurrency",
    "endpoints_check_fencing",
    "routes",
)


def given_keys(section: Section) -> Given:
    """Returns the keys of a section that have an answer."""
    return frozenset(k for k, v in section.values.items() if v is not None)


def read_model_service(section: Section) -> ModelServiceAnswers:
    """Reads a service of prefill and decode engines."""
    check_keys(section, _MODEL_SERVICE_KEYS)
    per_s = quantity(TOKENS_PER_S, "tokens/s", 1.0, 1e7)
    per_token = quantity(BYTES, "kB", 1.0, 1e8)
    piece = quantity(TOKENS, "tokens", 1.0, 1e6)
    return ModelServiceAnswers(
        name=read_required(section, "name", NAME, ""),
        models=tuple(
            _read_model(item)
            for item in read_sections(section, "models", min_items=1)
        ),
        engine_memory_bytes=read_required(
            section, "replica_memory", quantity(BYTES, "GB", 1e6, 1e14), 1.0
        ),
        kv_bytes_per_token=int(
            read_field(
                section,
                "kv_cache_per_token",
                per_token,
                float(Service.kv_bytes_per_token),
            )
        ),
        piece_tokens=int(
            read_field(section, "piece", piece, float(Service.piece_tokens))
        ),
        prefill_tokens_per_s=read_required(
            section, "prefill_speed", per_s, 1.0
        ),
        concurrency=read_field(
            section, "prefill_concurrency", _CONCURRENCY, Service.concurrency
        ),
        decode_tokens_per_s=read_required(section, "decode_speed", per_s, 1.0),
        cache_life_s=read_required(
            section,
            "cache_lifetime",
            quantity(SECONDS, "s", 0.01, 600.0),
            1.0,
        ),
        link_bytes_per_s=read_required(
            section, "link_rate", quantity(BYTES_PER_S, "GB/s", 1e5, 1e13), 1.0
        ),
        checks_fencing=read_required(
            section, "endpoints_check_fencing", flag, False
        ),
        given=given_keys(section),
    )


def read_plain_service(section: Section) -> PlainServiceAnswers:
    """Reads a plain service."""
    check_keys(section, _PLAIN_SERVICE_KEYS)
    return PlainServiceAnswers(
        name=read_required(section, "name", NAME, ""),
        routes=tuple(
            _read_route(item)
            for item in read_sections(section, "routes", min_items=1)
        ),
        concurrency=read_field(
            section, "concurrency", _CONCURRENCY, Service.concurrency
        ),
        checks_fencing=read_required(
            section, "endpoints_check_fencing", flag, False
        ),
        given=given_keys(section),
    )


def _read_model(section: Section) -> ModelAnswers:
    check_keys(section, _MODEL_KEYS)
    context = quantity(TOKENS, "tokens", 1.0, 1e8)
    model = Model(
        name=read_required(section, "name", _MODEL_NAME, ""),
        context_tokens=int(read_required(section, "context", context, 1.0)),
        version=read_field(section, "version", _VERSION, Model.version),
        adapters=read_field(section, "adapters", list_of(_MODEL_NAME), ()),
    )
    weights = quantity(BYTES, "GB", 0.0, 1e14)
    return ModelAnswers(
        model=model,
        weights_bytes=read_required(section, "weights", weights, 0.0),
        given=given_keys(section),
    )


def _read_route(section: Section) -> RouteAnswers:
    check_keys(section, ("prefix", "methods", "timeout"))
    timeout = quantity(SECONDS, "s", 0.1, 3600.0)
    return RouteAnswers(
        prefix=read_required(section, "prefix", _path, ""),
        methods=read_required(section, "methods", _methods, NO_TEXTS),
        timeout_s=read_field(section, "timeout", timeout, Route.timeout_s),
        given=given_keys(section),
    )


def _methods(value: object) -> Result[tuple[str, ...], str]:
    if value == []:
        return Err(f"a list of at least one of {', '.join(METHODS)}")
    return list_of(_METHOD)(value)


def _path(value: object) -> Result[str, str]:
    allowed = "a path from '/', of letters, digits and '._~-', without '//'"
    if not isinstance(value, str) or not value.startswith("/"):
        return Err(allowed)
    segments = value[1:].split("/")
    convert_segment = text(r"[A-Za-z0-9._~-]+", allowed)
    # Only the last segment may be empty: `/` alone or a trailing slash.
    filled = segments if segments[-1] else segments[:-1]
    if any(convert_segment(s).is_err() or s in (".", "..") for s in filled):
        return Err(allowed)
    return Ok(value)


__all__ = [
    "METHODS",
    "NAME",
    "given_keys",
    "read_model_service",
    "read_plain_service",
]
