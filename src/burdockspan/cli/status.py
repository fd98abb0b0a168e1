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

    Asks each admin address for /admin/status. Ends with 4 when one of them
    does not answer; the others are printed all the same. With --json, prints
    {"vms": {ADDRESS: what it answered}, "unreachable": {ADDRESS: why}}.
    """
    import json

    from burdockspan.cli.fleet import ask_fleet, render_fleet

    answers, failures = ask_fleet(addresses)
    if as_json:
        value = {"vms": answers, "unreachable": failures}
        click.echo(json.dumps(value, indent=2))
    else:
        click.echo(render_fleet(answers))
    if failures:
        exits.stop(exits.UNREACHABLE, *failures.values())


__all__ = ["status"]
