"""Runs commands of operators against an in-memory object store."""

from __future__ import annotations

import json
from typing import Any

from click.testing import CliRunner, Result

from burdockspan.cli.root import root
from tests.support.objects import InMemoryObjectStore


def run_command(
    objects: InMemoryObjectStore, *arguments: str, operator: str = "amal"
) -> Result:
    """Runs a subcommand in this process as an operator."""
    environment = {
        "BURDOCKSPAN_PLATFORM": "http://127.0.0.1:1",
        "BURDOCKSPAN_OPERATOR": operator,
        "BURDOCKSPAN_TOKEN": "token",
    }
    store = objects.make_store()
    return CliRunner().invoke(root, arguments, obj=store, env=environment)


def run_json(
    objects: InMemoryObjectStore, *arguments: str, operator: str = "amal"
) -> Any:
    """Runs a subcommand with `--json`; returns the decoded output."""
    result = run_command(objects, *arguments, "--json", operator=operator)
    return json.loads(result.stdout)


__all__ = ["run_command", "run_json"]
