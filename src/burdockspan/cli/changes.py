"""Running of an edit of the configuration in force from a subcommand."""

from __future__ import annotations

import json
import time
from collections.abc import Callable

import click
from result import Err

from burdockspan.cli import exits
from burdockspan.cli.store import open_store
from burdockspan.configuration.acceptance import Edit, edit
from burdockspan.configuration.document import Configuration


def run_edit(
    platform_url: str,
    operator: str,
    make_change: Callable[[float], Edit],
    as_json: bool,
) -> Configuration:
    """Applies an edit, or ends the command with why it is not confirmed.

    Args:
      platform_url: base URL of the platform.
      operator: who asks for the change.
      make_change: returns the edit for the wall time in seconds since 1970.
      as_json: whether errors are printed as JSON.
    """
    now_s = time.time()
    store = open_store(platform_url, operator)
    edited = edit(store, make_change(now_s), operator, now_s)
    if isinstance(edited, Err):
        exits.stop_for_commit(edited.err_value, as_json)
    return edited.ok_value


def print_drains(held: Configuration, as_json: bool) -> None:
    """Prints the generation in force and its drained VMs."""
    names = [drain.vm for drain in held.drains]
    if as_json:
        value = {"generation": held.generation, "drains": names}
        click.echo(json.dumps(value, indent=2))
        return
    drained = ", ".join(names) or "none"
    click.echo(f"generation {held.generation}; drained: {drained}")


__all__ = ["print_drains", "run_edit"]
