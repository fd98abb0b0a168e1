"""`burdockspan status`: the state of a fleet of entry VMs."""

from __future__ import annotations

import click

from burdockspan.cli import exits, options


@click.command(epilog=exits.EXIT_CODES_HELP)
@click.option(
    "--admin",
    "addresses",
    required=True,
    multiple=True,
    metavar="IP:PORT",
    envvar="BURDOCKSPAN_ADMIN",
    show_envvar=True,
    callback=options.check_addresses,
    help="Admin address of an entry VM; repeat it for several. The variable "
    "holds them separated by spaces.",
)
@options.json_option
def status(addresses: tuple[str, ...], as_json: bool) -> None:
    """Prints zones, VMs, endpoints, generations, quarantine and requests.

    Fetches /admin/status from each admin address. Exits with 4 if one of them
    does not respond; the status of the others is printed. With --json, prints
    {"vms": {ADDRESS: status}, "unreachable": {ADDRESS: reason}}.
    """
    import json

    from burdockspan.cli.fleet import fetch_fleet, render_fleet

    statuses, failures = fetch_fleet(addresses)
    if as_json:
        value = {"vms": statuses, "unreachable": failures}
        click.echo(json.dumps(value, indent=2))
    else:
        click.echo(render_fleet(statuses))
    if failures:
        exits.exit_with(exits.UNREACHABLE, *failures.values())


__all__ = ["status"]
