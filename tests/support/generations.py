"""Observes the configuration generation in force on each entry VM."""

from __future__ import annotations

import contextlib
import threading
import time
from collections.abc import Iterator, Sequence

from standins import launcher
from standins.launcher import Fleet
from tests.support.commands import run_cli
from tests.support.fleets import EXAMPLE

_POLL_INTERVAL_S = 0.02
_TIMEOUT_S = 1.0


class GenerationObserver:
    """Polls entry VMs and records the changes of their generations."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stopping = threading.Event()
        self._generations_by_vm: dict[str, list[int]] = {}

    def observe(self, name: str) -> None:
        """Polls one VM and records its generations until `stop`."""
        generations = self._generations_by_vm.setdefault(name, [])
        while not self._stopping.wait(_POLL_INTERVAL_S):
            generation = self.read(name)
            if generation and generation != (generations or [0])[-1]:
                generations.append(generation)

    def read(self, name: str) -> int:
        """Returns the generation in force on a VM, 0 without a response."""
        admin_address = self._fleet.processes_by_name[name].admin_address
        try:
            response = launcher.call(
                admin_address, "GET", "/admin/status", timeout_s=_TIMEOUT_S
            )
        except OSError:
            return 0
        return int(response.json()["generation"])

    def stop(self) -> None:
        """Stops the polling."""
        self._stopping.set()

    def wait(
        self, generation: int, limit_s: float, names: Sequence[str] = ()
    ) -> float:
        """Waits until a generation is in force; returns the time waited.

        Args:
          generation: generation to wait for.
          limit_s: time limit for all VMs together.
          names: entry VMs to check; all if empty.
        """
        started_s = time.monotonic()
        for name in names or tuple(self._fleet.plan.zone_by_entry_name):
            left_s = started_s + limit_s - time.monotonic()
            launcher.wait_until(
                lambda name=name: self.read(name) == generation,
                f"generation {generation} is in force on {name}; observed "
                f"generations: {self._generations_by_vm}",
                max(0.0, left_s),
            )
        return time.monotonic() - started_s

    def find_rollbacks(self) -> dict[str, list[int]]:
        """Returns the VMs on which an older generation followed a newer one."""
        return {
            name: generations
            for name, generations in self._generations_by_vm.items()
            if generations != sorted(generations)
        }


@contextlib.contextmanager
def observing_generations(fleet: Fleet) -> Iterator[GenerationObserver]:
    """Observes all entry VMs; fails if a generation was rolled back."""
    observer = GenerationObserver(fleet)
    threads = [
        threading.Thread(target=observer.observe, args=(name,))
        for name in fleet.plan.zone_by_entry_name
    ]
    for thread in threads:
        thread.start()
    try:
        yield observer
    finally:
        observer.stop()
        for thread in threads:
            thread.join(30.0)
    rollbacks = observer.find_rollbacks()
    if rollbacks:
        raise AssertionError(
            f"older generations followed newer ones: {rollbacks}"
        )


def accept_example(fleet: Fleet, base: int) -> None:
    """Accepts the example as the generation that follows `base`."""
    accepted = run_cli(
        fleet, "config", "accept", str(EXAMPLE), "--base", str(base)
    )
    if accepted.returncode:
        raise AssertionError(f"not accepted: {accepted.stderr}")


__all__ = ["GenerationObserver", "accept_example", "observing_generations"]
