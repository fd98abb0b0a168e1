"""`burdockspan config accept`: puts a configuration in force."""

from __future__ import annotations

import click

from burdockspan.cli import exits, options


@click.command(epilog=exits.EXIT_CODES_HELP)
@click.argument("questionnaire")
@click.option(
    "--base",
    required=True,
    type=click.IntRange(min=0),
    help="Generation that you reviewed, from the first line of `config "
    "diff`; 0 when none is in force.",
)
@options.operator_option
@options.platform_option
@options.json_option
def accept(
    questionnaire: str,
    base: int,
    operator: str,
    platform_url: str,
    as_json: bool,
) -> None:
    """Puts the configuration of QUESTIONNAIRE in force.

    It becomes generation BASE + 1 and takes effect on every entry VM within
    6 s. If another operator has made a change since generation BASE, nothing
    is written and the operator's name is printed. Drains, planned stops and
    roles are kept. With --json, prints {"generation": N, "changes": [...]} or
    {"error": {failure, detail, generation, by}}.
    """
    import dataclasses
    import json
    import time

    from result import Err

    from burdockspan.cli import documents
    from burdockspan.cli.store import open_store
    from burdockspan.configuration import acceptance, difference
    from burdockspan.configuration.generate import generate
    from burdockspan.configuration.repeatability import find_newly_repeatable

    answers = documents.require_questionnaire(questionnaire)
    if operator not in answers.operators:
        allowed = ", ".join(answers.operators)
        exits.exit_with(
            exits.BAD_INPUT,
            f"{questionnaire}: operators: {operator!r} is not allowed to "
            f"accept; one of: {allowed}",
        )
    store = open_store(platform_url, operator)
    current = documents.require_current(store, as_json)
    document = dataclasses.replace(
        generate(answers, current),
        accepted_by=operator,
        accepted_at_s=time.time(),
    )
    accepted = acceptance.accept(store, document, base)
    if isinstance(accepted, Err):
        exits.exit_with_commit_error(accepted.err_value, as_json)
    generation = accepted.ok_value.generation
    changes = difference.compare(current, accepted.ok_value)
    if as_json:
        values = [dataclasses.asdict(change) for change in changes]
        value = {"generation": generation, "changes": values}
        click.echo(json.dumps(value, indent=2))
        return
    click.echo(difference.render(changes))
    documents.warn_of_repeats(find_newly_repeatable(current, accepted.ok_value))
    click.echo(f"generation {generation} accepted by {operator}")


__all__ = ["accept"]
