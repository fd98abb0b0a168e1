from __future__ import annotations

import json
import pathlib
import tempfile
import unittest

from click.testing import CliRunner, Result

from burdockspan.cli.root import root
from tests.support.processes import running_standin
from tests.support.questionnaires import fill_template


class PlatformTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = self.enterContext(running_standin("platform"))
        directory = self.enterContext(tempfile.TemporaryDirectory())
        team = pathlib.Path(directory) / "team.yaml"
        team.write_text(fill_template())
        self.accept = ("config", "accept", str(team), "--base", "0")

    def run_command(self, *arguments: str) -> Result:
        environment = {
            "BURDOCKSPAN_PLATFORM": f"http://{self.platform.address}",
            "BURDOCKSPAN_OPERATOR": "amal",
        }
        return CliRunner().invoke(root, arguments, env=environment)

    def run_json(self, *arguments: str) -> object:
        result = self.run_command(*arguments, "--json")
        self.assertEqual(result.exit_code, 0, result.output)
        return json.loads(result.stdout)

    def test_changes_are_applied_once_when_responses_are_lost(self) -> None:
        # Guards against a change that is applied twice, or reported as failed
        # although it is in force, when the platform's response is lost.
        self.platform.set_faults(lose_answers=1)
        accepted = self.run_command(*self.accept)
        self.assertEqual(accepted.exit_code, 0, accepted.output)
        self.platform.set_faults(lose_answers=1)
        drained = self.run_json("drain", "vm-1")
        self.assertEqual(drained, {"generation": 2, "drains": ["vm-1"]})
        stored = self.platform.call("GET", "/objects/config/current").json()
        self.assertEqual(stored["value"]["generation"], 2)
        outdated = self.run_command(*self.accept)
        self.assertEqual(outdated.exit_code, 3)

    def test_drain_warns_of_a_vm_that_is_not_listed(self) -> None:
        vm = {"name": "vm-1", "availability_zone": "fes-a", "port": 80}
        vm.update(address="127.0.0.1", service="hajz-app")
        vm.update(pool="service", state="live")
        self.platform.call("PUT", "/control/vms", {"vms": [vm]})
        self.run_command(*self.accept)
        result = self.run_command("drain", "vm-1", "vm-2")
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertNotIn("'vm-1'", result.stderr)
        self.assertIn("no VM named 'vm-2'", result.stderr)

    def test_role_is_refused_where_fencing_is_not_checked(self) -> None:
        # Guards against a delayed order that undoes a newer role.
        vms = [
            {
                "name": f"vm-{number}",
                "availability_zone": "fes-a",
                "address": "127.0.0.1",
                "port": 80 + number,
                "service": service,
                "pool": "decode",
                "state": "live",
            }
            for number, service in enumerate(("hajz-app", "qalam-models"))
        ]
        self.platform.call("PUT", "/control/vms", {"vms": vms})
        self.run_command(*self.accept)
        result = self.run_command("role", "set", "vm-0", "prefill")
        self.assertEqual(result.exit_code, 2, result.output)
        self.assertIn("do not check fencing tokens", result.stderr)
        result = self.run_command("role", "set", "vm-1", "prefill")
        self.assertEqual(result.exit_code, 0, result.output)

    def test_changes_report_an_outage_over_http(self) -> None:
        self.platform.set_faults(down="error")
        result = self.run_command("drain", "vm-1")
        self.assertEqual(result.exit_code, 4)
        self.assertIn("unreachable", result.stderr)
