"""Settings, clocks and randomness of a node."""

from __future__ import annotations

import dataclasses

from burdockspan.settings import Settings
from burdockspan.values.clock import Clock
from burdockspan.values.randomness import RandomFloat


@dataclasses.dataclass(frozen=True)
class Context:
    """What the handlers of a node need besides its tables.

    Attributes:
      settings: settings of the process.
      clock: monotonic seconds.
      wall_clock: seconds since 1970.
      random_float: uniform floats in [0, 1).
    """

    settings: Settings
    clock: Clock
    wall_clock: Clock
    random_float: RandomFloat


__all__ = ["Context"]
