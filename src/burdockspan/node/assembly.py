"""Wires and runs an entry process."""

from __future__ import annotations

import dataclasses
import random
import signal
import threading
import time
from collections.abc import Callable
from typing import Any, cast

import pykka
from result import Err

from burdockspan.claims.settlement import Settlement, make_settlement
from burdockspan.claims.store import make_claims
from burdockspan.configuration.document import Policy
from burdockspan.endpoints.connections import make_connections
from burdockspan.http.admin import make_admin_application
from burdockspan.http.application import make_application
from burdockspan.http.ports import Ports
from burdockspan.http.server import (
    Server,
    make_admin_server,
    make_caller_server,
)
from burdockspan.membership import ownership, table
from burdockspan.membership.table import make_members
from burdockspan.membership.transport import Transport, make_transport
from burdockspan.node import messages
from burdockspan.node.actor import Node
from burdockspan.node.context import Context
from burdockspan.node.feed import Feed, make_feed
from burdockspan.node.performer import Outlets, Performer, make_performer
from burdockspan.node.port import make_peer_handlers, make_router
from burdockspan.node.tables import Tables
from burdockspan.observe.logs import configure_logs, log_change, log_fault
from burdockspan.observe.metrics import make_metrics
from burdockspan.observe.traces import make_traces
from burdockspan.peering.client import make_peer_client
from burdockspan.peering.server import PeerServer, make_peer_server
from burdockspan.placement.prefix import block_hashes
from burdockspan.platform.client import PlatformClient
from burdockspan.platform.connection import connect_platform
from burdockspan.settings import Settings
from burdockspan.values.clock import make_monotonic_clock, make_wall_clock

_TICK_S = 0.05
# Running calls get this long to end after SIGTERM; a stream may be long.
_STOP_LIMIT_S = 3600.0
_FAREWELL_S = 1.0
_OK = 0
_FAILED = 1


def run_entry(settings: Settings) -> int:
    """Runs an entry process until SIGTERM or SIGINT.

    A signal starts a graceful stop: new calls are refused, running calls end,
    and the other entry VMs are told.

    Returns:
      The exit code of the process.
    """
    configure_logs()
    process = _Process(settings)
    problem = process.start()
    if problem is not None:
        log_fault("entry process cannot start", problem=problem)
        process.close()
        return _FAILED
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    log_change("started", vm=settings.vm, caller_address=process.address)
    stop.wait()
    log_change("stopping", vm=settings.vm)
    process.drain()
    process.close()
    log_change("stopped", vm=settings.vm)
    return _OK


