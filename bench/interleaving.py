"""Runs blocking code of several processes in a chosen interleaving."""

from __future__ import annotations

import threading
from collections.abc import Callable

Choose = Callable[[int], int]
"""Returns a whole number from 0 to below its argument."""


class Death(BaseException):
    """Ends a body whose process died; not an error of the code under test."""


class _Task:
    def __init__(self, body: Callable[[], None]) -> None:
        self.body = body
        self.resumed = threading.Semaphore(0)
        self.dead = False
        self.ended = False
        self.error: Exception | None = None


class Interleaver:
    """Runs bodies on threads of which only one runs at a time."""

    def __init__(self) -> None:
        self._yielded = threading.Semaphore(0)
        self._tasks: list[_Task] = []
        self._current: _Task | None = None

    def add(self, body: Callable[[], None]) -> None:
        """Adds a body; it starts when it is first resumed."""
        task = _Task(body)
        self._tasks.append(task)
        run = threading.Thread(target=self._run, args=(task,), daemon=True)
        run.start()

    def live(self) -> list[int]:
        """Returns the indexes of bodies that can be resumed."""
        return [i for i, task in enumerate(self._tasks) if not task.ended]

    def resume(self, index: int) -> None:
        """Lets a body run to its next pause or to its end."""
        task = self._tasks[index]
        self._current = task
        task.resumed.release()
        self._yielded.acquire()
        if task.error is not None:
            raise task.error

    def kill(self, index: int) -> None:
        """Ends a body at the pause where it is."""
        self._tasks[index].dead = True
        self.resume(index)

    def pause(self) -> None:
        """Called by a body: hands over until it is resumed."""
        task = self._current
        assert task is not None
        if task.dead:
            raise Death
        self._yielded.release()
        task.resumed.acquire()
        if task.dead:
            raise Death

    def _run(self, task: _Task) -> None:
        task.resumed.acquire()
        try:
            if not task.dead:
                task.body()
        except Death:
            pass
        except Exception as error:
            task.error = error
        task.ended = True
        self._yielded.release()


__all__ = ["Choose", "Death", "Interleaver"]
