"""`burdockspan config show`: the configuration in force."""

from __future__ import annotations

import click

from burdockspan.cli import exits, options


@click.command(epilog=exits.EXIT_CODES_HELP)
@options.platform_option
def show(platform_url: str) -> None:
    """Prints the configuration in force as JSON.

    `origins` names the questionnaire answer behind each value. Ends with 1
    when no configuration has been accepted yet.
    """
    from burdockspan.cli import documents
    from burdockspan.cli.store import open_store

    held = documents.require_current(open_store(platform_url), as_json=False)
    if held is None:
        exits.stop(exits.FAILED, "No configuration has been accepted yet.")
    click.echo(documents.render_configuration(held))


__all__ = ["show"]
