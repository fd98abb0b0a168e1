"""The type of clocks and the process's own clocks."""

from __future__ import annotations

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns seconds; monotonic unless a parameter's name says wall time."""


def make_monotonic_clock() -> Clock:
    """Returns the monotonic clock of this process, in seconds."""
    return time.monotonic


def make_boot_clock() -> Clock:
    """Returns the seconds since the boot, with the time in suspension."""
    return lambda: time.clock_gettime(time.CLOCK_BOOTTIME)


def make_wall_clock() -> Clock:
    """Returns the wall clock of this VM, in seconds since 1970 (UTC)."""
    return time.time


__all__ = [
    "Clock",
    "make_boot_clock",
    "make_monotonic_clock",
    "make_wall_clock",
]
