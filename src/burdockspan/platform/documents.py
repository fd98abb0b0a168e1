"""Decodes what the platform's store holds: configuration and endpoints."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping
from typing import Any

from burdockspan.gateway.values import (
    Configuration,
    Endpoint,
    EngineProperties,
    RequestKind,
    RequestLimits,
    Route,
    Service,
    Stage,
    WeightedService,
)

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
ENDPOINT_KIND = "servers"

_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}
_STAGES = {"prefill": Stage.PREFILL, "decode": Stage.DECODE}
# Whether an entry says that its endpoint is leaving, by its state.
_LEAVING = {"ready": False, "draining": True}
_DEFAULT_LIMITS = RequestLimits(16_384, 4_194_304, 3.0, 15.0)


class MalformedError(ValueError):
    """A document has a field that is missing or of another type."""


def decode_configuration(value: Any) -> Configuration:
    """Returns the configuration.

    Raises:
      MalformedError: it names the first field that is wrong.
    """
    document = _mapping(value, "configuration")
    services = [_decode_service(one) for one in _list(document, "services")]
    return Configuration(
        version=_whole(document, "version"),
        routes=tuple(_decode_route(one) for one in _list(document, "routes")),
        services_by_name={service.name: service for service in services},
        limits=_decode_limits(document.get("limits")),
    )


def _decode_route(value: Any) -> Route:
    route = _mapping(value, "route")
    kind = _KINDS.get(_text(route, "kind"))
    if kind is None:
        raise MalformedError(f"kind {route['kind']!r} is unknown")
    return Route(
        name=_text(route, "name"),
        host=_text(route, "host").lower(),
        path_prefix=_text(route, "path_prefix"),
        kind=kind,
        timeout_s=_number(route, "timeout_ms") / 1000.0,
        objective_s=_number(route, "target_latency_ms") / 1000.0,
        gap_objective_s=_number(route, "gap_aim_ms", 0.0) / 1000.0,
        priority=int(_number(route, "priority", 0.0)),
        max_attempts=max(1, int(_number(route, "max_attempts", 1.0))),
        resumable=route.get("resumable") is True,
        services=_decode_route_services(route),
    )


def _decode_route_services(
    route: Mapping[str, Any],
) -> tuple[WeightedService, ...]:
    shares = route.get("backends")
    if not shares:
        return (WeightedService(_text(route, "service"), 1.0),)
    found = []
    for value in _list(route, "backends"):
        share = _mapping(value, "backend")
        found.append(
            WeightedService(_text(share, "service"), _number(share, "weight"))
        )
    return tuple(found)


def _decode_service(value: Any) -> Service:
    service = _mapping(value, "service")
    engine = service.get("engine")
    return Service(
        name=_text(service, "name"),
        health_path=_text(service, "health_path", "/health"),
        engine=None if engine is None else _decode_engine(engine),
    )


def _decode_engine(value: Any) -> EngineProperties:
    engine = _mapping(value, "engine")
    return EngineProperties(
        slots=_whole(engine, "slots"),
        kv_tokens=_whole(engine, "kv_tokens"),
        stage_switch_s=_number(engine, "stage_switch_s", 0.0),
        # In milliseconds, although it is no timeout of a caller.
        reservation_ttl_s=_number(engine, "hold_ms", 0.0) / 1000.0,
    )


def _decode_limits(value: Any) -> RequestLimits:
    if value is None:
        return _DEFAULT_LIMITS
    limits = _mapping(value, "limits")
    default = _DEFAULT_LIMITS
    return dataclasses.replace(
        default,
        header_bytes=int(
            _number(limits, "max_header_bytes", default.header_bytes)
        ),
        body_bytes=int(_number(limits, "max_body_bytes", default.body_bytes)),
        header_timeout_s=_milliseconds(
            limits, "header_timeout_ms", default.header_timeout_s
        ),
        idle_timeout_s=_milliseconds(
            limits, "idle_timeout_ms", default.idle_timeout_s
        ),
    )


def _milliseconds(
    values: Mapping[str, Any], key: str, default_s: float
) -> float:
    return _number(values, key, default_s * 1000.0) / 1000.0


def decode_endpoint(name: str, value: Any) -> Endpoint:
    """Returns the endpoint that an entry describes.

    Args:
      name: name of the entry, the endpoint's identity.
      value: contents of the entry.

    Raises:
      MalformedError: the entry comes from another writer.
    """
    entry = _mapping(value, "entry")
    leaving = _LEAVING.get(_text(entry, "state"))
    if leaving is None:
        raise MalformedError(f"state {entry['state']!r} is unknown")
    stage = None
    if entry.get("stage") is not None:
        stage = _STAGES.get(_text(entry, "stage"))
        if stage is None:
            raise MalformedError(f"stage {entry['stage']!r} is unknown")
    return Endpoint(
        id=name,
        # Unix time of the start, despite the name of a birth.
        started_ms=_whole(entry, "born") if "born" in entry else 0,
        service=_text(entry, "service"),
        address=_address(entry),
        zone=_text(entry, "zone"),
        leaving=leaving,
        slots=max(1, int(_number(entry, "slots", 1.0))),
        stage=stage,
    )


def _address(entry: Mapping[str, Any]) -> str:
    text = _text(entry, "address")
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
        raise MalformedError(f"address {text!r} is not ip:port")
    parts = host.split(".")
    if len(parts) != 4 or not all(
        part.isdecimal() and int(part) < 256 for part in parts
    ):
        raise MalformedError(f"address {text!r} is not ip:port")
    return text


def _mapping(value: Any, what: str) -> Mapping[str, Any]:
    if not isinstance(value, dict):
        raise MalformedError(f"{what} is not an object")
    return value


def _list(values: Mapping[str, Any], key: str) -> list[Any]:
    value = values.get(key)
    if not isinstance(value, list):
        raise MalformedError(f"{key} is not a list")
    return value


def _text(
    values: Mapping[str, Any], key: str, default: str | None = None
) -> str:
    value = values.get(key, default)
    if not isinstance(value, str) or not value:
        raise MalformedError(f"{key} is not a text")
    return value


def _number(
    values: Mapping[str, Any], key: str, default: float | None = None
) -> float:
    value = values.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedError(f"{key} is not a number")
    if not math.isfinite(value) or value < 0:
        raise MalformedError(f"{key} is out of range")
    return float(value)


def _whole(values: Mapping[str, Any], key: str) -> int:
    value = _number(values, key)
    if value != int(value):
        raise MalformedError(f"{key} is not a whole number")
    return int(value)


__all__ = [
    "CONFIGURATION_KIND",
    "CONFIGURATION_NAME",
    "ENDPOINT_KIND",
    "MalformedError",
    "decode_configuration",
    "decode_endpoint",
]
