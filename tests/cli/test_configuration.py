from __future__ import annotations

import json
import pathlib
import tempfile
import unittest

from click.testing import Result

from burdockspan.configuration.codec import load_configuration
from tests.support.objects import Fault, InMemoryObjectStore
from tests.support.operators import run_command, run_json
from tests.support.questionnaires import fill_template


class ConfigurationCommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.team = self.write("team.yaml", fill_template())
        self.objects = InMemoryObjectStore()

    def write(self, name: str, text: str) -> str:
        path = self.directory / name
        path.write_text(text)
        return str(path)

    def run_ok(self, *arguments: str) -> Result:
        result = run_command(self.objects, *arguments)
        self.assertEqual(result.exit_code, 0, result.output)
        return result

    def test_questionnaire_check_accepts_the_filled_template(self) -> None:
        template = self.run_ok("questionnaire", "template").stdout
        blank = self.write("blank.yaml", template)
        result = run_command(self.objects, "questionnaire", "check", blank)
        self.assertEqual(result.exit_code, 2)
        self.assertIn(f"{blank}: team: must be filled in", result.stderr)
        self.run_ok("questionnaire", "check", self.team)

    def test_config_is_compared_accepted_and_shown(self) -> None:
        compared = run_json(self.objects, "config", "diff", self.team)
        self.assertEqual(compared["base"], 0)
        accepted = run_json(
            self.objects, "config", "accept", self.team, "--base", "0"
        )
        self.assertEqual(accepted["generation"], 1)
        self.assertEqual(accepted["changes"], compared["changes"])
        shown = self.run_ok("config", "show").stdout
        current = load_configuration(shown.encode()).unwrap()
        self.assertEqual((current.generation, current.accepted_by), (1, "amal"))
        status = run_json(self.objects, "config", "status")
        self.assertEqual((status["generation"], status["team"]), (1, "atlas"))
        text = self.run_ok("config", "diff", self.team).stdout
        self.assertIn("base generation 1, accepted by amal\nno change", text)

    def test_config_generate_keeps_what_operators_set(self) -> None:
        self.run_ok("config", "accept", self.team, "--base", "0")
        self.run_ok("drain", "vm-1")
        self.run_ok("role", "set", "vm-2", "decode")
        current = self.write(
            "current.json", self.run_ok("config", "show").stdout
        )
        printed = self.run_ok(
            "config", "generate", self.team, "--previous", current
        ).stdout
        document = json.loads(printed)
        self.assertEqual(document["generation"], 4)
        self.assertEqual(document["drains"][0]["vm"], "vm-1")
        self.assertEqual(document["roles"][0]["vm"], "vm-2")
        against = ("config", "diff", self.team, "--against", current)
        self.assertIn("no change", self.run_ok(*against).stdout)

    def test_role_is_set_and_cleared(self) -> None:
        # Guards against a configuration that undoes a role when accepted.
        self.run_ok("config", "accept", self.team, "--base", "0")
        found = run_json(self.objects, "role", "set", "vm-1", "prefill")
        self.assertEqual(found, {"generation": 2, "roles": {"vm-1": "prefill"}})
        again = run_json(self.objects, "role", "set", "vm-1", "prefill")
        self.assertEqual(again, found)
        self.run_ok("config", "accept", self.team, "--base", "2")
        status = run_json(self.objects, "config", "status")
        self.assertEqual(status["roles"], ["vm-1=prefill"])
        found = run_json(self.objects, "role", "clear", "vm-1")
        self.assertEqual(found, {"generation": 4, "roles": {}})
        result = run_command(self.objects, "role", "clear", "vm-1")
        self.assertEqual(result.exit_code, 2)

    def test_config_accept_refuses_an_outdated_base(self) -> None:
        # Guards against replacing a change that the operator has not reviewed.
        self.run_ok("config", "accept", self.team, "--base", "0")
        self.run_ok("drain", "vm-1")
        arguments = ("config", "accept", self.team, "--base", "1")
        result = run_command(self.objects, *arguments, operator="badr")
        self.assertEqual(result.exit_code, 3)
        self.assertIn("amal", result.stderr)
        error = run_json(self.objects, *arguments, operator="badr")["error"]
        self.assertEqual((error["generation"], error["by"]), (2, "amal"))
        self.assertEqual(len(self.objects.applied), 2)

    def test_config_accept_refuses_a_person_who_is_not_an_operator(
        self,
    ) -> None:
        result = run_command(
            self.objects,
            *("config", "accept", self.team, "--base", "0"),
            operator="mallory",
        )
        self.assertEqual(result.exit_code, 2)
        self.assertIn("amal, badr", result.stderr)
        self.assertEqual(self.objects.applied, [])

    def test_config_diff_warns_of_actions_that_become_repeatable(self) -> None:
        # Guards against an edit of the questionnaire that unintentionally
        # allows an action to run more than once.
        self.run_ok("config", "accept", self.team, "--base", "0")
        text = fill_template()
        text = text.replace("never_repeat: [POST", "never_repeat: [GET")
        text = text.replace(
            "may_repeat: []", "may_repeat: [POST hajz-app/bookings]"
        )
        changed = self.write("changed.yaml", text)
        result = self.run_ok("config", "diff", changed)
        self.assertEqual(
            result.stderr,
            "WARNING: POST hajz-app/bookings may run more than once\n",
        )
        self.assertEqual(self.run_ok("config", "diff", self.team).stderr, "")

    def test_drain_is_applied_once_when_a_response_is_lost(self) -> None:
        self.run_ok("config", "accept", self.team, "--base", "0")
        self.objects.faults = [Fault.APPLIED_RESPONSE_LOST]
        drained = run_json(self.objects, "drain", "vm-2", "vm-1")
        self.assertEqual(drained, {"generation": 2, "drains": ["vm-1", "vm-2"]})
        self.run_ok("undrain", "vm-1")
        result = run_command(self.objects, "undrain", "vm-1")
        self.assertEqual(result.exit_code, 2)
        self.assertIn("Drained: vm-2", result.stderr)

    def test_stop_is_scheduled_listed_and_cancelled(self) -> None:
        self.run_ok("config", "accept", self.team, "--base", "0")
        schedule = ("stop", "schedule", "vm-1", "--in")
        planned = run_json(self.objects, *schedule, "10 min")["stop"]
        listed = run_json(self.objects, "stop", "list")
        self.assertEqual(listed, {"stops": [planned]})
        self.run_ok("stop", "cancel", planned["stop_id"])
        self.assertIn("no planned", self.run_ok("stop", "list").stdout)

    def test_stop_rejects_times_without_a_clear_meaning(self) -> None:
        for arguments in (
            (),
            ("--in", "10"),
            ("--in", "1 h", "--at", "2030-01-01T00:00Z"),
            ("--at", "2030-01-01T00:00"),
            ("--at", "2001-01-01T00:00Z"),
            ("--at", "noon"),
        ):
            with self.subTest(arguments):
                result = run_command(
                    self.objects, "stop", "schedule", "vm-1", *arguments
                )
                self.assertEqual(result.exit_code, 2, result.output)
        self.assertEqual(self.objects.applied, [])

    def test_edits_need_a_configuration(self) -> None:
        result = run_command(self.objects, "drain", "vm-1")
        self.assertEqual(result.exit_code, 2)
        self.assertEqual(
            run_command(self.objects, "config", "show").exit_code, 1
        )
