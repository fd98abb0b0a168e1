"""Options that several subcommands share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import click

F = TypeVar("F", bound=Callable[..., Any])

_OPERATOR_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._@-]{0,62}"


def check_url(
    _context: click.Context, _option: click.Parameter, value: str | None
) -> str | None:
    """Checks a base URL, if it is given."""
    if value is None:
        return None

    from result import Err

    from burdockspan.configuration.converters import base_url

    converted = base_url(value)
    if isinstance(converted, Err):
        raise click.BadParameter(f"{value!r}: {converted.err_value}")
    return converted.ok_value


def _check_operator(
    _context: click.Context, _option: click.Parameter, value: str
) -> str:
    import re

    if not re.fullmatch(_OPERATOR_PATTERN, value):
        allowed = "up to 63 letters, digits and '._@-'"
        raise click.BadParameter(f"{value!r}: {allowed}")
    return value


def check_addresses(
    _context: click.Context,
    _option: click.Parameter,
    values: tuple[str, ...] | str,
) -> tuple[str, ...] | str:
    """Checks one `ip:port` or several."""
    from result import Err

    from burdockspan.configuration.converters import address

    convert = address(allow_unspecified=False)
    for value in (values,) if isinstance(values, str) else values:
        converted = convert(value)
        if isinstance(converted, Err):
            raise click.BadParameter(f"{value!r}: {converted.err_value}")
    return values


def json_option(command: F) -> F:
    """Adds `--json`, which prints JSON for scripts."""
    return click.option(
        "--json", "as_json", is_flag=True, help="Print JSON to stdout."
    )(command)


def platform_option(command: F) -> F:
    """Adds `--platform`, the base URL of the platform."""
    return click.option(
        "--platform",
        "platform_url",
        required=True,
        metavar="URL",
        envvar="BURDOCKSPAN_PLATFORM",
        show_envvar=True,
        callback=check_url,
        help="Base URL of the platform, http://ip:port.",
    )(command)


def operator_option(command: F) -> F:
    """Adds `--operator`, the operator who requests a change."""
    return click.option(
        "--operator",
        required=True,
        metavar="NAME",
        envvar="BURDOCKSPAN_OPERATOR",
        show_envvar=True,
        callback=_check_operator,
        help="Your name, which is recorded with your change.",
    )(command)


__all__ = [
    "check_addresses",
    "check_url",
    "json_option",
    "operator_option",
    "platform_option",
]