class _Process:
    """The running parts of an entry process."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._context = Context(
            settings,
            make_monotonic_clock(),
            make_wall_clock(),
            random.Random().random,
        )
        self._stopping = threading.Event()
        self._node: pykka.ActorRef | None = None
        self._transport: Transport | None = None
        self._peer_server: PeerServer | None = None
        self._performer: Performer | None = None
        self._feed: Feed | None = None
        self._settlement: Settlement | None = None
        self._servers: list[Server] = []
        self._closers: list[Callable[[], None]] = []
        self._caller_server: Server | None = None

    @property
    def address(self) -> str:
        """`ip:port` that callers connect to."""
        server = self._caller_server
        return "" if server is None else server.address

    def start(self) -> str | None:
        """Starts all parts; returns what went wrong, None if nothing did."""
        settings, context = self._settings, self._context
        # Parts that receive may run before the node exists.
        ready = threading.Event()

        def tell(message: object) -> None:
            if ready.wait(_FAREWELL_S) and self._node is not None:
                _tell(self._node, message)

        transport = make_transport(
            settings.peer_address,
            lambda message: tell(
                messages.PeerMessage(message, context.clock())
            ),
        )
        if isinstance(transport, Err):
            return transport.err_value
        self._transport = transport.ok_value
        metrics = make_metrics(settings.statsd_address)
        traces = make_traces(
            settings.traces_url, settings.trace_ratio, settings.vm
        )
        self._closers += [traces.close, metrics.close]
        connections = make_connections(
            context.clock, lambda: self._policy().connect_timeout_s
        )
        client = connect_platform(
            settings.platform_url, settings.vm, context.clock, context.draw
        )
        self._feed = make_feed(
            client, tell, self._is_watcher, self._count_zone_vms, context.draw
        )
        self._performer = make_performer(
            Outlets(
                connections,
                make_peer_client(),
                self._transport.send,
                self._feed.read_once,
                metrics,
                context.clock,
                tell,
            )
        )
        members = make_members(
            vm=settings.vm,
            address=settings.peer_address,
            availability_zone=settings.availability_zone,
            region=settings.region,
            seeds=settings.peers,
            now_s=context.clock(),
            wall_s=context.wall_clock(),
        )
        self._node = Node.start(
            Tables(members), context, self._performer.perform
        )
        ready.set()
        peer_server = make_peer_server(
            settings.peer_address, make_peer_handlers(self._node, context)
        )
        if isinstance(peer_server, Err):
            return peer_server.err_value
        self._peer_server = peer_server.ok_value
        settlement = make_settlement(context.clock, context.draw)
        self._settlement = settlement
        router = make_router(
            self._node,
            context,
            lambda: _describe_platform(settlement, client),
        )
        claims = make_claims(
            client,
            settlement,
            context.wall_clock,
            lambda: self._policy().key_retention_s,
        )
        ports = Ports(
            router,
            claims,
            connections,
            context.clock,
            block_hashes,
            metrics,
            traces,
        )
        try:
            self._caller_server = make_caller_server(
                make_application(ports, settings.threads),
                settings.caller_address,
                settings.threads,
                lambda: self._policy().body_limit_bytes,
            )
            admin = make_admin_server(
                make_admin_application(router), settings.admin_address
            )
        except OSError as error:
            return f"cannot listen: {error}"
        self._servers = [self._caller_server, admin]
        self._settlement.start()
        self._feed.start()
        for server in self._servers:
            _start_thread(server.run, "http-server")
        _start_thread(self._tick, "ticker")
        return None

    def drain(self) -> None:
        """Refuses new calls and waits until the running ones have ended."""
        if self._node is None:
            return
        self._read(_begin_stop)
        end_s = time.monotonic() + _STOP_LIMIT_S
        while time.monotonic() < end_s and not self._is_idle():
            time.sleep(_TICK_S)
        while (
            self._settlement is not None
            and self._settlement.counts().waiting
            and time.monotonic() < end_s
        ):
            time.sleep(_TICK_S)
        _tell(self._node, messages.Leave())
        # Ticks spread the word before the socket closes.
        time.sleep(_FAREWELL_S)

    def _is_idle(self) -> bool:
        server = self._caller_server
        answering = server is not None and server.busy()
        return not answering and self._read(_is_idle)

    def close(self) -> None:
        """Ends all parts."""
        self._stopping.set()
        for server in self._servers:
            server.stop()
        if self._feed is not None:
            self._feed.stop()
        if self._settlement is not None:
            self._settlement.stop()
        if self._peer_server is not None:
            self._peer_server.close()
        if self._transport is not None:
            self._transport.close()
        if self._node is not None:
            self._node.stop(block=True, timeout=_FAREWELL_S)
        if self._performer is not None:
            self._performer.close()
        for close in self._closers:
            close()

    def _tick(self) -> None:
        next_s = self._context.clock()
        while not self._stopping.is_set():
            node = self._node
            if node is None or not _tell(node, messages.Tick()):
                return
            next_s = max(next_s + _TICK_S, self._context.clock())
            self._stopping.wait(next_s - self._context.clock())

    def _policy(self) -> Policy:
        """Returns the limits in force; not for the node's own thread."""
        if self._node is None:
            return Policy()
        read = messages.ReadState(_policy_in_force)
        return cast(Policy, self._node.ask(read))

    def _is_watcher(self) -> bool:
        if self._node is None:
            return False
        return self._read(_is_watcher)

    def _count_zone_vms(self) -> int:
        if self._node is None:
            return 1
        read = messages.ReadState(_count_zone_vms)
        try:
            return cast(int, self._node.ask(read))
        except pykka.ActorDeadError:
            return 1

    def _read(self, function: Callable[[Tables], bool]) -> bool:
        node = self._node
        if node is None:
            return False
        try:
            return bool(node.ask(messages.ReadState(function)))
        except pykka.ActorDeadError:
            return False


def _tell(node: pykka.ActorRef, message: object) -> bool:
    try:
        node.tell(message)
    except pykka.ActorDeadError:
        return False
    return True


def _describe_platform(
    settlement: Settlement, client: PlatformClient
) -> dict[str, Any]:
    calls = client.counts()
    return {
        # Final writes of claims that wait for the platform, and the rest.
        "claims": dataclasses.asdict(settlement.counts()),
        "platform_calls": {
            "by_operation": calls.by_operation,
            "by_outcome": calls.by_outcome,
            "limited": calls.limited,
        },
    }


def _start_thread(run: Callable[[], None], name: str) -> None:
    threading.Thread(target=run, name=name, daemon=True).start()


def _policy_in_force(tables: Tables) -> Policy:
    active = tables.adoption.active
    return Policy() if active is None else active.policy


def _begin_stop(tables: Tables) -> bool:
    tables.stopping = True
    return True


def _is_idle(tables: Tables) -> bool:
    return not tables.requests_by_id and not tables.releases


def _count_zone_vms(tables: Tables) -> int:
    zone = tables.members.me.availability_zone
    return len(table.live_vms(tables.members, zone))


def _is_watcher(tables: Tables) -> bool:
    members = tables.members
    zone = members.me.availability_zone
    return members.vm in ownership.watchers(zone, table.live_vms(members, zone))


__all__ = ["run_entry"]
