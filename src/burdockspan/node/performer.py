"""Carries out the effects of the node outside its thread."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import functools
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from burdockspan.configuration import adoption
from burdockspan.configuration.codec import dump_configuration
from burdockspan.configuration.document import Configuration
from burdockspan.endpoints import engine, orders, reports
from burdockspan.endpoints.connections import Connections
from burdockspan.endpoints.engine import EngineContext
from burdockspan.membership.values import Outgoing
from burdockspan.node import effects, messages
from burdockspan.node.effects import Effects
from burdockspan.object_api.vm_codec import load_vm_list
from burdockspan.observe.logs import log_change, log_fault
from burdockspan.observe.metrics import Metrics
from burdockspan.peering.client import PeerClient
from burdockspan.peering.snapshot import Snapshot
from burdockspan.requests.orphans import ReservedAttempt
from burdockspan.values.clock import Clock
from burdockspan.values.endpoint import Endpoint, LoadReport
from burdockspan.values.placement import Failure

_IO_THREADS = 16

Tell = Callable[[object], object]
"""Sends a message to the node."""


@dataclasses.dataclass(frozen=True)
class Performer:
    """Functions that carry out effects.

    Attributes:
      perform: carries out effects; never blocks.
      close: waits for running effects and ends the threads.
    """

    perform: Callable[[Effects], None]
    close: Callable[[], None]


@dataclasses.dataclass(frozen=True)
class Outlets:
    """What effects act on.

    Attributes:
      connections: connections to endpoints.
      peers: client of the peer service.
      send_datagram: sends a membership message.
      read_platform: asks the platform for its documents; tells the node.
      metrics: counters and timings.
      clock: monotonic seconds.
      tell: sends a message to the node.
    """

    connections: Connections
    peers: PeerClient
    send_datagram: Callable[[Outgoing], None]
    read_platform: Callable[[], None]
    metrics: Metrics
    clock: Clock
    tell: Tell


def make_performer(outlets: Outlets) -> Performer:
    """Returns a performer with its own threads."""
    pool = concurrent.futures.ThreadPoolExecutor(
        _IO_THREADS, thread_name_prefix="effect"
    )

    def perform(batch: Effects) -> None:
        for effect in batch:
            handler = _HANDLERS[type(effect)]
            if type(effect) in _INLINE:
                handler(outlets, effect)
            else:
                pool.submit(_run_safely, handler, outlets, effect)

    return Performer(perform, functools.partial(pool.shutdown, True))


def tell_documents(
    tell: Tell, address: str, snapshot: Snapshot
) -> Configuration | None:
    """Hands a peer's snapshot to the node; returns its configuration."""
    tell(messages.SnapshotFetched(snapshot))
    if snapshot.vm_list is not None:
        listed = load_vm_list(snapshot.vm_list)
        if isinstance(listed, Ok):
            tell(messages.VmListReceived(listed.ok_value))
    if snapshot.configuration is None:
        return None
    read = adoption.parse_offer(
        snapshot.versions.configuration_generation, snapshot.configuration
    )
    if isinstance(read, Err):
        log_fault(
            "peer sent an invalid configuration",
            peer=address,
            problem=read.err_value,
        )
        return None
    return read.ok_value


def _run_safely(
    handler: Callable[[Outlets, Any], None], outlets: Outlets, effect: object
) -> None:
    try:
        handler(outlets, effect)
    except Exception:
        log_fault("effect failed", effect=type(effect).__name__)


def _answer(outlets: Outlets, effect: effects.Answer) -> None:
    del outlets
    if not effect.future.done():
        effect.future.set_result(effect.outcome)


def _count(outlets: Outlets, effect: effects.Count) -> None:
    outlets.metrics.count(effect.name, effect.amount)


def _measure(outlets: Outlets, effect: effects.Measure) -> None:
    outlets.metrics.time(effect.name, effect.duration_s)


def _note(outlets: Outlets, effect: effects.Note) -> None:
    del outlets
    log_change(effect.event, **dict(effect.fields))


def _send(outlets: Outlets, effect: effects.SendDatagram) -> None:
    outlets.send_datagram(effect.outgoing)


def _abort(outlets: Outlets, effect: effects.Abort) -> None:
    del outlets
    effect.abort()


