"""Decodes the configuration and the endpoints' entries in the store."""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Mapping
from typing import Any

from burdockspan.gateway.accounts.values import (
    Account,
    Quota,
    QuotaUnit,
    digest_key,
)
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
from burdockspan.values.address import parse_address

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
ENDPOINT_KIND = "servers"

_KIND_BY_NAME = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}
_STAGE_BY_NAME = {"prefill": Stage.PREFILL, "decode": Stage.DECODE}
# Whether an endpoint is leaving, by the state in its entry.
_LEAVING_BY_STATE = {"ready": False, "draining": True}
_TOKEN_UNIT = "token_stream"
# Endpoints get it in a header.
_ACCOUNT_NAME_PATTERN = re.compile(
    r"(?! )[^\x00-\x1f\x7f\ud800-\udfff]{1,256}(?<! )"
)
_DEFAULT_LIMITS = RequestLimits(16_384, 4_194_304, 3.0, 15.0)
# Up to this number, floats hold each whole number. No document needs a larger
# one, and products with one could be too large for a float.
_MAX_NUMBER = 2**53
# An endpoint's identity is sent in a header.
_IDENTITY_PATTERN = re.compile(r"[!-~]{1,256}")
_MAX_TEXT_CHARACTERS = 256
_MAX_LOGGED_CHARACTERS = 40


class MalformedError(ValueError):
    """A field of a document is missing or invalid."""


def decode_configuration(value: Any) -> Configuration:
    """Returns the configuration that a document describes.

    Raises:
      MalformedError: the document is invalid; names the first invalid field.
    """
    document = _read_object(value, "configuration")
    services = [
        _decode_service(item) for item in _read_list(document, "services")
    ]
    return Configuration(
        version=_read_integer(document, "version"),
        routes=tuple(
            _decode_route(item) for item in _read_list(document, "routes")
        ),
        services_by_name={service.name: service for service in services},
        limits=_decode_limits(document.get("limits")),
        accounts=_decode_accounts(document),
    )


def _decode_accounts(
    document: Mapping[str, Any],
) -> tuple[Account, ...] | None:
    """Returns the accounts; None if the document says nothing of them."""
    if document.get("tenants") is None:
        return None
    accounts = tuple(
        _decode_account(item) for item in _read_list(document, "tenants")
    )
    if len({account.name for account in accounts}) < len(accounts):
        raise MalformedError("tenants have a name twice")
    digests = {digest for account in accounts for digest in account.key_digests}
    if len(digests) < sum(len(account.key_digests) for account in accounts):
        raise MalformedError("api_keys of two tenants have a key in common")
    return accounts


def _decode_account(value: Any) -> Account:
    account = _read_object(value, "tenant")
    name = _read_string(account, "name")
    if not _ACCOUNT_NAME_PATTERN.fullmatch(name):
        raise MalformedError("name of a tenant cannot be sent in a header")
    priority = None
    if account.get("priority") is not None:
        priority = int(_read_number(account, "priority"))
    return Account(
        name=name,
        key_digests=_decode_keys(account),
        priority=priority,
        quota=_decode_quota(account),
    )


def _decode_keys(account: Mapping[str, Any]) -> frozenset[bytes]:
    """Returns the digests of the keys; no message names a key."""
    digests = []
    for key in _read_list(account, "api_keys"):
        if not isinstance(key, str) or not key:
            raise MalformedError("api_keys has an empty key or not a text")
        try:
            digests.append(digest_key(key.encode()))
        except UnicodeEncodeError:
            raise MalformedError("api_keys has a malformed text") from None
    if len(set(digests)) < len(digests):
        raise MalformedError("api_keys has a key twice")
    return frozenset(digests)


def _decode_quota(account: Mapping[str, Any]) -> Quota | None:
    unit = account.get("unit")
    if unit is not None and not isinstance(unit, str):
        raise MalformedError("unit is not a text")
    counts_tokens = unit == _TOKEN_UNIT
    rate_per_s = _read_number(account, "rate_per_s", 0.0)
    burst = _read_number(account, "burst", 0.0)
    plain_tokens = _read_number(account, "plain_tokens", 1.0)
    if not rate_per_s:
        return None
    return Quota(
        unit=QuotaUnit.TOKENS if counts_tokens else QuotaUnit.REQUESTS,
        rate_per_s=rate_per_s,
        burst=burst,
        plain_units=plain_tokens if counts_tokens else 1.0,
    )


def _decode_route(value: Any) -> Route:
    route = _read_object(value, "route")
    kind = _KIND_BY_NAME.get(_read_string(route, "kind"))
    if kind is None:
        raise MalformedError(f"kind {_abridge(route['kind'])} is unknown")
    return Route(
        name=_read_string(route, "name"),
        host=_read_string(route, "host").lower(),
        path_prefix=_read_string(route, "path_prefix"),
        kind=kind,
        timeout_s=_read_number(route, "timeout_ms") / 1000.0,
        objective_s=_read_number(route, "target_latency_ms") / 1000.0,
        gap_objective_s=_read_number(route, "gap_aim_ms", 0.0) / 1000.0,
        priority=int(_read_number(route, "priority", 0.0)),
        max_attempts=max(1, int(_read_number(route, "max_attempts", 1.0))),
        resumable=route.get("resumable") is True,
        services=_decode_route_services(route),
        public=route.get("public") is True,
    )


