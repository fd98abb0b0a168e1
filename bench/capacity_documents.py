"""Processor time of configurations, VM lists and membership changes."""

from __future__ import annotations

import dataclasses
import random

from bench.node_cost import (
    SERVICE,
    ManualClock,
    TableSizes,
    make_configuration,
    make_settings,
    make_tables,
)
from bench.slopes import processor_ms
from burdockspan.configuration.codec import (
    dump_configuration,
    load_configuration,
)
from burdockspan.membership import table
from burdockspan.membership.values import Member, Versions
from burdockspan.node import documents, maintenance, messages
from burdockspan.node.catalog import make_catalog
from burdockspan.node.context import Context
from burdockspan.object_api.vm_codec import dump_vm_list, load_vm_list
from burdockspan.object_api.vms import Vm, VmList, VmRole
from burdockspan.peering.snapshot import make_snapshot, to_thrift

_VMS_PER_ENTRY_VM = 3


def make_vm_list(count: int, version: int = 2) -> VmList:
    """Returns a list of VMs, a third of them entry VMs."""
    vms = tuple(
        Vm(
            f"vm-{number:04d}",
            f"nl-west-{'abc'[number % 3]}",
            f"10.0.{number // 250}.{number % 250 + 1}:8000",
            SERVICE,
            VmRole.DECODE if number % _VMS_PER_ENTRY_VM else VmRole.ENTRY,
            False,
        )
        for number in range(count)
    )
    return VmList(version, vms)


def configuration_bytes(clients: int) -> int:
    """Returns the size of a configuration document."""
    return len(dump_configuration(make_configuration(clients)))


def vm_list_bytes(count: int) -> int:
    """Returns the size of a VM list."""
    return len(dump_vm_list(make_vm_list(count)))


def measure_adoption(clients: int) -> float:
    """Returns processor ms to decode a configuration and build its catalog."""
    data = dump_configuration(make_configuration(clients))
    return processor_ms(lambda: make_catalog(load_configuration(data).unwrap()))


def measure_vm_list_read(count: int) -> float:
    """Returns processor ms to decode a VM list from JSON."""
    data = dump_vm_list(make_vm_list(count))
    return processor_ms(lambda: load_vm_list(data).unwrap())


def measure_vm_list_change(count: int) -> float:
    """Returns processor ms of the node to apply a newer VM list."""
    context = _make_context()
    tables = make_tables(TableSizes(), context)
    message = messages.VmListReceived(make_vm_list(count))
    return processor_ms(
        lambda: documents.receive_vm_list(tables, message, context)
    )


def measure_fetch_response(count: int) -> float:
    """Returns processor ms to answer the fetch of a peer that is up to date.

    Args:
      count: VMs in the list; the configuration has 440 client accounts.
    """
    context = _make_context()
    tables = make_tables(TableSizes(clients=440), context)
    tables.vm_list = make_vm_list(count)
    tables.members = table.with_versions(tables.members, Versions(1, 2))
    stored = tables.adoption.stored
    assert stored is not None

    def make_response() -> None:
        snapshot = make_snapshot(
            tables.members,
            dump_configuration(stored),
            dump_vm_list(tables.vm_list),
            Versions(1, 2),
            context.clock(),
        )
        to_thrift(snapshot)

    return processor_ms(make_response)


def measure_ownership(peers: int) -> float:
    """Returns processor ms to recompute the owners of 330 endpoints.

    A new member makes the node compute them again.
    """
    context = _make_context()
    tables = make_tables(TableSizes(endpoints=330, peers=peers), context)
    maintenance.poll_endpoints(tables, context)
    member = Member("entry-new", "127.0.0.1:9", "zone", 1)
    by_vm = {**tables.members.by_vm, member.vm: member}
    tables.members = dataclasses.replace(tables.members, by_vm=by_vm)
    tables.timers.next_poll_s = 0.0
    return processor_ms(lambda: maintenance.poll_endpoints(tables, context))


def _make_context() -> Context:
    return Context(
        make_settings(), ManualClock(), lambda: 1.8e9, random.Random(1).random
    )


__all__ = [
    "configuration_bytes",
    "measure_adoption",
    "measure_fetch_response",
    "measure_ownership",
    "measure_vm_list_change",
    "measure_vm_list_read",
    "vm_list_bytes",
]
