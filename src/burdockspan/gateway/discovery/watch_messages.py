"""Messages between VMs that share their watches of the store."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

from burdockspan.gateway.ports import StoredObject

# Longest encoded changes in one message, and most messages of one response.
_MAX_CHANGES_BYTES = 900
_MAX_PARTS = 8


@dataclasses.dataclass(frozen=True)
class Statement:
    """What a watcher knows of a kind.

    Attributes:
      era: the store's era; None if it tells none.
      revision: revision of its latest response.
      unchanged_since: revision since which no object of the kind has changed.
      age_s: time since its latest response.
    """

    era: int | None
    revision: int
    unchanged_since: int
    age_s: float


@dataclasses.dataclass(frozen=True)
class Segment:
    """A part of the changes of a kind between two revisions.

    Attributes:
      era: the store's era; None if it tells none.
      base: revision before the changes.
      revision: revision after the changes.
      part: number of this part, from 0.
      parts: number of all parts.
      changes: changes of this part in their order.
    """

    era: int | None
    base: int
    revision: int
    part: int
    parts: int
    changes: tuple[StoredObject, ...]


def divide(
    era: int | None,
    base: int,
    revision: int,
    changes: tuple[StoredObject, ...],
) -> tuple[Segment, ...]:
    """Returns the changes in parts that fit into a message each.

    Returns nothing if they do not: the other VMs then learn from the next
    statement that they have missed changes.
    """
    groups: list[list[StoredObject]] = [[]]
    room_bytes = _MAX_CHANGES_BYTES
    for stored in changes:
        size_bytes = _measure(stored)
        if size_bytes > _MAX_CHANGES_BYTES:
            return ()
        if size_bytes > room_bytes:
            groups.append([])
            room_bytes = _MAX_CHANGES_BYTES
        groups[-1].append(stored)
        room_bytes -= size_bytes
    if len(groups) > _MAX_PARTS:
        return ()
    return tuple(
        Segment(era, base, revision, part, len(groups), tuple(group))
        for part, group in enumerate(groups)
    )


def _measure(stored: StoredObject) -> int:
    """Returns the length of an encoded change in bytes."""
    try:
        return len(json.dumps(_encode_change(stored)))
    except RecursionError:
        # An object of another program that nests too deeply to be encoded.
        return _MAX_CHANGES_BYTES + 1


def _encode_change(stored: StoredObject) -> list[Any]:
    return [
        stored.name,
        stored.revision,
        None if stored.removed else stored.value,
    ]


def encode_segment(kind: str, segment: Segment) -> list[Any]:
    """Returns a segment of a kind as a JSON value."""
    return [
        kind,
        segment.era,
        segment.base,
        segment.revision,
        segment.part,
        segment.parts,
        [_encode_change(stored) for stored in segment.changes],
    ]


def _is_number(value: Any) -> bool:
    return type(value) is int and value >= 0


def encode_statement(statement: Statement) -> list[Any]:
    """Returns a statement as a JSON value."""
    return [
        statement.era,
        statement.revision,
        statement.unchanged_since,
        int(statement.age_s * 1000),
    ]


def decode_statement(value: Any) -> Statement | None:
    """Returns the statement in a JSON value; None if it is malformed."""
    if not isinstance(value, list) or len(value) != 4:
        return None
    if not (value[0] is None or _is_number(value[0])):
        return None
    if not all(_is_number(number) for number in value[1:]):
        return None
    return Statement(value[0], value[1], value[2], value[3] / 1000.0)


def decode_segment(value: Any) -> tuple[str, Segment] | None:
    """Returns kind and segment in a JSON value; None if it is malformed."""
    if not isinstance(value, list) or len(value) != 7:
        return None
    kind, era, *numbers, changes = value
    if not isinstance(kind, str) or not isinstance(changes, list):
        return None
    if not (era is None or _is_number(era)):
        return None
    if not all(_is_number(number) for number in numbers):
        return None
    base, revision, part, parts = numbers
    decoded = [_decode_change(change, era) for change in changes]
    stored = tuple(change for change in decoded if change is not None)
    if len(stored) < len(decoded) or not part < parts <= _MAX_PARTS:
        return None
    return kind, Segment(era, base, revision, part, parts, stored)


def _decode_change(value: Any, era: int | None) -> StoredObject | None:
    if not isinstance(value, list) or len(value) != 3:
        return None
    name, revision, contents = value
    if not isinstance(name, str) or not _is_number(revision):
        return None
    return StoredObject(name, revision, contents, contents is None, era)


__all__ = [
    "Segment",
    "Statement",
    "decode_segment",
    "decode_statement",
    "divide",
    "encode_segment",
    "encode_statement",
]
