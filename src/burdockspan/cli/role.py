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

    The engine first gets no new work. Once it is idle, it is ordered to change
    its role, and it gets work again after it has confirmed the order;
    `burdockspan status` shows the progress. Exits with 2 for an engine that
    does not check fencing tokens, since a delayed order could undo a newer
    one. With --json, prints {"generation": N, "roles": {VM: pool}}.
    """
    from burdockspan.cli import documents
    from burdockspan.cli.edits import run_edit
    from burdockspan.cli.store import (
        find_service_without_fencing,
        open_store,
        warn_of_unknown_vms,
    )
    from burdockspan.configuration.document import RoleChange
    from burdockspan.configuration.maintenance import make_role
    from burdockspan.values.endpoint import Pool

    current = documents.require_current(open_store(platform_url), as_json)
    if current is not None:
        unfenced_service = find_service_without_fencing(
            platform_url, vm, current
        )
        if unfenced_service is not None:
            exits.exit_with(
                exits.BAD_INPUT,
                f"Engines of {unfenced_service!r} do not check fencing tokens, "
                "so that a change of role is not safe; nothing was written.",
            )
    changed = run_edit(
        platform_url,
        operator,
        lambda now_s: make_role(RoleChange(vm, Pool(pool), operator, now_s)),
        as_json,
    )
    _print_roles(changed, as_json)
    warn_of_unknown_vms(platform_url, (vm,))


@role.command(epilog=exits.EXIT_CODES_HELP)
@click.argument("vm")
@options.operator_option
@options.platform_option
@options.json_option
def clear(vm: str, operator: str, platform_url: str, as_json: bool) -> None:
    """Gives the engine on VM the pool in the VM list again.

    Exits with 2 and changes nothing if no role is set for it. With --json,
    prints {"generation": N, "roles": {VM: pool}}.
    """
    from burdockspan.cli.edits import run_edit
    from burdockspan.configuration.maintenance import make_clear_role

    changed = run_edit(
        platform_url, operator, lambda _now_s: make_clear_role(vm), as_json
    )
    _print_roles(changed, as_json)


def _print_roles(changed: Configuration, as_json: bool) -> None:
    import json

    roles = {item.vm: item.pool.value for item in changed.roles}
    if as_json:
        value = {"generation": changed.generation, "roles": roles}
        click.echo(json.dumps(value, indent=2))
        return
    text = ", ".join(f"{vm}={pool}" for vm, pool in roles.items()) or "none"
    click.echo(f"generation {changed.generation}; roles: {text}")


__all__ = ["role"]
