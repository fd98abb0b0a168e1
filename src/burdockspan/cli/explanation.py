"""Prints an explanation of where a request would go.

Unknown and missing fields are not errors, so that the command works with VMs of
older and newer versions.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from burdockspan.cli.fleet import render_table

_LINES = (
    "configuration",
    "route",
    "account",
    "priority",
    "quota",
    "resumption",
    "service",
    "reach",
    "queue",
    "decode_engine_prefills",
)
_COLUMNS = (
    "endpoint",
    "zone",
    "software_version",
    "slots",
    "running_here",
    "load",
    "suspicion",
)
_ESTIMATE_COLUMNS = ("speed", "knee", "samples", "age_s")


def render_explanation(explanation: Mapping[str, Any]) -> str:
    """Returns an explanation as text."""
    lines = [str(explanation.get("summary", "-"))]
    lines += [
        f"{name}: {_to_text(explanation[name])}"
        for name in _LINES
        if explanation.get(name) is not None
    ]
    lines += [f"note: {note}" for note in explanation.get("notes", ())]
    for stage, candidates in explanation.get("stages", {}).items():
        lines += ["", _render_stage(stage, candidates)]
    return "\n".join(lines)


def _render_stage(stage: str, candidates: Iterable[Mapping[str, Any]]) -> str:
    rows = [
        [
            *(_to_text(item.get(column)) for column in _COLUMNS),
            *(
                _to_text(item.get("estimate", {}).get(column))
                for column in _ESTIMATE_COLUMNS
            ),
            item.get("reason") or "first",
        ]
        for item in candidates
    ]
    header = (stage, *_COLUMNS[1:], *_ESTIMATE_COLUMNS, "why not first")
    return render_table(header, rows)


def _to_text(value: Any) -> str:
    if isinstance(value, Mapping):
        return ", ".join(
            f"{key}={_to_text(item)}" for key, item in value.items()
        )
    if value is None or value == "":
        return "-"
    return str(value).lower() if isinstance(value, bool) else str(value)


__all__ = ["render_explanation"]
