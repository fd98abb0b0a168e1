"""Watches the configuration and the endpoints in the store.

A watcher lists the objects of a kind and then watches their changes. During
outages of the store, the process goes on with what it has received.
"""

from __future__ import annotations

import dataclasses
import math
import threading
from collections.abc import Callable

from result import Err, Ok, Result

from burdockspan.gateway.accounts.configuration_proof import ConfigurationProof
from burdockspan.gateway.discovery import endpoint_table
from burdockspan.gateway.discovery.endpoint_table import EndpointTable
from burdockspan.gateway.ports import (
    Consistency,
    Listing,
    Platform,
    Store,
    StoredObject,
    StoreError,
)
from burdockspan.gateway.settings import ChangeLimits
from burdockspan.gateway.state import GatewayState
from burdockspan.gateway.values import Endpoint
from burdockspan.object_api.retries import Backoff, RandomFloat, backoff_delay_s
from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry
from burdockspan.values.clock import Clock

# Time between the end of a watch on an unresponsive connection and the end of
# the recovery time: the margin of the call, a new list, and its processing.
_WATCH_RESERVE_S = 1.0
_MIN_WATCH_TIMEOUT_S = 0.5
_DEFAULT_WATCH_TIMEOUT_S = 2.0
# Longest wait that the store grants.
_MAX_WATCH_TIMEOUT_S = 30.0
# Time that a response of the store usually takes at most.
_RESPONSE_MARGIN_S = 0.5
# Share of the time limit for applying a change that a watcher lets pass before
# its next call, so that one call returns all changes of that time. While the
# endpoints of a large fleet start, there are dozens of changes a second.
_COLLECT_SHARE = 0.25
_MAX_COLLECT_S = 1.0
# Shares of the time limit for refusing a removed key. A VM that hears nothing
# from others has a proof as old as two watches and the delay between them.
_REMOVED_KEY_WATCH_SHARE = 0.25
_REMOVED_KEY_COLLECT_SHARE = 0.15
# These delays are so short that the end of an outage of the store is detected
# within a fraction of a second.
_BACKOFF = Backoff(0.1, 0.5)
# Longer delays, used after the store has rejected a call because of its rate
# limit.
_LIMITED_BACKOFF = Backoff(0.2, 1.0)


@dataclasses.dataclass(frozen=True)
class ObjectWatcher:
    """Callbacks for the objects of one kind.

    Attributes:
      kind: kind of the objects.
      apply_listing: applies a complete list.
      apply_change: applies one change.
      on_lost: called when calls to the store begin to fail.
      on_regained: called for the first response after an outage, before that
        response is applied.
      on_call: called before each call to the store.
      on_response: called after each response has been applied, also after one
        without changes.
      watch_timeout_s: longest duration of one watch.
      watch_limit_s: returns a further limit of that duration.
      collect_s: delay before the next call after one that returned changes.
      consistency: consistency of the watches; a list is always the latest.
      on_new_era: called with the store's era when it has come back from a copy,
        before the list that follows is applied.
    """

    kind: str
    apply_listing: Callable[[tuple[StoredObject, ...]], None]
    apply_change: Callable[[StoredObject], None]
    on_lost: Callable[[StoreError], None]
    on_regained: Callable[[], None]
    on_call: Callable[[], None] = lambda: None
    on_response: Callable[[], None] = lambda: None
    watch_timeout_s: float = _DEFAULT_WATCH_TIMEOUT_S
    watch_limit_s: Callable[[], float] = lambda: math.inf
    collect_s: float = 0.0
    consistency: Consistency = Consistency.LATEST
    on_new_era: Callable[[int], None] = lambda _: None


@dataclasses.dataclass(frozen=True)
class WatchPosition:
    """State of a watcher between calls.

    Attributes:
      revision: revision that the next watch starts at; None if the next call
        lists the kind.
      failures: number of consecutive failed calls.
      era: latest known era of the store; None before the first answer.
    """

    revision: int | None = None
    failures: int = 0
    era: int | None = None


def poll(
    store: Store,
    watcher: ObjectWatcher,
    position: WatchPosition,
    random_float: RandomFloat,
) -> tuple[WatchPosition, float]:
    """Makes one call to the store and applies its response.

    After a failed call the kind is listed again, since a watch may have missed
    the removal of an object. The same holds for a watch from a revision of an
    earlier era. Answers of an earlier era than the latest known one are
    dropped.

    Returns:
      The new position, and the delay before the next call in seconds.
    """
    watcher.on_call()
    if position.revision is None:
        response = store.list_objects(watcher.kind, Consistency.LATEST)
    else:
        response = store.watch(
            watcher.kind,
            position.revision,
            min(watcher.watch_timeout_s, watcher.watch_limit_s()),
            watcher.consistency,
        )
    if isinstance(response, Err):
        return _handle_error(
            watcher, position, response.err_value, random_float
        )
    era = response.ok_value.era
    if position.era is not None and era is not None and era != position.era:
        if era < position.era:
            return _handle_error(
                watcher, position, StoreError.UNAVAILABLE, random_float
            )
        watcher.on_new_era(era)
        if position.revision is not None:
            return dataclasses.replace(position, revision=None, era=era), 0.0
    if position.failures:
        watcher.on_regained()
    _apply(watcher, position, response)
    watcher.on_response()
    delay_s = watcher.collect_s if response.ok_value.objects else 0.0
    if era is None:
        era = position.era
    return WatchPosition(response.ok_value.revision, era=era), delay_s


