"""Roles of engines that operators changed, and their confirmation."""

from __future__ import annotations

from burdockspan.configuration.document import Service
from burdockspan.endpoints.desired_state import DesiredRole
from burdockspan.node.endpoint_table import EndpointRow
from burdockspan.node.tables import Roles, Tables
from burdockspan.object_api.vms import VmRole
from burdockspan.values.endpoint import Pool

# A generation is in force everywhere within 6 s (P8), so that afterwards no
# entry VM gives new work to an engine that changes its role.
_SETTLE_S = 6.0


def resolve(tables: Tables) -> Roles:
    """Returns how engines are routed whose role is not as listed.

    An engine is routed by the role that it reports. Where that is not the
    role that the configuration wants, it takes no new work.
    """
    wanted_by_vm = list_wanted(tables)
    pools, changing = {}, set()
    for vm, (listed, wanted) in wanted_by_vm.items():
        row = tables.endpoints_by_name.get(vm)
        reported = _reported(row)
        if row is None or reported is None:
            continue
        if reported is not listed:
            pools[vm] = reported
        if reported is not wanted:
            changing.add(vm)
    return Roles(pools, frozenset(changing))


def update(tables: Tables, now_s: float) -> None:
    """Takes over the roles that the reports and the configuration give."""
    assert tables.catalog is not None
    generation = tables.catalog.configuration.generation
    tables.roles = resolve(tables)
    known = tables.changing_since_s
    tables.changing_since_s = {}
    for vm in tables.roles.changing:
        since = known.get(vm)
        if since is None or since[0] != generation:
            since = generation, now_s
        tables.changing_since_s[vm] = since


def list_ready(
    tables: Tables,
    row: EndpointRow,
    pools: tuple[Pool, Pool] | None,
    now_s: float,
) -> tuple[DesiredRole, ...]:
    """Returns the role that an engine may be ordered to take now, if any.

    An engine that checks no fencing tokens gets none, because a late copy of
    an order would undo a newer one. One that is to change its role gets the
    order once it is idle and no entry VM can give it work any more.

    Args:
      tables: tables of the node.
      row: the engine.
      pools: its listed and its wanted pool; None if it has no choice of role.
      now_s: monotonic seconds.
    """
    catalog = tables.catalog
    reported = _reported(row)
    if catalog is None or pools is None or reported is None:
        return ()
    _, wanted = pools
    if reported is not wanted and not _is_idle(tables, row, now_s):
        return ()
    return (DesiredRole(wanted, catalog.configuration.generation),)


def describe(tables: Tables) -> list[dict[str, object]]:
    """Returns the changed roles and how far each one is."""
    catalog = tables.catalog
    if catalog is None:
        return []
    wanted_by_vm = list_wanted(tables)
    described: list[dict[str, object]] = []
    for change in catalog.configuration.roles:
        row = tables.endpoints_by_name.get(change.vm)
        reported = _reported(row)
        if row is None:
            state = "not_listed"
        elif not row.endpoint.checks_fencing:
            state = "unsafe"
        elif reported is None or change.vm not in wanted_by_vm:
            state = "unreported"
        else:
            state = "confirmed" if reported is change.pool else "changing"
        described.append(
            {"vm": change.vm, "pool": change.pool.value, "state": state}
        )
    return described


def list_wanted(tables: Tables) -> dict[str, tuple[Pool, Pool]]:
    """Returns the listed and the wanted pool of engines that check fencing.

    Going through the VM list takes 0.8 ms at the design size, so the result
    is kept until the list or the configuration changes.
    """
    basis = (tables.vm_list, tables.catalog)
    if any(
        old is not new
        for old, new in zip(tables.pools_basis, basis, strict=True)
    ):
        tables.pools_basis = basis
        tables.pools_by_vm = _find_wanted(tables)
    return tables.pools_by_vm


def _find_wanted(tables: Tables) -> dict[str, tuple[Pool, Pool]]:
    catalog = tables.catalog
    if catalog is None:
        return {}
    changes = {item.vm: item.pool for item in catalog.configuration.roles}
    wanted = {}
    for vm in tables.vm_list.vms:
        service = catalog.services_by_name.get(vm.service)
        if vm.role is not VmRole.ENTRY and _can_change(service):
            listed = Pool(vm.role.value)
            wanted[vm.name] = listed, changes.get(vm.name, listed)
    return wanted


def _can_change(service: Service | None) -> bool:
    return (
        service is not None and bool(service.models) and service.checks_fencing
    )


def _reported(row: EndpointRow | None) -> Pool | None:
    return None if row is None or row.report is None else row.report.role


def _is_idle(tables: Tables, row: EndpointRow, now_s: float) -> bool:
    since = tables.changing_since_s.get(row.endpoint.name)
    report = row.report
    if since is None or report is None:
        return False
    settled_s = since[1] + _SETTLE_S
    return (
        now_s >= settled_s
        and report.measured_s >= settled_s
        and report.running == report.waiting == 0
        and report.free_pieces == report.pieces
        and all(
            reservation.released_s is not None
            for reservation in row.reservations.values()
        )
    )


__all__ = ["describe", "list_ready", "list_wanted", "resolve", "update"]
