"""Access from other threads to a node that may not be running."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TypeVar, cast

import pykka

from burdockspan.node.messages import ReadState
from burdockspan.node.tables import Tables

_T = TypeVar("_T")

_START_TIMEOUT_S = 1.0


class NodeHandle:
    """Sends messages to the node once it has started."""

    def __init__(self) -> None:
        self._node: pykka.ActorRef | None = None
        self._connected = threading.Event()

    def connect(self, node: pykka.ActorRef) -> None:
        """Sets the node, which lets waiting senders continue."""
        self._node = node
        self._connected.set()

    def tell(self, message: object) -> bool:
        """Sends a message; returns False if no node is running.

        Waits for a node that is being started, because datagrams arrive before
        it runs.
        """
        self._connected.wait(_START_TIMEOUT_S)
        if self._node is None:
            return False
        try:
            self._node.tell(message)
        except pykka.ActorDeadError:
            return False
        return True

    def read(self, function: Callable[[Tables], _T], default: _T) -> _T:
        """Runs a function of the tables on the node's thread.

        Returns its result, or the default if no node is running. Must not be
        called on the node's own thread, which would deadlock.
        """
        if self._node is None:
            return default
        try:
            return cast(_T, self._node.ask(ReadState(function)))
        except pykka.ActorDeadError:
            return default

    def stop(self, timeout_s: float) -> None:
        """Stops the node and waits for its thread."""
        if self._node is not None:
            self._node.stop(block=True, timeout=timeout_s)


__all__ = ["NodeHandle"]
