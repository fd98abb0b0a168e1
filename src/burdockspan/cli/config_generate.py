"""`burdockspan config generate`: a configuration from a questionnaire."""

from __future__ import annotations

import click

from burdockspan.cli import exits


@click.command(epilog=exits.EXIT_CODES_HELP)
@click.argument("questionnaire")
@click.option(
    "--previous",
    metavar="FILE",
    help="Configuration to keep drains, planned stops, roles and generation "
    "from, as printed by `config show`.",
)
def generate(questionnaire: str, previous: str | None) -> None:
    """Prints the configuration of the answers in QUESTIONNAIRE as JSON.

    The same answers always give the same document. `origins` lists the answer
    that sets each value. Nothing is sent to the platform; use `config accept`
    to put a configuration in force.
    """
    from burdockspan.cli import documents
    from burdockspan.configuration import generate as generation

    answers = documents.require_questionnaire(questionnaire)
    current = documents.require_configuration(previous) if previous else None
    document = generation.generate(answers, current)
    click.echo(documents.render_configuration(document))


__all__ = ["generate"]
