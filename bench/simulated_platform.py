"""In-memory object store of the platform that fails in chosen ways."""

from __future__ import annotations

import copy
import functools
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from bench.interleaving import Choose
from burdockspan.object_api.calls import CallCounts
from burdockspan.object_api.client import PlatformClient
from burdockspan.object_api.eras import FIRST_ERA, EraTracker
from burdockspan.object_api.objects import PlatformError, VersionedObject

# A scenario is chosen in proportion to its number of entries.
_WRITE_SCENARIOS = (
    "done",
    "done",
    "done",
    "done",
    "lost",
    "late",
    "dropped",
    "unsent",
)
_READ_SCENARIOS = (
    "done",
    "done",
    "done",
    "done",
    "done",
    "done",
    "down",
    "down",
)
_OUTAGE_WRITE_SCENARIOS = ("unsent", "dropped", "late")

_Write = Callable[[], Result[VersionedObject, PlatformError]]


class SimulatedPlatform:
    """Versioned objects, writes in flight and outages.

    A write can lose its response after it was applied ("lost"), be applied
    later ("late"), be dropped after it was sent ("dropped"), or not be sent
    ("unsent"). A read fails if the store is unreachable ("down"). `pause` is
    called before and after each call takes effect, so that its process can be
    killed at either point. The store can come back from a copy that lacks its
    latest writes; versions are then given out again.

    Attributes:
      in_flight: writes that are not yet applied.
      outage: whether reads fail, and writes are late, dropped or not sent.
      applied_writes: all applied writes, in order, including lost ones.
      era: rises each time the store loses writes.
    """

    def __init__(self, choose: Choose, pause: Callable[[], None]) -> None:
        self._choose = choose
        self._pause = pause
        self._version = 0
        self._objects: dict[tuple[str, str], VersionedObject] = {}
        self.in_flight: list[_Write] = []
        self.outage = False
        self.applied_writes: list[VersionedObject] = []
        self.era = FIRST_ERA
        # Contents before each write that can be lost, oldest first.
        self._copies: list[dict[tuple[str, str], VersionedObject]] = []

    def apply_in_flight(self, index: int) -> None:
        """Applies a write in flight if its version condition still holds."""
        self.in_flight.pop(index)()

    def lose_writes(self, count: int) -> None:
        """Loses the last applied writes, or all if there are fewer."""
        for _ in range(min(count, len(self._copies))):
            self._objects = self._copies.pop()
            self._version -= 1
        self.era += 1

    def client(self) -> PlatformClient:
        """Returns a client that can get, create and update objects by name."""
        eras = EraTracker()
        write = functools.partial(self._write, eras)
        return PlatformClient(
            get=functools.partial(self._get, eras),
            create=lambda kind, name, value: write(kind, name, value, None),
            update=write,
            delete=_not_implemented,
            list_objects=_not_implemented,
            watch=_not_implemented,
            list_vms=_not_implemented,
            get_weights=_not_implemented,
            counts=lambda: CallCounts({}, {}, 0, ()),
            eras=eras,
        )

    def _get(
        self, eras: EraTracker, kind: str, name: str
    ) -> Result[VersionedObject, PlatformError]:
        self._pause()
        scenario = "down" if self.outage else _READ_SCENARIOS[self._choose(8)]
        stored = self._objects.get((kind, name))
        era = self.era
        self._pause()
        if scenario == "down":
            return Err(PlatformError.UNAVAILABLE)
        eras.observe(era)
        return Ok(stored) if stored else Err(PlatformError.NOT_FOUND)

    def _write(
        self,
        eras: EraTracker,
        kind: str,
        name: str,
        value: Any,
        version: int | None,
    ) -> Result[VersionedObject, PlatformError]:
        written_value = copy.deepcopy(value)
        self._pause()
        if self.outage:
            scenario = _OUTAGE_WRITE_SCENARIOS[
                self._choose(len(_OUTAGE_WRITE_SCENARIOS))
            ]
        else:
            scenario = _WRITE_SCENARIOS[self._choose(len(_WRITE_SCENARIOS))]
        outcome: Result[VersionedObject, PlatformError]
        outcome = Err(PlatformError.UNCERTAIN)
        if scenario == "done":
            outcome = self._apply((kind, name), written_value, version)
        elif scenario == "lost":
            self._apply((kind, name), written_value, version)
        elif scenario == "late":
            self.in_flight.append(
                lambda: self._apply((kind, name), written_value, version)
            )
        elif scenario == "unsent":
            outcome = Err(PlatformError.UNAVAILABLE)
        era = self.era
        self._pause()
        if scenario == "done":
            eras.observe(era)
        return outcome

    def _apply(
        self, target: tuple[str, str], value: Any, version: int | None
    ) -> Result[VersionedObject, PlatformError]:
        current = self._objects.get(target)
        if (current.version if current else None) != version:
            return Err(PlatformError.CONFLICT)
        self._copies.append(dict(self._objects))
        self._version += 1
        written = VersionedObject(target[1], self._version, value)
        self._objects[target] = written
        self.applied_writes.append(written)
        return Ok(written)


def _not_implemented(*arguments: object) -> Any:
    raise NotImplementedError


__all__ = ["SimulatedPlatform"]
