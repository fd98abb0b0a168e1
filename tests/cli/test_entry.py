from __future__ import annotations

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import unittest

from click.testing import CliRunner, Result

from burdockspan.cli.root import root
from standins.launcher import find_free_port, wait_until
from tests.support.processes import running_standin
from tests.support.questionnaires import fill_template


class EntryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = self.enterContext(running_standin("platform"))
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.directory = pathlib.Path(directory)
        caller, self.admin, peer = (
            f"127.0.0.1:{find_free_port()}" for _ in range(3)
        )
        settings = {
            "vm": "entry-1",
            "availability_zone": "fes-a",
            "region": "maghreb-north",
            "caller_address": caller,
            "admin_address": self.admin,
            "peer_address": peer,
            "platform_url": f"http://{self.platform.address}",
            "threads": 8,
        }
        path = self.directory / "settings.yaml"
        path.write_text(json.dumps(settings))
        self.arguments = ["entry", "--settings", str(path)]

    def run_command(self, *arguments: str) -> Result:
        environment = {
            "BURDOCKSPAN_PLATFORM": f"http://{self.platform.address}",
            "BURDOCKSPAN_OPERATOR": "amal",
            "BURDOCKSPAN_ADMIN": self.admin,
        }
        return CliRunner().invoke(root, arguments, env=environment)

    def generation(self) -> int:
        """Returns the generation in force on the entry VM, -1 if it is down."""
        answered = json.loads(self.run_command("status", "--json").stdout)
        status = answered["vms"].get(self.admin, {"generation": -1})
        return int(status["generation"])

    def start_entry(self) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(
            [sys.executable, "-m", "burdockspan", *self.arguments],
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def test_entry_adopts_accepted_configurations(self) -> None:
        # Guards against commands and entry processes that use different
        # objects, document formats or status formats.
        team = self.directory / "team.yaml"
        team.write_text(fill_template())
        accept = ("config", "accept", str(team), "--base", "0")
        self.assertEqual(self.run_command(*accept).exit_code, 0)
        process = self.start_entry()
        wait_until(lambda: self.generation() == 1, "generation 1 is in force")
        self.assertEqual(self.run_command("drain", "vm-1").exit_code, 0)
        wait_until(lambda: self.generation() == 2, "generation 2 is in force")
        shown = self.run_command("status")
        self.assertEqual(shown.exit_code, 0, shown.output)
        self.assertIn("entry-1", shown.stdout)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(20), 0)

    def test_entry_exits_with_an_error_when_an_address_is_in_use(self) -> None:
        # Guards against a process that keeps running without its server.
        with socket.socket() as occupied:
            host, _, port = self.admin.rpartition(":")
            occupied.bind((host, int(port)))
            occupied.listen()
            process = self.start_entry()
            self.assertEqual(process.wait(20), 1)
