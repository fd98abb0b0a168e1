"""Parsing of the questionnaire that each team fills in."""

from __future__ import annotations

import importlib.resources

from result import Err, Ok, Result

from burdockspan.configuration import strict_yaml
from burdockspan.configuration.answers import (
    ClientAnswers,
    Delay,
    Questionnaire,
    Work,
    Zone,
)
from burdockspan.configuration.converters import (
    MILLISECONDS,
    REQUESTS_PER_S,
    count,
    list_of,
    quantity,
    text,
)
from burdockspan.configuration.fields import (
    NO_TEXTS,
    Section,
    add_problem,
    check_keys,
    read_field,
    read_required,
    read_section,
    read_sections,
)
from burdockspan.configuration.limits import read_policy
from burdockspan.configuration.problem import Problem
from burdockspan.configuration.questionnaire_checks import check_answers
from burdockspan.configuration.questionnaire_services import (
    NAME,
    given_keys,
    read_model_service,
    read_plain_service,
)

_KEYS = (
    "team",
    "operators",
    "availability_zones",
    "delays",
    "clients",
    "model_services",
    "plain_services",
    "work",
    "limits",
)
_KEY_HASH = text("[0-9a-f]{64}", "the SHA-256 of the key, 64 hex digits")
_OPERATOR = text(
    r"[A-Za-z0-9][A-Za-z0-9._@-]{0,62}",
    "the name of an operator: up to 63 letters, digits and '._@-'",
)
_SERVICE_OR_ROUTE = text(
    r"[a-z0-9][a-z0-9-]*(/[A-Za-z0-9._~/-]*)?",
    "a service, or a service and a route's prefix such as hajz-app/bookings",
)
_ACTION = text(
    r"[A-Z]+ [a-z0-9][a-z0-9-]*/[A-Za-z0-9._~/-]*",
    "a method, a service and a path, such as 'POST hajz-app/bookings'",
)


def read_template() -> str:
    """Returns the template, with comments and keys to fill in."""
    package = importlib.resources.files("burdockspan.configuration")
    return (package / "questionnaire.yaml").read_text("utf-8")


def parse_questionnaire(
    document: str, file: str = "questionnaire"
) -> Result[Questionnaire, tuple[Problem, ...]]:
    """Parses and validates a questionnaire.

    Args:
      document: its YAML text.
      file: name of the file, for messages.

    Returns:
      The valid answers, or every problem found.
    """
    values = strict_yaml.read_mapping(document, file)
    if isinstance(values, Err):
        return values
    section = Section(file, "", values.ok_value, [])
    check_keys(section, _KEYS)
    answers = _read_answers(section)
    if not section.problems:
        # With invalid answers, checks across answers would report problems
        # that only follow from them.
        check_answers(section, answers)
    if section.problems:
        return Err(tuple(section.problems))
    return Ok(answers)


def _read_answers(root: Section) -> Questionnaire:
    policy, limits_given = read_policy(read_section(root, "limits"))
    model_services = read_sections(root, "model_services")
    plain_services = read_sections(root, "plain_services")
    if not model_services and not plain_services:
        add_problem(
            root, "model_services", None, "at least one service of any kind"
        )
    return Questionnaire(
        team=read_required(root, "team", NAME, ""),
        operators=_read_operators(root),
        zones=tuple(
            _read_zone(item)
            for item in read_sections(root, "availability_zones", min_items=1)
        ),
        delays=tuple(
            _read_delay(item) for item in read_sections(root, "delays")
        ),
        clients=tuple(
            _read_client(item)
            for item in read_sections(root, "clients", min_items=1)
        ),
        model_services=tuple(
            read_model_service(item) for item in model_services
        ),
        plain_services=tuple(
            read_plain_service(item) for item in plain_services
        ),
        work=_read_work(read_section(root, "work")),
        policy=policy,
        limits_given=limits_given,
    )


def _read_operators(root: Section) -> tuple[str, ...]:
    operators = read_required(root, "operators", list_of(_OPERATOR), NO_TEXTS)
    if root.values.get("operators") == []:
        add_problem(root, "operators", [], "a list of at least one operator")
    return operators


def _read_zone(section: Section) -> Zone:
    check_keys(section, ("name", "region"))
    return Zone(
        read_required(section, "name", NAME, ""),
        read_required(section, "region", NAME, ""),
    )


def _read_delay(section: Section) -> Delay:
    check_keys(section, ("between", "one_way"))
    zones = read_required(section, "between", list_of(NAME), NO_TEXTS)
    if len(zones) != 2:
        if zones:
            add_problem(section, "between", list(zones), "two different zones")
        zones = ("", "")
    one_way = quantity(MILLISECONDS, "ms", 0.0, 1000.0)
    return Delay(
        zones[0],
        zones[1],
        read_required(section, "one_way", one_way, 0.0),
    )


def _read_client(section: Section) -> ClientAnswers:
    check_keys(section, ("name", "key_sha256", "rate", "burst"))
    rate = quantity(REQUESTS_PER_S, "requests/s", 0.001, 100_000.0)
    per_s = read_required(section, "rate", rate, 1.0)
    default_burst = max(1, round(per_s))
    return ClientAnswers(
        name=read_required(section, "name", NAME, ""),
        key_sha256=read_required(section, "key_sha256", _KEY_HASH, ""),
        requests_per_s=per_s,
        burst=read_field(section, "burst", count(1, 1_000_000), default_burst),
        given=given_keys(section),
    )


def _read_work(section: Section) -> Work:
    check_keys(section, ("urgent", "patient", "never_repeat", "may_repeat"))
    return Work(
        urgent=read_field(section, "urgent", list_of(_SERVICE_OR_ROUTE), ()),
        patient=read_field(section, "patient", list_of(_SERVICE_OR_ROUTE), ()),
        never_repeat=read_field(section, "never_repeat", list_of(_ACTION), ()),
        may_repeat=read_field(section, "may_repeat", list_of(_ACTION), ()),
    )


__all__ = ["parse_questionnaire", "read_template"]
