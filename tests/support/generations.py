"""Continuous observation of the generation that each entry VM serves."""

from __future__ import annotations

import contextlib
import threading
import time
from collections.abc import Iterator, Sequence

from standins import launcher
from standins.launcher import Fleet
from tests.support.commands import run_cli
from tests.support.fleets import EXAMPLE

_PAUSE_S = 0.02
_TIMEOUT_S = 1.0


class GenerationObserver:
    """Generations in force by name of the VM, 0 while it holds none."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stopping = threading.Event()
        self._changes: dict[str, list[int]] = {}

    def observe(self, name: str) -> None:
        """Records the changes of one VM until `stop`."""
        changes = self._changes.setdefault(name, [])
        while not self._stopping.wait(_PAUSE_S):
            generation = self.read(name)
            if generation and generation != (changes or [0])[-1]:
                changes.append(generation)

    def read(self, name: str) -> int:
        """Returns the generation in force on a VM, 0 for none."""
        admin_address = self._fleet.processes_by_name[name].admin_address
        try:
            response = launcher.call(
                admin_address, "GET", "/admin/status", timeout_s=_TIMEOUT_S
            )
        except OSError:
            return 0
        return int(response.json()["generation"])

    def stop(self) -> None:
        """Ends the observation."""
        self._stopping.set()

    def wait(
        self, generation: int, limit_s: float, names: Sequence[str] = ()
    ) -> float:
        """Waits until some VMs, or all, serve a generation; returns when."""
        began_s = time.monotonic()
        for name in names or tuple(self._fleet.plan.zone_by_entry_name):
            left_s = began_s + limit_s - time.monotonic()
            launcher.wait_until(
                lambda name=name: self.read(name) == generation,
                f"{name} serves generation {generation}: {self._changes}",
                max(0.0, left_s),
            )
        return time.monotonic() - began_s

    def find_reversals(self) -> dict[str, list[int]]:
        """Returns the VMs that served an older generation after a newer."""
        return {
            name: changes
            for name, changes in self._changes.items()
            if changes != sorted(changes)
        }


@contextlib.contextmanager
def observing(fleet: Fleet) -> Iterator[GenerationObserver]:
    """Observes all entry VMs until left; fails if one served an older one."""
    observed = GenerationObserver(fleet)
    threads = [
        threading.Thread(target=observed.observe, args=(name,))
        for name in fleet.plan.zone_by_entry_name
    ]
    for thread in threads:
        thread.start()
    try:
        yield observed
    finally:
        observed.stop()
        for thread in threads:
            thread.join(30.0)
    reversals = observed.find_reversals()
    if reversals:
        raise AssertionError(f"older generations were served: {reversals}")


def accept_example(fleet: Fleet, base: int) -> None:
    """Accepts the example as the generation after `base`."""
    accepted = run_cli(
        fleet, "config", "accept", str(EXAMPLE), "--base", str(base)
    )
    if accepted.returncode:
        raise AssertionError(f"not accepted: {accepted.stderr}")


__all__ = ["GenerationObserver", "accept_example", "observing"]
