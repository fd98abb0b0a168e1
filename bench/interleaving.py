"""Runs the blocking code of several processes in a chosen interleaving."""

from __future__ import annotations

import threading
from collections.abc import Callable

Choose = Callable[[int], int]
"""Returns a whole number from 0 to below its argument."""


class ProcessKilled(BaseException):
    """Ends the thread of a killed process; not an error of the tested code."""


class _Process:
    """A simulated process, whose code is one function on its own thread."""

    def __init__(self, main: Callable[[], None]) -> None:
        self.main = main
        self.resumed = threading.Semaphore(0)
        self.killed = False
        self.ended = False
        self.error: Exception | None = None


class Interleaver:
    """Runs simulated processes on threads, only one of them at a time.

    The code of a process calls `pause` wherever another process may run.
    """

    def __init__(self) -> None:
        # Released when the running process pauses or ends.
        self._paused = threading.Semaphore(0)
        self._processes: list[_Process] = []
        self._current: _Process | None = None

    def add(self, main: Callable[[], None]) -> None:
        """Adds a process that runs `main` from its first `resume` on."""
        process = _Process(main)
        self._processes.append(process)
        thread = threading.Thread(
            target=self._run, args=(process,), daemon=True
        )
        thread.start()

    def live_processes(self) -> list[int]:
        """Returns the indexes of the processes that have not ended."""
        return [
            i for i, process in enumerate(self._processes) if not process.ended
        ]

    def resume(self, index: int) -> None:
        """Runs a process until it pauses or ends, and raises its error."""
        process = self._processes[index]
        self._current = process
        process.resumed.release()
        self._paused.acquire()
        if process.error is not None:
            raise process.error

    def kill(self, index: int) -> None:
        """Ends a process at its current pause."""
        self._processes[index].killed = True
        self.resume(index)

    def pause(self) -> None:
        """Suspends the calling process until it is resumed."""
        process = self._current
        assert process is not None
        if process.killed:
            raise ProcessKilled
        self._paused.release()
        process.resumed.acquire()
        if process.killed:
            raise ProcessKilled

    def _run(self, process: _Process) -> None:
        process.resumed.acquire()
        try:
            if not process.killed:
                process.main()
        except ProcessKilled:
            pass
        except Exception as error:
            process.error = error
        process.ended = True
        self._paused.release()


__all__ = ["Choose", "Interleaver", "ProcessKilled"]
