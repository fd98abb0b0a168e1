"""`burdockspan questionnaire`: prints the template and checks answers."""

from __future__ import annotations

import click

from burdockspan.cli import exits, options


@click.group()
def questionnaire() -> None:
    """Prints the questionnaire's template and checks answers."""


@questionnaire.command(epilog=exits.EXIT_CODES_HELP)
def template() -> None:
    """Prints a questionnaire to fill in, with comments and examples.

    Save it with `burdockspan questionnaire template > team.yaml`.
    """
    from burdockspan.configuration.questionnaire import read_template

    click.echo(read_template(), nl=False)


@questionnaire.command(epilog=exits.EXIT_CODES_HELP)
@click.argument("file")
@options.json_option
def check(file: str, as_json: bool) -> None:
    """Checks the questionnaire in FILE and prints every problem.

    Each problem names the file, the field, the value found and what is
    allowed. With --json, prints
    {"problems": [{file, field, value, allowed}]}.
    """
    import dataclasses
    import json

    from burdockspan.cli.documents import read_questionnaire

    problems = read_questionnaire(file).err() or ()
    if as_json:
        values = [dataclasses.asdict(problem) for problem in problems]
        click.echo(json.dumps({"problems": values}, indent=2))
        raise click.exceptions.Exit(exits.BAD_INPUT if problems else exits.OK)
    if problems:
        exits.exit_with_problems(problems)
    click.echo(f"{file}: valid")


__all__ = ["questionnaire"]
