"""Runs the blocking code of several processes in a chosen interleaving."""

from __future__ import annotations

import threading
from collections.abc import Callable

Choose = Callable[[int], int]
"""Returns a whole number from 0 to below its argument."""


class ProcessKilled(BaseException):
    """Ends a body whose process was killed; no error of the code under test."""


class _Task:
    def __init__(self, body: Callable[[], None]) -> None:
        self.body = body
        self.resumed = threading.Semaphore(0)
        self.killed = False
        self.ended = False
        self.error: Exception | None = None


class Interleaver:
    """Runs each body on a thread of its own, only one of them at a time."""

    def __init__(self) -> None:
        # Released when the running body pauses or ends.
        self._paused = threading.Semaphore(0)
        self._tasks: list[_Task] = []
        self._current: _Task | None = None

    def add(self, body: Callable[[], None]) -> None:
        """Adds a body; it starts when it is first resumed."""
        task = _Task(body)
        self._tasks.append(task)
        thread = threading.Thread(target=self._run, args=(task,), daemon=True)
        thread.start()

    def live_tasks(self) -> list[int]:
        """Returns the indexes of the bodies that have not ended."""
        return [i for i, task in enumerate(self._tasks) if not task.ended]

    def resume(self, index: int) -> None:
        """Lets a body run to its next pause or to its end."""
        task = self._tasks[index]
        self._current = task
        task.resumed.release()
        self._paused.acquire()
        if task.error is not None:
            raise task.error

    def kill(self, index: int) -> None:
        """Ends a body at its current pause."""
        self._tasks[index].killed = True
        self.resume(index)

    def pause(self) -> None:
        """Suspends the calling body until it is resumed."""
        task = self._current
        assert task is not None
        if task.killed:
            raise ProcessKilled
        self._paused.release()
        task.resumed.acquire()
        if task.killed:
            raise ProcessKilled

    def _run(self, task: _Task) -> None:
        task.resumed.acquire()
        try:
            if not task.killed:
                task.body()
        except ProcessKilled:
            pass
        except Exception as error:
            task.error = error
        task.ended = True
        self._paused.release()


__all__ = ["Choose", "Interleaver", "ProcessKilled"]
