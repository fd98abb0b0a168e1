"""`burdockspan drain`: stops new work on VMs."""

from __future__ import annotations

import click

from burdockspan.cli import exits, options


@click.command(epilog=exits.EXIT_CODES_HELP)
@click.argument("vms", nargs=-1, required=True, metavar="VM...")
@options.operator_option
@options.platform_option
@options.json_option
def drain(
    vms: tuple[str, ...], operator: str, platform_url: str, as_json: bool
) -> None:
    """Stops new work on endpoint or entry VMs until they are undrained.

    Work in progress is finished; `burdockspan status` shows how much is left.
    A VM that is not in the platform's VM list is drained too, with a warning.
    Draining a drained VM changes nothing. With --json, prints
    {"generation": N, "drains": [VM]}.
    """
    from burdockspan.cli.edits import print_drains, run_edit
    from burdockspan.cli.store import warn_of_unknown_vms
    from burdockspan.configuration.maintenance import make_drain

    current = run_edit(
        platform_url,
        operator,
        lambda now_s: make_drain(vms, operator, now_s),
        as_json,
    )
    print_drains(current, as_json)
    warn_of_unknown_vms(platform_url, vms)


__all__ = ["drain"]
