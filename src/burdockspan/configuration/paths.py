"""Paths of the values in a configuration document."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator
from typing import Any

from burdockspan.configuration.document import (
    Client,
    Configuration,
    Distance,
    Drain,
    Model,
    PlannedStop,
    RoleChange,
    Route,
    Service,
)

_ACCEPTANCE_FIELDS = ("generation", "accepted_by", "accepted_at_s", "origins")
"""Fields that describe the document itself; `flatten` omits them."""

_KEY_FIELDS: dict[type, tuple[str, ...]] = {
    Client: ("name",),
    Service: ("name",),
    Model: ("name",),
    Route: ("prefix", "methods"),
    Distance: ("zone", "other"),
    Drain: ("vm",),
    PlannedStop: ("stop_id",),
    RoleChange: ("vm",),
}
"""Fields that identify an item of a list."""


def flatten(configuration: Configuration) -> dict[str, Any]:
    """Returns the JSON value at each path, such as `services.x.pieces`.

    Generation, acceptance and origins are left out.
    """
    return {
        path: value
        for path, value in _walk(configuration, "")
        if path not in _ACCEPTANCE_FIELDS
    }


def item_path(parent: str, item: Any) -> str:
    """Returns the path of an item of a list, such as `clients.site`."""
    names = (getattr(item, key) for key in _KEY_FIELDS[type(item)])
    texts = (n if isinstance(n, str) else ",".join(n) for n in names)
    return f"{parent}.{'.'.join(texts)}"


def _walk(value: Any, path: str) -> Iterator[tuple[str, Any]]:
    if isinstance(value, enum.Enum):
        yield path, value.value
    elif dataclasses.is_dataclass(value) and not isinstance(value, type):
        key_fields = _KEY_FIELDS.get(type(value), ())
        for field in dataclasses.fields(value):
            if field.name not in key_fields:
                nested = f"{path}.{field.name}" if path else field.name
                yield from _walk(getattr(value, field.name), nested)
    elif isinstance(value, tuple):
        if value and type(value[0]) in _KEY_FIELDS:
            for item in value:
                yield from _walk(item, item_path(path, item))
        elif not path.endswith(_LIST_FIELDS):
            yield path, list(value)
    else:
        yield path, value


_LIST_FIELDS = (
    "clients",
    "services",
    "models",
    "routes",
    "distances",
    "drains",
    "stops",
    "roles",
)
"""Fields that list items with paths of their own; flatten omits empty ones."""

__all__ = ["flatten", "item_path"]
