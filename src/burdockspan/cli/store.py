"""The object store that operator commands use."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from result import Result

    from burdockspan.configuration.document import Configuration
    from burdockspan.configuration.object_store import (
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
    from burdockspan.configuration.object_store import ObjectStore

    given = click.get_current_context().find_object(ObjectStore)
    if given is not None:
        return given

    from burdockspan.object_api.connection import connect_platform

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


def warn_of_unknown_vms(platform_url: str, names: Iterable[str]) -> None:
    """Prints a warning for each name that the platform's VM list lacks.

    Nothing is printed when the list cannot be read. It may lag, so an unknown
    name is no error.
    """
    from burdockspan.configuration.object_store import ObjectStore

    if click.get_current_context().find_object(ObjectStore) is not None:
        return

    from burdockspan.object_api.connection import connect_platform

    found = connect_platform(platform_url, "operator-reader").list_vms().ok()
    if found is None:
        return
    known = {vm.name for vm in found.vms}
    for name in names:
        if name not in known:
            text = f"warning: no VM named {name!r} in the platform's VM list"
            click.echo(text, err=True)


def find_unchecked_service(
    platform_url: str, vm: str, held: Configuration
) -> str | None:
    """Returns the service of a VM if its endpoints check no fencing tokens.

    None also when the VM list cannot be read or lacks the VM.
    """
    from burdockspan.configuration.object_store import ObjectStore

    if click.get_current_context().find_object(ObjectStore) is not None:
        return None

    from burdockspan.object_api.connection import connect_platform

    found = connect_platform(platform_url, "operator-reader").list_vms().ok()
    names = {item.name: item.service for item in found.vms} if found else {}
    for service in held.services:
        if service.name == names.get(vm) and not service.checks_fencing:
            return service.name
    return None


def _convert(answer: Result[Any, Any]) -> Result[StoredObject, StoreError]:
    from result import Err, Ok

    from burdockspan.configuration.object_store import StoredObject, StoreError

    if isinstance(answer, Err):
        # A malformed answer is as useless as none.
        name = answer.err_value.name
        known = StoreError.__members__
        return Err(known.get(name, StoreError.UNAVAILABLE))
    versioned = answer.ok_value
    return Ok(StoredObject(versioned.version, versioned.value))


__all__ = ["find_unchecked_service", "open_store", "warn_of_unknown_vms"]
