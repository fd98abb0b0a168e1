"""JSON encoding of the VM list, in which entry VMs send it to their peers."""

from __future__ import annotations

import json

from result import Err, Result

from burdockspan.object_api.vms import Vm, VmList, parse_vm_list


def dump_vm_list(vm_list: VmList) -> bytes:
    """Returns the list as UTF-8 JSON in the platform's format."""
    value = {
        "version": vm_list.version,
        "vms": [_encode_vm(vm) for vm in vm_list.vms],
    }
    return json.dumps(value, separators=(",", ":")).encode()


def load_vm_list(data: bytes) -> Result[VmList, str]:
    """Returns the list that UTF-8 JSON encodes, or what is wrong with it."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        return Err(f"VM list is not JSON: {error}")
    return parse_vm_list(value)


def _encode_vm(vm: Vm) -> dict[str, object]:
    host, _, port = vm.address.rpartition(":")
    return {
        "name": vm.name,
        "availability_zone": vm.availability_zone,
        "address": host.strip("[]"),
        "port": int(port),
        "service": vm.service,
        "pool": vm.role.value,
        "state": "leaving" if vm.leaving else "live",
    }


__all__ = ["dump_vm_list", "load_vm_list"]
