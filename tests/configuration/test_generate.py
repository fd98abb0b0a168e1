from __future__ import annotations

import dataclasses
import random
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from burdockspan.configuration.actions import split_action
from burdockspan.configuration.codec import (
    dump_configuration,
    load_configuration,
)
from burdockspan.configuration.difference import compare, render
from burdockspan.configuration.document import (
    Configuration,
    Drain,
    Route,
    Service,
)
from burdockspan.configuration.generate import generate
from burdockspan.configuration.paths import flatten
from burdockspan.http.parsing import make_request
from burdockspan.http.routes import find_destination
from tests.support.questionnaires import (
    make_values,
    parse_values,
    questionnaires,
)

_PATHS = ("/", "/a", "/a/x", "/a/b", "/a/bx", "/a/b/c/y", "/ab", "/d", "/e")


def shuffle(value: Any, random_: random.Random) -> Any:
    if isinstance(value, dict):
        items = [(k, shuffle(v, random_)) for k, v in value.items()]
        random_.shuffle(items)
        return dict(items)
    if isinstance(value, list):
        items = [shuffle(item, random_) for item in value]
        random_.shuffle(items)
        return items
    return value


def match(service: Service, method: str, path: str) -> Route | None:
    url = f"/services/hajz-app{path}"
    environ = {"REQUEST_METHOD": method, "PATH_INFO": url}
    document = Configuration(1, "team", services=(service,))
    found = find_destination(make_request(environ, "id", 0.0), document)
    return found.ok_value.route if isinstance(found, Ok) else None


class GenerateTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(questionnaires(), st.integers(0, 9))
    def test_generate_is_deterministic_and_round_trips(
        self, values: dict[str, Any], seed: int
    ) -> None:
        # Guards against documents that depend on the order of the answers.
        document = generate(parse_values(values))
        shuffled = shuffle(values, random.Random(seed))
        data = dump_configuration(document)
        self.assertEqual(
            data, dump_configuration(generate(parse_values(shuffled)))
        )
        self.assertEqual(load_configuration(data).unwrap(), document)
        self.assertEqual(
            [origin.path for origin in document.origins],
            sorted(flatten(document)),
        )
        self.assertTrue(all(origin.answer for origin in document.origins))

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(
        questionnaires(),
        st.sampled_from(("GET", "POST", "DELETE")),
        st.sampled_from(_PATHS),
    )
    def test_generate_never_repeats_a_listed_action(
        self, values: dict[str, Any], method: str, path: str
    ) -> None:
        # Guards against a route with a longer or shorter prefix that lets a
        # listed action run again, against calls that run or are refused
        # although the longest declared prefix says otherwise, and against two
        # routes that match the same call.
        service = generate(parse_values(values)).services[0]
        route = match(service, method, path)
        for action in values["work"]["never_repeat"]:
            listed_method, _, listed_path = split_action(action)
            if (
                route is not None
                and method == listed_method
                and path.startswith(listed_path)
            ):
                self.assertFalse(route.idempotent)
        declared = max(
            (
                r
                for r in values["plain_services"][0]["routes"]
                if path.startswith(r["prefix"])
            ),
            key=lambda r: len(r["prefix"]),
            default=None,
        )
        is_declared = declared is not None and method in declared["methods"]
        self.assertEqual(route is not None, is_declared)
        keys = [(r.prefix, m) for r in service.routes for m in r.methods]
        self.assertEqual(len(keys), len(set(keys)))

    def test_generate_lists_no_method_that_the_longest_prefix_lacks(
        self,
    ) -> None:
        # Guards against a call that runs by a listed action of a shorter
        # prefix, where the declared routes refuse it.
        values = make_values()
        values["plain_services"][0]["routes"] = [
            {"prefix": "/", "methods": ["GET"]},
            {"prefix": "/a", "methods": ["POST"]},
        ]
        values["work"]["never_repeat"] = ["GET hajz-app/", "POST hajz-app/a"]
        values["work"]["may_repeat"] = []
        service = generate(parse_values(values)).services[0]
        self.assertIsNone(match(service, "GET", "/a"))
        listed = match(service, "GET", "/b")
        assert listed is not None
        self.assertFalse(listed.idempotent)

    def test_generate_keeps_drains_and_counts_generations(self) -> None:
        questionnaire = parse_values(make_values())
        first = dataclasses.replace(
            generate(questionnaire), drains=(Drain("vm-1", "amal", 1.0),)
        )
        second = generate(questionnaire, first)
        self.assertEqual(second.generation, 2)
        self.assertEqual(second.drains, first.drains)
        self.assertEqual(compare(first, second), ())
        self.assertEqual(render(compare(first, second)), "no change")

    def test_generate_derives_memory_and_speed(self) -> None:
        document = generate(parse_values(make_values()))
        engines = document.services[1]
        # (200 GB * 0.9 - 140 GB) / (4000 tokens * 160 kB) = 62.5
        self.assertEqual(engines.pieces, 62)
        self.assertEqual(engines.token_gap_s, 0.04)

    def test_difference_names_the_answer_behind_each_change(self) -> None:
        values = make_values()
        old = generate(parse_values(values))
        values["limits"] = {"queue": 5}
        values["clients"][0]["rate"] = "60 requests/s"
        values["work"] = {
            "patient": ["hajz-app"],
            "may_repeat": ["POST hajz-app/bookings"],
        }
        new = generate(parse_values(values), old)
        changes = {change.path: change for change in compare(old, new)}
        queue = changes["policy.queue_limit"]
        self.assertEqual(
            (queue.before, queue.after, queue.answer),
            (1000, 5, "limits.queue"),
        )
        self.assertEqual(
            changes["clients.booking-site.burst"].answer,
            "clients.booking-site.rate",
        )
        text = render(changes.values())
        self.assertIn("~ policy.queue_limit: 1000 -> 5  (limits.queue)", text)
        self.assertIn("- services.hajz-app.routes./bookings.POST.", text)
        self.assertIn("+ services.hajz-app.routes./bookings.GET,POST.", text)
        self.assertNotIn("generation", text)
