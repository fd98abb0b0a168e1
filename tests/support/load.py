"""Continuous background requests through the entry VMs of a fleet."""

from __future__ import annotations

import collections
import contextlib
import threading
from collections.abc import Iterator, Sequence

from standins import launcher
from standins.launcher import Fleet, Process, Response
from tests.support.fleets import AUTHORIZATION, MODEL

_TURN_INTERVAL_S = 0.02


class BackgroundLoad:
    """Threads that send one completion and one service request per turn.

    Attributes:
      problems: failures other than refusals with the outcome `not_run`.
    """

    def __init__(self) -> None:
        self.problems: list[str] = []
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._served: collections.Counter[str] = collections.Counter()

    def run(self, entry: Process) -> None:
        """Sends requests through an entry VM until `stop`."""
        number = 0
        while not self._stopping.wait(_TURN_INTERVAL_S):
            number += 1
            # Prompts differ, because equal ones would be placed on the engine
            # whose prefix cache holds them.
            prompt = f"{number} {entry.name} " * 40
            try:
                responses = (
                    complete(entry, prompt),
                    read_service_status(entry),
                )
            except OSError as error:
                self.problems.append(f"{entry.name}: {error!r}")
                continue
            with self._lock:
                for response in responses:
                    self._count(entry, response)

    def stop(self) -> None:
        """Stops the threads after their current turn."""
        self._stopping.set()

    def wait_for_responses(
        self, entries: Sequence[Process], count: int
    ) -> None:
        """Waits until each entry VM has served this many further requests."""
        served_before = collections.Counter(self._served)
        for entry in entries:
            launcher.wait_until(
                lambda entry=entry: (
                    self._served[entry.name]
                    >= served_before[entry.name] + count
                ),
                f"{entry.name} responds; problems: {self.problems[-3:]}",
            )

    def _count(self, entry: Process, response: Response) -> None:
        if response.status == 200:
            self._served[entry.name] += 1
        elif response.json().get("outcome") != "not_run":
            self.problems.append(f"{entry.name}: {response.body!r}")


def complete(entry: Process, prompt: str = "review") -> Response:
    """Sends a short completion through an entry VM."""
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 2}
    return entry.call("POST", "/v1/completions", body, AUTHORIZATION)


def read_service_status(entry: Process) -> Response:
    """Sends a GET request to the plain service through an entry VM."""
    path = "/services/hajz-app/status"
    return entry.call("GET", path, None, AUTHORIZATION)


@contextlib.contextmanager
def running_load(entries: Sequence[Process]) -> Iterator[BackgroundLoad]:
    """Sends background requests through some entry VMs."""
    load = BackgroundLoad()
    threads = [
        threading.Thread(target=load.run, args=(entry,)) for entry in entries
    ]
    for thread in threads:
        thread.start()
    try:
        yield load
    finally:
        load.stop()
        for thread in threads:
            thread.join(30.0)


def count_received(fleet: Fleet, names: Sequence[str]) -> dict[str, int]:
    """Returns the number of requests by endpoint, including refused ones."""
    return {
        name: len(
            fleet.processes_by_name[name]
            .call("GET", "/seen")
            .json()["requests"]
        )
        for name in names
    }


__all__ = [
    "BackgroundLoad",
    "complete",
    "count_received",
    "read_service_status",
    "running_load",
]
