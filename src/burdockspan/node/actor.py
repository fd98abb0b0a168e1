"""The actor that owns all routing state of an entry process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pykka

from burdockspan.membership.calls import CallStep
from burdockspan.node import (
    attempts,
    call_admission,
    delegation,
    documents,
    gossip,
    grants,
    maintenance,
    messages,
    orders,
    remote_calls,
)
from burdockspan.node.context import Context
from burdockspan.node.effects import Effects
from burdockspan.node.tables import Tables
from burdockspan.observe.logs import log_fault

# Intervals of the scans over all requests and over all queues. Engine memory
# that is reserved for a request must be released within 2 s after its caller
# has disconnected, and a call that cannot be served in time must be refused
# without noticeable delay.
_REQUEST_SCAN_INTERVAL_S = 0.2
_SHED_INTERVAL_S = 0.2

RunEffects = Callable[[Effects], None]
"""Carries out effects. It is called on the node's thread and must not block."""

_Handler = Callable[[Tables, Any, Context], Effects]


# Messages whose senders wait for a result.
_ANSWERED = (messages.ReadState, messages.RecordEvent)


class Node(pykka.ThreadingActor):
    """Handles one message at a time; no other thread changes the tables."""

    use_daemon_thread = True

    def __init__(
        self, tables: Tables, context: Context, run_effects: RunEffects
    ) -> None:
        super().__init__()
        self._tables = tables
        self._context = context
        self._run_effects = run_effects

    def on_receive(self, message: Any) -> Any:
        """Handles a message of `messages` and returns the sender's result."""
        try:
            result, effects = handle(self._tables, message, self._context)
            self._run_effects(effects)
            return result
        except Exception:
            if isinstance(message, _ANSWERED):
                # pykka raises it again at the sender.
                raise
            # pykka would end the thread of the node, and the process would
            # live on without it.
            log_fault("message not handled", type=type(message).__name__)
            return None


def handle(
    tables: Tables, message: Any, context: Context
) -> tuple[Any, Effects]:
    """Applies a message to the tables.

    Returns:
      The result for the sender, None for messages without one, and the effects
      to carry out.
    """
    if isinstance(message, messages.RecordEvent):
        return attempts.record_event(tables, message, context)
    if isinstance(message, messages.ReadState):
        return message.read(tables), ()
    handler = _HANDLERS[type(message)]
    return None, handler(tables, message, context)


def run_periodic_tasks(
    tables: Tables, message: messages.Tick, context: Context
) -> Effects:
    """Runs each periodic task whose time has come."""
    return (
        *gossip.tick(tables, context),
        *documents.request_missing(tables, context),
        *documents.activate(tables, context),
        *documents.apply_planned_changes(tables, context),
        *_scan_requests(tables, context),
        *delegation.retry_requests(tables, context),
        *_run_queues(tables, context),
        *maintenance.poll_endpoints(tables, context),
        *maintenance.list_attempts(tables, context),
        *maintenance.fetch_cache_events(tables, context),
        *maintenance.release_memory(tables, context),
        *orders.send_orders(tables, context),
    )


def _scan_requests(tables: Tables, context: Context) -> Effects:
    """Ends abandoned and overdue requests, and expired remote calls."""
    now_s = context.clock()
    if now_s < tables.timers.next_request_scan_s:
        return ()
    tables.timers.next_request_scan_s = now_s + _REQUEST_SCAN_INTERVAL_S
    effects: Effects = ()
    for request_id in attempts.find_abandoned(tables):
        effects += attempts.cancel(tables, request_id, now_s)
    for request_id in attempts.find_overdue(tables, now_s):
        effects += attempts.refuse_overdue(tables, request_id, now_s)
    return effects + remote_calls.remove_expired(tables, context)


def _run_queues(tables: Tables, context: Context) -> Effects:
    if tables.catalog is None:
        return ()
    now_s = context.clock()
    shedding = now_s >= tables.timers.next_shed_s
    if shedding:
        tables.timers.next_shed_s = now_s + _SHED_INTERVAL_S
    effects: Effects = ()
    for service in tables.catalog.configuration.services:
        if not tables.waiting_by_service.get(service.name):
            continue
        effects += grants.refuse_unplaceable(tables, service, context)
        if shedding:
            effects += grants.shed(tables, service, context)
        effects += grants.grant(tables, service, context)
    return effects


def _register_abort(
    tables: Tables, message: messages.RegisterAbort, context: Context
) -> Effects:
    return attempts.register_abort(tables, message)


def _finish(
    tables: Tables, message: messages.FinishRequest, context: Context
) -> Effects:
    effects = attempts.finish(tables, message, context.clock())
    return (
        *effects,
        *_run_queues(tables, context),
        *maintenance.release_memory(tables, context),
    )


def _leave(
    tables: Tables, message: messages.AnnounceLeave, context: Context
) -> Effects:
    return gossip.leave(tables, context)


def _receive_peer_message(
    tables: Tables, message: messages.PeerMessage, context: Context
) -> Effects:
    call = message.message.call
    if call is None:
        return gossip.receive(tables, message, context)
    address = message.message.sender.address
    if call.step is CallStep.REQUEST:
        effects = remote_calls.receive_request(tables, call, address, context)
        return effects + _run_queues(tables, context)
    if call.step in _OWNER_RESPONSES:
        return delegation.receive_response(tables, call, address, context)
    effects = remote_calls.receive_progress(tables, call, context)
    return effects + _run_queues(tables, context)


def _queue_release(
    tables: Tables, message: messages.ReleaseMemory, context: Context
) -> Effects:
    attempts.queue_release(tables, message, context.clock())
    return maintenance.release_memory(tables, context)


_OWNER_RESPONSES = frozenset({CallStep.QUEUED, CallStep.GRANT, CallStep.REFUSE})

_HANDLERS: dict[type, _Handler] = {
    messages.RegisterAbort: _register_abort,
    messages.AttemptsListed: maintenance.release_orphans,
    messages.CacheEventsFetched: maintenance.apply_cache_events,
    messages.ConfigurationReceived: documents.receive_configuration,
    messages.ConfigurationStored: documents.record_confirmation,
    messages.FinishRequest: _finish,
    messages.AnnounceLeave: _leave,
    messages.LoadPolled: gossip.record_poll,
    messages.MemoryReleased: maintenance.record_release,
    messages.OrderAnswered: orders.record_outcome,
    messages.PeerMessage: _receive_peer_message,
    messages.ReleaseMemory: _queue_release,
    messages.Retry: call_admission.retry,
    messages.SnapshotFetched: gossip.receive_snapshot,
    messages.Submit: call_admission.submit,
    messages.Tick: run_periodic_tasks,
    messages.VmListReceived: documents.receive_vm_list,
}


__all__ = ["Node", "RunEffects", "handle", "run_periodic_tasks"]
