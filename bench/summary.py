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
_GOODPUT_SHARE = 0.95
_WASTED_SHARE = 0.01
_URGENT_SHARE = 0.95

Row = dict[str, str]


@click.command()
@click.option("--results", default=str(_RESULTS), show_default=True)
def main(results: str) -> None:
    """Prints tables and the verdict on each target."""
    with pathlib.Path(results).open(newline="") as file:
        rows = list(csv.DictReader(file))
    for team, faults in dict.fromkeys((r["team"], r["faults"]) for r in rows):
        part = [r for r in rows if (r["team"], r["faults"]) == (team, faults)]
        click.echo(f"\n{team}, faults {faults}:\n")
        _print_table(part)
    click.echo("")
    for team in dict.fromkeys(row["team"] for row in rows):
        for line in _judge([row for row in rows if row["team"] == team]):
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
        part = [row for row in rows if row["variant"] == name]
        last = part[-1]
        wasted = max(
            _ratio(r, "wasted_tokens", "prefilled_tokens") for r in part
        )
        refused = _ratio(last, "reservations_refused", "reservations")
        cells = [
            *(f"{100 * float(row['share']):.1f}" for row in part),
            _goodput(last),
            f"{100 * _ratio(last, 'urgent_good', 'urgent'):.1f}",
            f"{100 * wasted:.2f}",
            str(sum(int(row["retries"]) for row in part)),
            f"{100 * refused:.1f}",
        ]
        click.echo(f"| {name} | {' | '.join(cells)} |")


def _judge(rows: list[Row]) -> Iterable[str]:
    chosen = [row for row in rows if row["variant"] == _CHOSEN]
    calm = {float(r["load"]): r for r in chosen if r["faults"] == "off"}
    least = min(float(r["share"]) for load, r in calm.items() if load <= 1.0)
    yield _verdict(
        least >= _GOODPUT_SHARE,
        f"goodput up to 1.0 is at least {100 * least:.1f}% of the bound",
    )
    full = min(
        _ratio(row, "good", "calls") for load, row in calm.items() if load <= 1
    )
    yield (
        f"note: up to 1.0 at least {100 * full:.1f}% of all calls that were"
        " made keep both targets, which no router can bring above 100%"
    )
    for unit, number in (("calls/s", _goodput), ("tokens/s", _tokens)):
        one, two = number(calm[1.0]), number(calm[2.0])
        yield _verdict(
            float(two) >= float(one),
            f"goodput at 2.0 is {two} {unit}, at 1.0 {one}",
        )
    wasted = max(
        _ratio(r, "wasted_tokens", "prefilled_tokens") for r in calm.values()
    )
    yield _verdict(
        wasted <= _WASTED_SHARE,
        f"wasted prefill without faults is at most {100 * wasted:.2f}%",
    )
    urgent = _ratio(calm[2.0], "urgent_good", "urgent")
    yield _verdict(
        urgent >= _URGENT_SHARE,
        f"{100 * urgent:.1f}% of urgent calls keep their targets at 2.0",
    )
    for row in chosen:
        if row["faults"] == "on":
            wasted_tokens, held = (
                int(row["wasted_tokens"]),
                int(row["held_tokens"]),
            )
            yield _verdict(
                wasted_tokens <= held,
                f"with faults at {row['load']}, {wasted_tokens} prefill tokens"
                f" are wasted; the killed VMs held {held}",
            )


def _verdict(met: bool, text: str) -> str:
    return f"{'met' if met else 'missed'}: {text}"


def _ratio(row: Row, part: str, whole: str) -> float:
    return float(row[part]) / max(1.0, float(row[whole]))


def _goodput(row: Row) -> str:
    return f"{float(row['good']) / float(row['measured_s']):.2f}"


def _tokens(row: Row) -> str:
    return f"{float(row['good_tokens']) / float(row['measured_s']):.0f}"


if __name__ == "__main__":
    main()

__all__ = ["main"]
