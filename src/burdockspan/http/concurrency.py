"""The number of calls that are served at a time."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any


class ActiveCalls:
    """Counts the active calls, up to a limit."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._active = 0

    def enter(self) -> bool:
        """Counts a call; False if as many as the limit are active."""
        with self._lock:
            if self._active >= self._limit:
                return False
            self._active += 1
            return True

    def leave(self) -> None:
        """Ends a call that was counted."""
        with self._lock:
            self._active -= 1


class CountedBody:
    """A WSGI body whose call is active until the server closes it."""

    def __init__(
        self, body: Iterable[bytes], leave: Callable[[], None]
    ) -> None:
        self._body = body
        self._leave = leave

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        """Closes the body and ends the call; further calls do nothing."""
        leave, self._leave = self._leave, lambda: None
        close: Any = getattr(self._body, "close", None)
        try:
            if close is not None:
                close()
        finally:
            leave()


__all__ = ["ActiveCalls", "CountedBody"]
