"""Connection pool for calls to endpoints."""

from __future__ import annotations

import collections
import dataclasses
import socket
import threading
from collections.abc import Callable

from result import Err, Ok, Result

from burdockspan.endpoints.call_timer import CallTimer
from burdockspan.endpoints.exchange import (
    Call,
    Exchange,
    ExchangeContext,
    OpenConnection,
    close_connection,
    send_call,
)
from burdockspan.endpoints.failures import (
    CALL_ERRORS,
    classify_error,
    make_not_connected,
)
from burdockspan.endpoints.sockets import AbortHandle, IdleTimeoutMonitor
from burdockspan.endpoints.strict_connection import WholeHeadConnection
from burdockspan.values.clock import Clock
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import Failure, FailureKind

# A connection that has been idle for longer is replaced, since a firewall or a
# restarted host may have dropped it without a FIN. A new connection costs one
# round trip.
IDLE_LIMIT_S = 5.0
_IDLE_LIMIT_PER_ADDRESS = 32
_RETRYABLE_METHODS = ("GET", "HEAD", "DELETE")

# As for callers in `http/listener`, a lost endpoint is given up after 20 s.
SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 20_000),
]


class Connections:
    """Connection pool for endpoints, keyed by address.

    Attributes:
      clock: monotonic clock, in seconds.
    """

    def __init__(
        self, clock: Clock, connect_timeout: Callable[[], float]
    ) -> None:
        self.clock = clock
        self._connect_timeout = connect_timeout
        self._lock = threading.Lock()
        self._idle_by_address: dict[str, collections.deque[OpenConnection]] = {}
        self._retired_s_by_address: dict[str, float] = {}
        self._last_expiry_s = clock()
        self._monitor = IdleTimeoutMonitor(clock)
        self._context = ExchangeContext(
            self.keep_connection, self._monitor, clock
        )

    def start_exchange(
        self, call: Call, abort: AbortHandle | None = None
    ) -> Result[Exchange, Failure]:
        """Sends a call and waits for the headers of its response.

        Returns:
          The exchange, which must be closed, or the failure. Only
          `NOT_CONNECTED` guarantees that no byte was sent.
        """
        timer = CallTimer(
            self.clock,
            call.time_limit_s,
            call.first_byte_timeout_s,
            call.on_silence,
        )
        return self._start_exchange(call, abort, timer)

    def _start_exchange(
        self, call: Call, abort: AbortHandle | None, timer: CallTimer
    ) -> Result[Exchange, Failure]:
        acquired = self._acquire(call, timer)
        if isinstance(acquired, Err):
            return acquired
        connection = acquired.ok_value
        reused = connection.idle_since_s is not None
        outcome = self._send(call, connection, abort, timer)
        if (
            isinstance(outcome, Err)
            and reused
            and call.method in _RETRYABLE_METHODS
            and outcome.err_value.kind is FailureKind.CONNECTION_LOST
        ):
            # The endpoint probably closed the idle connection while the call
            # was sent. These methods are idempotent, so the call is repeated.
            return self._start_exchange(
                dataclasses.replace(call, fresh=True), abort, timer
            )
        return outcome

    def _send(
        self,
        call: Call,
        connection: OpenConnection,
        abort: AbortHandle | None,
        timer: CallTimer,
    ) -> Result[Exchange, Failure]:
        if abort is not None:
            abort.add(connection.sock)
            if abort.aborted:
                close_connection(connection, abort)
                return Err(
                    make_not_connected(call.endpoint, "attempt was aborted")
                )
        try:
            response = send_call(call, connection, timer)
        except CALL_ERRORS as error:
            close_connection(connection, abort)
            failure = classify_error(
                call.endpoint, str(call), error, timer.ended_by
            )
            return Err(failure)
        exchange = Exchange(
            call, connection, response, abort, self._context, timer
        )
        return Ok(exchange)

    def accepts_connections(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint accepts a new connection."""
        opened = self._open(endpoint, CallTimer(self.clock))
        if isinstance(opened, Err):
            return False
        close_connection(opened.ok_value)
        return True

    def keep_connection(self, address: str, connection: OpenConnection) -> None:
        """Keeps a connection for later calls; closes it if it has no socket."""
        if connection.http_connection.sock is None:
            close_connection(connection)
            return
        now_s = self.clock()
        kept = dataclasses.replace(connection, idle_since_s=now_s)
        with self._lock:
            idle = self._idle_by_address.setdefault(
                address, collections.deque()
            )
            idle.append(kept)
            surplus = (
                [idle.popleft()] if len(idle) > _IDLE_LIMIT_PER_ADDRESS else []
            )
            if now_s - self._last_expiry_s > IDLE_LIMIT_S:
                self._last_expiry_s = now_s
                surplus += self._remove_expired(now_s)
        for old in surplus:
            close_connection(old)

    def _remove_expired(self, now_s: float) -> list[OpenConnection]:
        expired = []
        for address, idle in list(self._idle_by_address.items()):
            while idle and _is_expired(idle[0], now_s):
                expired.append(idle.popleft())
            if not idle:
                del self._idle_by_address[address]
        return expired

    def retire_connections(self, address: str) -> None:
        """Stops the reuse of all connections that are open to an address.

        Idle connections are closed at once, the others after their response.
        """
        with self._lock:
            self._retired_s_by_address[address] = self.clock()
            idle = self._idle_by_address.pop(address, collections.deque())
        for connection in idle:
            close_connection(connection)

    def close(self) -> None:
        """Closes all idle connections."""
        self._monitor.close()
        with self._lock:
            addresses = list(self._idle_by_address)
        for address in addresses:
            self.retire_connections(address)

    def _acquire(
        self, call: Call, timer: CallTimer
    ) -> Result[OpenConnection, Failure]:
        if not call.fresh:
            while (idle := self._pop_idle(call.endpoint.address)) is not None:
                if self._is_usable(call.endpoint.address, idle):
                    return Ok(idle)
                close_connection(idle)
        return self._open(call.endpoint, timer)

    def _pop_idle(self, address: str) -> OpenConnection | None:
        with self._lock:
            idle = self._idle_by_address.get(address)
            return idle.pop() if idle else None

    def _is_usable(self, address: str, connection: OpenConnection) -> bool:
        retired_s = self._retired_s_by_address.get(address)
        if retired_s is not None and connection.opened_s <= retired_s:
            return False
        if _is_expired(connection, self.clock()):
            return False
        # An idle connection that is readable was closed by the endpoint or
        # carries bytes that belong to no call of this process.
        return connection.http_connection.is_connected

    def _open(
        self, endpoint: Endpoint, timer: CallTimer
    ) -> Result[OpenConnection, Failure]:
        host, _, port = endpoint.address.rpartition(":")
        connection = WholeHeadConnection(
            host, int(port), socket_options=SOCKET_OPTIONS
        )
        opened_s = self.clock()
        try:
            connection.timeout = min(
                self._connect_timeout(), timer.remaining_s()
            )
            connection.connect()
        except CALL_ERRORS as error:
            connection.close()
            return Err(make_not_connected(endpoint, str(error)))
        if connection.sock is None:
            return Err(make_not_connected(endpoint, "no socket"))
        return Ok(OpenConnection(connection, connection.sock, opened_s))


def make_connections(
    clock: Clock, connect_timeout: Callable[[], float]
) -> Connections:
    """Returns the connection pool of a process, which is empty at first.

    Args:
      clock: monotonic clock, in seconds.
      connect_timeout: returns the connect timeout of the current
        configuration, in seconds.
    """
    return Connections(clock, connect_timeout)


def _is_expired(connection: OpenConnection, now_s: float) -> bool:
    since_s = connection.idle_since_s
    return since_s is not None and now_s - since_s > IDLE_LIMIT_S


__all__ = [
    "IDLE_LIMIT_S",
    "SOCKET_OPTIONS",
    "Connections",
    "make_connections",
]
