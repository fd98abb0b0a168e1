"""Carries out the effects of the node, blocking ones on other threads."""

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

SendToNode = Callable[[object], object]
"""Sends a message to the node."""


@dataclasses.dataclass(frozen=True)
class EffectRunner:
    """Functions that carry out effects.

    Attributes:
      run: carries out effects; never blocks.
      close: waits for running effects and ends the threads.
    """

    run: Callable[[Effects], None]
    close: Callable[[], None]


@dataclasses.dataclass(frozen=True)
class EffectContext:
    """What the functions that carry out effects need.

    Attributes:
      connections: connections to endpoints.
      peers: client of the peer service.
      send_datagram: sends a membership message.
      read_platform: reads the documents of the platform and sends them to the
        node.
      metrics: counters and timings.
      clock: monotonic seconds.
      send_to_node: sends a message to the node.
    """

    connections: Connections
    peers: PeerClient
    send_datagram: Callable[[Outgoing], None]
    read_platform: Callable[[], None]
    metrics: Metrics
    clock: Clock
    send_to_node: SendToNode


def make_effect_runner(context: EffectContext) -> EffectRunner:
    """Returns an effect runner with its own thread pool."""
    pool = concurrent.futures.ThreadPoolExecutor(
        _IO_THREADS, thread_name_prefix="effect"
    )

    def run(batch: Effects) -> None:
        for effect in batch:
            handler = _HANDLERS[type(effect)]
            if type(effect) in _NON_BLOCKING:
                handler(context, effect)
            else:
                pool.submit(_run_safely, handler, context, effect)

    return EffectRunner(run, functools.partial(pool.shutdown, True))


def deliver_documents(
    send_to_node: SendToNode, address: str, snapshot: Snapshot
) -> Configuration | None:
    """Sends a peer's members, crash records and VM list to the node.

    Returns:
      The configuration that the peer sent; None without a valid one.
    """
    send_to_node(messages.SnapshotFetched(snapshot))
    if snapshot.vm_list is not None:
        listed = load_vm_list(snapshot.vm_list)
        if isinstance(listed, Ok):
            send_to_node(messages.VmListReceived(listed.ok_value))
    if snapshot.configuration is None:
        return None
    parsed = adoption.parse_offer(
        snapshot.versions.configuration_generation, snapshot.configuration
    )
    if isinstance(parsed, Err):
        log_fault(
            "peer sent an invalid configuration",
            peer=address,
            problem=parsed.err_value,
        )
        return None
    return parsed.ok_value


def _run_safely(
    handler: Callable[[EffectContext, Any], None],
    context: EffectContext,
    effect: object,
) -> None:
    try:
        handler(context, effect)
    except Exception:
        log_fault("effect failed", effect=type(effect).__name__)


def _resolve_future(context: EffectContext, effect: effects.Answer) -> None:
    del context
    if not effect.future.done():
        effect.future.set_result(effect.outcome)


def _count(context: EffectContext, effect: effects.Count) -> None:
    context.metrics.count(effect.name, effect.amount)


def _measure(context: EffectContext, effect: effects.Measure) -> None:
    context.metrics.time(effect.name, effect.duration_s)


def _log(context: EffectContext, effect: effects.Note) -> None:
    del context
    log_change(effect.event, **dict(effect.fields))


def _send_datagram(
    context: EffectContext, effect: effects.SendDatagram
) -> None:
    context.send_datagram(effect.outgoing)


def _abort(context: EffectContext, effect: effects.Abort) -> None:
    del context
    effect.abort()


def _free_memory(context: EffectContext, effect: effects.FreeMemory) -> None:
    engine_context = EngineContext(
        context.connections, effect.endpoint, effect.attempt
    )
    outcome = engine.cancel(engine_context)
    context.send_to_node(
        messages.MemoryReleased(
            effect.attempt, effect.endpoint.name, outcome.is_ok()
        )
    )


def _poll_load(context: EffectContext, effect: effects.PollLoad) -> None:
    sent_s = context.clock()
    outcome = _fetch_report(context, effect.endpoint, sent_s)
    latency_s = context.clock() - sent_s
    context.send_to_node(
        messages.LoadPolled(effect.endpoint.name, outcome, latency_s, sent_s)
    )


