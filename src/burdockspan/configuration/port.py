"""The part of the platform's object API that configuration changes use."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable
from typing import Any

from result import Result


class StoreError(enum.Enum):
    """Why a call to the object store gave no value.

    After UNCERTAIN a write may or may not have been applied, and it may still
    be applied later.
    """

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    UNCERTAIN = "uncertain"
    LIMITED = "limited"


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """An object as the store holds it.

    Attributes:
      version: version to make an update conditional on.
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
