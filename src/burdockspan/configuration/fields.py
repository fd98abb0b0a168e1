"""Readers of the fields of a YAML file, which collect every problem in it."""

from __future__ import annotations

import dataclasses
import difflib
from collections.abc import Callable, Iterable, Mapping
from typing import TypeVar

from result import Err, Result

from burdockspan.configuration.problem import Problem, show_value

T = TypeVar("T")

Convert = Callable[[object], Result[T, str]]
"""Returns the converted value, or a description of what is allowed."""


NO_TEXTS: tuple[str, ...] = ()
"""Placeholder for a list of texts."""

_REQUIRED = "must be filled in"


@dataclasses.dataclass(frozen=True)
class Section:
    """A mapping that is being read.

    Attributes:
      file: name of the file, for messages.
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
    """Adds a problem with a field of the section.

    Args:
      section: the mapping that is read.
      key: key of the field; empty for the mapping itself.
      value: the value found, None if the field is missing.
      allowed: description of what is allowed.
    """
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
    """Reports settings that have the same value as an earlier one."""
    key_by_value: dict[str, str] = {}
    for key in keys:
        value = getattr(settings, key)
        if value and value in key_by_value:
            allowed = f"an address other than that of {key_by_value[value]}"
            add_problem(section, key, value, allowed)
        key_by_value.setdefault(value, key)


def read_field(
    section: Section, key: str, convert: Convert[T], default: T
) -> T:
    """Returns an optional field, or its default when absent or invalid."""
    value = section.values.get(key)
    if value is None:
        return default
    converted = convert(value)
    if isinstance(converted, Err):
        add_problem(section, key, value, converted.err_value)
        return default
    return converted.ok_value


def read_required(
    section: Section, key: str, convert: Convert[T], placeholder: T
) -> T:
    """Returns a required field; reports it when absent or invalid.

    Args:
      section: the mapping that is read.
      key: key of the field.
      convert: converts and checks the value.
      placeholder: returned in place of an absent or invalid value, so that
        reading can go on and find further problems.
    """
    if section.values.get(key) is None:
        # No value may be None, so this error describes what is allowed.
        converted = convert(None)
        rule = converted.err_value if isinstance(converted, Err) else ""
        add_problem(section, key, None, f"{_REQUIRED}: {rule}")
        return placeholder
    return read_field(section, key, convert, placeholder)


def read_section(section: Section, key: str) -> Section:
    """Returns a nested mapping; an empty one when absent or invalid."""
    value = section.values.get(key)
    path = field_path(section, key)
    if value is not None and not isinstance(value, dict):
        add_problem(section, key, value, "must be a mapping of keys to values")
    values = value if isinstance(value, dict) else {}
    return Section(section.file, path, values, section.problems)


def read_sections(
    section: Section, key: str, min_items: int = 0
) -> tuple[Section, ...]:
    """Returns the mappings of a list field."""
    value = section.values.get(key)
    if value is None:
        value = []
        if min_items:
            allowed = f"{_REQUIRED}: {_describe_list(min_items)}"
            add_problem(section, key, None, allowed)
    elif not isinstance(value, list) or len(value) < min_items:
        add_problem(section, key, value, _describe_list(min_items))
    sections: list[Section] = []
    for index, item in enumerate(value if isinstance(value, list) else ()):
        path = f"{field_path(section, key)}[{index}]"
        nested = Section(section.file, path, {}, section.problems)
        if isinstance(item, dict):
            sections.append(dataclasses.replace(nested, values=item))
        else:
            add_problem(nested, "", item, "must be a mapping of keys to values")
    return tuple(sections)


def _describe_list(min_items: int) -> str:
    return f"a list of {min_items} or more mappings of keys to values"


__all__ = [
    "NO_TEXTS",
    "Convert",
    "Section",
    "add_problem",
    "check_distinct",
    "check_keys",
    "field_path",
    "read_field",
    "read_required",
    "read_section",
    "read_sections",
]
