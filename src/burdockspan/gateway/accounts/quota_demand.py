"""Smoothed rates of what an account asks for at this VM, or receives here."""

from __future__ import annotations

import math

_TIME_CONSTANT_S = 1.0


class SmoothedRate:
    """Units per second, where older units count exponentially less."""

    def __init__(self, now_s: float) -> None:
        self._per_s = 0.0
        self._updated_s = now_s

    def add(self, units: float, now_s: float) -> None:
        """Counts units."""
        self._per_s = self.measure(now_s) + units / _TIME_CONSTANT_S
        self._updated_s = max(now_s, self._updated_s)

    def measure(self, now_s: float) -> float:
        """Returns the present rate."""
        age_s = max(0.0, now_s - self._updated_s)
        return self._per_s * math.exp(-age_s / _TIME_CONSTANT_S)


class HighestCount:
    """The highest number of VMs that was stated in the recent past.

    A number that is too high makes all shares smaller, which is safe. A VM that
    is cut off from the store learns of new VMs from its peers' statements.
    """

    def __init__(self, kept_s: float) -> None:
        self._kept_s = kept_s
        self._stated_by_source: dict[tuple[str, int], float] = {}

    def add(self, source: str, vm_count: int, now_s: float) -> None:
        """Records that `source` counts `vm_count` VMs now."""
        self._stated_by_source[source, vm_count] = now_s

    def measure(self, now_s: float, present: int) -> int:
        """Returns the highest recent number, at least the present one."""
        self._stated_by_source = {
            stated: at_s
            for stated, at_s in self._stated_by_source.items()
            if now_s - at_s < self._kept_s
        }
        return max([present, *(count for _, count in self._stated_by_source)])


__all__ = ["HighestCount", "SmoothedRate"]