def _apply(
    watcher: ObjectWatcher, position: WatchPosition, response: Ok[Listing]
) -> None:
    objects = response.ok_value.objects
    if position.revision is None:
        watcher.apply_listing(objects)
        return
    for stored in objects:
        watcher.apply_change(stored)


def _handle_error(
    watcher: ObjectWatcher,
    position: WatchPosition,
    error: StoreError,
    random_float: RandomFloat,
) -> tuple[WatchPosition, float]:
    if error is StoreError.COMPACTED:
        return dataclasses.replace(position, revision=None), 0.0
    if not position.failures:
        watcher.on_lost(error)
    limited = error is StoreError.LIMITED
    backoff = _LIMITED_BACKOFF if limited else _BACKOFF
    failures = position.failures + 1
    return WatchPosition(None, failures, position.era), backoff_delay_s(
        backoff, failures, random_float
    )


def run_watcher(
    store: Store,
    watcher: ObjectWatcher,
    random_float: RandomFloat,
    stopped: threading.Event,
) -> None:
    """Lists and watches a kind until `stopped` is set."""
    position = WatchPosition()
    while not stopped.is_set():
        position, delay_s = poll(store, watcher, position, random_float)
        if delay_s > 0:
            stopped.wait(delay_s)


def make_watchers(
    platform: Platform,
    state: GatewayState,
    limits: ChangeLimits,
    clock: Clock,
    log: WriteEvent,
    registry: Registry,
    proof: ConfigurationProof,
) -> tuple[ObjectWatcher, ...]:
    """Returns the watchers of the configuration and of the endpoints."""
    timeout_s = compute_watch_timeout_s(limits.recovery_s)
    return (
        _prove_configuration(
            dataclasses.replace(
                _watch_configuration(platform, state, log, registry),
                watch_timeout_s=timeout_s,
                collect_s=compute_collect_s(limits.configuration_s),
            ),
            state,
            limits.removed_key_s,
            proof,
        ),
        dataclasses.replace(
            _watch_endpoints(platform, state, clock, log, registry),
            watch_timeout_s=timeout_s,
            collect_s=compute_collect_s(limits.leaving_endpoint_s),
        ),
    )


def _prove_configuration(
    watcher: ObjectWatcher,
    state: GatewayState,
    removed_key_s: float | None,
    proof: ConfigurationProof,
) -> ObjectWatcher:
    """Returns a watcher whose answers prove the configuration in force."""
    sent_s = [-math.inf]
    limit_s = math.inf if removed_key_s is None else removed_key_s

    def on_call() -> None:
        sent_s[0] = proof.now_s()

    def limit_watch_s() -> float:
        active = state.active_configuration()
        if active is None or active.accounts is None:
            return math.inf
        return max(_MIN_WATCH_TIMEOUT_S, _REMOVED_KEY_WATCH_SHARE * limit_s)

    return dataclasses.replace(
        watcher,
        on_call=on_call,
        on_response=lambda: proof.record_store_answer(sent_s[0]),
        watch_limit_s=limit_watch_s,
        collect_s=min(watcher.collect_s, _REMOVED_KEY_COLLECT_SHARE * limit_s),
    )


def compute_watch_timeout_s(recovery_s: float) -> float:
    """Returns the longest duration of a watch, given the recovery time."""
    return min(
        _MAX_WATCH_TIMEOUT_S,
        max(_MIN_WATCH_TIMEOUT_S, recovery_s - _WATCH_RESERVE_S),
    )


def compute_collect_s(limit_s: float) -> float:
    """Returns how long changes are collected, given their time limit."""
    return min(_MAX_COLLECT_S, _COLLECT_SHARE * limit_s)


def compute_max_age_s(limits: ChangeLimits) -> float:
    """Returns the largest age of the endpoint table while the store responds.

    An older table may lack changes that other VMs have received.
    """
    return (
        compute_watch_timeout_s(limits.recovery_s)
        + compute_collect_s(limits.leaving_endpoint_s)
        + _RESPONSE_MARGIN_S
    )


