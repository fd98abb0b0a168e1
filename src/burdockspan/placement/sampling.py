"""Random choice of two candidates (power of two choices).

Nodes decide on stale load reports. If each of them took the least loaded
endpoint, all would send their calls to the same one until its next report.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

from burdockspan.values.randomness import RandomFloat

_Item = TypeVar("_Item")


def sample_two(
    items: Sequence[_Item], random_float: RandomFloat
) -> tuple[_Item, ...]:
    """Returns up to two different items, each pair equally likely."""
    if len(items) < 2:
        return tuple(items)
    first = int(random_float() * len(items))
    second = int(random_float() * (len(items) - 1))
    if second >= first:
        second += 1
    return items[first], items[second]


__all__ = ["RandomFloat", "sample_two"]
