"""Era of the platform's store, which each of its responses names.

The era rises by one each time the store comes back from an older copy. What
was written since the copy is then lost, and versions are given out again.
"""

from __future__ import annotations

import re
import threading
from collections.abc import Callable, Mapping

ERA_HEADER = "Platform-Era"
FIRST_ERA = 1
"""Era of a store that has never come back from a copy."""
# Larger than any version of a store; lets versions of two eras be compared.
_VERSIONS_PER_ERA = 10**12
_ERA_PATTERN = re.compile(r"[1-9][0-9]{0,8}")

EraListener = Callable[[int], None]
"""Called with the new era; must not block."""


class EraTracker:
    """The latest era that any response to this process has named."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._latest: int | None = None
        self._listeners: list[EraListener] = []

    def latest(self) -> int | None:
        """Returns the latest known era; None before the first response."""
        with self._lock:
            return self._latest

    def add_listener(self, listener: EraListener) -> None:
        """Has a function called each time the known era rises."""
        with self._lock:
            self._listeners.append(listener)

    def observe(self, era: int | None) -> bool:
        """Records the era of a response.

        Args:
          era: era of the response; None if it names none, as the error of a
            proxy may.

        Returns:
          False if the response is from an earlier era than the latest one.
        """
        if era is None:
            return True
        with self._lock:
            previous = self._latest
            if previous is not None and era <= previous:
                return era == previous
            self._latest = era
            listeners = tuple(self._listeners)
        if previous is not None:
            for listener in listeners:
                listener(era)
        return True


def parse_era(headers: Mapping[str, str]) -> int | None:
    """Returns the era that a response names; None if missing or malformed."""
    text = headers.get(ERA_HEADER, "").strip()
    return int(text) if _ERA_PATTERN.fullmatch(text) else None


def combine_version(era: int | None, version: int) -> int:
    """Returns a number that rises with each version, also across eras.

    In the first era, and while no era is known, it is the version itself.
    """
    return ((era or FIRST_ERA) - FIRST_ERA) * _VERSIONS_PER_ERA + version


def split_version(combined: int) -> tuple[int, int]:
    """Returns the era and the version that a combined version is made of."""
    eras, version = divmod(combined, _VERSIONS_PER_ERA)
    return eras + FIRST_ERA, version


__all__ = [
    "ERA_HEADER",
    "FIRST_ERA",
    "EraListener",
    "EraTracker",
    "combine_version",
    "parse_era",
    "split_version",
]
