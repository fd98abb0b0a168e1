"""Status of a fleet, fetched from entry VMs and printed as tables.

Unknown and missing fields are not errors, so that the command works with entry
VMs of older and newer versions during an upgrade.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from result import Err, Result

from burdockspan.cli.http_client import fetch

_PARALLEL_REQUESTS = 32
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
_NAME_FIELDS = ("vm", "name", "fingerprint")
"""Fields that may contain the name of an object, the most common one first."""


def fetch_fleet(
    addresses: Sequence[str],
) -> tuple[dict[str, dict[str, Any]], dict[str, str]]:
    """Fetches the status of entry VMs from their admin addresses.

    Returns:
      The status by address, and the reason of each failure by address.
    """
    with ThreadPoolExecutor(_PARALLEL_REQUESTS) as pool:
        results = dict(
            zip(addresses, pool.map(_fetch_status, addresses), strict=True)
        )
    statuses: dict[str, dict[str, Any]] = {}
    failures: dict[str, str] = {}
    for address, result in results.items():
        if isinstance(result, Err):
            failures[address] = result.err_value
        else:
            statuses[address] = result.ok_value
    return statuses, failures


def render_fleet(statuses: Mapping[str, Mapping[str, Any]]) -> str:
    """Returns the state of entry VMs and endpoints as text."""
    sections = (
        ("zones", _render_zones(statuses.values())),
        ("entry VMs", _render_vms(statuses)),
        ("endpoints", _render_endpoints(statuses.values())),
        ("engines", _render_engines(statuses.values())),
        ("quarantine", _render_quarantine(statuses.values())),
    )
    return "\n\n".join(f"{name}:\n{text}" for name, text in sections)


def _fetch_status(address: str) -> Result[dict[str, Any], str]:
    response = fetch(address, "/admin/status")
    if isinstance(response, Err):
        return response
    status, value = response.ok_value.status, response.ok_value.value
    if status != 200 or not isinstance(value, dict):
        return Err(f"{address}: HTTP status {status} without a JSON object")
    return response.map(lambda response: dict(response.value))


def _render_zones(statuses: Iterable[Mapping[str, Any]]) -> str:
    # Members include entry VMs whose status was not fetched. VMs can report
    # different states of a member, which then counts once in each state.
    states: set[tuple[str, str, str]] = set()
    for status in statuses:
        for name, member in _named_items(status.get("members")):
            zone = _to_text(member.get("availability_zone"))
            states.add((zone, _to_text(member.get("state")), name))
    counts = collections.Counter((zone, state) for zone, state, _ in states)
    rows = [(*key, str(count)) for key, count in sorted(counts.items())]
    return render_table(("zone", "state", "entry VMs"), rows)


def _render_vms(statuses: Mapping[str, Mapping[str, Any]]) -> str:
    rows = [
        (
            *(_to_text(status.get(column)) for column in _VM_COLUMNS),
            _render_counts(status.get("requests")),
            str(len(_named_items(status.get("quarantine")))),
            _render_waiting_claims(status.get("claims")),
            address,
        )
        for address, status in statuses.items()
    ]
    header = (*_VM_COLUMNS, "requests", "strikes", "claims", "admin")
    text = render_table(header, sorted(rows))
    if (
        len(
            {_to_text(status.get("generation")) for status in statuses.values()}
        )
        > 1
    ):
        text += "\nentry VMs hold different generations"
    return text


def _render_waiting_claims(claims: object) -> str:
    """Returns how many final writes of claims are pending."""
    if not isinstance(claims, dict):
        return "-"
    return _to_text(claims.get("waiting"))


def _render_endpoints(statuses: Iterable[Mapping[str, Any]]) -> str:
    # Each entry VM has its own view of an endpoint. The first one is shown,
    # since the load reports of VMs differ only by their age.
    by_name: dict[str, Mapping[str, Any]] = {}
    for status in statuses:
        for name, endpoint in _named_items(status.get("endpoints")):
            by_name.setdefault(name, endpoint)
    rows = [
        tuple(
            name if column == "vm" else _to_text(endpoint.get(column))
            for column in _ENDPOINT_COLUMNS
        )
        for name, endpoint in sorted(by_name.items())
    ]
    return render_table(_ENDPOINT_COLUMNS, rows)


def _render_engines(statuses: Iterable[Mapping[str, Any]]) -> str:
    """Returns the engines with changed roles or unconfirmed orders."""
    rows = set()
    for status in statuses:
        for name, role in _named_items(status.get("roles")):
            role_text = f"role {_to_text(role.get('pool'))}"
            rows.add((name, role_text, _to_text(role.get("state"))))
        for name, order in _named_items(status.get("orders")):
            refused = _to_text(order.get("refused_generation"))
            for _, item in _named_items(order.get("missing")):
                load = (
                    f"{_to_text(item.get('model'))} {item.get('adapter') or ''}"
                )
                state = f"not confirmed; refused generation {refused}"
                rows.add((name, load.strip(), state))
    return render_table(("vm", "order", "state"), sorted(rows))


def _render_quarantine(statuses: Iterable[Mapping[str, Any]]) -> str:
    names = {
        name
        for status in statuses
        for name, _ in _named_items(status.get("quarantine"))
    }
    return "\n".join(sorted(names)) or "none"


def _named_items(value: Any) -> list[tuple[str, Mapping[str, Any]]]:
    """Returns objects with their names, from a mapping by name or a list."""
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
    names = (item[field] for field in _NAME_FIELDS if field in item)
    return str(next(names, "-"))


def _render_counts(value: Any) -> str:
    if isinstance(value, Mapping):
        counts = (f"{k}={_to_text(v)}" for k, v in sorted(value.items()))
        return " ".join(counts) or "0"
    return str(len(value)) if isinstance(value, list) else _to_text(value)


def _to_text(value: Any) -> str:
    if value is None or isinstance(value, list | Mapping):
        return "-"
    return str(value).lower() if isinstance(value, bool) else str(value)


def render_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Returns a header and rows with aligned columns."""
    table = [header, *rows]
    widths = [max(len(row[i]) for row in table) for i in range(len(header))]
    lines = (
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in table
    )
    return "\n".join(line.rstrip() for line in lines)


__all__ = ["fetch_fleet", "render_fleet", "render_table"]
