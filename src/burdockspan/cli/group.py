"""A click group that imports a subcommand when it is first used."""

from __future__ import annotations

import importlib
from collections.abc import Mapping

import click


class LazyGroup(click.Group):
    """Group whose subcommands are given as `module:attribute`.

    Importing all subcommands and their dependencies takes about 2 s, which
    would delay shell completion and each short command.
    """

    def __init__(
        self, name: str, help_text: str, modules: Mapping[str, str]
    ) -> None:
        super().__init__(name=name, help=help_text)
        self.modules = modules

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of the subcommands."""
        return sorted(self.modules)

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Imports and returns a subcommand, None if there is none."""
        if cmd_name not in self.modules:
            return None
        module, attribute = self.modules[cmd_name].split(":")
        command = getattr(importlib.import_module(module), attribute)
        assert isinstance(command, click.Command)
        return command


__all__ = ["LazyGroup"]
