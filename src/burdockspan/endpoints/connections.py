"""Connections to endpoints: reuse, time limits and replacement."""

from __future__ import annotations

import collections
import dataclasses
import socket
import threading
from collections.abc import Callable

from result import Err, Ok, Result

from burdockspan.endpoints.exchange import (
    Call,
    Exchange,
    Held,
    Keeper,
    discard,
    exchange_head,
)
from burdockspan.endpoints.failures import (
    ERRORS,
    classify_error,
    make_not_connected,
)
from burdockspan.endpoints.sockets import AbortHandle, SilenceWatch
from burdockspan.endpoints.whole_heads import WholeHeadConnection
from burdockspan.values.clock import Clock
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import Failure, FailureKind

# A firewall or a restarted host may have dropped an idle connection without a
# FIN; replacing it costs one round trip.
IDLE_LIMIT_S = 5.0
IDLE_LIMIT_COUNT = 32
_REPEATABLE = ("GET", "HEAD", "DELETE")

_SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 20_000),
]


class Connections:
    """Idle connections by address of the endpoint."""

    def __init__(
        self, clock: Clock, connect_timeout: Callable[[], float]
    ) -> None:
        self._clock = clock
        self._connect_timeout = connect_timeout
        self._lock = threading.Lock()
        self._idle_by_address: dict[str, collections.deque[Held]] = {}
        self._oldest_by_address: dict[str, float] = {}
        self._swept_s = clock()
        self._watch = SilenceWatch(clock)
        self._keeper = Keeper(self.keep, self._watch, clock)

    def start_exchange(
        self, call: Call, abort: AbortHandle | None = None
    ) -> Result[Exchange, Failure]:
        """Sends a call and waits for the head of its answer.

        Returns:
          The exchange, which the caller must close, or the failure. Only
          `NOT_CONNECTED` says that no byte was sent.
        """
        opened = self._take(call)
        if isinstance(opened, Err):
            return opened
        held = opened.ok_value
        reused = held.idle_since_s is not None
        outcome = self._send(call, held, abort)
        if (
            isinstance(outcome, Err)
            and reused
            and call.method in _REPEATABLE
            and outcome.err_value.kind is FailureKind.CONNECTION_LOST
        ):
            # The endpoint closed an idle connection just as it was reused.
            return self.start_exchange(
                dataclasses.replace(call, fresh=True), abort
            )
        return outcome

    def _send(
        self, call: Call, held: Held, abort: AbortHandle | None
    ) -> Result[Exchange, Failure]:
        if abort is not None:
            abort.add(held.sock)
            if abort.aborted:
                discard(held, abort)
                return Err(
                    make_not_connected(call.endpoint, "attempt was aborted")
                )
        try:
            response = exchange_head(call, held)
        except ERRORS as error:
            discard(held, abort)
            return Err(classify_error(call.endpoint, str(call), error))
        return Ok(Exchange(call, held, response, abort, self._keeper))

    def accepts_connections(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint accepts a connection."""
        opened = self._open(endpoint)
        if isinstance(opened, Err):
            return False
        discard(opened.ok_value)
        return True

    def keep(self, address: str, held: Held) -> None:
        """Keeps a connection for a later call."""
        if held.connection.sock is None:
            discard(held)
            return
        now_s = self._clock()
        kept = dataclasses.replace(held, idle_since_s=now_s)
        with self._lock:
            idle = self._idle_by_address.setdefault(
                address, collections.deque()
            )
            idle.append(kept)
            surplus = [idle.popleft()] if len(idle) > IDLE_LIMIT_COUNT else []
            if now_s - self._swept_s > IDLE_LIMIT_S:
                self._swept_s = now_s
                surplus += self._remove_expired(now_s)
        for old in surplus:
            discard(old)

    def _remove_expired(self, now_s: float) -> list[Held]:
        expired = []
        for address, idle in list(self._idle_by_address.items()):
            while idle and _is_expired(idle[0], now_s):
                expired.append(idle.popleft())
            if not idle:
                del self._idle_by_address[address]
        return expired

    def retire_connections(self, address: str) -> None:
        """Closes idle connections and keeps none that is now in use."""
        with self._lock:
            self._oldest_by_address[address] = self._clock()
            idle = self._idle_by_address.pop(address, collections.deque())
        for held in idle:
            discard(held)

    def close(self) -> None:
        """Closes all idle connections."""
        self._watch.close()
        with self._lock:
            addresses = list(self._idle_by_address)
        for address in addresses:
            self.retire_connections(address)

    def _take(self, call: Call) -> Result[Held, Failure]:
        if not call.fresh:
            while (held := self._pop(call.endpoint.address)) is not None:
                if self._usable(call.endpoint.address, held):
                    return Ok(held)
                discard(held)
        return self._open(call.endpoint)

    def _pop(self, address: str) -> Held | None:
        with self._lock:
            idle = self._idle_by_address.get(address)
            return idle.pop() if idle else None

    def _usable(self, address: str, held: Held) -> bool:
        oldest_s = self._oldest_by_address.get(address)
        if oldest_s is not None and held.opened_s <= oldest_s:
            return False
        if _is_expired(held, self._clock()):
            return False
        # A readable idle connection was closed by the peer or carries bytes
        # that belong to no call of ours.
        return held.connection.is_connected

    def _open(self, endpoint: Endpoint) -> Result[Held, Failure]:
        host, _, port = endpoint.address.rpartition(":")
        connection = WholeHeadConnection(
            host,
            int(port),
            timeout=self._connect_timeout(),
            socket_options=_SOCKET_OPTIONS,
        )
        opened_s = self._clock()
        try:
            connection.connect()
        except ERRORS as error:
            connection.close()
            return Err(make_not_connected(endpoint, str(error)))
        if connection.sock is None:
            return Err(make_not_connected(endpoint, "no socket"))
        return Ok(Held(connection, connection.sock, opened_s))


def make_connections(
    clock: Clock, connect_timeout: Callable[[], float]
) -> Connections:
    """Returns connections of a process, none open yet.

    Args:
      clock: monotonic clock, in seconds.
      connect_timeout: returns the longest time for a new connection, in
        seconds, as the configuration in force has it.
    """
    return Connections(clock, connect_timeout)


def _is_expired(held: Held, now_s: float) -> bool:
    since_s = held.idle_since_s
    return since_s is not None and now_s - since_s > IDLE_LIMIT_S


__all__ = ["IDLE_LIMIT_S", "Connections", "make_connections"]
