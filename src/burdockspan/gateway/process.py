"""Runs a gateway process from its start to its graceful stop."""

from __future__ import annotations

import dataclasses
import random
import signal
import sys
import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from burdockspan.gateway import stages
from burdockspan.gateway.admission import WaitingLines
from burdockspan.gateway.application import Running, make_handler
from burdockspan.gateway.balance import balance
from burdockspan.gateway.budget import RetryLedger
from burdockspan.gateway.context import Context
from burdockspan.gateway.crashes import Crashes
from burdockspan.gateway.discovery import (
    Follower,
    follow,
    make_followers,
)
from burdockspan.gateway.full import FullMarks
from burdockspan.gateway.ingress import make_ingress
from burdockspan.gateway.members import BEAT_S, UNKNOWN_VMS, Members
from burdockspan.gateway.members import run as run_members
from burdockspan.gateway.orders import Orderer
from burdockspan.gateway.ports import Platform
from burdockspan.gateway.queues import Queues
from burdockspan.gateway.replies import make_status_line
from burdockspan.gateway.settings import GatewaySettings
from burdockspan.gateway.stages import DemandMeter
from burdockspan.gateway.stopping import Stopping
from burdockspan.gateway.tables import Tables
from burdockspan.http.listener import Server, make_server
from burdockspan.observe.event_log import WriteEvent, make_event_log
from burdockspan.observe.logs import configure_logs
from burdockspan.observe.registry import make_registry
from burdockspan.values.clock import (
    Clock,
    make_boot_clock,
    make_monotonic_clock,
    make_wall_clock,
)

# The application refuses requests beyond the limit, for which it needs threads
# of its own; in the queue of waitress they would wait unseen.
_SPARE_THREADS = 4
_STATUS_THREADS = 1
_TICK_S = 0.1
# A VM gives orders only once it has seen the engines at two beats or more.
_LEAST_UPTIME_S = 2.5 * BEAT_S
_OK = 0


@dataclasses.dataclass(frozen=True)
class Parts:
    """The parts of a gateway process.

    Attributes:
      settings: settings of the process.
      context: what the handlers share.
      ingress: server for callers.
      status_servers: readiness and metrics.
      members: counts the VMs.
      running: counts the requests that are being handled.
      stopped: set once its threads are to end.
    """

    settings: GatewaySettings
    context: Context
    ingress: Server
    status_servers: tuple[Server, ...]
    members: Members
    running: Running
    stopped: threading.Event


def make_parts(
    settings: GatewaySettings,
    make_platform: Callable[[str, Clock], Platform],
    clock: Clock,
    log: WriteEvent,
) -> Parts:
    """Returns the parts, listening but not yet serving.

    Args:
      settings: settings of the process.
      make_platform: factory of the platform's adapter, given the address of
        the store and a clock.
      clock: monotonic clock, in seconds.
      log: writes a line about a decision.
    """
    tables = Tables(settings.availability_zone, clock)
    platform = make_platform(settings.store_address, clock)
    context = Context(
        platform=platform,
        tables=tables,
        budget=RetryLedger(settings.retry_budget, clock, UNKNOWN_VMS),
        crashes=Crashes(
            platform.store, platform.endpoints.reachable, clock, log
        ),
        demand=DemandMeter(clock),
        queues=Queues(),
        full=FullMarks(),
        lines=WaitingLines(clock),
        stopping=Stopping(settings.grace_s, clock),
        clock=clock,
        random_float=random.Random().random,
        log=log,
        registry=make_registry(),
    )
    running = Running(settings.threads)
    stopping = context.stopping
    ingress = make_ingress(
        make_handler(context, running),
        settings.caller_address,
        settings.threads + _SPARE_THREADS,
        tables.limits,
        lambda: stopping.begun,
        clock,
    )
    status_servers = _make_status_servers(settings, context)
    return Parts(
        settings,
        context,
        ingress,
        status_servers,
        _make_members(settings, context),
        running,
        threading.Event(),
    )


def _make_members(settings: GatewaySettings, context: Context) -> Members:
    platform = context.platform
    orderer = Orderer(
        settings.vm,
        platform.store,
        platform.endpoints,
        settings.lease_s,
        make_boot_clock(),
        context.log,
    )

    settled = stages.SettledEngines()
    started_s = context.clock()

    def tell(live: int, value_by_vm: Mapping[str, Any]) -> None:
        context.budget.share_with(live)
        uptime_s = context.clock() - started_s
        may_order = uptime_s >= _LEAST_UPTIME_S
        balance(context, orderer, settled, value_by_vm, may_order)

    return Members(
        settings.vm,
        platform.store,
        context.clock,
        lambda: {"demand": stages.encode(context.demand.read())},
        tell,
        context.log,
    )


