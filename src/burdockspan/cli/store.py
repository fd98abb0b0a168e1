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
    """Returns the store in the click context, or the platform's.

    Tests pass an in-memory store in the context.

    Args:
      platform_url: base URL of the platform.
      operator: name that is sent to the platform as the caller's.
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
    """Prints a warning for each name that is not in the platform's VM list.

    Prints nothing if the list cannot be read. The list may be out of date, so
    an unknown name is not an error.
    """
    from burdockspan.configuration.object_store import ObjectStore

    if click.get_current_context().find_object(ObjectStore) is not None:
        return

    from burdockspan.object_api.connection import connect_platform

    vm_list = connect_platform(platform_url, "operator-reader").list_vms().ok()
    if vm_list is None:
        return
    known = {vm.name for vm in vm_list.vms}
    for name in names:
        if name not in known:
            text = f"warning: no VM named {name!r} in the platform's VM list"
            click.echo(text, err=True)


def find_service_without_fencing(
    platform_url: str, vm: str, current: Configuration
) -> str | None:
    """Returns the service of a VM if its endpoints check no fencing tokens.

    Returns None too if the VM list cannot be read or the VM is not in it.
    """
    from burdockspan.configuration.object_store import ObjectStore

    if click.get_current_context().find_object(ObjectStore) is not None:
        return None

    from burdockspan.object_api.connection import connect_platform

    vm_list = connect_platform(platform_url, "operator-reader").list_vms().ok()
    service_by_vm = (
        {item.name: item.service for item in vm_list.vms} if vm_list else {}
    )
    for service in current.services:
        if service.name == service_by_vm.get(vm) and not service.checks_fencing:
            return service.name
    return None


def _convert(outcome: Result[Any, Any]) -> Result[StoredObject, StoreError]:
    from result import Err, Ok

    from burdockspan.configuration.object_store import StoredObject, StoreError

    if isinstance(outcome, Err):
        # An error of the platform client that StoreError does not define counts
        # as UNAVAILABLE.
        name = outcome.err_value.name
        known = StoreError.__members__
        return Err(known.get(name, StoreError.UNAVAILABLE))
    stored = outcome.ok_value
    return Ok(StoredObject(stored.version, stored.value))


__all__ = ["find_service_without_fencing", "open_store", "warn_of_unknown_vms"]
