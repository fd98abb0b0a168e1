"""Exit codes of the command line, and how commands end with them."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import TYPE_CHECKING, NoReturn

import click

if TYPE_CHECKING:
    from burdockspan.configuration.commit import CommitError

OK = 0
FAILED = 1
BAD_INPUT = 2
LOST_RACE = 3
UNREACHABLE = 4

EXIT_CODES_HELP = """\b
Exit codes:
  0  done
  1  failed
  2  bad input
  3  another operator's change came first; nothing was written
  4  the platform or an entry VM could not be reached; the message says
     whether a change may still have been applied
"""

_CODE_BY_FAILURE = {
    "lost_race": LOST_RACE,
    "unreachable": UNREACHABLE,
    "uncertain": UNREACHABLE,
    "invalid": BAD_INPUT,
}


def exit_with(code: int, *messages: object) -> NoReturn:
    """Prints messages to stderr and ends the command with an exit code."""
    for message in messages:
        click.echo(str(message), err=True)
    raise click.exceptions.Exit(code)


def exit_with_problems(problems: Iterable[object]) -> NoReturn:
    """Prints the problems of a file and exits with the code for bad input."""
    exit_with(BAD_INPUT, *problems)


def exit_with_commit_error(error: CommitError, as_json: bool) -> NoReturn:
    """Prints why a change was not confirmed and exits with its code."""
    failure = error.failure.value
    if as_json:
        value = {
            "failure": failure,
            "detail": error.detail,
            "generation": error.generation,
            "by": error.by,
        }
        click.echo(json.dumps({"error": value}, indent=2))
    exit_with(
        _CODE_BY_FAILURE[failure],
        f"{failure.replace('_', ' ')}: {error.detail}",
    )


__all__ = [
    "BAD_INPUT",
    "EXIT_CODES_HELP",
    "FAILED",
    "LOST_RACE",
    "OK",
    "UNREACHABLE",
    "exit_with",
    "exit_with_commit_error",
    "exit_with_problems",
]
