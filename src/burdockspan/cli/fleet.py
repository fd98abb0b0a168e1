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
    "vm",
    "service",
    "pool",
    "availability_zone",
    "usable",
    "leaving",
    "breaker",
    "pieces",
    "free",
    "running_here",
)
_VM_COLUMNS = ("vm", "availability_zone", "generation", "draining", "idle")
_NAMES = ("vm", "name", "fingerprint")
"""Fields that may name an object, the most usual one first."""


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
    """Returns the state of entry VMs and endpoints as text."""
    sections = (
        ("zones", _render_zones(answers.values())),
        ("entry VMs", _render_vms(answers)),
        ("endpoints", _render_endpoints(answers.values())),
        ("engines", _render_engines(answers.values())),
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
    # Members include entry VMs that were not asked or did not answer. Each VM
    # has its own view, so a member counts once for each state it is seen in.
    seen: set[tuple[str, str, str]] = set()
    for status in statuses:
        for name, member in _items(status.get("members")):
            zone = _show(member.get("availability_zone"))
            seen.add((zone, _show(member.get("state")), name))
    counts = collections.Counter((zone, state) for zone, state, _ in seen)
    rows = [(*key, str(count)) for key, count in sorted(counts.items())]
    return _render_table(("zone", "state", "entry VMs"), rows)


def _render_vms(answers: Mapping[str, Mapping[str, Any]]) -> str:
    rows = [
        (
            *(_show(status.get(column)) for column in _VM_COLUMNS),
            _show_counts(status.get("requests")),
            str(len(_items(status.get("quarantine")))),
            _show_waiting_claims(status.get("claims")),
            address,
        )
        for address, status in answers.items()
    ]
    header = (*_VM_COLUMNS, "requests", "strikes", "claims", "admin")
    text = _render_table(header, sorted(rows))
    if (
        len({_show(status.get("generation")) for status in answers.values()})
        > 1
    ):
        text += "\nentry VMs hold different generations"
    return text


def _show_waiting_claims(claims: object) -> str:
    """Returns how many final writes of claims wait for the platform."""
    if not isinstance(claims, dict):
        return "-"
    return _show(claims.get("waiting"))


def _render_endpoints(statuses: Iterable[Mapping[str, Any]]) -> str:
    # Each entry VM has its own view; the first one that names an endpoint is
    # shown, since load reports differ between VMs by their age only.
    by_name: dict[str, Mapping[str, Any]] = {}
    for status in statuses:
        for name, endpoint in _items(status.get("endpoints")):
            by_name.setdefault(name, endpoint)
    rows = [
        tuple(
            name if column == "vm" else _show(endpoint.get(column))
            for column in _ENDPOINT_COLUMNS
        )
        for name, endpoint in sorted(by_name.items())
    ]
    return _render_table(_ENDPOINT_COLUMNS, rows)


def _render_engines(statuses: Iterable[Mapping[str, Any]]) -> str:
    """Returns the engines with a changed role or unconfirmed orders."""
    rows = set()
    for status in statuses:
        for name, role in _items(status.get("roles")):
            role_text = f"role {_show(role.get('pool'))}"
            rows.add((name, role_text, _show(role.get("state"))))
        for name, order in _items(status.get("orders")):
            refused = _show(order.get("refused_generation"))
            for _, item in _items(order.get("missing")):
                load = f"{_show(item.get('model'))} {item.get('adapter') or ''}"
                state = f"not confirmed; refused generation {refused}"
                rows.add((name, load.strip(), state))
    return _render_table(("vm", "order", "state"), sorted(rows))


def _render_quarantine(statuses: Iterable[Mapping[str, Any]]) -> str:
    names = {
        name
        for status in statuses
        for name, _ in _items(status.get("quarantine"))
    }
    return "\n".join(sorted(names)) or "none"


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
        (_find_name(item), item)
        if isinstance(item, Mapping)
        else (str(item), {})
        for item in value
    ]


def _find_name(item: Mapping[str, Any]) -> str:
    found = (item[name] for name in _NAMES if name in item)
    return str(next(found, "-"))


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
