"""Configurations in a store that can come back from an older copy."""

from __future__ import annotations

from result import Err, Ok, Result

from burdockspan.configuration import commit
from burdockspan.configuration.document import Configuration
from burdockspan.object_api import watch
from burdockspan.object_api.eras import FIRST_ERA
from burdockspan.object_api.objects import (
    PlatformError,
    WatchBatch,
    WatchEvent,
)
from burdockspan.object_api.watch import WatchState, WatchStep


class ConfigurationStore:
    """The accepted configurations; the last ones can be lost.

    Attributes:
      era: rises each time configurations are lost.
      newest: last accepted configuration, also if it is lost.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.era = FIRST_ERA
        self.newest = configuration
        # Version and configuration of each write that is not lost.
        self._writes = [(1, configuration)]

    @property
    def current(self) -> Configuration:
        """The stored configuration."""
        return self._writes[-1][1]

    @property
    def has_lost_newest(self) -> bool:
        """Whether the operator has to write the newest one again."""
        return self.current.generation < self.newest.generation

    def write(self, configuration: Configuration, other_writes: int) -> None:
        """Stores a configuration after some writes of other objects."""
        version = self._writes[-1][0] + 1 + other_writes
        self._writes.append((version, configuration))
        self.newest = configuration

    def lose_writes(self, count: int) -> None:
        """Loses the last configurations; the first one is always kept."""
        del self._writes[max(1, len(self._writes) - count) :]
        self.era += 1

    def watch(self, state: WatchState) -> WatchStep:
        """Returns the step of a watch whose call returns at once."""
        version, configuration = self._writes[-1]
        outcome: Result[WatchBatch, PlatformError]
        if state.after > version:
            outcome = Err(PlatformError.MALFORMED)
        else:
            event = WatchEvent(
                commit.OBJECT_KIND, commit.OBJECT_NAME, version, configuration
            )
            events = (event,) if version > state.after else ()
            outcome = Ok(WatchBatch(version, events))
        return watch.advance(state, outcome, lambda: 0.5, self.era)


__all__ = ["ConfigurationStore"]
