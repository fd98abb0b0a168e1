"""Prints the results of the experiment as Markdown tables.

Run from the root of the repository: `PYTHONPATH=src python -m bench.summary`.
"""

from __future__ import annotations

import csv
import pathlib
from collections.abc import Iterable

import click

_RESULTS = pathlib.Path("bench/results/experiment.csv")
_CHOSEN = "chosen"
_MIN_GOODPUT_SHARE = 0.95
_MAX_WASTED_SHARE = 0.01
_MIN_URGENT_SHARE = 0.95

Row = dict[str, str]


@click.command()
@click.option("--results", default=str(_RESULTS), show_default=True)
def main(results: str) -> None:
    """Prints a table per team and fault setting, and which targets are met."""
    with pathlib.Path(results).open(newline="") as file:
        rows = list(csv.DictReader(file))
    for team, faults in dict.fromkeys((r["team"], r["faults"]) for r in rows):
        selected = [
            r for r in rows if (r["team"], r["faults"]) == (team, faults)
        ]
        click.echo(f"\n{team}, faults {faults}:\n")
        _print_table(selected)
    click.echo("")
    for team in dict.fromkeys(row["team"] for row in rows):
        for line in _evaluate_targets(
            [row for row in rows if row["team"] == team]
        ):
            click.echo(f"- {team}: {line}")


def _print_table(rows: list[Row]) -> None:
    loads = list(dict.fromkeys(row["load"] for row in rows))
    shares = " | ".join(f"% of bound at {load}" for load in loads)
    click.echo(
        f"| variant | {shares} | calls/s at {loads[-1]} | urgent % at "
        f"{loads[-1]} | wasted %, most | retries | 409 % at {loads[-1]} |"
    )
    click.echo("|---|" + "---:|" * (len(loads) + 5))
    for name in dict.fromkeys(row["variant"] for row in rows):
        selected = [row for row in rows if row["variant"] == name]
        last = selected[-1]
        wasted = max(
            _ratio(r, "wasted_tokens", "prefilled_tokens") for r in selected
        )
        refused = _ratio(last, "reservations_refused", "reservations")
        cells = [
            *(f"{100 * float(row['share']):.1f}" for row in selected),
            _goodput_text(last),
            f"{100 * _ratio(last, 'urgent_good', 'urgent'):.1f}",
            f"{100 * wasted:.2f}",
            str(sum(int(row["retries"]) for row in selected)),
            f"{100 * refused:.1f}",
        ]
        click.echo(f"| {name} | {' | '.join(cells)} |")


def _evaluate_targets(rows: list[Row]) -> Iterable[str]:
    chosen = [row for row in rows if row["variant"] == _CHOSEN]
    row_by_load = {float(r["load"]): r for r in chosen if r["faults"] == "off"}
    min_share = min(
        float(r["share"]) for load, r in row_by_load.items() if load <= 1.0
    )
    yield _format_verdict(
        min_share >= _MIN_GOODPUT_SHARE,
        f"goodput up to 1.0 is at least {100 * min_share:.1f}% of the bound",
    )
    good_share = min(
        _ratio(row, "good", "calls")
        for load, row in row_by_load.items()
        if load <= 1
    )
    yield (
        f"note: up to 1.0 at least {100 * good_share:.1f}% of all calls that"
        " were made keep both targets, which no router can bring above 100%"
    )
    for unit, make_text in (
        ("calls/s", _goodput_text),
        ("tokens/s", _token_goodput_text),
    ):
        at_1, at_2 = make_text(row_by_load[1.0]), make_text(row_by_load[2.0])
        yield _format_verdict(
            float(at_2) >= float(at_1),
            f"goodput at 2.0 is {at_2} {unit}, at 1.0 {at_1}",
        )
    wasted = max(
        _ratio(r, "wasted_tokens", "prefilled_tokens")
        for r in row_by_load.values()
    )
    yield _format_verdict(
        wasted <= _MAX_WASTED_SHARE,
        f"wasted prefill without faults is at most {100 * wasted:.2f}%",
    )
    urgent = _ratio(row_by_load[2.0], "urgent_good", "urgent")
    yield _format_verdict(
        urgent >= _MIN_URGENT_SHARE,
        f"{100 * urgent:.1f}% of urgent calls keep their targets at 2.0",
    )
    for row in chosen:
        if row["faults"] == "on":
            wasted_tokens, held_tokens = (
                int(row["wasted_tokens"]),
                int(row["held_tokens"]),
            )
            yield _format_verdict(
                wasted_tokens <= held_tokens,
                f"with faults at {row['load']}, {wasted_tokens} prefill tokens"
                f" are wasted; the killed VMs held {held_tokens}",
            )


def _format_verdict(met: bool, text: str) -> str:
    return f"{'met' if met else 'missed'}: {text}"


def _ratio(row: Row, numerator: str, denominator: str) -> float:
    return float(row[numerator]) / max(1.0, float(row[denominator]))


def _goodput_text(row: Row) -> str:
    return f"{float(row['good']) / float(row['measured_s']):.2f}"


def _token_goodput_text(row: Row) -> str:
    return f"{float(row['good_tokens']) / float(row['measured_s']):.0f}"


if __name__ == "__main__":
    main()

__all__ = ["main"]
