"""In-memory object store that loses answers on request."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from burdockspan.configuration.object_store import (
    ObjectStore,
    StoredObject,
    StoreError,
)


class Fault(enum.Enum):
    """What happens to one write."""

    NONE = "none"
    APPLIED_RESPONSE_LOST = "applied_answer_lost"
    DROPPED = "dropped"
    APPLIED_LATE = "applied_late"
    LIMITED = "limited"


class InMemoryObjectStore:
    """Objects, the faults of the next writes, and every applied value.

    Attributes:
      faults: faults of the next writes, first one first.
      applied: every applied value in order.
      before_write: runs before the next write, to make it lose a race.
      after_write: runs after the next write, to hide its result.
    """

    def __init__(self, faults: list[Fault] | None = None) -> None:
        self.faults = faults or []
        self.applied: list[dict[str, Any]] = []
        self.before_write: Callable[[], None] | None = None
        self.after_write: Callable[[], None] | None = None
        self.held: dict[tuple[str, str], StoredObject] = {}
        self.late: list[tuple[tuple[str, str], dict[str, Any], int]] = []

    def make_store(self) -> ObjectStore:
        return ObjectStore(self.get, self.create, self.update)

    def get(self, kind: str, name: str) -> Result[StoredObject, StoreError]:
        found = self.held.get((kind, name))
        self._apply_late()
        return Ok(found) if found else Err(StoreError.NOT_FOUND)

    def create(
        self, kind: str, name: str, value: dict[str, Any]
    ) -> Result[StoredObject, StoreError]:
        return self.update(kind, name, value, 0)

    def update(
        self, kind: str, name: str, value: dict[str, Any], version: int
    ) -> Result[StoredObject, StoreError]:
        before, self.before_write = self.before_write, None
        if before is not None:
            before()
        after, self.after_write = self.after_write, None
        result = self._write(kind, name, value, version)
        if after is not None:
            after()
        return result

    def _write(
        self, kind: str, name: str, value: dict[str, Any], version: int
    ) -> Result[StoredObject, StoreError]:
        fault = self.faults.pop(0) if self.faults else Fault.NONE
        if fault is Fault.LIMITED:
            return Err(StoreError.LIMITED)
        if fault is Fault.DROPPED:
            return Err(StoreError.UNCERTAIN)
        if fault is Fault.APPLIED_LATE:
            self.late.append(((kind, name), value, version))
            return Err(StoreError.UNCERTAIN)
        stored = self._apply((kind, name), value, version)
        if fault is Fault.APPLIED_RESPONSE_LOST:
            return Err(StoreError.UNCERTAIN)
        return Ok(stored) if stored else Err(StoreError.CONFLICT)

    def _apply(
        self, key: tuple[str, str], value: dict[str, Any], version: int
    ) -> StoredObject | None:
        held = self.held.get(key)
        if (held.version if held else 0) != version:
            return None
        self.held[key] = StoredObject(version + 1, value)
        self.applied.append(value)
        return self.held[key]

    def _apply_late(self) -> None:
        late, self.late = self.late, []
        for key, value, version in late:
            self._apply(key, value, version)


def skip_sleep(_seconds: float) -> None:
    """Replaces waiting between tries."""


__all__ = ["Fault", "InMemoryObjectStore", "skip_sleep"]