def _decode_route_services(
    route: Mapping[str, Any],
) -> tuple[WeightedService, ...]:
    items = route.get("backends")
    if not items:
        return (WeightedService(_read_string(route, "service"), 1.0),)
    services = []
    for value in _read_list(route, "backends"):
        item = _read_object(value, "backend")
        services.append(
            WeightedService(
                _read_string(item, "service"), _read_number(item, "weight")
            )
        )
    return tuple(services)


def _decode_service(value: Any) -> Service:
    service = _read_object(value, "service")
    engine = service.get("engine")
    return Service(
        name=_read_string(service, "name"),
        health_path=_read_string(service, "health_path", "/health"),
        engine=None if engine is None else _decode_engine(engine),
    )


def _decode_engine(value: Any) -> EngineProperties:
    engine = _read_object(value, "engine")
    return EngineProperties(
        # A scaled deployment has fractions here; engines use the whole part.
        slots=max(1, int(_read_number(engine, "slots"))),
        kv_tokens=int(_read_number(engine, "kv_tokens")),
        stage_switch_s=_read_number(engine, "stage_switch_s", 0.0),
        # This field of an engine is in milliseconds, the others in seconds.
        reservation_ttl_s=_read_number(engine, "hold_ms", 0.0) / 1000.0,
    )


def _decode_limits(value: Any) -> RequestLimits:
    if value is None:
        return _DEFAULT_LIMITS
    limits = _read_object(value, "limits")
    default = _DEFAULT_LIMITS
    return dataclasses.replace(
        default,
        header_bytes=int(
            _read_number(limits, "max_header_bytes", default.header_bytes)
        ),
        body_bytes=int(
            _read_number(limits, "max_body_bytes", default.body_bytes)
        ),
        header_timeout_s=_read_seconds(
            limits, "header_timeout_ms", default.header_timeout_s
        ),
        idle_timeout_s=_read_seconds(
            limits, "idle_timeout_ms", default.idle_timeout_s
        ),
    )


def _read_seconds(
    values: Mapping[str, Any], key: str, default_s: float
) -> float:
    return _read_number(values, key, default_s * 1000.0) / 1000.0


def decode_endpoint(name: str, value: Any) -> Endpoint:
    """Returns the endpoint that an entry describes.

    Args:
      name: name of the entry, the endpoint's identity.
      value: contents of the entry.

    Raises:
      MalformedError: the entry is invalid, for example because another
        program wrote it.
    """
    if not _IDENTITY_PATTERN.fullmatch(name):
        raise MalformedError("the name cannot be sent in a header")
    entry = _read_object(value, "entry")
    leaving = _LEAVING_BY_STATE.get(_read_string(entry, "state"))
    if leaving is None:
        raise MalformedError(f"state {_abridge(entry['state'])} is unknown")
    stage = None
    if entry.get("stage") is not None:
        stage = _STAGE_BY_NAME.get(_read_string(entry, "stage"))
        if stage is None:
            raise MalformedError(f"stage {_abridge(entry['stage'])} is unknown")
    return Endpoint(
        id=name,
        # The start of the process, in Unix milliseconds.
        started_ms=_read_integer(entry, "born") if "born" in entry else 0,
        service=_read_short_text(entry, "service"),
        address=_read_address(entry),
        zone=_read_short_text(entry, "zone"),
        leaving=leaving,
        slots=max(1, int(_read_number(entry, "slots", 1.0))),
        stage=stage,
        software_version=(
            _read_short_text(entry, "version") if "version" in entry else ""
        ),
    )


def _read_address(entry: Mapping[str, Any]) -> str:
    text = _read_string(entry, "address")
    parsed = parse_address(text)
    if parsed is None or not parsed[1]:
        raise MalformedError("address is not ip:port")
    return text


def _read_short_text(entry: Mapping[str, Any], key: str) -> str:
    text = _read_string(entry, key)
    if len(text) > _MAX_TEXT_CHARACTERS or not text.isprintable():
        raise MalformedError(f"{key} is too long or not printable")
    return text


def _abridge(text: str) -> str:
    """Returns a text of any length as it may stand in a log line."""
    return repr(text[:_MAX_LOGGED_CHARACTERS])


def _read_object(value: Any, description: str) -> Mapping[str, Any]:
    if not isinstance(value, dict):
        raise MalformedError(f"{description} is not an object")
    return value


def _read_list(values: Mapping[str, Any], key: str) -> list[Any]:
    value = values.get(key)
    if not isinstance(value, list):
        raise MalformedError(f"{key} is not a list")
    return value


def _read_string(
    values: Mapping[str, Any], key: str, default: str | None = None
) -> str:
    value = values.get(key, default)
    if not isinstance(value, str) or not value:
        raise MalformedError(f"{key} is empty or not a text")
    return value


def _read_number(
    values: Mapping[str, Any], key: str, default: float | None = None
) -> float:
    value = values.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedError(f"{key} is not a number")
    # The comparisons are exact for integers of any size, and false for NaN.
    if not 0 <= value <= _MAX_NUMBER:
        raise MalformedError(f"{key} is out of range")
    return float(value)


def _read_integer(values: Mapping[str, Any], key: str) -> int:
    value = _read_number(values, key)
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
