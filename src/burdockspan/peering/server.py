"""Server of the thrift `Peer` service over framed TCP."""

from __future__ import annotations

import dataclasses
import socket
import threading
import time
from collections.abc import Callable

from absl import logging
from result import Err, Ok, Result
from thrift.transport.TTransport import TTransportException

from burdockspan.gen.peer import Peer, ttypes
from burdockspan.membership.transport import parse_address
from burdockspan.membership.values import Versions
from burdockspan.observe.threads import run_repeatedly
from burdockspan.peering import snapshot as snapshots
from burdockspan.peering.channel import DeadlineSocket, make_protocol
from burdockspan.peering.snapshot import Snapshot

# A configuration of up to 1 MB, the platform's limit, and its frame.
MAX_REQUEST_BYTES = 1024 * 1024 + 64 * 1024
# Bounds the memory for requests at about 17 MB. Further peers wait in the
# backlog of the listening socket.
MAX_CONNECTIONS = 16
REQUEST_TIMEOUT_S = 2.0

_BACKLOG = 128
_CLOSE_TIMEOUT_S = 5.0
_ACCEPT_RETRY_DELAY_S = 0.1


@dataclasses.dataclass(frozen=True)
class PeerHandlers:
    """Functions of the node that the server calls, from many threads.

    Attributes:
      fetch: returns a snapshot with the documents that are newer than the
        given versions.
      offer: receives a configuration, as a generation and a document in UTF-8
        JSON; returns the current generation afterwards.
    """

    fetch: Callable[[Versions], Snapshot]
    offer: Callable[[int, bytes], int]


@dataclasses.dataclass
class ServerCounts:
    """Counters of a server, changed under its lock.

    Attributes:
      accepted: connections accepted.
      failed: connections closed after a malformed, oversize or late request.
      open: connections that are open now.
    """

    accepted: int = 0
    failed: int = 0
    open: int = 0


@dataclasses.dataclass(frozen=True)
class PeerServer:
    """A running server.

    Attributes:
      address: `ip:port` that it listens on.
      close: stops it and waits for its threads.
      counts: counters; not to be changed.
    """

    address: str
    close: Callable[[], None]
    counts: ServerCounts


def make_peer_server(
    address: str,
    handlers: PeerHandlers,
    request_timeout_s: float = REQUEST_TIMEOUT_S,
) -> Result[PeerServer, str]:
    """Starts a server.

    Args:
      address: `ip:port` to listen on; port 0 chooses a free one.
      handlers: functions of the node.
      request_timeout_s: time limit for a request and its response. A
        connection that is idle for this time is closed.

    Returns:
      The server, or why the address could not be bound.
    """
    ip_and_port = parse_address(address)
    if ip_and_port is None:
        return Err(f"{address!r} is not ip:port")
    try:
        listener = socket.create_server(ip_and_port, backlog=_BACKLOG)
    except (OSError, OverflowError) as error:
        return Err(f"cannot listen on TCP {address}: {error}")
    state = _State(handlers, request_timeout_s)
    acceptor = threading.Thread(
        target=lambda: run_repeatedly(
            lambda: _accept_all(listener, state), "peer-acceptor", state.closing
        ),
        name="peer-acceptor",
        daemon=True,
    )
    acceptor.start()

    def close() -> None:
        state.closing.set()
        _shut_down(listener)
        acceptor.join(_CLOSE_TIMEOUT_S)
        listener.close()
        with state.lock:
            connections = dict(state.connection_by_thread)
        for thread, connection in connections.items():
            _shut_down(connection)
            thread.join(_CLOSE_TIMEOUT_S)

    ip, port = listener.getsockname()[:2]
    return Ok(PeerServer(f"{ip}:{port}", close, state.counts))


class _State:
    """State that the threads of one server share."""

    def __init__(self, handlers: PeerHandlers, timeout_s: float) -> None:
        self.processor = Peer.Processor(_Handler(handlers))
        self.timeout_s = timeout_s
        self.counts = ServerCounts()
        self.closing = threading.Event()
        self.lock = threading.Lock()
        self.slots = threading.BoundedSemaphore(MAX_CONNECTIONS)
        self.connection_by_thread: dict[threading.Thread, socket.socket] = {}


class _Handler:
    """Adapts the node's functions to the generated processor."""

    def __init__(self, handlers: PeerHandlers) -> None:
        self._handlers = handlers

    def fetch(
        self, configuration_generation: int, vm_list_version: int
    ) -> ttypes.Snapshot:
        """Returns a snapshot for a VM that has the given versions."""
        known = Versions(configuration_generation or 0, vm_list_version or 0)
        return snapshots.to_thrift(self._handlers.fetch(known))

    def offer(self, configuration_generation: int, configuration: bytes) -> int:
        """Receives a configuration; returns the current generation."""
        return self._handlers.offer(
            configuration_generation or 0, configuration or b""
        )


def _accept_all(listener: socket.socket, state: _State) -> None:
    while not state.closing.is_set():
        if not state.slots.acquire(timeout=state.timeout_s):
            continue
        try:
            connection, _ = listener.accept()
        except OSError:
            state.slots.release()
            # While no file descriptor is free, accept fails at once. The delay
            # avoids a busy loop.
            state.closing.wait(_ACCEPT_RETRY_DELAY_S)
            continue
        thread = threading.Thread(
            target=_serve,
            args=(connection, state),
            name="peer-connection",
            daemon=True,
        )
        with state.lock:
            state.counts.accepted += 1
            state.counts.open += 1
            state.connection_by_thread[thread] = connection
        try:
            thread.start()
        except RuntimeError as error:
            logging.error("no thread started for a peer: %s", error)
            _forget_connection(state, thread)
            connection.close()
            state.slots.release()


def _forget_connection(state: _State, thread: threading.Thread) -> None:
    with state.lock:
        state.counts.open -= 1
        del state.connection_by_thread[thread]


def _serve(connection: socket.socket, state: _State) -> None:
    channel = DeadlineSocket(connection, time.monotonic() + state.timeout_s)
    protocol = make_protocol(channel, MAX_REQUEST_BYTES)
    failed = False
    try:
        while not state.closing.is_set():
            channel.deadline_s = time.monotonic() + state.timeout_s
            state.processor.process(protocol, protocol)
    except TTransportException as error:
        failed = error.type != TTransportException.END_OF_FILE
    except Exception as error:  # The C decoder raises errors of several types.
        failed = True
        logging.debug("peer request failed: %r", error)
    finally:
        with state.lock:
            state.counts.failed += failed
        _forget_connection(state, threading.current_thread())
        channel.close()
        state.slots.release()


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # Already closed by the peer.
        return


__all__ = [
    "MAX_CONNECTIONS",
    "MAX_REQUEST_BYTES",
    "PeerHandlers",
    "PeerServer",
    "REQUEST_TIMEOUT_S",
    "ServerCounts",
    "make_peer_server",
]