def start(parts: Parts) -> None:
    """Starts the servers, and follows the store."""
    context = parts.context
    for server in (parts.ingress, *parts.status_servers):
        _start_thread(server.run, "server")
    for follower in make_followers(
        context.platform,
        context.tables,
        context.clock,
        context.log,
        context.registry,
    ):
        _start_follower(context, follower, parts.stopped)
    _start_follower(context, context.crashes.follower(), parts.stopped)
    _start_thread(lambda: context.crashes.run(parts.stopped), "crashes")
    _start_thread(lambda: run_members(parts.members, parts.stopped), "members")


def stop(parts: Parts) -> None:
    """Ends the servers and threads; open connections are closed."""
    parts.stopped.set()
    for server in (parts.ingress, *parts.status_servers):
        server.stop()


def run_gateway(
    settings: GatewaySettings,
    make_platform: Callable[[str, Clock], Platform],
) -> int:
    """Runs a gateway process until SIGTERM or SIGINT.

    A signal starts a graceful stop: the process is not ready any more, serves
    what still arrives, and ends once its requests have ended.

    Returns:
      The exit code of the process.
    """
    configure_logs(sys.stdout)
    clock = make_monotonic_clock()
    log = make_event_log(settings.vm, clock, make_wall_clock())
    log.start()
    parts = make_parts(settings, make_platform, clock, log.write)
    terminated = threading.Event()
    _handle_signals(terminated, log.write)
    log.write("started", settings=settings)
    start(parts)
    while not terminated.wait(_TICK_S):
        parts.context.tables.forget_departed()
    parts.context.stopping.begin()
    log.write("stopping", running=parts.running.count)
    _drain(parts)
    log.write("stopped", running=parts.running.count)
    stop(parts)
    log.close()
    return _OK


def _start_follower(
    context: Context, follower: Follower, stopped: threading.Event
) -> None:
    _start_thread(
        lambda: follow(
            context.platform.store, follower, context.random_float, stopped
        ),
        f"follow-{follower.kind}",
    )


def _handle_signals(
    terminated: threading.Event, log: Callable[..., None]
) -> None:
    def reload(*_: Any) -> None:
        # All settings are read at the start; what changes at run time comes
        # from the store.
        threading.Thread(
            target=lambda: log("reload", effect="settings apply at the start")
        ).start()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: terminated.set())
    signal.signal(signal.SIGHUP, reload)


def _drain(parts: Parts) -> None:
    """Serves until all requests have ended or the grace time is over."""
    context = parts.context
    stopping = context.stopping
    waiting = threading.Event()
    while context.clock() < stopping.ends_s and (
        not stopping.left_rotation() or parts.ingress.busy()
    ):
        context.tables.forget_departed()
        waiting.wait(_TICK_S)


def is_ready(context: Context) -> bool:
    """Returns whether callers should be sent to this VM."""
    version = context.tables.version()
    if context.stopping.begun or version is None:
        return False
    return context.tables.serves(version.configuration.services_by_name)


def _make_status_servers(
    settings: GatewaySettings, context: Context
) -> tuple[Server, ...]:
    last = {"ready": False}

    def answer_ready(_: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        ready = is_ready(context)
        if ready != last["ready"]:
            last["ready"] = ready
            context.log("readiness changed", ready=ready)
        return _respond(start_response, 200 if ready else 503, b"")

    def answer_metrics(
        _: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        return _respond(start_response, 200, context.registry.render())

    servers = [make_server(answer_ready, settings.ready_address, 1)]
    if settings.metrics_address is not None:
        metrics = make_server(
            answer_metrics, settings.metrics_address, _STATUS_THREADS
        )
        servers.append(metrics)
    return tuple(servers)


def _respond(start_response: Any, status: int, body: bytes) -> Iterable[bytes]:
    headers = [
        ("Content-Type", "text/plain; version=0.0.4"),
        ("Content-Length", str(len(body))),
    ]
    start_response(make_status_line(status), headers)
    return [body]


def _start_thread(run: Callable[[], None], name: str) -> None:
    threading.Thread(target=run, name=name, daemon=True).start()


__all__ = [
    "Parts",
    "is_ready",
    "make_parts",
    "run_gateway",
    "start",
    "stop",
]
