"""Parsing of the times of planned stops, and their output."""

from __future__ import annotations

import datetime
import json
from collections.abc import Iterable

import click
from result import Err

from burdockspan.cli.documents import render_time
from burdockspan.configuration.converters import SECONDS, quantity
from burdockspan.configuration.document import PlannedStop

_YEAR_S = 366 * 86400.0
_CLOCK_SLACK_S = 60.0
"""Clocks of operators may differ, so a time just past is accepted."""


def parse_moment(
    at_text: str | None, delay_text: str | None, now_s: float
) -> float:
    """Returns the wall time of a stop, in seconds since 1970.

    Args:
      at_text: ISO 8601 time with offset, or None.
      delay_text: time from now with a unit, or None.
      now_s: wall time, seconds since 1970.

    Raises:
      click.UsageError: none or both are given, or the time is not allowed.
    """
    if (at_text is None) == (delay_text is None):
        raise click.UsageError("Give one of --at and --in.")
    if delay_text is not None:
        delay = quantity(SECONDS, "s", 0.0, _YEAR_S)(delay_text)
        if isinstance(delay, Err):
            raise click.UsageError(f"--in {delay_text!r}: {delay.err_value}")
        return now_s + delay.ok_value
    assert at_text is not None
    try:
        moment = datetime.datetime.fromisoformat(at_text)
    except ValueError as error:
        raise click.UsageError(f"--at {at_text!r}: {error}") from error
    if moment.tzinfo is None:
        allowed = "a time with an offset, such as +00:00 or Z"
        raise click.UsageError(f"--at {at_text!r}: {allowed}")
    at_s = moment.timestamp()
    if not now_s - _CLOCK_SLACK_S <= at_s <= now_s + _YEAR_S:
        allowed = f"from now, {render_time(now_s)}, to a year later"
        raise click.UsageError(f"--at {at_text!r}: {allowed}")
    return at_s


def print_stop(generation: int, stop: PlannedStop, as_json: bool) -> None:
    """Prints a stop that was scheduled."""
    if as_json:
        value = {"generation": generation, "stop": _encode(stop)}
        click.echo(json.dumps(value, indent=2))
    else:
        click.echo(f"generation {generation}; {_describe(stop)}")


def print_stops(stops: Iterable[PlannedStop], as_json: bool) -> None:
    """Prints planned stops, one on each line."""
    if as_json:
        values = [_encode(stop) for stop in stops]
        click.echo(json.dumps({"stops": values}, indent=2))
        return
    lines = [_describe(stop) for stop in stops]
    click.echo("\n".join(lines) or "no planned stops")


def _encode(stop: PlannedStop) -> dict[str, str]:
    return {
        "stop_id": stop.stop_id,
        "vm": stop.vm,
        "at": render_time(stop.at_s),
        "by": stop.by,
    }


def _describe(stop: PlannedStop) -> str:
    return f"{stop.stop_id} {stop.vm} {render_time(stop.at_s)} by {stop.by}"


__all__ = ["parse_moment", "print_stop", "print_stops"]
