"""Completed questionnaires for tests."""

from __future__ import annotations

import hashlib
import json
import re
from typing import Any

import yaml
from hypothesis import strategies as st

from burdockspan.configuration.answers import Questionnaire
from burdockspan.configuration.questionnaire import (
    parse_questionnaire,
    read_template,
)


def fill_template() -> str:
    """Returns the template with its example values filled in."""
    return re.sub(r"(?m): # example: (.*)$", r": \1", read_template())


def fill_options(text: str) -> str:
    """Returns the text with its optional lines uncommented."""
    return re.sub(r"(?m)^( *)# (\w+: [^ ].*)$", r"\1\2", text)


def make_values() -> dict[str, Any]:
    """Returns the completed template as new JSON values."""
    values: dict[str, Any] = yaml.safe_load(fill_template())
    return values


def parse_values(values: dict[str, Any]) -> Questionnaire:
    """Returns the questionnaire parsed from valid JSON values."""
    return parse_questionnaire(json.dumps(values), "team.yaml").unwrap()


_PATHS = ("/", "/a", "/a/b", "/a/b/c", "/ab", "/d")
_METHODS = ("GET", "POST", "DELETE")


@st.composite
def questionnaires(draw: st.DrawFn) -> dict[str, Any]:
    """Generates values of a valid questionnaire with nested routes."""
    values = make_values()
    values["clients"] = [
        {
            "name": f"client-{index}",
            "key_sha256": hashlib.sha256(str(index).encode()).hexdigest(),
            "rate": f"{draw(st.integers(1, 9999))} requests/min",
        }
        for index in range(draw(st.integers(1, 4)))
    ]
    prefixes = draw(
        st.lists(st.sampled_from(_PATHS), min_size=1, unique=True, max_size=4)
    )
    methods = st.lists(st.sampled_from(_METHODS), min_size=1, unique=True)
    routes = [
        {"prefix": prefix, "methods": draw(methods)} for prefix in prefixes
    ]
    values["plain_services"][0]["routes"] = routes
    allowed = [
        f"{method} hajz-app{path}"
        for path in _PATHS
        for method in _METHODS
        if any(
            path.startswith(str(route["prefix"])) and method in route["methods"]
            for route in routes
        )
    ]
    never = draw(st.lists(st.sampled_from(allowed), unique=True, max_size=3))
    posts = [f"POST hajz-app{route['prefix']}" for route in routes]
    values["work"] = {
        "urgent": ["hajz-app"],
        "never_repeat": never,
        "may_repeat": [
            post for post in posts if post in allowed and post not in never
        ],
    }
    limits = {"queue": draw(st.integers(1, 9)), "retry_ratio": "5 %"}
    values["limits"] = draw(st.sampled_from([None, limits]))
    return values


__all__ = [
    "fill_options",
    "fill_template",
    "make_values",
    "parse_values",
    "questionnaires",
]
