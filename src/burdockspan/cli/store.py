"""The object store that operator commands use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from result import Result

    from burdockspan.configuration.port import (
        ObjectStore,
        StoredObject,
        StoreError,
    )


def open_store(platform_url: str, operator: str = "reader") -> ObjectStore:
    """Returns the store given to the command line, or the platform's.

    Args:
      platform_url: base URL of the platform.
      operator: name that the platform sees as the caller.
    """
    from burdockspan.configuration.port import ObjectStore

    given = click.get_current_context().find_object(ObjectStore)
    if given is not None:
        return given

    from burdockspan.platform.connection import connect_platform

    client = connect_platform(platform_url, f"operator-{operator}")
    return ObjectStore(
        get=lambda kind, name: _convert(client.get(kind, name)),
        create=lambda kind, name, value: _convert(
            client.create(kind, name, value)
        ),
        update=lambda kind, name, value, version: _convert(
            client.update(kind, name, value, version)
        ),
    )


def _convert(answer: Result[Any, Any]) -> Result[StoredObject, StoreError]:
    from result import Err, Ok

    from burdockspan.configuration.port import StoredObject, StoreError

    if isinstance(answer, Err):
        # A malformed answer is as useless as none.
        name = answer.err_value.name
        known = StoreError.__members__
        return Err(known.get(name, StoreError.UNAVAILABLE))
    versioned = answer.ok_value
    return Ok(StoredObject(versioned.version, versioned.value))


__all__ = ["open_store"]
