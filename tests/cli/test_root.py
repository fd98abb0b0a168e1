from __future__ import annotations

import json
import os
import subprocess
import sys
import unittest
from collections.abc import Iterator

import click
from click.testing import CliRunner

from burdockspan.cli.root import root

_HEAVY = ("yaml", "urllib3", "pykka", "thrift", "waitress", "opentelemetry")


def list_commands(
    command: click.Command, names: tuple[str, ...]
) -> Iterator[tuple[str, ...]]:
    if not isinstance(command, click.Group):
        yield names
        return
    context = click.Context(command)
    for name in command.list_commands(context):
        nested = command.get_command(context, name)
        assert nested is not None
        yield from list_commands(nested, (*names, name))


class RootTest(unittest.TestCase):
    def test_root_help_imports_no_heavy_library(self) -> None:
        # Guards against slow shell completion: all imports take 2 s.
        code = (
            "import sys\nfrom burdockspan.cli.root import root\n"
            "try:\n  root.main(['--help'])\n"
            "finally:\n  print([m for m in sys.modules if m in "
            f"{_HEAVY!r}])"
        )
        run = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        )
        self.assertTrue(run.stdout.endswith("[]\n"), run.stdout)

    def test_root_describes_every_subcommand(self) -> None:
        # Guards against a subcommand that cannot be imported, or whose help
        # does not list its exit codes.
        without_exit_codes = ("completion", "version")
        for names in list_commands(root, ()):
            with self.subTest(names):
                result = CliRunner().invoke(root, [*names, "--help"])
                self.assertEqual(result.exit_code, 0, result.output)
                if names[0] not in without_exit_codes:
                    self.assertIn("Exit codes:", result.output)

    def test_completion_prints_a_script_for_each_shell(self) -> None:
        for shell in ("bash", "zsh", "fish"):
            result = CliRunner().invoke(root, ["completion", shell])
            self.assertIn("_BURDOCKSPAN_COMPLETE", result.output)

    def test_validate_reports_bad_input(self) -> None:
        arguments = ["validate", "--settings", "absent.yaml", "--json"]
        result = CliRunner().invoke(root, arguments)
        self.assertEqual(result.exit_code, 2)
        problem = json.loads(result.output)["problems"][0]
        self.assertEqual(problem["file"], "absent.yaml")
