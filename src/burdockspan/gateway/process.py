"""Runs a gateway process from its start to its graceful stop."""

from __future__ import annotations

import dataclasses
import math
import random
import signal
import sys
import threading
import time
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import Any

from burdockspan.gateway.accounts import configuration_proof
from burdockspan.gateway.accounts.configuration_proof import ConfigurationProof
from burdockspan.gateway.accounts.identification import ProofLimits
from burdockspan.gateway.accounts.quotas import AccountQuotas
from burdockspan.gateway.admission.admission_queue import AdmissionQueues
from burdockspan.gateway.admission.fleet_waiting import FleetWaiting
from burdockspan.gateway.admission.full_engines import FullEngines
from burdockspan.gateway.admission.retry_budget import RetryBudget
from burdockspan.gateway.admission.waiting_statements import (
    add_waiting_topic,
)
from burdockspan.gateway.callers.connection_log import make_close_recorder
from burdockspan.gateway.callers.ingress import make_ingress
from burdockspan.gateway.callers.messages import make_status_line
from burdockspan.gateway.callers.response_buffers import (
    ResponseBufferLimits,
    ResponseBuffers,
    compute_total_bytes,
)
from burdockspan.gateway.choice import stages
from burdockspan.gateway.choice.demand_exchange import (
    Balance,
    DemandExchange,
    Measurements,
)
from burdockspan.gateway.choice.endpoint_capacity import EndpointCapacity
from burdockspan.gateway.choice.prefill_delays import PrefillDelays
from burdockspan.gateway.choice.stage_balance import (
    balance_stages,
    read_measurements,
)
from burdockspan.gateway.choice.stage_orders import OrderSender
from burdockspan.gateway.choice.stages import DemandMeter
from burdockspan.gateway.context import Context
from burdockspan.gateway.discovery.shared_watches import SharedWatches
from burdockspan.gateway.discovery.watchers import (
    ObjectWatcher,
    compute_max_age_s,
    compute_watch_timeout_s,
    make_watchers,
    run_watcher,
)
from burdockspan.gateway.endpoints import crash_records
from burdockspan.gateway.endpoints.crash_records import CrashRecordStore
from burdockspan.gateway.endpoints.endpoint_conditions import (
    make_signal_observer,
)
from burdockspan.gateway.endpoints.part_quarantine import PartQuarantine
from burdockspan.gateway.fleet.exchange import open_exchange
from burdockspan.gateway.fleet.peers import Peers
from burdockspan.gateway.fleet.reachability import Reachability, observe_calls
from burdockspan.gateway.fleet.reachability_probes import (
    make_path_check,
    run_probes,
)
from burdockspan.gateway.fleet.vm_heartbeats import (
    HEARTBEAT_INTERVAL_S,
    VmHeartbeats,
    run_heartbeats,
)
from burdockspan.gateway.graceful_stop import GracefulStop
from burdockspan.gateway.ports import ObserveSignals, Platform
from burdockspan.gateway.reload import LoadSettings, make_reload
from burdockspan.gateway.requests.application import (
    InFlightRequests,
    make_handler,
    make_relay_handler,
)
from burdockspan.gateway.settings import (
    FIXED,
    LEARNED,
    ChangeLimits,
    GatewaySettings,
)
from burdockspan.gateway.state import GatewayState
from burdockspan.gateway.streams.latest_versions import LatestVersions
from burdockspan.gateway.streams.origin_records import OriginRecords
from burdockspan.gateway.streams.origin_sharing import open_origin_sharing
from burdockspan.gateway.streams.stream_origins import StreamOrigins
from burdockspan.gateway.values import RequestLimits
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

# Number of threads that refuse requests above the limit of requests in flight.
# Without these threads, the requests would wait in the queue of waitress, where
# the router cannot measure them.
_REFUSAL_THREADS = 4
_STATUS_THREADS = 1
_POLL_INTERVAL_S = 0.1
# Room for the headers that a VM adds to a request that it relays. The name of
# an account takes up to 3,072 bytes.
_RELAY_HEADER_BYTES = 4096
# Less than the part of the grace period that is left after the deadline.
_CLOSE_TIMEOUT_S = 0.2
_CLOSE_POLL_INTERVAL_S = 0.01
# A VM sends orders to engines only after it has listed the engines in at least
# two heartbeat intervals.
_MIN_UPTIME_S = 2.5 * HEARTBEAT_INTERVAL_S
_EXIT_OK = 0
# Clocks of two VMs run at slightly different rates.
_PROOF_MARGIN_S = 0.2
# A VM that hears from the store itself has a proof that is younger than this
# share of the limit.
_READY_PROOF_SHARE = 0.7

MakePlatform = Callable[[str, Clock, ObserveSignals], Platform]


