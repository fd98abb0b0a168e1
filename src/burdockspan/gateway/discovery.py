"""Follows the store: configuration and endpoints, through its outages."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable

from result import Err, Ok, Result

from burdockspan.gateway import fleet as fleets
from burdockspan.gateway.fleet import Fleet
from burdockspan.gateway.ports import (
    Listing,
    Platform,
    Store,
    StoredObject,
    StoreError,
)
from burdockspan.gateway.tables import Tables
from burdockspan.gateway.values import Endpoint
from burdockspan.object_api.retries import Backoff, RandomFloat, backoff_delay_s
from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry
from burdockspan.values.clock import Clock

# A watch on a connection that went silent ends after this time and the margin
# of the call, which leaves a change time to come into force within the bound
# of the shortest deployments, two seconds after the aftermath of a fault.
WATCH_S = 2.0
# An outage is noticed within a fraction of a second, and its end as well.
_BACKOFF = Backoff(0.1, 0.5)
# A store that turns calls away is asked less often.
_LIMITED_BACKOFF = Backoff(0.2, 1.0)


@dataclasses.dataclass(frozen=True)
class Follower:
    """What is done with the objects of one kind.

    Attributes:
      kind: kind of the objects.
      adopt_all: takes over a complete list.
      adopt_change: takes over one change.
      lost: notes that the store does not answer any more.
      regained: notes that it answers again, before its answer is taken over.
      heard: notes an answer of the store, with or without a change.
      watch_s: longest wait for a change.
    """

    kind: str
    adopt_all: Callable[[tuple[StoredObject, ...]], None]
    adopt_change: Callable[[StoredObject], None]
    lost: Callable[[StoreError], None]
    regained: Callable[[], None]
    heard: Callable[[], None] = lambda: None
    watch_s: float = WATCH_S


@dataclasses.dataclass(frozen=True)
class Position:
    """Where a follower stands.

    Attributes:
      revision: revision to watch from; None lists the kind first.
      failures: failed calls in a row.
    """

    revision: int | None = None
    failures: int = 0


def step(
    store: Store,
    follower: Follower,
    position: Position,
    random_float: RandomFloat,
) -> tuple[Position, float]:
    """Makes one call; returns the new position and the pause before the next.

    After an outage the kind is listed anew, since an entry may have been
    removed while nobody watched.
    """
    if position.revision is None:
        answer = store.list_objects(follower.kind)
    else:
        answer = store.watch(follower.kind, position.revision, follower.watch_s)
    if isinstance(answer, Err):
        return _note_error(follower, position, answer.err_value, random_float)
    if position.failures:
        follower.regained()
    _adopt(follower, position, answer)
    follower.heard()
    return Position(answer.ok_value.revision), 0.0


def _adopt(follower: Follower, position: Position, answer: Ok[Listing]) -> None:
    objects = answer.ok_value.objects
    if position.revision is None:
        follower.adopt_all(objects)
        return
    for held in objects:
        follower.adopt_change(held)


def _note_error(
    follower: Follower,
    position: Position,
    error: StoreError,
    random_float: RandomFloat,
) -> tuple[Position, float]:
    if error is StoreError.COMPACTED:
        return Position(None, position.failures), 0.0
    if not position.failures:
        follower.lost(error)
    limited = error is StoreError.LIMITED
    backoff = _LIMITED_BACKOFF if limited else _BACKOFF
    failures = position.failures + 1
    return Position(None, failures), backoff_delay_s(
        backoff, failures, random_float
    )


def follow(
    store: Store,
    follower: Follower,
    random_float: RandomFloat,
    stopped: threading.Event,
) -> None:
    """Follows a kind until `stopped` is set."""
    position = Position()
    while not stopped.is_set():
        position, pause_s = step(store, follower, position, random_float)
        if pause_s > 0:
            stopped.wait(pause_s)


def make_followers(
    platform: Platform,
    tables: Tables,
    clock: Clock,
    log: WriteEvent,
    registry: Registry,
) -> tuple[Follower, ...]:
    """Returns the followers of the configuration and of the endpoints."""
    return (
        _follow_configuration(platform, tables, log, registry),
        _watch_endpoints(platform, tables, clock, log, registry),
    )


def _follow_configuration(
    platform: Platform, tables: Tables, log: WriteEvent, registry: Registry
) -> Follower:
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
        adopted = tables.adopt(configuration)
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

    def adopt_all(objects: tuple[StoredObject, ...]) -> None:
        for held in objects:
            adopt(held)

    lost, regained = _make_notices("configuration", log, registry)
    kind = platform.kinds.configuration
    return Follower(kind, adopt_all, adopt, lost, regained)


def _watch_endpoints(
    platform: Platform,
    tables: Tables,
    clock: Clock,
    log: WriteEvent,
    registry: Registry,
) -> Follower:
    def decode(held: StoredObject) -> Result[Endpoint, str]:
        decoded = platform.decode_endpoint(held)
        if isinstance(decoded, Err):
            log("entry ignored", name=held.name, detail=decoded.err_value)
            registry.count("entry", "ignored")
        return decoded

    def adopt_all(objects: tuple[StoredObject, ...]) -> None:
        decoded = [decode(held) for held in objects]
        endpoints = [one.ok_value for one in decoded if isinstance(one, Ok)]
        _change(
            lambda fleet: fleets.adopt_listing(fleet, endpoints, clock()),
            "listed",
        )

    def adopt_change(held: StoredObject) -> None:
        decoded = None if held.removed else decode(held)
        if isinstance(decoded, Ok):
            endpoint = decoded.ok_value
            _change(
                lambda fleet: fleets.adopt_entry(fleet, endpoint), "written"
            )
            return
        _change(
            lambda fleet: fleets.remove_entry(fleet, held.name, clock()),
            "removed",
        )

    def _change(change: Callable[[Fleet], Fleet], cause: str) -> None:
        before = tables.fleet()
        tables.change_fleet(change)
        _log_changes(before, tables.fleet(), cause, log, registry)

    lost, note_regained = _make_notices("endpoints", log, registry)

    def regained() -> None:
        tables.change_fleet(lambda fleet: fleets.note_regained(fleet, clock()))
        note_regained()

    kind = platform.kinds.endpoints
    heard = tables.note_fleet_heard
    return Follower(kind, adopt_all, adopt_change, lost, regained, heard)


def _make_notices(
    what: str, log: WriteEvent, registry: Registry
) -> tuple[Callable[[StoreError], None], Callable[[], None]]:
    def lost(error: StoreError) -> None:
        registry.count("store", f"{what}_lost")
        log("store lost", watching=what, cause=error.value)

    def regained() -> None:
        registry.count("store", f"{what}_regained")
        log("store regained", watching=what)

    return lost, regained


def _log_changes(
    before: Fleet, after: Fleet, cause: str, log: WriteEvent, registry: Registry
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


__all__ = ["Follower", "Position", "follow", "make_followers", "step"]