def _watch_configuration(
    platform: Platform, state: GatewayState, log: WriteEvent, registry: Registry
) -> ObjectWatcher:
    def apply_change(stored: StoredObject) -> None:
        if stored.removed:
            # A process keeps its configuration until it receives a newer one.
            log("configuration removed", revision=stored.revision)
            return
        decoded = platform.decode_configuration(stored)
        if isinstance(decoded, Err):
            log("configuration ignored", detail=decoded.err_value)
            registry.count("configuration", "ignored")
            return
        configuration = decoded.ok_value
        activated = state.activate(configuration)
        registry.count("configuration", "adopted" if activated else "older")
        registry.set_gauge("configuration_version", configuration.version)
        log(
            "configuration adopted"
            if activated
            else "configuration is not newer",
            version=configuration.version,
            revision=stored.revision,
            routes=len(configuration.routes),
            services=len(configuration.services_by_name),
        )

    def apply_listing(objects: tuple[StoredObject, ...]) -> None:
        for stored in objects:
            apply_change(stored)

    on_lost, on_regained = _make_outage_handlers("configuration", log, registry)
    kind = platform.kinds.configuration
    return ObjectWatcher(
        kind,
        apply_listing,
        apply_change,
        on_lost,
        on_regained,
        # The list may have an older configuration, which is not activated.
        on_new_era=make_era_log("configuration", log, registry),
    )


def _watch_endpoints(
    platform: Platform,
    state: GatewayState,
    clock: Clock,
    log: WriteEvent,
    registry: Registry,
) -> ObjectWatcher:
    def decode(stored: StoredObject) -> Result[Endpoint, str]:
        decoded = platform.decode_endpoint(stored)
        if isinstance(decoded, Err):
            log("entry ignored", name=stored.name, detail=decoded.err_value)
            registry.count("entry", "ignored")
        return decoded

    def apply_listing(objects: tuple[StoredObject, ...]) -> None:
        decoded = [decode(stored) for stored in objects]
        endpoints = [
            result.ok_value for result in decoded if isinstance(result, Ok)
        ]
        change_table(
            lambda table: endpoint_table.apply_listing(
                table, endpoints, clock()
            ),
            "listed",
        )

    def apply_change(stored: StoredObject) -> None:
        decoded = None if stored.removed else decode(stored)
        if isinstance(decoded, Ok):
            endpoint = decoded.ok_value
            change_table(
                lambda table: endpoint_table.apply_entry(table, endpoint),
                "written",
            )
            return
        change_table(
            lambda table: endpoint_table.remove_entry(
                table, stored.name, clock()
            ),
            "removed",
        )

    def change_table(
        change: Callable[[EndpointTable], EndpointTable], cause: str
    ) -> None:
        before = state.endpoint_table()
        state.change_endpoint_table(change)
        _log_changes(before, state.endpoint_table(), cause, log, registry)

    on_lost, log_regained = _make_outage_handlers("endpoints", log, registry)

    def on_regained() -> None:
        state.change_endpoint_table(
            lambda table: endpoint_table.start_grace_period(table, clock())
        )
        log_regained()

    log_era = make_era_log("endpoints", log, registry)

    def on_new_era(era: int) -> None:
        state.change_endpoint_table(
            lambda table: endpoint_table.start_grace_period(
                table, clock(), restored=True
            )
        )
        log_era(era)

    return ObjectWatcher(
        platform.kinds.endpoints,
        apply_listing,
        apply_change,
        on_lost,
        on_regained,
        on_response=state.record_endpoints_received,
        on_new_era=on_new_era,
    )


def _make_outage_handlers(
    watched: str, log: WriteEvent, registry: Registry
) -> tuple[Callable[[StoreError], None], Callable[[], None]]:
    def on_lost(error: StoreError) -> None:
        registry.count("store", f"{watched}_lost")
        log("store lost", watching=watched, cause=error.value)

    def on_regained() -> None:
        registry.count("store", f"{watched}_regained")
        log("store regained", watching=watched)

    return on_lost, on_regained


def make_era_log(
    watched: str, log: WriteEvent, registry: Registry
) -> Callable[[int], None]:
    """Returns a function that logs that the store came back from a copy."""

    def log_era(era: int) -> None:
        registry.count("store", f"{watched}_era_rose")
        log("store era rose", watching=watched, era=era)

    return log_era


def _log_changes(
    before: EndpointTable,
    after: EndpointTable,
    cause: str,
    log: WriteEvent,
    registry: Registry,
) -> None:
    for name in sorted(before.by_id.keys() | after.by_id.keys()):
        old, new = before.by_id.get(name), after.by_id.get(name)
        if old == new:
            continue
        if new is None:
            log("endpoint removed", endpoint=name, cause=cause)
            continue
        endpoint = new.endpoint
        log(
            "endpoint changed" if old else "endpoint added",
            endpoint=name,
            cause=cause,
            service=endpoint.service,
            address=endpoint.address,
            zone=endpoint.zone,
            stage=endpoint.stage.value if endpoint.stage else None,
            leaving=endpoint.leaving,
            version=endpoint.software_version,
            born_ms=endpoint.started_ms,
            missing=new.expires_s != float("inf"),
        )
    registry.set_gauge("endpoints", len(after.by_id))


__all__ = [
    "ObjectWatcher",
    "WatchPosition",
    "compute_collect_s",
    "compute_max_age_s",
    "compute_watch_timeout_s",
    "make_era_log",
    "make_watchers",
    "poll",
    "run_watcher",
]
