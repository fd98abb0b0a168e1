"""Questionnaires and configurations that subcommands read and print."""

from __future__ import annotations

import datetime
import json
from collections.abc import Iterable

import click
from result import Err, Result

from burdockspan.cli import exits
from burdockspan.configuration.answers import Questionnaire
from burdockspan.configuration.codec import (
    decode_configuration,
    encode_configuration,
)
from burdockspan.configuration.commit import read_current
from burdockspan.configuration.document import Configuration
from burdockspan.configuration.object_store import ObjectStore
from burdockspan.configuration.problem import Problem
from burdockspan.configuration.questionnaire import parse_questionnaire
from burdockspan.configuration.strict_yaml import read_file


def read_questionnaire(
    path: str,
) -> Result[Questionnaire, tuple[Problem, ...]]:
    """Reads the questionnaire in a file."""
    text = read_file(path)
    if isinstance(text, Err):
        return text
    return parse_questionnaire(text.ok_value, path)


def require_questionnaire(path: str) -> Questionnaire:
    """Reads a questionnaire, or ends the command with its problems."""
    answers = read_questionnaire(path)
    if isinstance(answers, Err):
        exits.exit_with_problems(answers.err_value)
    return answers.ok_value


def require_configuration(path: str) -> Configuration:
    """Reads a generated configuration, or ends the command."""
    text = read_file(path)
    if isinstance(text, Err):
        exits.exit_with_problems(text.err_value)
    try:
        value = json.loads(text.ok_value)
    except (ValueError, RecursionError) as error:
        exits.exit_with(exits.BAD_INPUT, f"{path}: must be JSON: {error}")
    decoded = decode_configuration(value)
    if isinstance(decoded, Err):
        exits.exit_with(exits.BAD_INPUT, f"{path}: {decoded.err_value}")
    return decoded.ok_value


def require_current(store: ObjectStore, as_json: bool) -> Configuration | None:
    """Reads the configuration in force, or ends the command."""
    stored = read_current(store)
    if isinstance(stored, Err):
        exits.exit_with_commit_error(stored.err_value, as_json)
    return stored.ok_value.configuration


def render_configuration(configuration: Configuration) -> str:
    """Returns a document as indented JSON."""
    value = encode_configuration(configuration)
    return json.dumps(value, indent=2, sort_keys=True)


def warn_of_repeats(actions: Iterable[str]) -> None:
    """Prints the actions that a change allows to run more than once."""
    for action in actions:
        click.echo(f"WARNING: {action} may run more than once", err=True)


def render_time(wall_s: float) -> str:
    """Returns seconds since 1970 as ISO 8601 in UTC."""
    moment = datetime.datetime.fromtimestamp(wall_s, datetime.UTC)
    return moment.isoformat(timespec="seconds")


__all__ = [
    "read_questionnaire",
    "render_configuration",
    "render_time",
    "require_configuration",
    "require_current",
    "require_questionnaire",
    "warn_of_repeats",
]
