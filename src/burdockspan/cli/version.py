"""`burdockspan version`: prints the version."""

from __future__ import annotations

import click


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def version(as_json: bool) -> None:
    """Prints the version, with --json as {"version": TEXT}."""
    import json

    from burdockspan import __version__

    if as_json:
        click.echo(json.dumps({"version": __version__}))
    else:
        click.echo(f"burdockspan {__version__}")


__all__ = ["version"]
