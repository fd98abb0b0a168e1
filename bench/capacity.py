"""Measures all slopes from which docs/CAPACITY.md is calculated.

Usage: python -m bench.capacity [--output bench/results/capacity.txt]

Prints processor time by each size, with the least-squares line, and the memory
of real entry processes. Processor time is that of the measured process, so
other load on the machine adds noise but not time.
"""

from __future__ import annotations

import pathlib
from collections.abc import Iterator

import click

from bench import capacity_calls, capacity_documents, capacity_processes
from bench.membership import measure as measure_membership
from bench.node_cost import SIZES, make_size_factory, measure
from bench.slopes import measure_table

_REPEATS = 9
_SLOW_REPEATS = 3
_OPERATION_COUNTS = (100, 200, 400, 800)
_VM_COUNTS = (100, 300, 600, 1010)
_REGION_SIZES = (4, 35, 100, 200)
_ENDPOINTS_PER_VM = 660 / 350
_MEMBERSHIP_S = 3.0


def _make_tables() -> Iterator[str]:
    yield from _make_node_tables()
    yield from _make_document_tables()
    yield from _make_call_tables()
    yield _make_membership_table()
    yield from capacity_processes.make_tables()


def _make_node_tables() -> Iterator[str]:
    for name, sizes in SIZES.items():
        make_sizes = make_size_factory(name)
        memory_kb = {size: measure(make_sizes(size))[1] for size in sizes}
        yield measure_table(
            f"{name} of a node",
            "ms of processor time per second",
            sizes,
            lambda size, make_sizes=make_sizes: measure(make_sizes(size))[0],
            _REPEATS,
            lambda size, kb=memory_kb: f"{kb[size]:.0f} KB of tables",
        )
    yield measure_table(
        "placement of one call against endpoints of its service",
        "ms for each call",
        SIZES["endpoints"],
        capacity_calls.measure_placement,
        _REPEATS,
    )


def _make_document_tables() -> Iterator[str]:
    client_counts = (10, 110, 220, 440)
    yield measure_table(
        "adoption of a configuration, client accounts",
        "ms for each change",
        client_counts,
        capacity_documents.measure_adoption,
        _REPEATS,
        lambda size: f"{capacity_documents.configuration_bytes(size)} B",
    )
    yield measure_table(
        "reading a VM list, VMs",
        "ms for each read",
        _VM_COUNTS,
        capacity_documents.measure_vm_list_read,
        _REPEATS,
        lambda size: f"{capacity_documents.vm_list_bytes(size)} B",
    )
    yield measure_table(
        "taking over a newer VM list, VMs",
        "ms for each change",
        _VM_COUNTS,
        capacity_documents.measure_vm_list_change,
        _REPEATS,
    )
    yield measure_table(
        "answer to a peer's fetch that lacks nothing, VMs of the list",
        "ms for each fetch",
        _VM_COUNTS,
        capacity_documents.measure_fetch_response,
        _REPEATS,
    )
    yield measure_table(
        "ownership of 330 endpoints after a change of members, zone peers",
        "ms for each change",
        SIZES["peers"],
        capacity_documents.measure_ownership,
        _REPEATS,
    )


def _make_call_tables() -> Iterator[str]:
    yield measure_table(
        "claims made and settled, without sockets",
        "ms",
        _OPERATION_COUNTS,
        capacity_calls.measure_claims,
        _REPEATS,
    )
    with capacity_calls.running_engine() as endpoint:
        for kind, title in (
            ("poll", "health and load polls over HTTP"),
            ("new", "the same with a new connection for each health poll"),
            ("attempts", "listings of attempts over HTTP"),
            ("cache", "reads of cache events over HTTP, no new ones"),
        ):
            yield measure_table(
                title,
                "ms",
                _OPERATION_COUNTS,
                capacity_calls.make_poll_measure(endpoint, kind),
                _REPEATS,
            )


def _make_membership_table() -> str:
    costs = {}

    def measure_processor_ms(nodes: int) -> float:
        endpoints = round(nodes * _ENDPOINTS_PER_VM)
        costs[nodes] = measure_membership(nodes, endpoints, _MEMBERSHIP_S, 1)
        return costs[nodes].processor_ms_per_s

    def make_suffix(nodes: int) -> str:
        cost = costs[nodes]
        total_kb_per_s = 2 * cost.sent_bytes_per_s / 1000
        return (
            f"{total_kb_per_s:.1f} KB/s sent and received, report age p50 "
            f"{cost.age_p50_s:.2f} s, p95 {cost.age_p95_s:.2f} s"
        )

    return measure_table(
        "membership and reports by gossip, entry VMs of a region, no sockets",
        "ms of processor time per second",
        _REGION_SIZES,
        measure_processor_ms,
        _SLOW_REPEATS,
        make_suffix,
    )


@click.command(help="Measures the slopes that docs/CAPACITY.md is based on.")
@click.option(
    "--output",
    default="bench/results/capacity.txt",
    show_default=True,
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
)
def main(output: pathlib.Path) -> None:
    """Prints each table and writes all of them to a file."""
    tables = []
    for text in _make_tables():
        click.echo(text)
        tables.append(text)
    output.write_text("\n".join(tables))


if __name__ == "__main__":
    main()
