"""Edits of a configuration: drains, planned stops and roles."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from result import Err, Ok, Result

from burdockspan.configuration.acceptance import Edit
from burdockspan.configuration.document import (
    Configuration,
    Drain,
    PlannedStop,
    RoleChange,
)


def make_drain(vms: Iterable[str], by: str, at_s: float) -> Edit:
    """Returns an edit that drains VMs; those already drained are kept."""
    names = tuple(dict.fromkeys(vms))

    def change(current: Configuration) -> Result[Configuration, str]:
        drained = {drain.vm for drain in current.drains}
        added = tuple(Drain(vm, by, at_s) for vm in names if vm not in drained)
        drains = sorted(current.drains + added, key=lambda drain: drain.vm)
        return Ok(dataclasses.replace(current, drains=tuple(drains)))

    return change


def make_undrain(vms: Iterable[str]) -> Edit:
    """Returns an edit that lets VMs take new work again.

    The edit fails for a VM that is not drained, since the name is probably
    mistyped.
    """
    names = tuple(dict.fromkeys(vms))

    def change(current: Configuration) -> Result[Configuration, str]:
        drained = {drain.vm for drain in current.drains}
        missing = [vm for vm in names if vm not in drained]
        if missing:
            known = ", ".join(sorted(drained)) or "none"
            return Err(f"Not drained: {', '.join(missing)}. Drained: {known}.")
        drains = tuple(d for d in current.drains if d.vm not in names)
        return Ok(dataclasses.replace(current, drains=drains))

    return change


def make_schedule(stop: PlannedStop) -> Edit:
    """Returns an edit that schedules a stop; it can be repeated safely.

    The edit fails when the VM has another planned stop.
    """

    def change(current: Configuration) -> Result[Configuration, str]:
        for other in current.stops:
            if other == stop:
                return Ok(current)
            if other.vm == stop.vm or other.stop_id == stop.stop_id:
                return Err(
                    f"{other.vm} has planned stop {other.stop_id} by "
                    f"{other.by}; cancel it first."
                )
        stops = sorted(
            (*current.stops, stop), key=lambda item: (item.at_s, item.stop_id)
        )
        return Ok(dataclasses.replace(current, stops=tuple(stops)))

    return change


def make_cancel(stop_id: str) -> Edit:
    """Returns an edit that cancels a planned stop."""

    def change(current: Configuration) -> Result[Configuration, str]:
        stops = tuple(s for s in current.stops if s.stop_id != stop_id)
        if len(stops) == len(current.stops):
            known = ", ".join(s.stop_id for s in current.stops) or "none"
            return Err(f"No planned stop {stop_id}. Planned stops: {known}.")
        return Ok(dataclasses.replace(current, stops=stops))

    return change


def make_role(role: RoleChange) -> Edit:
    """Returns an edit that sets the role of an engine."""

    def change(current: Configuration) -> Result[Configuration, str]:
        others = [item for item in current.roles if item.vm != role.vm]
        if any(
            (item.vm, item.pool) == (role.vm, role.pool)
            for item in current.roles
        ):
            return Ok(current)
        roles = sorted((*others, role), key=lambda item: item.vm)
        return Ok(dataclasses.replace(current, roles=tuple(roles)))

    return change


def make_clear_role(vm: str) -> Edit:
    """Returns an edit that gives an engine the pool in the VM list again."""

    def change(current: Configuration) -> Result[Configuration, str]:
        roles = tuple(item for item in current.roles if item.vm != vm)
        if len(roles) == len(current.roles):
            known = ", ".join(item.vm for item in current.roles) or "none"
            return Err(f"No role is set for {vm}. Roles are set for: {known}.")
        return Ok(dataclasses.replace(current, roles=roles))

    return change


__all__ = [
    "make_cancel",
    "make_clear_role",
    "make_drain",
    "make_role",
    "make_schedule",
    "make_undrain",
]