def _fetch_report(
    context: EffectContext, endpoint: Endpoint, sent_s: float
) -> Result[LoadReport, Failure]:
    """Returns the load report with role, leaving state and boot identity.

    Its age counts from `sent_s`, because responses may have waited in a socket
    while the process was frozen.
    """
    # A new connection per poll would cost a third of the poll's processor time.
    # A stalled pooled connection fails this poll and is then closed.
    health = engine.check_health(context.connections, endpoint, fresh=False)
    if isinstance(health, Err):
        return health
    load = reports.fetch_load(context.connections, endpoint, lambda: sent_s)
    return load.map(
        lambda report: dataclasses.replace(
            report,
            boot=health.ok_value.boot,
            leaving=report.leaving or health.ok_value.leaving,
            role=health.ok_value.role,
        )
    )


def _fetch_cache_events(
    context: EffectContext, effect: effects.FetchCacheEvents
) -> None:
    fetched = reports.fetch_cache_events(
        context.connections, effect.endpoint, effect.boot, effect.after
    )
    if isinstance(fetched, Ok):
        context.send_to_node(
            messages.CacheEventsFetched(effect.endpoint.name, fetched.ok_value)
        )


def _list_attempts(
    context: EffectContext, effect: effects.ListAttempts
) -> None:
    listed = engine.list_attempts(context.connections, effect.endpoint)
    listed_attempts = listed.map(
        lambda boot_and_attempts: tuple(
            ReservedAttempt(engine_attempt.attempt, engine_attempt.pieces)
            for engine_attempt in boot_and_attempts[1]
        )
    )
    context.send_to_node(
        messages.AttemptsListed(effect.endpoint.name, listed_attempts)
    )


def _send_order(context: EffectContext, effect: effects.SendOrder) -> None:
    outcome = orders.send_order(
        context.connections, effect.endpoint, effect.order
    )
    context.send_to_node(
        messages.OrderAnswered(effect.endpoint.name, effect.order, outcome)
    )


def _pull_documents(
    context: EffectContext, effect: effects.PullDocuments
) -> None:
    fetched = context.peers.fetch(effect.address, effect.versions)
    configuration = None
    if isinstance(fetched, Ok):
        configuration = deliver_documents(
            context.send_to_node, effect.address, fetched.ok_value
        )
    context.send_to_node(
        messages.ConfigurationReceived(
            effect.address, configuration, failed=fetched.is_err()
        )
    )


def _read_platform(
    context: EffectContext, effect: effects.ReadPlatform
) -> None:
    del effect
    context.read_platform()


def _offer_configuration(
    context: EffectContext, effect: effects.OfferConfiguration
) -> None:
    offered = context.peers.offer(
        effect.address,
        effect.configuration.generation,
        dump_configuration(effect.configuration),
    )
    if isinstance(offered, Ok):
        context.send_to_node(messages.ConfigurationStored(offered.ok_value))


# Effects that do not block. They skip the thread pool, so that results for HTTP
# handlers do not queue behind I/O.
_NON_BLOCKING = frozenset(
    {
        effects.Answer,
        effects.Count,
        effects.Measure,
        effects.Note,
        effects.SendDatagram,
        effects.Abort,
    }
)

_HANDLERS: dict[type, Callable[[EffectContext, Any], None]] = {
    effects.Abort: _abort,
    effects.Answer: _resolve_future,
    effects.Count: _count,
    effects.FetchCacheEvents: _fetch_cache_events,
    effects.FreeMemory: _free_memory,
    effects.ListAttempts: _list_attempts,
    effects.Measure: _measure,
    effects.Note: _log,
    effects.OfferConfiguration: _offer_configuration,
    effects.PollLoad: _poll_load,
    effects.PullDocuments: _pull_documents,
    effects.ReadPlatform: _read_platform,
    effects.SendDatagram: _send_datagram,
    effects.SendOrder: _send_order,
}


__all__ = [
    "EffectContext",
    "EffectRunner",
    "make_effect_runner",
    "deliver_documents",
]
