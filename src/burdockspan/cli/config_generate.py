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

    The same answers always give the same document. `origins` names the answer
    behind each value. Nothing is sent anywhere; put a configuration in force
    with `config accept`.
    """
    from burdockspan.cli import documents
    from burdockspan.configuration import generate as generation

    answers = documents.require_questionnaire(questionnaire)
    held = documents.require_configuration(previous) if previous else None
    document = generation.generate(answers, held)
    click.echo(documents.render_configuration(document))


__all__ = ["generate"]
