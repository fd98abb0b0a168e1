"""Limit of concurrent calls."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any


class ActiveCalls:
    """Counts the calls in progress, up to a limit."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._active = 0

    def enter(self) -> bool:
        """Counts a new call; False if the limit is reached."""
        with self._lock:
            if self._active >= self._limit:
                return False
            self._active += 1
            return True

    def leave(self) -> None:
        """Removes a call that `enter` counted."""
        with self._lock:
            self._active -= 1


class CountedBody:
    """A WSGI body whose call counts as active until the server closes it."""

    def __init__(
        self, body: Iterable[bytes], leave: Callable[[], None]
    ) -> None:
        self._body = body
        self._leave = leave

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        """Closes the body and removes the call; later calls have no effect."""
        leave, self._leave = self._leave, lambda: None
        close: Any = getattr(self._body, "close", None)
        try:
            if close is not None:
                close()
        finally:
            leave()


__all__ = ["ActiveCalls", "CountedBody"]
