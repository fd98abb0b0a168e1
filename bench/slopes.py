"""Tables of medians by size, with their least-squares line."""

from __future__ import annotations

import dataclasses
import gc
import statistics
import time
from collections.abc import Callable, Sequence


@dataclasses.dataclass(frozen=True)
class Line:
    """Least-squares line.

    Attributes:
      base: value at size 0.
      slope: increase for each unit of size.
    """

    base: float
    slope: float


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Returns the least-squares line through points."""
    slope, base = statistics.linear_regression(sizes, values)
    return Line(base, slope)


def measure_table(
    title: str,
    unit: str,
    sizes: Sequence[int],
    measure: Callable[[int], float],
    repeats: int,
    make_suffix: Callable[[int], str] = lambda size: "",
) -> str:
    """Returns the text of a table: median, minimum and maximum by size.

    Each repeat measures all sizes in turn, so that a slow phase of the machine
    affects all of them.

    Args:
      title: what the sizes count.
      unit: unit of the values.
      sizes: at least four.
      measure: returns the value at a size.
      repeats: values of which the median is taken.
      make_suffix: returns the text after the numbers in the row of a size.
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
        measured = values[size]
        lines.append(
            f"  {size:6d} {median:10.3f} {min(measured):10.3f}"
            f" {max(measured):10.3f}  {make_suffix(size)}".rstrip()
        )
    line = fit_line(sizes, medians)
    lines.append(f"  line: {line.base:.3f} + {line.slope:.5f} for each")
    return "\n".join(lines) + "\n"


def processor_ms(action: Callable[[], object]) -> float:
    """Runs `action` and returns its processor time in milliseconds."""
    began_s = time.process_time()
    action()
    return (time.process_time() - began_s) * 1000


__all__ = ["Line", "fit_line", "measure_table", "processor_ms"]
