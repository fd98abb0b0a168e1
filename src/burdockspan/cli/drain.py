"""`burdockspan drain`: VMs take no new work."""

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
    """Lets endpoint or entry VMs take no new work until undrained.

    Work in progress is finished. Watch it end with `burdockspan status`,
    which also shows a mistyped name: nothing drains. Draining a drained VM
    changes nothing. With --json, prints {"generation": N, "drains": [VM]}.
    """
    from burdockspan.cli.changes import print_drains, run_edit
    from burdockspan.configuration.maintenance import make_drain

    held = run_edit(
        platform_url,
        operator,
        lambda now_s: make_drain(vms, operator, now_s),
        as_json,
    )
    print_drains(held, as_json)


__all__ = ["drain"]
