"""Role changes of engines, and their confirmation by load reports."""

from __future__ import annotations

from burdockspan.configuration.document import Service
from burdockspan.endpoints.desired_state import DesiredRole
from burdockspan.node.endpoint_table import EndpointRow
from burdockspan.node.tables import RoleDifferences, Tables
from burdockspan.object_api.vms import VmRole
from burdockspan.values.endpoint import Pool

# A generation is active on every entry VM within 6 s (target P8). Afterwards
# none of them sends new work to an engine whose role changes.
_ACTIVATION_S = 6.0


def find_role_differences(tables: Tables) -> RoleDifferences:
    """Finds engines that report another role than VM list or configuration.

    An engine is used in the role that it reports, whatever the VM list has. If
    the configuration wants another one, it gets no new work.
    """
    pools_by_vm = find_pools(tables)
    pools, changing = {}, set()
    for vm, (listed, desired) in pools_by_vm.items():
        endpoint_row = tables.endpoints_by_name.get(vm)
        reported = _reported_pool(endpoint_row)
        if endpoint_row is None or reported is None:
            continue
        if reported is not listed:
            pools[vm] = reported
        if reported is not desired:
            changing.add(vm)
    return RoleDifferences(pools, frozenset(changing))


def update(tables: Tables, now_s: float) -> None:
    """Updates the role differences and when each role change started.

    A new generation restarts the time of a change that is still pending.
    """
    assert tables.catalog is not None
    generation = tables.catalog.configuration.generation
    tables.roles = find_role_differences(tables)
    previous = tables.role_changes_by_vm
    tables.role_changes_by_vm = {}
    for vm in tables.roles.changing:
        generation_and_start = previous.get(vm)
        if (
            generation_and_start is None
            or generation_and_start[0] != generation
        ):
            generation_and_start = generation, now_s
        tables.role_changes_by_vm[vm] = generation_and_start


def list_due_roles(
    tables: Tables,
    endpoint_row: EndpointRow,
    pools: tuple[Pool, Pool] | None,
    now_s: float,
) -> tuple[DesiredRole, ...]:
    """Returns the role that an engine can be ordered to take now, if any.

    An engine that checks no fencing tokens gets no order, because a delayed
    order would undo a newer one. The order to change the role is due once the
    engine is idle and no entry VM sends it work any more.

    Args:
      tables: tables of the node.
      endpoint_row: the engine.
      pools: its listed and its desired pool; None if its role cannot change.
      now_s: monotonic seconds.
    """
    catalog = tables.catalog
    reported = _reported_pool(endpoint_row)
    if catalog is None or pools is None or reported is None:
        return ()
    _, desired = pools
    if reported is not desired and not _is_idle_everywhere(
        tables, endpoint_row, now_s
    ):
        return ()
    return (DesiredRole(desired, catalog.configuration.generation),)


def describe_roles(tables: Tables) -> list[dict[str, object]]:
    """Returns the configured role changes and the state of each."""
    catalog = tables.catalog
    if catalog is None:
        return []
    pools_by_vm = find_pools(tables)
    described: list[dict[str, object]] = []
    for change in catalog.configuration.roles:
        endpoint_row = tables.endpoints_by_name.get(change.vm)
        reported = _reported_pool(endpoint_row)
        if endpoint_row is None:
            state = "not_listed"
        elif not endpoint_row.endpoint.checks_fencing:
            state = "unsafe"
        elif reported is None or change.vm not in pools_by_vm:
            state = "unreported"
        else:
            state = "confirmed" if reported is change.pool else "changing"
        described.append(
            {"vm": change.vm, "pool": change.pool.value, "state": state}
        )
    return described


def find_pools(tables: Tables) -> dict[str, tuple[Pool, Pool]]:
    """Returns listed and desired pool, by VM, of engines that check fencing.

    A pass over the VM list takes 0.8 ms at the design size, so the result is
    cached until the list or the configuration changes.
    """
    cache_key = (tables.vm_list, tables.catalog)
    if any(
        old is not new
        for old, new in zip(tables.pools_cache_key, cache_key, strict=True)
    ):
        tables.pools_cache_key = cache_key
        tables.pools_by_vm = _compute_pools(tables)
    return tables.pools_by_vm


def _compute_pools(tables: Tables) -> dict[str, tuple[Pool, Pool]]:
    catalog = tables.catalog
    if catalog is None:
        return {}
    changes = {item.vm: item.pool for item in catalog.configuration.roles}
    pools_by_vm = {}
    for vm in tables.vm_list.vms:
        service = catalog.services_by_name.get(vm.service)
        if vm.role is not VmRole.ENTRY and _supports_role_changes(service):
            listed = Pool(vm.role.value)
            pools_by_vm[vm.name] = listed, changes.get(vm.name, listed)
    return pools_by_vm


def _supports_role_changes(service: Service | None) -> bool:
    return (
        service is not None and bool(service.models) and service.checks_fencing
    )


def _reported_pool(endpoint_row: EndpointRow | None) -> Pool | None:
    return (
        None
        if endpoint_row is None or endpoint_row.report is None
        else endpoint_row.report.role
    )


def _is_idle_everywhere(
    tables: Tables, endpoint_row: EndpointRow, now_s: float
) -> bool:
    """Returns whether an engine runs no call of any entry VM.

    A report shows this only if it was measured after the new generation became
    active on all of them, since until then others may still send work.
    """
    generation_and_start = tables.role_changes_by_vm.get(
        endpoint_row.endpoint.name
    )
    report = endpoint_row.report
    if generation_and_start is None or report is None:
        return False
    activated_s = generation_and_start[1] + _ACTIVATION_S
    return (
        now_s >= activated_s
        and report.measured_s >= activated_s
        and report.running == report.waiting == 0
        and report.free_pieces == report.pieces
        and all(
            reservation.released_s is not None
            for reservation in endpoint_row.reservations.values()
        )
    )


__all__ = [
    "describe_roles",
    "list_due_roles",
    "find_pools",
    "find_role_differences",
    "update",
]
