"""`burdockspan entry`: runs an entry process."""

from __future__ import annotations

import click

from burdockspan.cli import exits


@click.command(epilog=exits.EXIT_CODES_HELP)
@click.option(
    "--settings",
    "path",
    required=True,
    metavar="FILE",
    help="YAML settings of this VM; check them with `burdockspan validate`.",
)
def entry(path: str) -> None:
    """Runs the entry process of this VM until SIGTERM or SIGINT."""
    from result import Err

    from burdockspan.settings import load_settings

    settings = load_settings(path)
    if isinstance(settings, Err):
        exits.exit_with_problems(settings.err_value)

    from burdockspan.node.process import run_entry

    raise click.exceptions.Exit(run_entry(settings.ok_value))


__all__ = ["entry"]
