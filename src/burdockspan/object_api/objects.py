"""Values and errors of the platform's object API."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any


class PlatformError(enum.Enum):
    """Why a platform call returned no result.

    UNAVAILABLE: no usable response to a read, or a write that was not sent.
    CONFLICT: the condition of a write did not hold; it was not applied.
    NOT_FOUND: there is no such object.
    UNCERTAIN: a write may have been applied, or may still be applied.
    LIMITED: the local rate limit or the platform's refused the call; it was
      not applied.
    MALFORMED: the platform rejected the call, or its response is not valid.
    """

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    UNCERTAIN = "uncertain"
    LIMITED = "limited"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True)
class VersionedObject:
    """An object as JSON values, and its version in the store."""

    name: str
    version: int
    value: Any


@dataclasses.dataclass(frozen=True)
class WatchEvent:
    """Newest state of one object; `value` is None if it was deleted."""

    kind: str
    name: str
    version: int
    value: Any


@dataclasses.dataclass(frozen=True)
class WatchBatch:
    """Events of one watch call, and the version to continue from."""

    version: int
    events: tuple[WatchEvent, ...] = ()


def parse_versioned(name: str, value: object) -> VersionedObject | None:
    """Returns the object of `{version, value}`; None when malformed."""
    if not isinstance(value, dict) or "value" not in value:
        return None
    version = _version_of(value)
    if version is None:
        return None
    return VersionedObject(name, version, value["value"])


def parse_listing(value: object) -> tuple[VersionedObject, ...] | None:
    """Returns the objects of `{objects: [...]}`; None when malformed."""
    if not isinstance(value, dict) or not isinstance(
        value.get("objects"), list
    ):
        return None
    objects = []
    for entry in value["objects"]:
        if not isinstance(entry, dict) or not isinstance(
            entry.get("name"), str
        ):
            return None
        parsed = parse_versioned(entry["name"], entry)
        if parsed is None:
            return None
        objects.append(parsed)
    return tuple(objects)


def parse_batch(value: object) -> WatchBatch | None:
    """Returns the batch of `{version, events}`; None when malformed."""
    if not isinstance(value, dict) or not isinstance(value.get("events"), list):
        return None
    version = _version_of(value)
    events = tuple(_parse_event(entry) for entry in value["events"])
    if version is None or None in events:
        return None
    return WatchBatch(version, tuple(event for event in events if event))


def _parse_event(entry: object) -> WatchEvent | None:
    if not isinstance(entry, dict):
        return None
    kind, name = entry.get("kind"), entry.get("name")
    version = _version_of(entry)
    if not isinstance(kind, str) or not isinstance(name, str):
        return None
    if version is None or "value" not in entry:
        return None
    return WatchEvent(kind, name, version, entry["value"])


def _version_of(value: dict[str, Any]) -> int | None:
    version = value.get("version")
    return version if type(version) is int and version >= 0 else None


__all__ = [
    "PlatformError",
    "VersionedObject",
    "WatchBatch",
    "WatchEvent",
    "parse_batch",
    "parse_listing",
    "parse_versioned",
]
