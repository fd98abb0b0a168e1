"""`burdockspan config show`: the configuration in force."""

from __future__ import annotations

import click

from burdockspan.cli import exits, options


@click.command(epilog=exits.EXIT_CODES_HELP)
@options.platform_option
def show(platform_url: str) -> None:
    """Prints the configuration in force as JSON.

    `origins` lists the questionnaire answer that sets each value. Exits with 1
    if no configuration has been accepted yet.
    """
    from burdockspan.cli import documents
    from burdockspan.cli.store import open_store

    current = documents.require_current(open_store(platform_url), as_json=False)
    if current is None:
        exits.exit_with(exits.FAILED, "No configuration has been accepted yet.")
    click.echo(documents.render_configuration(current))


__all__ = ["show"]
