"""In-memory object store with faults."""

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
    """Fault of a write."""

    NONE = "none"
    APPLIED_RESPONSE_LOST = "applied_answer_lost"
    DROPPED = "dropped"
    APPLIED_LATE = "applied_late"
    LIMITED = "limited"


class InMemoryObjectStore:
    """An object store whose writes can fail.

    Attributes:
      faults: faults of the next writes, in order.
      applied: values of all applied writes, in order.
      before_write: called once before the next write, so that the write loses
        a race.
      after_write: called once after the next write, so that its result is
        overwritten.
      stored: stored objects by kind and name.
      late_writes: writes that failed as uncertain. The next read returns the
        value from before them and then applies them. Each has its kind and
        name, value and expected version.
    """

    def __init__(self, faults: list[Fault] | None = None) -> None:
        self.faults = faults or []
        self.applied: list[dict[str, Any]] = []
        self.before_write: Callable[[], None] | None = None
        self.after_write: Callable[[], None] | None = None
        self.stored: dict[tuple[str, str], StoredObject] = {}
        self.late_writes: list[tuple[tuple[str, str], dict[str, Any], int]] = []

    def make_store(self) -> ObjectStore:
        return ObjectStore(self.get, self.create, self.update)

    def get(self, kind: str, name: str) -> Result[StoredObject, StoreError]:
        stored = self.stored.get((kind, name))
        self._apply_late_writes()
        return Ok(stored) if stored else Err(StoreError.NOT_FOUND)

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
            self.late_writes.append(((kind, name), value, version))
            return Err(StoreError.UNCERTAIN)
        stored = self._apply((kind, name), value, version)
        if fault is Fault.APPLIED_RESPONSE_LOST:
            return Err(StoreError.UNCERTAIN)
        return Ok(stored) if stored else Err(StoreError.CONFLICT)

    def _apply(
        self, key: tuple[str, str], value: dict[str, Any], version: int
    ) -> StoredObject | None:
        stored = self.stored.get(key)
        if (stored.version if stored else 0) != version:
            return None
        self.stored[key] = StoredObject(version + 1, value)
        self.applied.append(value)
        return self.stored[key]

    def _apply_late_writes(self) -> None:
        late_writes, self.late_writes = self.late_writes, []
        for key, value, version in late_writes:
            self._apply(key, value, version)


def skip_sleep(_seconds: float) -> None:
    """Replaces the sleep between retries."""


__all__ = ["Fault", "InMemoryObjectStore", "skip_sleep"]
