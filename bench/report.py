"""Table, CSV and plot of the experiment."""

from __future__ import annotations

import csv
import dataclasses
import pathlib

import matplotlib

from bench.figures import Figures
from bench.variants import Variant

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "burdockspan"

_HEADINGS = (
    "team",
    "faults",
    "load",
    "variant",
    "good/s",
    "share %",
    "tokens/s",
    "share %",
    "urgent %",
    "wasted %",
    "waste/held",
    "retries",
    "409",
    "429",
    "refused",
    "late",
    "lost",
    "calls",
)
_VARIANT_COLUMN = 3


@dataclasses.dataclass(frozen=True)
class Row:
    """Figures of one variant at one load, summed over the seeds.

    Attributes:
      team: name of the team.
      faults: whether VMs were killed.
      load: arrival rate as a multiple of the capacity.
      variant: the options under test.
      figures: the sums.
      share: goodput as a share of the best upper bound.
      token_share: goodput in output tokens as a share of the best upper bound.
    """

    team: str
    faults: bool
    load: float
    variant: Variant
    figures: Figures
    share: float = 0.0
    token_share: float = 0.0


def with_shares(rows: tuple[Row, ...]) -> tuple[Row, ...]:
    """Returns the rows with their goodput relative to the best upper bound."""
    bounds_by_case: dict[tuple[str, bool, float], tuple[float, float]] = {}
    for row in rows:
        if row.variant.sharing == "fresh":
            key = (row.team, row.faults, row.load)
            good, tokens = bounds_by_case.get(key, (0.0, 0.0))
            bounds_by_case[key] = (
                max(good, row.figures.goodput),
                max(tokens, row.figures.token_goodput),
            )
    completed = []
    for row in rows:
        good, tokens = bounds_by_case.get(
            (row.team, row.faults, row.load), (0.0, 0.0)
        )
        completed.append(
            dataclasses.replace(
                row,
                share=row.figures.goodput / good if good else 0.0,
                token_share=(
                    row.figures.token_goodput / tokens if tokens else 0.0
                ),
            )
        )
    return tuple(completed)


def make_table(rows: tuple[Row, ...]) -> str:
    """Returns the rows as text with aligned columns."""
    cells = [_HEADINGS, *(_cells(row) for row in rows)]
    widths = [
        max(len(line[n]) for line in cells) for n in range(len(_HEADINGS))
    ]
    return "\n".join(
        "  ".join(
            cell.ljust(width)
            if number == _VARIANT_COLUMN
            else cell.rjust(width)
            for number, (cell, width) in enumerate(
                zip(line, widths, strict=True)
            )
        ).rstrip()
        for line in cells
    )


def write_csv(rows: tuple[Row, ...], path: pathlib.Path) -> None:
    """Writes one line per row."""
    names = [field.name for field in dataclasses.fields(Figures)]
    with path.open("w", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(
            [
                "team",
                "faults",
                "load",
                "variant",
                "share",
                "token_share",
                *names,
            ]
        )
        for row in rows:
            writer.writerow(
                [
                    row.team,
                    "on" if row.faults else "off",
                    row.load,
                    row.variant.name,
                    f"{row.share:.4f}",
                    f"{row.token_share:.4f}",
                    *(getattr(row.figures, name) for name in names),
                ]
            )


def write_plot(rows: tuple[Row, ...], path: pathlib.Path) -> None:
    """Draws goodput against load, one panel per team and fault setting."""
    from matplotlib import pyplot

    panels = sorted({(row.team, row.faults) for row in rows})
    figure, axes = pyplot.subplots(
        1, len(panels), figsize=(5 * len(panels), 5), squeeze=False
    )
    names = list(dict.fromkeys(row.variant.name for row in rows))
    for axis, (team, faults) in zip(axes[0], panels, strict=True):
        for number, name in enumerate(names):
            part = [
                row
                for row in rows
                if (row.team, row.faults, row.variant.name)
                == (team, faults, name)
            ]
            axis.plot(
                [row.load for row in part],
                [row.figures.goodput for row in part],
                label=name,
                color=f"C{number % 10}",
                linestyle=("-", "--", ":")[number // 10 % 3],
            )
        axis.set_title(f"{team}, faults {'on' if faults else 'off'}")
        axis.set_xlabel("load, times capacity")
        axis.set_ylabel("calls/s within both latency targets")
    axes[0][-1].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


def _cells(row: Row) -> tuple[str, ...]:
    figures = row.figures
    wasted_of_held = f"{figures.wasted_tokens}/{figures.held_tokens}"
    return (
        row.team,
        "on" if row.faults else "off",
        f"{row.load:.1f}",
        row.variant.name,
        f"{figures.goodput:.2f}",
        f"{100 * row.share:.1f}",
        f"{figures.token_goodput:.0f}",
        f"{100 * row.token_share:.1f}",
        f"{100 * figures.urgent_share:.1f}",
        f"{100 * figures.wasted_share:.2f}",
        wasted_of_held,
        str(figures.retries),
        str(figures.reservations_refused),
        str(figures.prefills_refused),
        str(figures.refused),
        str(figures.late),
        str(figures.lost),
        str(figures.calls),
    )


__all__ = ["Row", "make_table", "with_shares", "write_csv", "write_plot"]
