"""Readers of single fields that collect every problem of a file."""

from __future__ import annotations

import dataclasses
import difflib
from collections.abc import Callable, Iterable, Mapping
from typing import TypeVar

from result import Err, Result

from burdockspan.configuration.problem import Problem, show_value

T = TypeVar("T")

Convert = Callable[[object], Result[T, str]]
"""Returns the converted value, or a text that says what is allowed."""


NO_TEXTS: tuple[str, ...] = ()

_REQUIRED = "must be filled in"


@dataclasses.dataclass(frozen=True)
class Section:
    """A mapping being read.

    Attributes:
      file: file for messages.
      path: path of the mapping in the file; empty for the root.
      values: the mapping.
      problems: problems found so far, shared by all sections of a file.
    """

    file: str
    path: str
    values: Mapping[str, object]
    problems: list[Problem]


def add_problem(
    section: Section, key: str, value: object, allowed: str
) -> None:
    """Adds a problem with a field of the section; None means missing."""
    shown = "" if value is None else show_value(value)
    field = field_path(section, key)
    section.problems.append(Problem(section.file, field, shown, allowed))


def field_path(section: Section, key: str) -> str:
    """Returns the path of a field from the root of the file."""
    if not section.path or not key:
        return section.path or key
    return f"{section.path}.{key}"


def check_keys(section: Section, known: Iterable[str]) -> None:
    """Reports unknown keys, each with the known key that is most similar."""
    names = sorted(known)
    for key, value in section.values.items():
        if key in names:
            continue
        similar = difflib.get_close_matches(str(key), names, n=1)
        hint = f" Did you mean {similar[0]!r}?" if similar else ""
        allowed = f"unknown key.{hint} Allowed keys: {', '.join(names)}"
        add_problem(section, str(key), value, allowed)


def check_distinct(
    section: Section, settings: object, keys: Iterable[str]
) -> None:
    """Reports fields of the settings that repeat another one's value."""
    taken: dict[str, str] = {}
    for key in keys:
        value = getattr(settings, key)
        if value and value in taken:
            allowed = f"an address other than that of {taken[value]}"
            add_problem(section, key, value, allowed)
        taken.setdefault(value, key)


def read_field(
    section: Section, key: str, convert: Convert[T], default: T
) -> T:
    """Returns an optional field, or its default when absent or wrong."""
    value = section.values.get(key)
    if value is None:
        return default
    converted = convert(value)
    if isinstance(converted, Err):
        add_problem(section, key, value, converted.err_value)
        return default
    return converted.ok_value


def read_required(
    section: Section, key: str, convert: Convert[T], filler: T
) -> T:
    """Returns a required field; reports it and returns filler when absent."""
    if section.values.get(key) is None:
        converted = convert(None)
        rule = converted.err_value if isinstance(converted, Err) else ""
        add_problem(section, key, None, f"{_REQUIRED}: {rule}")
        return filler
    return read_field(section, key, convert, filler)


def read_section(section: Section, key: str) -> Section:
    """Returns a nested mapping; empty when absent or not a mapping."""
    value = section.values.get(key)
    path = field_path(section, key)
    if value is not None and not isinstance(value, dict):
        add_problem(section, key, value, "must be a mapping of keys to values")
    values = value if isinstance(value, dict) else {}
    return Section(section.file, path, values, section.problems)


def read_sections(
    section: Section, key: str, least: int = 0
) -> tuple[Section, ...]:
    """Returns the mappings of a list field."""
    value = section.values.get(key)
    if value is None:
        value = []
        if least:
            allowed = f"{_REQUIRED}: {_describe_list(least)}"
            add_problem(section, key, None, allowed)
    elif not isinstance(value, list) or len(value) < least:
        add_problem(section, key, value, _describe_list(least))
    found: list[Section] = []
    for index, item in enumerate(value if isinstance(value, list) else ()):
        path = f"{field_path(section, key)}[{index}]"
        nested = Section(section.file, path, {}, section.problems)
        if isinstance(item, dict):
            found.append(dataclasses.replace(nested, values=item))
        else:
            add_problem(nested, "", item, "must be a mapping of keys to values")
    return tuple(found)


def _describe_list(least: int) -> str:
    return f"a list of {least} or more mappings of keys to values"


__all__ = [
    "NO_TEXTS",
    "Convert",
    "Section",
    "check_distinct",
    "check_keys",
    "field_path",
    "add_problem",
    "read_field",
    "read_required",
    "read_section",
    "read_sections",
]
