"""The platform's VM list, and the endpoints in it."""

from __future__ import annotations

import dataclasses
import enum
import ipaddress
from collections.abc import Mapping
from typing import Any

from result import Err, Ok, Result

from burdockspan.configuration.document import Configuration, Service
from burdockspan.values.endpoint import Endpoint, Pool

_FIELDS = frozenset(
    {
        "name",
        "availability_zone",
        "address",
        "port",
        "service",
        "pool",
        "state",
    }
)
_TEXT_FIELDS = ("name", "availability_zone", "address", "service")
_PORT_LIMIT = 65_535


class VmRole(enum.Enum):
    """The kind of process that runs on a VM."""

    PREFILL = "prefill"
    DECODE = "decode"
    SERVICE = "service"
    ENTRY = "entry"


@dataclasses.dataclass(frozen=True)
class Vm:
    """One VM of the platform's list.

    Attributes:
      name: unique name.
      availability_zone: its zone.
      address: `ip:port` of its interface.
      service: service of its endpoint; may be empty for an entry VM.
      role: pool of its endpoint, or entry.
      leaving: whether the platform is going to remove it.
    """

    name: str
    availability_zone: str
    address: str
    service: str
    role: VmRole
    leaving: bool


@dataclasses.dataclass(frozen=True)
class VmList:
    """A version of the VM list, which can be up to 10 s out of date."""

    version: int
    vms: tuple[Vm, ...] = ()


@dataclasses.dataclass(frozen=True)
class Fleet:
    """Endpoints and entry VMs of a VM list under a configuration.

    Attributes:
      version: version of the VM list.
      endpoints: endpoints by name, including leaving ones.
      leaving: names of leaving VMs of every role.
      entry_vms: entry VMs by name.
      problems: VMs that are not routed to, each with the reason.
    """

    version: int
    endpoints: dict[str, Endpoint]
    leaving: frozenset[str]
    entry_vms: dict[str, Vm]
    problems: tuple[str, ...] = ()


def parse_vm_list(value: object) -> Result[VmList, str]:
    """Returns the list of `{version, vms}`, or what is wrong with it.

    A single malformed entry makes the whole list invalid, so that the caller
    keeps its previous list. A partial list would look like a loss of
    endpoints.
    """
    if not isinstance(value, dict) or not isinstance(value.get("vms"), list):
        return Err("VM list has no list `vms`")
    version = value.get("version")
    if not isinstance(version, int) or isinstance(version, bool):
        return Err("VM list has no whole number `version`")
    vms: list[Vm] = []
    for index, entry in enumerate(value["vms"]):
        parsed = _parse_vm(entry)
        if isinstance(parsed, Err):
            return Err(f"VM list entry {index}: {parsed.err_value}")
        vms.append(parsed.ok_value)
    for field in ("name", "address"):
        repeated = _first_repeated([getattr(vm, field) for vm in vms])
        if repeated is not None:
            return Err(f"VM list has {field} {repeated!r} twice")
    return Ok(VmList(version, tuple(vms)))


def make_fleet(
    vm_list: VmList,
    configuration: Configuration,
    pools: Mapping[str, Pool] | None = None,
) -> Fleet:
    """Returns the endpoints whose service the configuration contains.

    Args:
      vm_list: the VM list.
      configuration: the configuration in force.
      pools: pools of engines that replace those in the VM list, by VM.
    """
    services = {service.name: service for service in configuration.services}
    endpoints: dict[str, Endpoint] = {}
    problems: list[str] = []
    for vm in vm_list.vms:
        if vm.role is VmRole.ENTRY:
            continue
        pool = (pools or {}).get(vm.name, Pool(vm.role.value))
        endpoint = _make_endpoint(vm, pool, services.get(vm.service))
        if isinstance(endpoint, Err):
            problems.append(f"{vm.name}: {endpoint.err_value}")
        else:
            endpoints[vm.name] = endpoint.ok_value
    return Fleet(
        vm_list.version,
        endpoints,
        frozenset(vm.name for vm in vm_list.vms if vm.leaving),
        {vm.name: vm for vm in vm_list.vms if vm.role is VmRole.ENTRY},
        tuple(problems),
    )


def _make_endpoint(
    vm: Vm, pool: Pool, service: Service | None
) -> Result[Endpoint, str]:
    if service is None:
        return Err(f"service {vm.service!r} is not in the configuration")
    if (pool is Pool.SERVICE) == bool(service.models):
        return Err(f"pool {pool.value} does not suit service {service.name!r}")
    return Ok(
        Endpoint(
            vm.name,
            vm.address,
            vm.service,
            pool,
            vm.availability_zone,
            pieces=service.pieces if pool is Pool.DECODE else 0,
            concurrency=0 if pool is Pool.DECODE else service.concurrency,
            checks_fencing=service.checks_fencing,
        )
    )


def _parse_vm(entry: Any) -> Result[Vm, str]:
    if not isinstance(entry, dict) or set(entry) != _FIELDS:
        return Err(f"needs exactly the fields {', '.join(sorted(_FIELDS))}")
    for field in _TEXT_FIELDS:
        text = entry[field]
        optional = field == "service" and entry["pool"] == VmRole.ENTRY.value
        if not isinstance(text, str) or not (text or optional):
            return Err(f"{field} is not a text")
    port = entry["port"]
    if type(port) is not int or not 0 < port <= _PORT_LIMIT:
        return Err(f"port {port!r} is not from 1 to {_PORT_LIMIT}")
    try:
        address = ipaddress.ip_address(entry["address"])
    except ValueError:
        return Err(f"address {entry['address']!r} is not an IP address")
    if entry["pool"] not in {role.value for role in VmRole}:
        return Err(f"pool {entry['pool']!r} is unknown")
    if entry["state"] not in ("live", "leaving"):
        return Err(f"state {entry['state']!r} is not live or leaving")
    host = f"[{address}]" if address.version == 6 else str(address)
    return Ok(
        Vm(
            entry["name"],
            entry["availability_zone"],
            f"{host}:{port}",
            entry["service"],
            VmRole(entry["pool"]),
            entry["state"] == "leaving",
        )
    )


def _first_repeated(values: list[str]) -> str | None:
    seen: set[str] = set()
    for value in values:
        if value in seen:
            return value
        seen.add(value)
    return None


__all__ = ["Fleet", "Vm", "VmList", "VmRole", "make_fleet", "parse_vm_list"]
