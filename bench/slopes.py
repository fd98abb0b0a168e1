"""Tables of medians against a size, with their least-squares line."""

from __future__ import annotations

import dataclasses
import gc
import statistics
import time
from collections.abc import Callable, Sequence


@dataclasses.dataclass(frozen=True)
class Line:
    """Least-squares line: value at size 0, and increase for each one."""

    base: float
    slope: float


def fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Returns the least-squares line through points."""
    slope, base = statistics.linear_regression(sizes, values)
    return Line(base, slope)


def measure_table(
    title: str,
    unit: str,
    sizes: Sequence[int],
    measure: Callable[[int], float],
    repeats: int,
    note: Callable[[int], str] = lambda size: "",
) -> str:
    """Returns the text of a table: median, least and most for each size.

    The repeats of all sizes take turns, so that a slow spell of the machine
    falls on all of them.

    Args:
      title: what the sizes count.
      unit: unit of the values.
      sizes: at least four.
      measure: returns the value at a size.
      repeats: values of which the median is taken.
      note: text after the row of a size.
    """
    values: dict[int, list[float]] = {size: [] for size in sizes}
    measure(sizes[0])
    for _ in range(repeats):
        for size in sizes:
            gc.collect()
            values[size].append(measure(size))
    medians = [statistics.median(values[size]) for size in sizes]
    lines = [f"{title} (median of {repeats}, least, most; {unit})"]
    for size, median in zip(sizes, medians, strict=True):
        row = values[size]
        lines.append(
            f"  {size:6d} {median:10.3f} {min(row):10.3f} {max(row):10.3f}"
            f"  {note(size)}".rstrip()
        )
    line = fit(sizes, medians)
    lines.append(f"  line: {line.base:.3f} + {line.slope:.5f} for each")
    return "\n".join(lines) + "\n"


def processor_ms(action: Callable[[], object]) -> float:
    """Returns milliseconds of processor time of this process."""
    began_s = time.process_time()
    action()
    return (time.process_time() - began_s) * 1000


__all__ = ["Line", "fit", "measure_table", "processor_ms"]
