"""Since when the configuration of this VM is certainly not out of date.

An answer of the store was newest at some time after its call was sent, so that
the proof is as old as the call. Other VMs that have the same version state the
age of their proof, which keeps a VM serving that is cut off from the store.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from burdockspan.gateway.fleet.exchange import Received
from burdockspan.gateway.state import ActiveConfiguration
from burdockspan.observe.registry import Registry
from burdockspan.values.clock import Clock

TOPIC = "configuration"
"""Topic on which VMs state the version that they have and its proof."""

# Larger numbers have no exact value as a float.
_MAX_AGE_MS = 2**53


class ConfigurationProof:
    """The proof that the configuration in force is the newest.

    A proof for a version holds for each later one as well: nothing newer than
    it had been written either.
    """

    def __init__(
        self,
        active: Callable[[], ActiveConfiguration | None],
        boot_clock: Clock,
        registry: Registry,
    ) -> None:
        self._active = active
        self._boot_clock = boot_clock
        self._registry = registry
        self._lock = threading.Lock()
        self._proved_s = -math.inf

    def now_s(self) -> float:
        """Returns the time by the clock of the proof, in seconds."""
        return self._boot_clock()

    def age_s(self) -> float:
        """Returns the age of the proof; infinite without one."""
        return self._boot_clock() - self._proved_s

    def record_store_answer(self, sent_s: float) -> None:
        """Records that an answer of the store has been applied.

        Args:
          sent_s: when its call was sent, by `now_s`. The store may have
            answered late.
        """
        self._record(sent_s, "store")

    def make_statement(self) -> Any:
        """Returns the version and the age of its proof, in milliseconds.

        Returns None if there are no accounts, or there is no proof.
        """
        # The age is read first: it may only be stated for the version that it
        # holds for, or a later one.
        age_s = self.age_s()
        active = self._active()
        if active is None or active.accounts is None or math.isinf(age_s):
            return None
        return [active.configuration.version, math.ceil(age_s * 1000)]

    def receive(self, received: Received) -> Result[None, str]:
        """Applies the statement of another VM."""
        match received.value:
            case [int(version), int(age_ms)] if 0 <= age_ms <= _MAX_AGE_MS:
                pass
            case _:
                return Err("not a version and an age")
        active = self._active()
        if active is None or active.configuration.version != version:
            self._registry.count("configuration_proof", "other_version")
            return Ok(None)
        if received.sent_after_s is not None:
            self._record(received.sent_after_s - age_ms / 1000.0, "peer")
        return Ok(None)

    def _record(self, proved_s: float, source: str) -> None:
        with self._lock:
            if proved_s <= self._proved_s:
                return
            self._proved_s = proved_s
        self._registry.count("configuration_proof", source)


__all__ = ["TOPIC", "ConfigurationProof"]
