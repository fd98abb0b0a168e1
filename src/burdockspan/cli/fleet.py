"""What entry VMs say of themselves, as tables.

Fields that are unknown or missing are no error, so that an older or newer
command can look at a fleet during an upgrade.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from result import Err, Result

from burdockspan.cli.asking import ask

_PARALLEL_QUESTIONS = 32
_ENDPOINT_COLUMNS = (
    "name",
    "service",
    "pool",
    "availability_zone",
    "state",
    "free_pieces",
    "running",
    "waiting",
)
_VM_HEADER = ("vm", "zone", "generation", "ready", "requests", "quarantined")


def ask_fleet(
    addresses: Sequence[str],
) -> tuple[dict[str, dict[str, Any]], dict[str, str]]:
    """Asks admin addresses for their status.

    Returns:
      What each address answered, and why others gave no answer.
    """
    with ThreadPoolExecutor(_PARALLEL_QUESTIONS) as pool:
        results = dict(zip(addresses, pool.map(_ask, addresses), strict=True))
    answers: dict[str, dict[str, Any]] = {}
    failures: dict[str, str] = {}
    for address, result in results.items():
        if isinstance(result, Err):
            failures[address] = result.err_value
        else:
            answers[address] = result.ok_value
    return answers, failures


def render_fleet(answers: Mapping[str, Mapping[str, Any]]) -> str:
    """Returns zones, VMs, endpoints, quarantine and requests as text."""
    sections = (
        ("zones", _render_zones(answers.values())),
        ("entry VMs", _render_vms(answers)),
        ("endpoints", _render_endpoints(answers.values())),
        ("quarantine", _render_quarantine(answers.values())),
    )
    return "\n\n".join(f"{name}:\n{text}" for name, text in sections)


def _ask(address: str) -> Result[dict[str, Any], str]:
    answer = ask(address, "/admin/status")
    if isinstance(answer, Err):
        return answer
    status, value = answer.ok_value.status, answer.ok_value.value
    if status != 200 or not isinstance(value, dict):
        return Err(f"{address}: HTTP status {status} without a JSON object")
    return answer.map(lambda found: dict(found.value))


def _render_zones(statuses: Iterable[Mapping[str, Any]]) -> str:
    names: collections.Counter[str] = collections.Counter()
    for status in statuses:
        names[str(status.get("availability_zone", "-"))] += 1
    rows = [(name, str(count)) for name, count in sorted(names.items())]
    return _render_table(("zone", "entry VMs answering"), rows)


def _render_vms(answers: Mapping[str, Mapping[str, Any]]) -> str:
    rows = [
        (
            str(status.get("vm", address)),
            str(status.get("availability_zone", "-")),
            str(_find_generation(status)),
            _show(status.get("ready")),
            _show_counts(status.get("requests")),
            str(len(_items(status.get("quarantine")))),
        )
        for address, status in answers.items()
    ]
    text = _render_table(_VM_HEADER, sorted(rows))
    if len({row[2] for row in rows}) > 1:
        text += "\nentry VMs hold different generations"
    return text


def _render_endpoints(statuses: Iterable[Mapping[str, Any]]) -> str:
    # Each entry VM has its own view; the first one that names an endpoint is
    # shown, since load reports differ between VMs by their age only.
    by_name: dict[str, Mapping[str, Any]] = {}
    for status in statuses:
        for name, endpoint in _items(status.get("endpoints")):
            by_name.setdefault(name, endpoint)
    rows = [
        tuple(
            name if column == "name" else _show(endpoint.get(column))
            for column in _ENDPOINT_COLUMNS
        )
        for name, endpoint in sorted(by_name.items())
    ]
    return _render_table(_ENDPOINT_COLUMNS, rows)


def _render_quarantine(statuses: Iterable[Mapping[str, Any]]) -> str:
    names = {
        name
        for status in statuses
        for name, _ in _items(status.get("quarantine"))
    }
    return "\n".join(sorted(names)) or "none"


def _find_generation(status: Mapping[str, Any]) -> Any:
    nested = status.get("configuration")
    if isinstance(nested, Mapping):
        return nested.get("generation", "-")
    return status.get("generation", "-")


def _items(value: Any) -> list[tuple[str, Mapping[str, Any]]]:
    """Returns named objects, given as a mapping by name or as a list."""
    if isinstance(value, Mapping):
        return [
            (str(name), item if isinstance(item, Mapping) else {})
            for name, item in value.items()
        ]
    if not isinstance(value, list):
        return []
    return [
        (str(item.get("name", item.get("fingerprint", "-"))), item)
        if isinstance(item, Mapping)
        else (str(item), {})
        for item in value
    ]


def _show_counts(value: Any) -> str:
    if isinstance(value, Mapping):
        counts = (f"{k}={_show(v)}" for k, v in sorted(value.items()))
        return " ".join(counts) or "0"
    return str(len(value)) if isinstance(value, list) else _show(value)


def _show(value: Any) -> str:
    if value is None or isinstance(value, list | Mapping):
        return "-"
    return str(value).lower() if isinstance(value, bool) else str(value)


def _render_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    table = [header, *rows]
    widths = [max(len(row[i]) for row in table) for i in range(len(header))]
    lines = (
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in table
    )
    return "\n".join(line.rstrip() for line in lines)


__all__ = ["ask_fleet", "render_fleet"]
