"""Runs a gateway process from its start to its graceful stop."""

from __future__ import annotations

import dataclasses
import math
import signal
import sys
import threading
import time
from collections.abc import Callable

from burdockspan.gateway.assembly import (
    Components,
    MakePlatform,
    make_components,
)
from burdockspan.gateway.discovery.watchers import (
    ObjectWatcher,
    compute_watch_timeout_s,
    make_watchers,
    run_watcher,
)
from burdockspan.gateway.fleet.reachability_probes import (
    run_probes,
)
from burdockspan.gateway.fleet.vm_heartbeats import (
    run_heartbeats,
)
from burdockspan.gateway.reload import LoadSettings, make_reload
from burdockspan.gateway.settings import (
    GatewaySettings,
)
from burdockspan.http.listener import Server
from burdockspan.observe.event_log import make_event_log
from burdockspan.observe.logs import configure_logs
from burdockspan.observe.threads import (
    make_failure_report,
    report_ended_threads,
    start_lasting_thread,
)
from burdockspan.values.clock import (
    make_monotonic_clock,
    make_wall_clock,
)

_POLL_INTERVAL_S = 0.1

# Less than the part of the grace period that is left after the deadline.
_CLOSE_TIMEOUT_S = 0.2

_CLOSE_POLL_INTERVAL_S = 0.01

_EXIT_OK = 0


def start(components: Components) -> None:
    """Starts the servers, the watchers of the store, and the heartbeats."""
    context = components.context
    for server in _list_servers(components):
        _start_thread(components, server.run, "server")
    for watcher in make_watchers(
        context.platform,
        context.state,
        components.settings.change_limits,
        context.clock,
        context.log,
        context.registry,
        context.configuration_proof,
    ):
        limits = components.settings.change_limits
        limit_s = min(limits.configuration_s, limits.leaving_endpoint_s)
        _start_watcher(components, watcher, limit_s)
    recovery_s = components.settings.change_limits.recovery_s
    crash_watcher = dataclasses.replace(
        context.crash_records.make_watcher(),
        watch_timeout_s=compute_watch_timeout_s(recovery_s),
    )
    _start_watcher(components, crash_watcher, math.inf)
    _start_thread(
        components,
        lambda: components.shared_watches.run(components.stopped),
        "watches",
    )
    _start_thread(
        components,
        lambda: context.crash_records.run(components.stopped),
        "crashes",
    )
    _start_thread(
        components,
        lambda: run_probes(
            context.reachability,
            context.platform.endpoints,
            context.state,
            components.stopped,
        ),
        "probes",
    )
    if context.origins.address is not None:
        _start_thread(components, context.origins.run, "origins")
    if context.exchange.address is not None:
        _start_thread(components, context.exchange.run_receiver, "exchange")
        _start_thread(
            components,
            lambda: context.exchange.run_sender(components.stopped),
            "statuses",
        )
        _start_thread(
            components,
            lambda: components.demand_exchange.run(
                components.balance, components.stopped
            ),
            "stages",
        )
    _start_thread(
        components,
        lambda: run_heartbeats(
            components.vm_heartbeats,
            components.stopped,
            context.clock,
            context.random_float,
            finds_started_vms=components.settings.watchers_per_zone > 0,
        ),
        "members",
    )
    _start_thread(
        components,
        lambda: context.origin_records.run(components.stopped),
        "streams",
    )


def stop(components: Components) -> None:
    """Stops the servers and threads, and closes open connections."""
    components.stopped.set()
    components.context.origins.close()
    components.context.exchange.close()
    for server in _list_servers(components):
        server.stop()


def _list_servers(components: Components) -> list[Server]:
    servers = [components.ingress, *components.status_servers]
    if components.relay_server is not None:
        servers.append(components.relay_server)
    return servers


def run_gateway(
    settings: GatewaySettings,
    make_platform: MakePlatform,
    load_settings: LoadSettings,
) -> int:
    """Runs a gateway process until SIGTERM or SIGINT.

    Either signal starts a graceful stop: the process reports that it is not
    ready, serves the requests that still arrive, and exits once all requests
    have ended or the grace period is over. SIGHUP reloads the settings, also
    during the graceful stop.

    Args:
      settings: settings of the process.
      make_platform: returns the platform adapter.
      load_settings: reads the settings again.

    Returns:
      The exit code of the process.
    """
    configure_logs(sys.stdout)
    clock = make_monotonic_clock()
    log = make_event_log(settings.vm, clock, make_wall_clock())
    log.start()
    components = make_components(settings, make_platform, clock, log.write)
    stop_requested, reload_requested = threading.Event(), threading.Event()
    _handle_signals(stop_requested, reload_requested)
    context = components.context
    report_ended_threads(make_failure_report(context.log, context.registry))
    reload = make_reload(
        settings,
        load_settings,
        context.retry_budget,
        context.graceful_stop,
        components.order_sender,
        log.write,
    )

    def run_periodic_tasks() -> None:
        context.state.prune_departed()
        if reload_requested.is_set():
            reload_requested.clear()
            reload()

    log.write("started", settings=settings)
    start(components)
    while not stop_requested.wait(_POLL_INTERVAL_S):
        run_periodic_tasks()
    context.graceful_stop.begin()
    log.write("stopping", running=components.in_flight.count)
    _drain(components, run_periodic_tasks)
    stop(components)
    _wait_until_closed(components.ingress)
    log.write("stopped", running=components.in_flight.count)
    log.close()
    return _EXIT_OK


def _start_watcher(
    components: Components, watcher: ObjectWatcher, limit_s: float
) -> None:
    context = components.context
    shared = components.shared_watches.share(watcher, limit_s)
    _start_thread(
        components,
        lambda: run_watcher(
            context.platform.store,
            watcher,
            context.random_float,
            components.stopped,
            shared.make_sharing() if shared else None,
        ),
        f"follow-{watcher.kind}",
    )


def _handle_signals(
    stop_requested: threading.Event, reload_requested: threading.Event
) -> None:
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    signal.signal(signal.SIGHUP, lambda *_: reload_requested.set())


def _drain(
    components: Components, run_periodic_tasks: Callable[[], None]
) -> None:
    """Serves until all connections are closed or the grace period is over."""
    context = components.context
    graceful_stop = context.graceful_stop
    ingress = components.ingress
    relay_server = components.relay_server
    if relay_server is not None:
        relay_server.close_idle()
    waiter = threading.Event()
    while context.clock() < graceful_stop.deadline_s:
        run_periodic_tasks()
        if graceful_stop.has_last_answers():
            ingress.close_idle()
        elif graceful_stop.has_left_rotation():
            ingress.close_when_idle()
        if ingress.has_closed() and (
            relay_server is None or relay_server.has_closed()
        ):
            break
        waiter.wait(_POLL_INTERVAL_S)


def _wait_until_closed(ingress: Server) -> None:
    """Waits until the event loop has closed and logged its connections."""
    waiter = threading.Event()
    end_s = time.monotonic() + _CLOSE_TIMEOUT_S
    while not ingress.has_closed() and time.monotonic() < end_s:
        waiter.wait(_CLOSE_POLL_INTERVAL_S)


def _start_thread(
    components: Components, run: Callable[[], None], name: str
) -> None:
    context = components.context
    report = make_failure_report(context.log, context.registry)
    start_lasting_thread(run, name, components.stopped, report)


__all__ = ["run_gateway", "start", "stop"]
