"""Compares methods by which a configuration change reaches all entry VMs.

Usage: python -m bench.fanout [--sizes 4,35,128,350] [--seeds 1,2,3]

Each run passes through the same phases on a simulated clock: steady operation,
changes, changes while the platform is slow, changes while one zone is
partitioned from the platform, an outage, and the end of the outage. Prints
medians over the seeds, and for times and peaks also the maximum. Bytes are
those of datagrams, peer calls and platform responses, sent and received,
without the load reports of endpoints.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import json
import statistics
from collections.abc import Iterator, Sequence

import click

from bench.fanout_run import Figures, measure
from bench.fanout_vm import DistributionMethod

_WORKERS = 4


def _summarize(rows: Sequence[Figures]) -> Iterator[tuple[str, str]]:
    def median(name: str) -> float:
        return statistics.median(getattr(row, name) for row in rows)

    def median_and_max(name: str) -> str:
        values = [
            value
            for row in rows
            for value in (
                getattr(row, name)
                if isinstance(getattr(row, name), tuple)
                else (getattr(row, name),)
            )
        ]
        return f"{statistics.median(values):.2f}/{max(values):.2f}"

    yield "calls/s", f"{median('calls_per_s'):.1f}"
    yield "peak", f"{max(row.peak_calls for row in rows)}"
    yield "KB/s", f"{median('bytes_per_s') / 1000:.1f}"
    yield "most KB/s", f"{median('worst_bytes_per_s') / 1000:.1f}"
    yield "KB/change", f"{median('change_bytes') / 1000:.0f}"
    yield "change s", median_and_max("changes_s")
    yield "slow s", median_and_max("slow_s")
    yield "cut s", median_and_max("cut_s")
    yield "cut zone s", median_and_max("cut_zone_s")
    yield "outage peak", f"{max(row.outage_peak for row in rows)}"
    yield "return peak", f"{max(row.return_peak for row in rows)}"
    yield "return s", median_and_max("return_s")


def _parse(text: str) -> list[int]:
    return [int(part) for part in text.split(",")]


@click.command(help="Ways for a change to reach all entry VMs, compared.")
@click.option("--sizes", default="4,35,128,350", show_default=True)
@click.option("--seeds", default="1,2,3", show_default=True)
@click.option("--json-file", type=click.File("w"), help="Figures of each run.")
def main(
    sizes: str, seeds: str, json_file: click.utils.LazyFile | None
) -> None:
    """Prints one row for each number of entry VMs and method."""
    tasks = [
        (method, size, seed)
        for size in _parse(sizes)
        for method in DistributionMethod
        for seed in _parse(seeds)
    ]
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
        # The largest sizes take longest, so they start first.
        results = list(pool.map(measure, reversed(tasks)))[::-1]
    if json_file is not None:
        rows = [
            {"way": method.value, "vms": size, "seed": seed}
            | dataclasses.asdict(figures)
            for (method, size, seed), figures in zip(
                tasks, results, strict=True
            )
        ]
        json.dump(rows, json_file, indent=1)
    print_header = True
    seed_count = len(_parse(seeds))
    for start in range(0, len(tasks), seed_count):
        method, size, _ = tasks[start]
        cells = dict(_summarize(results[start : start + seed_count]))
        if print_header:
            click.echo(
                f"{'VMs':>4} {'way':<13}" + "".join(map("{:>13}".format, cells))
            )
            print_header = False
        click.echo(
            f"{size:4d} {method.value:<13}"
            + "".join(map("{:>13}".format, cells.values()))
        )


if __name__ == "__main__":
    main()