@dataclasses.dataclass(frozen=True)
class Components:
    """The components of a gateway process.

    Attributes:
      settings: settings of the process.
      context: dependencies of the request handlers.
      ingress: server for callers.
      relay_server: server for requests that other VMs relay.
      status_servers: servers for the readiness check and metrics.
      order_sender: orders engines to change their stage.
      vm_heartbeats: counts the live VMs.
      shared_watches: shares the watches of the store with other VMs.
      demand_exchange: tells the other VMs of the prompts that arrive here.
      balance: balances the stages of the engines.
      in_flight: counts the requests in flight.
      stopped: tells the threads to end.
    """

    settings: GatewaySettings
    context: Context
    ingress: Server
    relay_server: Server | None
    status_servers: tuple[Server, ...]
    order_sender: OrderSender
    vm_heartbeats: VmHeartbeats
    shared_watches: SharedWatches
    demand_exchange: DemandExchange
    balance: Balance
    in_flight: InFlightRequests
    stopped: threading.Event


def make_components(
    settings: GatewaySettings,
    make_platform: MakePlatform,
    clock: Clock,
    log: WriteEvent,
    boot_clock: Clock | None = None,
) -> Components:
    """Returns the components; their servers listen but do not serve yet.

    Args:
      settings: settings of the process.
      make_platform: returns the platform adapter for the address of the store,
        a clock, and a receiver of what endpoints say about themselves.
      clock: monotonic clock, in seconds.
      log: writes a log event.
      boot_clock: clock that includes time suspended, in seconds; None for that
        of this VM.
    """
    random_float = random.Random().random
    boot_clock = boot_clock or make_boot_clock()
    state = GatewayState(
        settings.availability_zone,
        clock,
        random_float,
        settings.change_limits.leaving_endpoint_s,
    )
    registry = make_registry()
    exchange = open_exchange(
        settings.exchange_address, settings.vm, boot_clock, registry, log
    )
    capacity = EndpointCapacity(
        settings.endpoint_capacity != FIXED,
        state.list_endpoints,
        exchange.interval_s,
        clock,
        boot_clock,
        random_float,
        log,
        registry,
        learns_plain=settings.endpoint_capacity == LEARNED,
    )
    capacity.join(exchange)
    state.observe_work(capacity.change_work)
    platform = make_platform(
        settings.store_address,
        clock,
        make_signal_observer(state.conditions, log, registry),
    )
    reachability = Reachability(state.list_usable, clock, log, registry)
    platform = dataclasses.replace(
        platform,
        endpoints=observe_calls(platform.endpoints, reachability, clock),
    )
    fleet_waiting = FleetWaiting(
        boot_clock,
        exchange.interval_s,
        lambda: 1 + len(exchange.list_peers()),
    )
    admission_queues = AdmissionQueues(clock, fleet_waiting)
    part_quarantine = PartQuarantine(
        crash_records.KIND, platform.store, clock, random_float, log, registry
    )
    buffers = ResponseBuffers(
        ResponseBufferLimits(
            1024 * settings.connection_buffer_kb,
            compute_total_bytes(settings.memory_mb),
        ),
        registry,
    )
    account_quotas = AccountQuotas(
        settings.account_quotas.slack,
        max(1, settings.threads // 4),
        exchange,
        boot_clock,
        log,
        registry,
    )
    state.notify_of_accounts(account_quotas.set_accounts)
    context = Context(
        platform=platform,
        state=state,
        reachability=reachability,
        peers=Peers(
            settings.vm, settings.availability_zone, clock, random_float
        ),
        retry_budget=RetryBudget(settings.retry_budget, clock),
        crash_records=CrashRecordStore(
            platform.store,
            platform.endpoints.is_reachable,
            clock,
            log,
            part_quarantine,
            make_path_check(reachability, platform.endpoints, state),
            state.is_registered,
        ),
        part_quarantine=part_quarantine,
        demand=DemandMeter(clock),
        prefill_delays=PrefillDelays(),
        endpoint_capacity=capacity,
        full_engines=FullEngines(),
        admission_queues=admission_queues,
        waiting_statements=add_waiting_topic(
            exchange, admission_queues.make_statements, fleet_waiting, clock
        ),
        origins=open_origin_sharing(
            settings.peer_address, StreamOrigins(clock), registry, log
        ),
        origin_records=OriginRecords(
            settings.vm,
            platform.store,
            clock,
            lambda service: state.version_history.sole_version(service) is None,
            log,
            registry,
        ),
        latest_versions=LatestVersions(
            platform.store,
            platform.kinds,
            platform.decode_endpoint,
            clock,
            registry,
        ),
        response_buffers=buffers,
        exchange=exchange,
        configuration_proof=ConfigurationProof(
            state.active_configuration, boot_clock, registry
        ),
        proof_limits=_choose_proof_limits(settings.change_limits),
        account_quotas=account_quotas,
        endpoints_max_age_s=compute_max_age_s(settings.change_limits),
        graceful_stop=GracefulStop(settings.grace_s, clock),
        clock=clock,
        boot_clock=boot_clock,
        random_float=random_float,
        log=log,
        registry=registry,
    )
    context.exchange.add_topic(
        configuration_proof.TOPIC,
        context.configuration_proof.make_statement,
        context.configuration_proof.receive,
    )
    in_flight = InFlightRequests(settings.threads)
    graceful_stop = context.graceful_stop
    ingress = make_ingress(
        make_handler(context, in_flight),
        settings.caller_address,
        settings.threads + _REFUSAL_THREADS,
        state.limits,
        lambda: graceful_stop.has_begun or not _has_recent_proof(context),
        clock,
        make_close_recorder(log, registry),
        buffers,
    )
    relay_server = _make_relay_server(settings, context, buffers)
    status_servers = _make_status_servers(settings, context)
    order_sender = OrderSender(
        settings.vm,
        platform.store,
        platform.endpoints,
        settings.lease_s,
        boot_clock,
        log,
    )
    balance = _make_balance(context, order_sender)
    shared_watches = SharedWatches(
        context.exchange,
        settings.vm,
        settings.availability_zone,
        settings.watchers_per_zone,
        boot_clock,
        registry,
        log,
    )
    return Components(
        settings,
        context,
        ingress,
        relay_server,
        status_servers,
        order_sender,
        _make_vm_heartbeats(
            settings, context, balance, relay_server, shared_watches
        ),
        shared_watches,
        DemandExchange(
            context.exchange, settings.vm, context.demand.measure, clock
        ),
        balance,
        in_flight,
        threading.Event(),
    )


def _make_balance(context: Context, order_sender: OrderSender) -> Balance:
    """Returns the function that balances the stages, in one thread at a time.

    It sends no orders in the first seconds of the process.
    """
    settled_engines = stages.SettledEngines(context.clock, HEARTBEAT_INTERVAL_S)
    started_s = context.clock()
    lock = threading.Lock()

    def balance(measurements: Sequence[Measurements]) -> bool:
        may_order = context.clock() - started_s >= _MIN_UPTIME_S
        with lock:
            return balance_stages(
                context, order_sender, settled_engines, measurements, may_order
            )

    return balance


def _choose_proof_limits(limits: ChangeLimits) -> ProofLimits:
    removed_key_s = limits.removed_key_s
    return ProofLimits(
        known_key_s=math.inf
        if removed_key_s is None
        else removed_key_s - _PROOF_MARGIN_S,
        unknown_key_s=limits.configuration_s,
    )


def _make_relay_server(
    settings: GatewaySettings, context: Context, buffers: ResponseBuffers
) -> Server | None:
    """Returns the server for relayed requests, if there is an address for it.

    Relayed requests take at most half of the threads, so that they leave room
    for this VM's own callers.
    """
    if settings.peer_address is None:
        return None
    limit = max(1, settings.threads // 2)

    def relay_limits() -> RequestLimits:
        limits = context.state.limits()
        return dataclasses.replace(
            limits,
            header_bytes=limits.header_bytes + _RELAY_HEADER_BYTES,
            # The VM that relays a request may know a larger limit.
            body_bytes=2 * limits.body_bytes,
        )

    return make_ingress(
        make_relay_handler(context, InFlightRequests(limit)),
        settings.peer_address,
        limit + _REFUSAL_THREADS,
        relay_limits,
        lambda: True,
        context.clock,
        make_close_recorder(context.log, context.registry),
        buffers,
    )


def _make_vm_heartbeats(
    settings: GatewaySettings,
    context: Context,
    balance: Balance,
    relay_server: Server | None,
    shared_watches: SharedWatches,
) -> VmHeartbeats:
    history = context.state.version_history
    routes = context.state.route_history

    def on_first_list(values: Collection[Any]) -> None:
        routes.complete(map(_find_routes, values))
        history.complete(map(_find_versions, values))

    def on_written(value: Any) -> None:
        routes.record_stored([_find_routes(value)])
        history.record_stored([_find_versions(value)])

    def on_count(live: int, value_by_vm: Mapping[str, Any]) -> None:
        _apply_peer_values(context, shared_watches, value_by_vm)
        context.origin_records.set_vm_count(live)
        balance(read_measurements(value_by_vm))

    def on_settled_count(live: int) -> None:
        context.retry_budget.set_vm_count(live)
        context.account_quotas.set_vm_count(live)
        context.state.conditions.rate_limits.set_vm_count(live)
        context.part_quarantine.set_vm_count(live)

    return VmHeartbeats(
        settings.vm,
        context.platform.store,
        context.clock,
        lambda: {
            "demand": stages.encode_measurements(context.demand.measure()),
            "peer_address": context.origins.address,
            "exchange_address": context.exchange.address,
            "relay_address": relay_server.address if relay_server else None,
            "zone": settings.availability_zone,
            "versions": history.encode(),
            "routes": routes.encode(),
            "version_ages_s": history.encode_ages(),
            "route_ages_s": routes.encode_ages(),
        },
        on_count,
        context.log,
        on_settled_count,
        on_first_list,
        on_written,
        lambda: history.has_unstored() or routes.has_unstored(),
    )


def _find_routes(value: Any) -> Any:
    """Returns the services by route in a heartbeat; None without them."""
    return value.get("routes") if isinstance(value, dict) else None


def _find_versions(value: Any) -> Any:
    """Returns the software versions in a heartbeat; None without them."""
    return value.get("versions") if isinstance(value, dict) else None


def _apply_peer_values(
    context: Context,
    shared_watches: SharedWatches,
    value_by_vm: Mapping[str, Any],
) -> None:
    """Applies what the heartbeats say of addresses and software versions."""
    # An object may come from a release without these fields.
    objects_by_vm = {
        vm: value
        for vm, value in value_by_vm.items()
        if isinstance(value, dict)
    }
    context.origins.set_peers(
        {vm: value.get("peer_address") for vm, value in objects_by_vm.items()}
    )
    context.exchange.set_peers(
        {
            vm: value.get("exchange_address")
            for vm, value in objects_by_vm.items()
        }
    )
    shared_watches.set_vms(
        {vm: value.get("zone") for vm, value in objects_by_vm.items()}
    )
    context.peers.set_values(objects_by_vm)
    context.state.version_history.record_stored(
        map(_find_versions, objects_by_vm.values())
    )
    context.state.version_history.take_over(
        value.get("version_ages_s") for value in objects_by_vm.values()
    )
    context.state.route_history.take_over(
        value.get("route_ages_s") for value in objects_by_vm.values()
    )
    context.state.route_history.record_stored(
        map(_find_routes, objects_by_vm.values())
    )


def start(components: Components) -> None:
    """Starts the servers, the watchers of the store, and the heartbeats."""
    context = components.context
    for server in _list_servers(components):
        _start_thread(server.run, "server")
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
        lambda: components.shared_watches.run(components.stopped), "watches"
    )
    _start_thread(
        lambda: context.crash_records.run(components.stopped), "crashes"
    )
    _start_thread(
        lambda: run_probes(
            context.reachability,
            context.platform.endpoints,
            context.state,
            components.stopped,
        ),
        "probes",
    )
    if context.origins.address is not None:
        _start_thread(context.origins.run, "origins")
    if context.exchange.address is not None:
        _start_thread(context.exchange.run_receiver, "exchange")
        _start_thread(
            lambda: context.exchange.run_sender(components.stopped), "statuses"
        )
        _start_thread(
            lambda: components.demand_exchange.run(
                components.balance, components.stopped
            ),
            "stages",
        )
    _start_thread(
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
        lambda: context.origin_records.run(components.stopped), "streams"
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


def _has_recent_proof(context: Context) -> bool:
    """Returns whether this VM will go on serving requests with keys.

    The load balancer takes some seconds to notice that a VM is not ready, and
    callers that come back after a refusal are late.
    """
    active = context.state.active_configuration()
    if active is None or active.accounts is None:
        return True
    limit_s = _READY_PROOF_SHARE * context.proof_limits.known_key_s
    return context.configuration_proof.age_s() <= limit_s


def is_ready(context: Context) -> bool:
    """Returns whether the load balancer should send callers to this VM."""
    active = context.state.active_configuration()
    if context.graceful_stop.has_begun or active is None:
        return False
    if not _has_recent_proof(context):
        return False
    return context.state.has_endpoint(active.configuration.services_by_name)


def _make_status_servers(
    settings: GatewaySettings, context: Context
) -> tuple[Server, ...]:
    last_logged = {"ready": False}

    def serve_ready(_: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        ready = is_ready(context)
        if ready != last_logged["ready"]:
            last_logged["ready"] = ready
            context.log("readiness changed", ready=ready)
        return _respond(start_response, 200 if ready else 503, b"")

    def serve_metrics(
        _: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        return _respond(start_response, 200, context.registry.render())

    servers = [make_server(serve_ready, settings.ready_address, 1)]
    if settings.metrics_address is not None:
        metrics = make_server(
            serve_metrics, settings.metrics_address, _STATUS_THREADS
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
    "Components",
    "is_ready",
    "make_components",
    "run_gateway",
    "start",
    "stop",
]
