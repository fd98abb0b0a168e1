"""`burdockspan role`: roles of engines that differ from the VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from burdockspan.cli import exits, options

if TYPE_CHECKING:
    from burdockspan.configuration.document import Configuration


@click.group(name="role")
def role() -> None:
    """Changes engines between prefill and decode."""


@role.command(name="set", epilog=exits.EXIT_CODES_HELP)
@click.argument("vm")
@click.argument("pool", type=click.Choice(("prefill", "decode")))
@options.operator_option
@options.platform_option
@options.json_option
def set_role(
    vm: str, pool: str, operator: str, platform_url: str, as_json: bool
) -> None:
    """Gives the engine on VM the role prefill or decode.

    The engine takes no new work, is told its role once it is idle, and works
    in it after it has confirmed it; watch this with `burdockspan status`.
    Ends with 2 for an engine that does not check fencing tokens, since a late
    order could undo a newer one there. With --json, prints {"generation": N,
    "roles": {VM: pool}}.
    """
    from burdockspan.cli import documents
    from burdockspan.cli.changes import run_edit
    from burdockspan.cli.store import (
        find_unchecked_service,
        open_store,
        warn_of_unknown_vms,
    )
    from burdockspan.configuration.document import RoleChange
    from burdockspan.configuration.maintenance import make_role
    from burdockspan.values.endpoint import Pool

    current = documents.require_current(open_store(platform_url), as_json)
    if current is not None:
        unchecked = find_unchecked_service(platform_url, vm, current)
        if unchecked is not None:
            exits.stop(
                exits.BAD_INPUT,
                f"Engines of {unchecked!r} do not check fencing tokens, so "
                "that a change of role is not safe; nothing was written.",
            )
    held = run_edit(
        platform_url,
        operator,
        lambda now_s: make_role(RoleChange(vm, Pool(pool), operator, now_s)),
        as_json,
    )
    _print_roles(held, as_json)
    warn_of_unknown_vms(platform_url, (vm,))


@role.command(epilog=exits.EXIT_CODES_HELP)
@click.argument("vm")
@options.operator_option
@options.platform_option
@options.json_option
def clear(vm: str, operator: str, platform_url: str, as_json: bool) -> None:
    """Gives the engine on VM its pool of the VM list again.

    Ends with 2 and changes nothing when no role is set for it. With --json,
    prints {"generation": N, "roles": {VM: pool}}.
    """
    from burdockspan.cli.changes import run_edit
    from burdockspan.configuration.maintenance import make_clear_role

    held = run_edit(
        platform_url, operator, lambda _now_s: make_clear_role(vm), as_json
    )
    _print_roles(held, as_json)


def _print_roles(held: Configuration, as_json: bool) -> None:
    import json

    roles = {item.vm: item.pool.value for item in held.roles}
    if as_json:
        value = {"generation": held.generation, "roles": roles}
        click.echo(json.dumps(value, indent=2))
        return
    text = ", ".join(f"{vm}={pool}" for vm, pool in roles.items()) or "none"
    click.echo(f"generation {held.generation}; roles: {text}")


__all__ = ["role"]
