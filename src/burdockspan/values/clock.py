"""Clock type and the clocks of the process."""

from __future__ import annotations

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns seconds, monotonic unless the parameter's name says wall clock."""


def make_monotonic_clock() -> Clock:
    """Returns the monotonic clock of this process, in seconds."""
    return time.monotonic


def make_boot_clock() -> Clock:
    """Returns a clock of the seconds since boot, including time suspended."""
    return lambda: time.clock_gettime(time.CLOCK_BOOTTIME)


def make_wall_clock() -> Clock:
    """Returns the wall clock of this VM, in seconds since the Unix epoch."""
    return time.time


__all__ = [
    "Clock",
    "make_boot_clock",
    "make_monotonic_clock",
    "make_wall_clock",
]
