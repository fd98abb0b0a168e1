from __future__ import annotations

import json
import os
import subprocess
import sys
import unittest

from click.testing import CliRunner

from burdockspan.cli.root import root

_HEAVY = ("yaml", "urllib3", "pykka", "thrift", "waitress", "opentelemetry")


class RootTest(unittest.TestCase):
    def test_root_help_imports_no_heavy_library(self) -> None:
        # Guards against slow completion: all imports together take 2 s.
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
        for name in root.modules:
            with self.subTest(name):
                result = CliRunner().invoke(root, [name, "--help"])
                self.assertEqual(result.exit_code, 0, result.output)

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
