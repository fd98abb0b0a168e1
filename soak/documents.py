"""Configurations of a soak, as the operator writes them."""

from __future__ import annotations

import dataclasses
from typing import Any

from soak.accounts import Account
from soak.history import Kind

HOST = "app.example"
_OBJECTIVE_MS = 1000
_HOLD_MS = 3000
_KIND_NAME = {
    Kind.READ: "safe",
    Kind.PAY: "unsafe",
    Kind.DRAFT: "streaming",
    Kind.REVIEW: "streaming",
    Kind.PROBE: "safe",
}


@dataclasses.dataclass(frozen=True)
class Configuration:
    """What differs between the configurations of a soak.

    Attributes:
      version: version; one route exists in this version only.
      timeout_ms: timeout of all routes.
      idle_timeout_ms: how long a connection may stay idle.
      extra_routes: number of routes that no caller uses.
      accounts: client accounts; empty if requests need no key.
    """

    version: int = 1
    timeout_ms: int = 5000
    idle_timeout_ms: int = 15_000
    extra_routes: int = 0
    accounts: tuple[Account, ...] = dataclasses.field(default=(), repr=False)


def make_document(configuration: Configuration) -> dict[str, Any]:
    """Returns the document that is written to the store."""
    kind_by_name: dict[str, Kind] = {
        kind.value: kind for kind in Kind if kind is not Kind.PROBE
    }
    kind_by_name[f"p{configuration.version}"] = Kind.PROBE
    for number in range(configuration.extra_routes):
        kind_by_name[f"extra{number}"] = Kind.READ
    document: dict[str, Any]
    engine = {"slots": 32, "kv_tokens": 1_000_000, "hold_ms": _HOLD_MS}
    document = {
        "version": configuration.version,
        "routes": [
            _make_route(name, kind, configuration.timeout_ms)
            for name, kind in kind_by_name.items()
        ],
        "services": [
            {"name": "app", "health_path": "/health"},
            {"name": "llm", "health_path": "/health", "engine": engine},
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 200_000,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": configuration.idle_timeout_ms,
        },
    }
    if configuration.accounts:
        accounts = [account.as_document() for account in configuration.accounts]
        document["tenants"] = accounts
    return document


def _make_route(name: str, kind: Kind, timeout_ms: int) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": _KIND_NAME[kind],
        "timeout_ms": timeout_ms,
        "target_latency_ms": _OBJECTIVE_MS,
        "gap_aim_ms": 200,
        "priority": 1,
        "service": kind.service,
        "max_attempts": 2 if kind.is_repeatable else 1,
        "sticky": False,
        "resumable": kind is Kind.REVIEW,
    }


__all__ = ["HOST", "Configuration", "make_document"]
