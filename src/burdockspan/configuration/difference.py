"""Comparison of two configurations."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterable
from typing import Any

from burdockspan.configuration.document import Configuration
from burdockspan.configuration.paths import flatten


@dataclasses.dataclass(frozen=True)
class Change:
    """A changed value.

    Attributes:
      path: path of the value in the document.
      before: old value, None if the value is new.
      after: new value, None if the value is removed.
      answer: questionnaire answer that sets the value, `default`, or the
        operator who drained the VM, planned the stop or set the role.
    """

    path: str
    before: Any
    after: Any
    answer: str


def compare(
    old: Configuration | None, new: Configuration
) -> tuple[Change, ...]:
    """Returns the changed values, sorted by path.

    The answer comes from the new document, or from the old one for a value
    that is removed. Generation and acceptance are not compared.
    """
    before = flatten(old) if old else {}
    after = flatten(new)
    answers = {
        **(_answers_by_path(old) if old else {}),
        **_answers_by_path(new),
    }
    return tuple(
        Change(path, before.get(path), after.get(path), answers.get(path, ""))
        for path in sorted(before.keys() | after.keys())
        if before.get(path) != after.get(path)
    )


def render(changes: Iterable[Change]) -> str:
    """Returns the changes as text, one line for each.

    A line starts with `+` for a new value, `-` for a removed value and `~`
    for a changed value.
    """
    lines: list[str] = []
    for change in changes:
        before = json.dumps(change.before)
        after = json.dumps(change.after)
        if change.before is None:
            line = f"+ {change.path} = {after}"
        elif change.after is None:
            line = f"- {change.path} = {before}"
        else:
            line = f"~ {change.path}: {before} -> {after}"
        lines.append(f"{line}  ({change.answer})" if change.answer else line)
    return "\n".join(lines) if lines else "no change"


def _answers_by_path(configuration: Configuration) -> dict[str, str]:
    answers = {o.path: o.answer for o in configuration.origins}
    for drain in configuration.drains:
        for field in ("by", "at_s"):
            answers[f"drains.{drain.vm}.{field}"] = f"drain by {drain.by}"
    for stop in configuration.stops:
        for field in ("vm", "at_s", "by"):
            answers[f"stops.{stop.stop_id}.{field}"] = f"stop by {stop.by}"
    for role in configuration.roles:
        for field in ("pool", "by", "at_s"):
            answers[f"roles.{role.vm}.{field}"] = f"role by {role.by}"
    return answers


__all__ = ["Change", "compare", "render"]
