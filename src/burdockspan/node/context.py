"""What the systems of a node need besides its tables."""

from __future__ import annotations

import dataclasses

from burdockspan.placement.sampling import RandomFloat
from burdockspan.settings import Settings
from burdockspan.values.clock import Clock


@dataclasses.dataclass(frozen=True)
class Context:
    """Surroundings of a node.

    Attributes:
      settings: settings of the process.
      clock: monotonic seconds.
      wall_clock: seconds since 1970.
      random_float: uniform floats from 0 (included) to 1 (excluded).
    """

    settings: Settings
    clock: Clock
    wall_clock: Clock
    random_float: RandomFloat


__all__ = ["Context"]