def _free_memory(outlets: Outlets, effect: effects.FreeMemory) -> None:
    engine_context = EngineContext(
        outlets.connections, effect.endpoint, effect.attempt
    )
    freed = engine.cancel(engine_context)
    outlets.tell(
        messages.MemoryReleased(
            effect.attempt, effect.endpoint.name, freed.is_ok()
        )
    )


def _poll_load(outlets: Outlets, effect: effects.PollLoad) -> None:
    began_s = outlets.clock()
    outcome = _fetch_report(outlets, effect.endpoint, began_s)
    latency_s = outlets.clock() - began_s
    outlets.tell(
        messages.LoadPolled(effect.endpoint.name, outcome, latency_s, began_s)
    )


def _fetch_report(
    outlets: Outlets, endpoint: Endpoint, asked_s: float
) -> Result[LoadReport, Failure]:
    """Returns the lagging load with the state and boot identity.

    Its age counts from `asked_s`, because the answers may have waited in a
    socket while the process was frozen.
    """
    # A new connection for each poll would cost a third of its processor time.
    # A silent pooled one makes this poll fail and is then closed.
    health = engine.check_health(outlets.connections, endpoint, fresh=False)
    if isinstance(health, Err):
        return health
    load = reports.fetch_load(outlets.connections, endpoint, lambda: asked_s)
    return load.map(
        lambda report: dataclasses.replace(
            report,
            boot=health.ok_value.boot,
            leaving=report.leaving or health.ok_value.leaving,
            role=health.ok_value.role,
        )
    )


def _fetch_cache_events(
    outlets: Outlets, effect: effects.FetchCacheEvents
) -> None:
    fetched = reports.fetch_cache_events(
        outlets.connections, effect.endpoint, effect.boot, effect.after
    )
    if isinstance(fetched, Ok):
        outlets.tell(
            messages.CacheEventsFetched(effect.endpoint.name, fetched.ok_value)
        )


def _list_attempts(outlets: Outlets, effect: effects.ListAttempts) -> None:
    listed = engine.list_attempts(outlets.connections, effect.endpoint)
    held = listed.map(
        lambda value: tuple(
            ReservedAttempt(row.attempt, row.pieces) for row in value[1]
        )
    )
    outlets.tell(messages.AttemptsListed(effect.endpoint.name, held))


def _send_order(outlets: Outlets, effect: effects.SendOrder) -> None:
    outcome = orders.send_order(
        outlets.connections, effect.endpoint, effect.order
    )
    outlets.tell(
        messages.OrderAnswered(effect.endpoint.name, effect.order, outcome)
    )


def _pull(outlets: Outlets, effect: effects.PullDocuments) -> None:
    fetched = outlets.peers.fetch(effect.address, effect.versions)
    configuration = None
    if isinstance(fetched, Ok):
        configuration = tell_documents(
            outlets.tell, effect.address, fetched.ok_value
        )
    outlets.tell(
        messages.ConfigurationReceived(
            effect.address, configuration, failed=fetched.is_err()
        )
    )


def _read_platform(outlets: Outlets, effect: effects.ReadPlatform) -> None:
    del effect
    outlets.read_platform()


def _offer(outlets: Outlets, effect: effects.OfferConfiguration) -> None:
    offered = outlets.peers.offer(
        effect.address,
        effect.configuration.generation,
        dump_configuration(effect.configuration),
    )
    if isinstance(offered, Ok):
        outlets.tell(messages.ConfigurationStored(offered.ok_value))


# These neither block nor wait, and answers must not queue behind I/O.
_INLINE = frozenset(
    {
        effects.Answer,
        effects.Count,
        effects.Measure,
        effects.Note,
        effects.SendDatagram,
        effects.Abort,
    }
)

_HANDLERS: dict[type, Callable[[Outlets, Any], None]] = {
    effects.Abort: _abort,
    effects.Answer: _answer,
    effects.Count: _count,
    effects.FetchCacheEvents: _fetch_cache_events,
    effects.FreeMemory: _free_memory,
    effects.ListAttempts: _list_attempts,
    effects.Measure: _measure,
    effects.Note: _note,
    effects.OfferConfiguration: _offer,
    effects.PollLoad: _poll_load,
    effects.PullDocuments: _pull,
    effects.ReadPlatform: _read_platform,
    effects.SendDatagram: _send,
    effects.SendOrder: _send_order,
}


__all__ = ["Outlets", "Performer", "make_performer", "tell_documents"]
