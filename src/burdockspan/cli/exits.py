"""Exit codes of the command line, and how commands end with them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NoReturn

import click

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
  4  the platform or an entry VM could not be reached
"""


def stop(code: int, *messages: object) -> NoReturn:
    """Prints messages to stderr and ends the command with an exit code."""
    for message in messages:
        click.echo(str(message), err=True)
    raise click.exceptions.Exit(code)


def stop_for_problems(problems: Iterable[object]) -> NoReturn:
    """Prints the problems of a file and ends with the bad-input code."""
    stop(BAD_INPUT, *problems)


__all__ = [
    "BAD_INPUT",
    "EXIT_CODES_HELP",
    "FAILED",
    "LOST_RACE",
    "OK",
    "UNREACHABLE",
    "stop",
    "stop_for_problems",
]
