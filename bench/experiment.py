"""Compares the options of the decision functions on the same seeds.

Run from the root of the repository:
`PYTHONPATH=src python -m bench.experiment --help`.
"""

from __future__ import annotations

import concurrent.futures
import itertools
import pathlib

import click

from bench import report
from bench.figures import Figures, compute_figures
from bench.run import RunParameters, run
from bench.variants import ALL, Variant
from bench.workload import ATLAS, RIJKSBUREAU, Team

_TEAMS = (ATLAS, RIJKSBUREAU)
_WORKERS = 4


def run_and_measure(parameters: RunParameters) -> Figures:
    """Runs once and returns the figures; pickled for the worker processes."""
    return compute_figures(run(parameters), parameters.duration_s)


def run_all(
    *,
    teams: tuple[Team, ...],
    variants: tuple[Variant, ...],
    loads: tuple[float, ...],
    faults: tuple[bool, ...],
    seeds: range,
    duration_s: float,
) -> tuple[report.Row, ...]:
    """Returns one row per team, fault setting, load and variant."""
    cells = list(itertools.product(teams, faults, loads, variants))
    runs = [
        RunParameters(team, variant, load, fault, seed, duration_s)
        for team, fault, load, variant in cells
        for seed in seeds
    ]
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
        results = list(pool.map(run_and_measure, runs))
    rows = []
    for number, (team, fault, load, variant) in enumerate(cells):
        by_seed = results[number * len(seeds) : (number + 1) * len(seeds)]
        total = sum(by_seed[1:], start=by_seed[0])
        rows.append(report.Row(team.name, fault, load, variant, total))
    return report.with_shares(tuple(rows))


@click.command()
@click.option("--size", "size_name", default="", help="Only this team.")
@click.option("--loads", default="0.5,0.7,1.0,1.3,2.0", show_default=True)
@click.option("--seeds", default=3, show_default=True)
@click.option("--first-seed", default=1, show_default=True)
@click.option("--duration", default=60.0, show_default=True, help="Seconds.")
@click.option("--faults", default="off,on", show_default=True)
@click.option("--variants", default="", help="Parts of names, by comma.")
@click.option("--out", default="", help="Directory for CSV, text and plot.")
def main(
    *,
    size_name: str,
    loads: str,
    seeds: int,
    first_seed: int,
    duration: float,
    faults: str,
    variants: str,
    out: str,
) -> None:
    """Prints a table; writes it with CSV and a plot if --out is given."""
    parts = variants.split(",")
    rows = run_all(
        teams=tuple(team for team in _TEAMS if size_name in ("", team.name)),
        variants=tuple(v for v in ALL if any(part in v.name for part in parts)),
        loads=tuple(float(load) for load in loads.split(",")),
        faults=tuple(word == "on" for word in faults.split(",")),
        seeds=range(first_seed, first_seed + seeds),
        duration_s=duration,
    )
    text = report.make_table(rows)
    click.echo(text)
    if out:
        directory = pathlib.Path(out)
        directory.mkdir(parents=True, exist_ok=True)
        (directory / "experiment.txt").write_text(text + "\n")
        report.write_csv(rows, directory / "experiment.csv")
        report.write_plot(rows, directory / "experiment.svg")


if __name__ == "__main__":
    main()

__all__ = ["main", "run_all", "run_and_measure"]
