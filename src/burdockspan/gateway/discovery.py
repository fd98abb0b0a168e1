"""Follows the store: configuration and endpoints, through its outages."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable

from result import Err, Ok, Result

from burdockspan.gateway import endpoint_table
from burdockspan.gateway.endpoint_table import EndpointTable
from burdockspan.gateway.ports import (
    Listing,
    Platform,
    Store,
    StoredObject,
    StoreError,
)
from burdockspan.gateway.state import GatewayState
from burdockspan.gateway.values import Endpoint
from burdockspan.object_api.retries import Backoff, RandomFloat, backoff_delay_s
from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry
from burdockspan.values.clock import Clock

# A watch on a connection that went silent ends after this time and the margin
# of the call, which leaves a change time to come into force within the bound
# of the shortest deployments, two seconds after the aftermath of a fault.
WATCH_TIMEOUT_S = 2.0
# An outage is noticed within a fraction of a second, and its end as well.
_BACKOFF = Backoff(0.1, 0.5)
# A store that turns calls away is asked less often.
_LIMITED_BACKOFF = Backoff(0.2, 1.0)


@dataclasses.dataclass(frozen=True)
class ObjectWatcher:
    """What is done with the objects of one kind.

    Attributes:
      kind: kind of the objects.
      apply_listing: takes over a complete list.
      apply_change: takes over one change.
      on_lost: notes that the store does not answer any more.
      on_regained: notes that it answers again, before its answer is taken over.
      on_response: notes an answer of the store, with or without a change.
      watch_timeout_s: longest wait for a change.
    """

    kind: str
    apply_listing: Callable[[tuple[StoredObject, ...]], None]
    apply_change: Callable[[StoredObject], None]
    on_lost: Callable[[StoreError], None]
    on_regained: Callable[[], None]
    on_response: Callable[[], None] = lambda: None
    watch_timeout_s: float = WATCH_TIMEOUT_S


@dataclasses.dataclass(frozen=True)
class WatchPosition:
    """Where a follower stands.

    Attributes:
      revision: revision to watch from; None lists the kind first.
      failures: failed calls in a row.
    """

    revision: int | None = None
    failures: int = 0


def poll_once(
    store: Store,
    watcher: ObjectWatcher,
    position: WatchPosition,
    random_float: RandomFloat,
) -> tuple[WatchPosition, float]:
    """Makes one call; returns the new position and the pause before the next.

    After an outage the kind is listed anew, since an entry may have been
    removed while nobody watched.
    """
    if position.revision is None:
        answer = store.list_objects(watcher.kind)
    else:
        answer = store.watch(
            watcher.kind, position.revision, watcher.watch_timeout_s
        )
    if isinstance(answer, Err):
        return _note_error(watcher, position, answer.err_value, random_float)
    if position.failures:
        watcher.on_regained()
    _adopt(watcher, position, answer)
    watcher.on_response()
    return WatchPosition(answer.ok_value.revision), 0.0


def _adopt(
    watcher: ObjectWatcher, position: WatchPosition, answer: Ok[Listing]
) -> None:
    objects = answer.ok_value.objects
    if position.revision is None:
        watcher.apply_listing(objects)
        return
    for held in objects:
        watcher.apply_change(held)


def _note_error(
    watcher: ObjectWatcher,
    position: WatchPosition,
    error: StoreError,
    random_float: RandomFloat,
) -> tuple[WatchPosition, float]:
    if error is StoreError.COMPACTED:
        return WatchPosition(None, position.failures), 0.0
    if not position.failures:
        watcher.on_lost(error)
    limited = error is StoreError.LIMITED
    backoff = _LIMITED_BACKOFF if limited else _BACKOFF
    failures = position.failures + 1
    return WatchPosition(None, failures), backoff_delay_s(
        backoff, failures, random_float
    )


def run_watcher(
    store: Store,
    watcher: ObjectWatcher,
    random_float: RandomFloat,
    stopped: threading.Event,
) -> None:
    """Follows a kind until `stopped` is set."""
    position = WatchPosition()
    while not stopped.is_set():
        position, pause_s = poll_once(store, watcher, position, random_float)
        if pause_s > 0:
            stopped.wait(pause_s)


def make_watchers(
    platform: Platform,
    state: GatewayState,
    clock: Clock,
    log: WriteEvent,
    registry: Registry,
) -> tuple[ObjectWatcher, ...]:
    """Returns the followers of the configuration and of the endpoints."""
    return (
        _watch_configuration(platform, state, log, registry),
        _watch_endpoints(platform, state, clock, log, registry),
    )


def _watch_configuration(
    platform: Platform, state: GatewayState, log: WriteEvent, registry: Registry
) -> ObjectWatcher:
    def adopt(held: StoredObject) -> None:
        if held.removed:
            # A process never goes back to an older or to no configuration.
            log("configuration removed", revision=held.revision)
            return
        decoded = platform.decode_configuration(held)
        if isinstance(decoded, Err):
            log("configuration ignored", detail=decoded.err_value)
            registry.count("configuration", "ignored")
            return
        configuration = decoded.ok_value
        adopted = state.activate(configuration)
        registry.count("configuration", "adopted" if adopted else "older")
        registry.set_gauge("configuration_version", configuration.version)
        log(
            "configuration adopted"
            if adopted
            else "configuration is not newer",
            version=configuration.version,
            revision=held.revision,
            routes=len(configuration.routes),
            services=len(configuration.services_by_name),
        )

    def apply_listing(objects: tuple[StoredObject, ...]) -> None:
        for held in objects:
            adopt(held)

    on_lost, on_regained = _make_outage_handlers("configuration", log, registry)
    kind = platform.kinds.configuration
    return ObjectWatcher(kind, apply_listing, adopt, on_lost, on_regained)


def _watch_endpoints(
    platform: Platform,
    state: GatewayState,
    clock: Clock,
    log: WriteEvent,
    registry: Registry,
) -> ObjectWatcher:
    def decode(held: StoredObject) -> Result[Endpoint, str]:
        decoded = platform.decode_endpoint(held)
        if isinstance(decoded, Err):
            log("entry ignored", name=held.name, detail=decoded.err_value)
            registry.count("entry", "ignored")
        return decoded

    def apply_listing(objects: tuple[StoredObject, ...]) -> None:
        decoded = [decode(held) for held in objects]
        endpoints = [one.ok_value for one in decoded if isinstance(one, Ok)]
        _change(
            lambda table: endpoint_table.apply_listing(
                table, endpoints, clock()
            ),
            "listed",
        )

    def apply_change(held: StoredObject) -> None:
        decoded = None if held.removed else decode(held)
        if isinstance(decoded, Ok):
            endpoint = decoded.ok_value
            _change(
                lambda table: endpoint_table.apply_entry(table, endpoint),
                "written",
            )
            return
        _change(
            lambda table: endpoint_table.remove_entry(
                table, held.name, clock()
            ),
            "removed",
        )

    def _change(
        change: Callable[[EndpointTable], EndpointTable], cause: str
    ) -> None:
        before = state.endpoint_table()
        state.change_endpoints(change)
        _log_changes(before, state.endpoint_table(), cause, log, registry)

    on_lost, note_regained = _make_outage_handlers("endpoints", log, registry)

    def on_regained() -> None:
        state.change_endpoints(
            lambda table: endpoint_table.start_lapse_grace(table, clock())
        )
        note_regained()

    kind = platform.kinds.endpoints
    on_response = state.record_endpoints_received
    return ObjectWatcher(
        kind, apply_listing, apply_change, on_lost, on_regained, on_response
    )


def _make_outage_handlers(
    what: str, log: WriteEvent, registry: Registry
) -> tuple[Callable[[StoreError], None], Callable[[], None]]:
    def on_lost(error: StoreError) -> None:
        registry.count("store", f"{what}_lost")
        log("store lost", watching=what, cause=error.value)

    def on_regained() -> None:
        registry.count("store", f"{what}_regained")
        log("store regained", watching=what)

    return on_lost, on_regained


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
            born_ms=endpoint.started_ms,
            missing=new.expires_s != float("inf"),
        )
    registry.set_gauge("endpoints", len(after.by_id))


__all__ = [
    "ObjectWatcher",
    "WatchPosition",
    "run_watcher",
    "make_watchers",
    "poll_once",
]
