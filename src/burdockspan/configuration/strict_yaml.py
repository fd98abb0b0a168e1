"""YAML parsing without aliases, merge keys, duplicate keys and deep nesting."""

from __future__ import annotations

from typing import Any

import yaml
from result import Err, Ok, Result

from burdockspan.configuration.problem import Problem, show_value

LIMIT_BYTES = 1_000_000
_DEPTH_LIMIT = 20


class _RejectedError(Exception):
    """Raised inside the YAML composer to report a problem."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(str(problem))
        self.problem = problem


class _StrictLoader(yaml.SafeLoader):
    """Safe loader that rejects aliases, which can expand without bound."""

    def __init__(self, text: str, file: str) -> None:
        super().__init__(text)
        self.file = file
        self.depth = 0

    def compose_node(self, parent: Any, index: Any) -> Any:
        if self.check_event(yaml.AliasEvent):
            event = self.peek_event()
            self._reject(
                event,
                f"*{event.anchor}",
                "write the value out; YAML aliases are not allowed",
            )
        if self.depth >= _DEPTH_LIMIT:
            self._reject(
                self.peek_event(),
                "",
                f"at most {_DEPTH_LIMIT} levels of nesting",
            )
        self.depth += 1
        node = super().compose_node(parent, index)
        self.depth -= 1
        return node

    def _reject(self, event: Any, value: str, allowed: str) -> None:
        line = f"line {event.start_mark.line + 1}"
        raise _RejectedError(Problem(self.file, line, value, allowed))


def read_mapping(
    text: str, file: str
) -> Result[dict[str, object], tuple[Problem, ...]]:
    """Parses a YAML document whose root is a mapping.

    Args:
      text: the document.
      file: name of the file for messages.

    Returns:
      The mapping, or problems with size, syntax, aliases, nesting, duplicate
      or merge keys, or a root that is not a mapping.
    """
    if len(text.encode("utf-8", "replace")) > LIMIT_BYTES:
        return Err((Problem(file, "", "", "must be at most 1 MB long"),))
    try:
        loader = _StrictLoader(text, file)
        node = loader.get_single_node()
        duplicates = tuple(_find_duplicates(node, "", file))
        if duplicates:
            return Err(duplicates)
        value = None if node is None else loader.construct_document(node)
    except _RejectedError as error:
        return Err((error.problem,))
    except yaml.MarkedYAMLError as error:
        return Err((_describe(error, file),))
    except (yaml.YAMLError, ValueError, OverflowError) as error:
        detail = f"must be valid YAML: {str(error).splitlines()[0]}"
        return Err((Problem(file, "", "", detail),))
    if not isinstance(value, dict):
        shown = "" if value is None else show_value(value)
        allowed = "must be a mapping of keys to values"
        return Err((Problem(file, "", shown, allowed),))
    return Ok(value)


def read_file(path: str) -> Result[str, tuple[Problem, ...]]:
    """Returns the text of a UTF-8 file of at most 1 MB."""
    try:
        with open(path, "rb") as file:
            data = file.read(LIMIT_BYTES + 1)
    except OSError as error:
        allowed = f"cannot be read: {error.strerror}"
        return Err((Problem(path, "", "", allowed),))
    if len(data) > LIMIT_BYTES:
        return Err((Problem(path, "", "", "must be at most 1 MB long"),))
    try:
        return Ok(data.decode())
    except UnicodeDecodeError:
        return Err((Problem(path, "", "", "must be UTF-8 text"),))


def _find_duplicates(node: Any, path: str, file: str) -> list[Problem]:
    found: list[Problem] = []
    if isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            found += _find_duplicates(item, f"{path}[{index}]", file)
    elif isinstance(node, yaml.MappingNode):
        seen: dict[str, int] = {}
        for key, item in node.value:
            name = str(key.value) if key.id == "scalar" else "?"
            field = f"{path}.{name}" if path else name
            line = key.start_mark.line + 1
            if name == "<<":
                allowed = "YAML merge keys are not allowed"
                found.append(Problem(file, field, "'<<'", allowed))
            elif name in seen:
                allowed = f"each key once; the first is on line {seen[name]}"
                found.append(
                    Problem(
                        file, field, f"a second key on line {line}", allowed
                    )
                )
            seen.setdefault(name, line)
            found += _find_duplicates(item, field, file)
    return found


def _describe(error: yaml.MarkedYAMLError, file: str) -> Problem:
    mark = error.problem_mark or error.context_mark
    line = f"line {mark.line + 1}" if mark else ""
    detail = error.problem or error.context or "syntax"
    return Problem(file, line, "", f"must be valid YAML: {detail}")


__all__ = ["LIMIT_BYTES", "read_file", "read_mapping"]
