"""Objects of a platform that fails in chosen ways, without a network."""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from bench.interleaving import Choose
from burdockspan.object_api.calls import CallCounts
from burdockspan.object_api.client import PlatformClient
from burdockspan.object_api.objects import PlatformError, VersionedObject

_FATES = ("done", "done", "done", "done", "lost", "late", "dropped", "unsent")
_READ_FATES = ("done", "done", "done", "done", "done", "done", "down", "down")
_OUTAGE_FATES = ("unsent", "dropped", "late")

_Write = Callable[[], Result[VersionedObject, PlatformError]]


class SimulatedPlatform:
    """Versioned objects, writes in flight and outages.

    A write can lose its answer after it was applied, be applied late, be
    dropped, or not be sent. `pause` is called before and after each call takes
    effect, so that its process can be stopped at either point.
    """

    def __init__(self, choose: Choose, pause: Callable[[], None]) -> None:
        self._choose = choose
        self._pause = pause
        self._version = 0
        self._objects: dict[tuple[str, str], VersionedObject] = {}
        self.in_flight: list[_Write] = []
        self.outage = False
        self.applied_writes: list[VersionedObject] = []

    def apply_in_flight(self, index: int) -> None:
        """Applies a write that is in flight, if its condition still holds."""
        self.in_flight.pop(index)()

    def client(self) -> PlatformClient:
        """Returns a client; only object calls by name work."""
        return PlatformClient(
            get=self._get,
            create=lambda kind, name, value: self._write(
                kind, name, value, None
            ),
            update=self._write,
            delete=_unused,
            list_objects=_unused,
            watch=_unused,
            list_vms=_unused,
            get_weights=_unused,
            counts=lambda: CallCounts({}, {}, 0, ()),
        )

    def _get(
        self, kind: str, name: str
    ) -> Result[VersionedObject, PlatformError]:
        self._pause()
        fate = "down" if self.outage else _READ_FATES[self._choose(8)]
        found = self._objects.get((kind, name))
        self._pause()
        if fate == "down":
            return Err(PlatformError.UNAVAILABLE)
        return Ok(found) if found else Err(PlatformError.NOT_FOUND)

    def _write(
        self, kind: str, name: str, value: Any, version: int | None
    ) -> Result[VersionedObject, PlatformError]:
        kept = copy.deepcopy(value)
        self._pause()
        if self.outage:
            fate = _OUTAGE_FATES[self._choose(len(_OUTAGE_FATES))]
        else:
            fate = _FATES[self._choose(len(_FATES))]
        outcome: Result[VersionedObject, PlatformError]
        outcome = Err(PlatformError.UNCERTAIN)
        if fate == "done":
            outcome = self._apply((kind, name), kept, version)
        elif fate == "lost":
            self._apply((kind, name), kept, version)
        elif fate == "late":
            self.in_flight.append(
                lambda: self._apply((kind, name), kept, version)
            )
        elif fate == "unsent":
            outcome = Err(PlatformError.UNAVAILABLE)
        self._pause()
        return outcome

    def _apply(
        self, target: tuple[str, str], value: Any, version: int | None
    ) -> Result[VersionedObject, PlatformError]:
        current = self._objects.get(target)
        if (current.version if current else None) != version:
            return Err(PlatformError.CONFLICT)
        self._version += 1
        written = VersionedObject(target[1], self._version, value)
        self._objects[target] = written
        self.applied_writes.append(written)
        return Ok(written)


def _unused(*arguments: object) -> Any:
    raise NotImplementedError


__all__ = ["SimulatedPlatform"]
