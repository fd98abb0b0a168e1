"""Whether the claim of a key may be among writes that the store has lost.

The store may come back from an older copy; its era then rises. A claim that
was written before can be missing, or be there in an earlier state, and both
look as if the call had never run. So no key that may have been claimed before
the rise is claimed again. A key with a creation time was not claimed before
it; a key without one may have been, and is suspected for a while.
"""

from __future__ import annotations

import dataclasses
import math
import threading

from result import Err, Ok, Result

from burdockspan.claims import keys
from burdockspan.object_api.client import PlatformClient
from burdockspan.object_api.eras import FIRST_ERA
from burdockspan.object_api.objects import PlatformError
from burdockspan.observe.logs import log_fault
from burdockspan.values.clock import Clock

ERAS_KIND = "eras"
"""Kind of the objects that hold when an era was first seen, by era."""
CLOCK_SKEW_S = 5.0
"""How far the clocks of callers, which date their keys, may be ahead."""
UNDATED_KEYS_SUSPECTED_S = 60.0
"""How long a key without creation time is suspected after a loss."""
_FIELD = "seen_at_s"


@dataclasses.dataclass(frozen=True)
class _EraStart:
    """When an era was first seen by any VM, in seconds since 1970."""

    era: int
    seen_at_s: float


class LossDetector:
    """Knows when the store last lost writes; may be used from any thread."""

    def __init__(self, platform: PlatformClient, wall_clock: Clock) -> None:
        self._platform = platform
        self._wall_clock = wall_clock
        self._lock = threading.Lock()
        # When this process saw the era rise, and when any process saw it.
        self._rise: _EraStart | None = None
        self._start: _EraStart | None = None

    def note_rise(self, era: int) -> None:
        """Records that the era has risen since the last response."""
        with self._lock:
            if self._rise is None or self._rise.era < era:
                self._rise = _EraStart(era, self._wall_clock())

    def may_have_lost(self, key: str) -> bool:
        """Returns whether the store may have lost a claim of the key."""
        lost_at_s = self._last_loss_s()
        if lost_at_s is None:
            return False
        created_s = keys.creation_time_s(key)
        if created_s is None:
            return self._wall_clock() < lost_at_s + UNDATED_KEYS_SUSPECTED_S
        return created_s < lost_at_s + CLOCK_SKEW_S

    def _last_loss_s(self) -> float | None:
        """Returns a time not before the last loss; None if there was none."""
        era = self._platform.eras.latest()
        if era is None or era == FIRST_ERA:
            return None
        with self._lock:
            start, rise = self._start, self._rise
        if start is not None and start.era == era:
            return start.seen_at_s
        seen_at_s = self._wall_clock()
        if rise is not None and rise.era == era:
            seen_at_s = rise.seen_at_s
        agreed = self._agree_on_start(era, seen_at_s)
        if isinstance(agreed, Err):
            return seen_at_s
        with self._lock:
            if self._start is None or self._start.era < era:
                self._start = _EraStart(era, agreed.ok_value)
        return agreed.ok_value

    def _agree_on_start(
        self, era: int, own_s: float
    ) -> Result[float, PlatformError]:
        """Returns the earlier of the own time and the one in the store.

        Both are after the loss. Records the own time if the store has none.
        """
        name = str(era)
        written = self._platform.create(ERAS_KIND, name, {_FIELD: own_s})
        if isinstance(written, Ok):
            return Ok(own_s)
        stored = self._platform.get(ERAS_KIND, name)
        if isinstance(stored, Err):
            return stored
        value = stored.ok_value.value
        seen_at_s = value.get(_FIELD) if isinstance(value, dict) else None
        if isinstance(seen_at_s, (int, float)) and math.isfinite(seen_at_s):
            return Ok(min(own_s, float(seen_at_s)))
        log_fault("era object is malformed", era=era)
        return Err(PlatformError.MALFORMED)


__all__ = [
    "CLOCK_SKEW_S",
    "ERAS_KIND",
    "UNDATED_KEYS_SUSPECTED_S",
    "LossDetector",
]
