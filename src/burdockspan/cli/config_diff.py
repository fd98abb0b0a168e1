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
    "`config generate`, and not with the one in force.",
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

    The first line names the generation in force, which `config accept` takes
    as --base. Each change names in brackets the answer behind it: `+` new
    value, `-` value that goes, `~` changed value. A warning names each action
    that runs at most once now and may run more often afterwards. With --json,
    prints {"base": N, "changes": [{path, before, after, answer}],
    "now_repeatable": [ACTION]}.
    """
    import dataclasses
    import json

    from burdockspan.cli import documents
    from burdockspan.cli.store import open_store
    from burdockspan.configuration.difference import compare, render
    from burdockspan.configuration.generate import generate
    from burdockspan.configuration.repeatability import find_newly_repeatable

    answers = documents.require_questionnaire(questionnaire)
    held: Configuration | None
    if against is not None:
        held = documents.require_configuration(against)
    elif platform_url is None:
        raise click.UsageError("Give --platform or --against.")
    else:
        held = documents.require_current(open_store(platform_url), as_json)
    document = generate(answers, held)
    changes = compare(held, document)
    repeatable = find_newly_repeatable(held, document)
    base = held.generation if held else 0
    if as_json:
        values = [dataclasses.asdict(change) for change in changes]
        value = {
            "base": base,
            "changes": values,
            "now_repeatable": repeatable,
        }
        click.echo(json.dumps(value, indent=2))
        return
    by = f", accepted by {held.accepted_by}" if held else ", none in force"
    click.echo(f"base generation {base}{by}")
    click.echo(render(changes))
    documents.warn_of_repeats(repeatable)


__all__ = ["diff"]
