"""Edits of the configuration in force by subcommands."""

from __future__ import annotations

import json
import time
from collections.abc import Callable

import click
from result import Err

from burdockspan.cli import exits
from burdockspan.cli.store import open_store
from burdockspan.configuration.acceptance import Edit, apply_edit
from burdockspan.configuration.document import Configuration


def run_edit(
    platform_url: str,
    operator: str,
    make_edit: Callable[[float], Edit],
    as_json: bool,
) -> Configuration:
    """Applies an edit, or ends the command if the edit is not confirmed.

    Args:
      platform_url: base URL of the platform.
      operator: operator who requests the change.
      make_edit: returns the edit for a wall time in seconds since 1970.
      as_json: whether errors are printed as JSON.
    """
    now_s = time.time()
    store = open_store(platform_url, operator)
    edited = apply_edit(store, make_edit(now_s), operator, now_s)
    if isinstance(edited, Err):
        exits.exit_with_commit_error(edited.err_value, as_json)
    return edited.ok_value


def print_drains(current: Configuration, as_json: bool) -> None:
    """Prints the generation in force and its drained VMs."""
    names = [drain.vm for drain in current.drains]
    if as_json:
        value = {"generation": current.generation, "drains": names}
        click.echo(json.dumps(value, indent=2))
        return
    drained = ", ".join(names) or "none"
    click.echo(f"generation {current.generation}; drained: {drained}")


__all__ = ["print_drains", "run_edit"]
