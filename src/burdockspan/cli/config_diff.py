"""`burdockspan config diff`: what a questionnaire would change."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from burdockspan.cli import exits, options

if TYPE_CHECKING:
    from burdockspan.configuration.document import Configuration


@click.command(epilog=exits.EXIT_CODES_HELP)
@click.argument("questionnaire")
@click.option(
    "--against",
    metavar="FILE",
    help="Compare with this configuration, as printed by `config show` or "
    "`config generate`, instead of the one in force.",
)
@click.option(
    "--platform",
    "platform_url",
    metavar="URL",
    envvar="BURDOCKSPAN_PLATFORM",
    show_envvar=True,
    callback=options.check_url,
    help="Base URL of the platform; needed without --against.",
)
@options.json_option
def diff(
    questionnaire: str,
    against: str | None,
    platform_url: str | None,
    as_json: bool,
) -> None:
    """Prints what accepting QUESTIONNAIRE would change.

    The first line shows the generation in force, which `config accept` takes
    as --base. Each change starts with `+` for a new, `-` for a removed and `~`
    for a changed value, and ends with the answer that sets it in brackets. A
    warning is printed for each action that runs at most once now and could
    run more than once afterwards. With --json, prints {"base": N, "changes":
    [{path, before, after, answer}], "now_repeatable": [ACTION]}.
    """
    import dataclasses
    import json

    from burdockspan.cli import documents
    from burdockspan.cli.store import open_store
    from burdockspan.configuration.difference import compare, render
    from burdockspan.configuration.generate import generate
    from burdockspan.configuration.repeatability import find_newly_repeatable

    answers = documents.require_questionnaire(questionnaire)
    current: Configuration | None
    if against is not None:
        current = documents.require_configuration(against)
    elif platform_url is None:
        raise click.UsageError("Give --platform or --against.")
    else:
        current = documents.require_current(open_store(platform_url), as_json)
    document = generate(answers, current)
    changes = compare(current, document)
    repeatable = find_newly_repeatable(current, document)
    base = current.generation if current else 0
    if as_json:
        values = [dataclasses.asdict(change) for change in changes]
        value = {
            "base": base,
            "changes": values,
            "now_repeatable": repeatable,
        }
        click.echo(json.dumps(value, indent=2))
        return
    by = (
        f", accepted by {current.accepted_by}" if current else ", none in force"
    )
    click.echo(f"base generation {base}{by}")
    click.echo(render(changes))
    documents.warn_of_repeats(repeatable)


__all__ = ["diff"]
