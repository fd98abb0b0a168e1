from __future__ import annotations

import json
import unittest
from collections.abc import Callable
from typing import Any

from burdockspan.configuration.generate import generate
from burdockspan.configuration.problem import Problem
from burdockspan.configuration.questionnaire import (
    parse_questionnaire,
    read_template,
)
from tests.support.questionnaires import (
    fill_options,
    fill_template,
    make_values,
)

Edit = Callable[[dict[str, Any]], object]


def problems_after(edit: Edit) -> tuple[Problem, ...]:
    values = make_values()
    edit(values)
    return parse_questionnaire(json.dumps(values), "team.yaml").err() or ()


_MISTAKES: tuple[tuple[str, Edit, str], ...] = (
    ("teams", lambda v: v.update(teams="x"), "Did you mean 'team'?"),
    ("team", lambda v: v.update(team="At las"), "lower-case letters"),
    ("operators", lambda v: v.update(operators=[]), "at least one"),
    ("operators", lambda v: v.update(operators=["a", "a"]), "repeated"),
    ("clients", lambda v: v.update(clients=[]), "1 or more"),
    ("clients[0]", lambda v: v.update(clients=["x"]), "mapping"),
    (
        "clients[1].name",
        lambda v: v["clients"].append(
            {**v["clients"][0], "key_sha256": "0" * 64}
        ),
        "only once",
    ),
    (
        "clients[0].rate",
        lambda v: v["clients"][0].update(rate="5 tokens/s"),
        "requests/s",
    ),
    ("clients[0].rate", lambda v: v["clients"][0].update(rate=5), "unit"),
    (
        "clients[0].key_sha256",
        lambda v: v["clients"][0].update(key_sha256="secret"),
        "64 hex",
    ),
    (
        "delays[0].one_way",
        lambda v: v["delays"][0].update(one_way="1.5 GB"),
        "us, ms, s",
    ),
    (
        "delays[0].between",
        lambda v: v["delays"][0].update(between=["fes-a", "fes-a"]),
        "repeated",
    ),
    (
        "delays[1].between",
        lambda v: v["delays"].append(
            {"between": ["fes-a", "fes-b"], "one_way": "2 ms"}
        ),
        "fes-a, meknes-b",
    ),
    (
        "delays[1].between",
        lambda v: v["delays"].append(
            {"between": ["meknes-b", "fes-a"], "one_way": "2 ms"}
        ),
        "only once",
    ),
    ("delays", lambda v: v.update(delays=[]), "between fes-a and meknes-b"),
    (
        "model_services[0].models[0].context",
        lambda v: v["model_services"][0].update(replica_memory="150 GB"),
        "replica_memory",
    ),
    (
        "model_services[0].cache_lifetime",
        lambda v: v["model_services"][0].update(cache_lifetime="100 ms"),
        "0.512 s",
    ),
    (
        "plain_services[1].name",
        lambda v: v["plain_services"].append(v["plain_services"][0]),
        "only once",
    ),
    (
        "plain_services[0].routes[0].prefix",
        lambda v: v["plain_services"][0]["routes"][0].update(prefix="/a/../b"),
        "a path from",
    ),
    ("work.urgent", lambda v: v["work"]["urgent"].append("x"), "hajz-app"),
    (
        "work.patient",
        lambda v: v["work"].update(patient=["hajz-app"]),
        "not also",
    ),
    (
        "work.never_repeat",
        lambda v: v["work"]["never_repeat"].append("DELETE hajz-app/bookings"),
        "GET/POST /bookings",
    ),
    (
        "work.never_repeat",
        lambda v: v["work"]["never_repeat"].append(
            "POST hajz-app/bookings/cancel/"
        ),
        "without '/' at its end",
    ),
    (
        "work.may_repeat",
        lambda v: v["work"].update(may_repeat=["POST hajz-app/bookings"]),
        "not also",
    ),
    (
        "limits.patient_deadline",
        lambda v: v.update(limits={"patient_deadline": "1 s"}),
        "at least urgent_deadline",
    ),
    ("limits.attempts", lambda v: v.update(limits={"attempts": 4}), "1 to 3"),
)


class QuestionnaireTest(unittest.TestCase):
    def test_questionnaire_names_each_blank_of_the_template(self) -> None:
        # Guards against an empty field that silently gets a default.
        problems = parse_questionnaire(
            read_template(), "team.yaml"
        ).unwrap_err()
        optional = ("urgent", "patient", "never_repeat", "may_repeat")
        blanks = read_template().count(": # example: ") - len(optional)
        missing = [p for p in problems if "must be filled in" in p.allowed]
        self.assertEqual(len(missing), blanks)

    def test_questionnaire_template_shows_the_defaults(self) -> None:
        # Guards against a template that shows outdated defaults.
        filled = fill_template()
        defaults = generate(parse_questionnaire(filled).unwrap())
        with_options = generate(
            parse_questionnaire(fill_options(filled)).unwrap()
        )
        self.assertNotEqual(defaults.origins, with_options.origins)
        self.assertEqual(defaults.policy, with_options.policy)
        self.assertEqual(defaults.services, with_options.services)
        self.assertEqual(defaults.clients, with_options.clients)

    def test_questionnaire_explains_each_mistake(self) -> None:
        for field, edit, allowed in _MISTAKES:
            with self.subTest(field=field, allowed=allowed):
                problems = problems_after(edit)
                self.assertEqual([p.field for p in problems], [field])
                self.assertEqual(problems[0].file, "team.yaml")
                self.assertIn(allowed, problems[0].allowed)

    def test_questionnaire_requires_each_post_action_in_a_list(self) -> None:
        # Guards against an action that is repeated although the team did not
        # say whether it may be.
        problems = problems_after(lambda v: v["work"].update(never_repeat=[]))
        self.assertIn("'POST hajz-app/bookings'", problems[0].allowed)
        problems = problems_after(lambda v: v["work"].update(urgent=[]))
        self.assertIn("hajz-app/bookings", problems[0].allowed)

    def test_questionnaire_rejects_aliases_and_cycles(self) -> None:
        bomb = "a: &a [x, x]\nb: &b [*a, *a]\nc: [*b, *b]\n"
        for text in (bomb, "team: &t {team: *t}\n"):
            problem = parse_questionnaire(text, "team.yaml").unwrap_err()[0]
            self.assertIn("aliases are not allowed", str(problem))
            self.assertIn("line", problem.field)
