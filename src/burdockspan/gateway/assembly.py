"""Builds the components of a gateway process."""

from __future__ import annotations

import dataclasses
import math
import random
import threading
from collections.abc import Callable, Collection, Mapping, Sequence
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
    compute_max_age_s,
)
from burdockspan.gateway.endpoints import crash_records
from burdockspan.gateway.endpoints.crash_records import CrashRecordStore
from burdockspan.gateway.endpoints.endpoint_conditions import (
    make_signal_observer,
)
from burdockspan.gateway.endpoints.part_quarantine import PartQuarantine
from burdockspan.gateway.fleet.exchange import Exchange, open_exchange
from burdockspan.gateway.fleet.peers import Peers
from burdockspan.gateway.fleet.reachability import Reachability, observe_calls
from burdockspan.gateway.fleet.reachability_probes import (
    make_path_check,
)
from burdockspan.gateway.fleet.vm_heartbeats import (
    HEARTBEAT_INTERVAL_S,
    VmHeartbeats,
)
from burdockspan.gateway.graceful_stop import GracefulStop
from burdockspan.gateway.ports import ObserveSignals, Platform
from burdockspan.gateway.readiness import has_recent_proof, make_status_servers
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
from burdockspan.http.listener import Server
from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import make_registry
from burdockspan.values.clock import (
    Clock,
    make_boot_clock,
)

# Number of threads that refuse requests above the limit of requests in flight.
# Without these threads, the requests would wait in the queue of waitress, where
# the router cannot measure them.
_REFUSAL_THREADS = 4

# Room for the headers that a VM adds to a request that it relays. The name of
# an account takes up to 3,072 bytes.
_RELAY_HEADER_BYTES = 4096

# A VM sends orders to engines only after it has listed the engines in at least
# two heartbeat intervals.
_MIN_UPTIME_S = 2.5 * HEARTBEAT_INTERVAL_S

# Clocks of two VMs run at slightly different rates.
_PROOF_MARGIN_S = 0.2

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
    endpoint_capacity = _choose_endpoint_capacity(settings, exchange, log)
    capacity = EndpointCapacity(
        endpoint_capacity != FIXED,
        state.list_endpoints,
        exchange.interval_s,
        clock,
        boot_clock,
        random_float,
        log,
        registry,
        learns_plain=endpoint_capacity == LEARNED,
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
        lambda: graceful_stop.has_begun or not has_recent_proof(context),
        clock,
        make_close_recorder(log, registry),
        buffers,
    )
    relay_server = _make_relay_server(settings, context, buffers)
    status_servers = make_status_servers(settings, context)
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


def _choose_endpoint_capacity(
    settings: GatewaySettings, exchange: Exchange, log: WriteEvent
) -> str:
    """Returns the setting in force: estimates are renewed with each status."""
    if settings.endpoint_capacity != FIXED and exchange.address is None:
        log(
            "endpoint capacity fixed",
            setting=settings.endpoint_capacity,
            detail="there is no exchange",
        )
        return FIXED
    return settings.endpoint_capacity


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


__all__ = ["Components", "MakePlatform", "make_components"]
