"""`burdockspan undrain`: drained VMs take work again."""

from __future__ import annotations

import click

from burdockspan.cli import exits, options


@click.command(epilog=exits.EXIT_CODES_HELP)
@click.argument("vms", nargs=-1, required=True, metavar="VM...")
@options.operator_option
@options.platform_option
@options.json_option
def undrain(
    vms: tuple[str, ...], operator: str, platform_url: str, as_json: bool
) -> None:
    """Lets drained VMs take new work again.

    Exits with 2 and changes nothing if one of them is not drained. With
    --json, prints {"generation": N, "drains": [VM]}.
    """
    from burdockspan.cli.edits import print_drains, run_edit
    from burdockspan.configuration.maintenance import make_undrain

    current = run_edit(
        platform_url, operator, lambda _now_s: make_undrain(vms), as_json
    )
    print_drains(current, as_json)


__all__ = ["undrain"]
