"""The operations of the platform's object store that commits use."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable
from typing import Any

from result import Result


class StoreError(enum.Enum):
    """Why a call to the object store returned no object.

    UNAVAILABLE: no usable response to a read, or a write that was not sent.
    CONFLICT: the condition of a write did not hold; it was not applied.
    NOT_FOUND: there is no such object.
    UNCERTAIN: a write may have been applied, or may still be applied.
    LIMITED: a rate limit prevented the call; it was not applied.
    MALFORMED: the store rejected the call, or its response is not valid.
    """

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    UNCERTAIN = "uncertain"
    LIMITED = "limited"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """An object in the store.

    Attributes:
      version: version that an update is conditional on.
      value: JSON values.
    """

    version: int
    value: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class ObjectStore:
    """Functions of the object store.

    Attributes:
      get: reads the object of a kind and name.
      create: writes an object that must not exist yet.
      update: writes an object that must still have the given version.
    """

    get: Callable[[str, str], Result[StoredObject, StoreError]]
    create: Callable[
        [str, str, dict[str, Any]], Result[StoredObject, StoreError]
    ]
    update: Callable[
        [str, str, dict[str, Any], int], Result[StoredObject, StoreError]
    ]


__all__ = ["ObjectStore", "StoreError", "StoredObject"]
