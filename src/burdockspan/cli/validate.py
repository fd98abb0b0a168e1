"""`burdockspan validate`: checks a settings file."""

from __future__ import annotations

import click

from burdockspan.cli import exits


@click.command(epilog=exits.EXIT_CODES_HELP)
@click.option(
    "--settings",
    "path",
    required=True,
    metavar="FILE",
    help="YAML settings of an entry VM.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def validate(path: str, as_json: bool) -> None:
    """Checks a settings file and prints every problem in it.

    With --json, prints {"problems": [{file, field, value, allowed}]}.
    """
    import dataclasses
    import json

    from burdockspan.settings import load_settings

    problems = load_settings(path).err() or ()
    if as_json:
        values = [dataclasses.asdict(problem) for problem in problems]
        click.echo(json.dumps({"problems": values}, indent=2))
        raise click.exceptions.Exit(exits.BAD_INPUT if problems else exits.OK)
    if problems:
        exits.exit_with_problems(problems)
    click.echo(f"{path}: valid")


__all__ = ["validate"]
