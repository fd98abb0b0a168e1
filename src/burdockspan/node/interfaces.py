"""Interfaces of the node to the HTTP layer and to the peer server."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, TypeVar, cast

import pykka
from result import Result

from burdockspan.configuration import adoption
from burdockspan.configuration.codec import dump_configuration
from burdockspan.configuration.document import Configuration
from burdockspan.membership.values import Versions
from burdockspan.node import messages, status
from burdockspan.node.context import Context
from burdockspan.node.readiness import is_accepting
from burdockspan.node.tables import Tables, make_attempt_id
from burdockspan.object_api.vm_codec import dump_vm_list
from burdockspan.peering.server import PeerHandlers
from burdockspan.peering.snapshot import Snapshot, make_snapshot
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import AttemptEvent, Failure, Placement
from burdockspan.values.refusal import Execution, Refusal
from burdockspan.values.router import Router
from burdockspan.values.submission import Submission

_T = TypeVar("_T")


def make_router(
    node: pykka.ActorRef,
    context: Context,
    describe_platform: Callable[[], dict[str, Any]] = dict,
) -> Router:
    """Returns the functions of a node for the HTTP layer.

    Args:
      node: the actor.
      context: settings and clocks of the node.
      describe_platform: returns JSON values on claims and platform calls for
        the status.
    """

    def read(function: Callable[[Tables], _T]) -> _T:
        return _read(node, function)

    def submit(
        submission: Submission, caller_gone: Callable[[], bool]
    ) -> Result[Placement, Refusal]:
        future: messages.PlacementFuture = Future()
        node.tell(messages.Submit(submission, caller_gone, future))
        return future.result()

    def retry(
        attempt: AttemptId, failure: Failure
    ) -> Result[Placement, Refusal]:
        future: messages.PlacementFuture = Future()
        node.tell(messages.Retry(attempt, failure, future))
        return future.result()

    def record_event(attempt: AttemptId, event: AttemptEvent) -> bool:
        return bool(node.ask(messages.RecordEvent(attempt, event)))

    def finish(request_id: str, execution: Execution, status: int) -> None:
        node.tell(messages.FinishRequest(request_id, execution, status))

    return Router(
        make_attempt_id=lambda: read(make_attempt_id),
        submit=submit,
        retry=retry,
        record_event=record_event,
        register_abort=lambda attempt, abort: node.tell(
            messages.RegisterAbort(attempt, abort)
        ),
        finish=finish,
        release=lambda attempt, endpoint: node.tell(
            messages.ReleaseMemory(attempt, endpoint)
        ),
        configuration=lambda: read(_active_configuration),
        is_ready=lambda: read(lambda tables: is_accepting(tables, context)),
        in_rotation=lambda: read(
            lambda tables: is_accepting(tables, context) and not tables.draining
        ),
        status=lambda: {
            **read(lambda tables: status.make_status(tables, context)),
            **describe_platform(),
        },
    )


def make_peer_handlers(node: pykka.ActorRef, context: Context) -> PeerHandlers:
    """Returns the functions of a node for the peer server."""

    def fetch(known_versions: Versions) -> Snapshot:
        def read_snapshot(tables: Tables) -> Snapshot:
            stored = tables.adoption.stored
            return make_snapshot(
                tables.members,
                None if stored is None else dump_configuration(stored),
                dump_vm_list(tables.vm_list),
                known_versions,
                context.clock(),
            )

        return _read(node, read_snapshot)

    def offer(generation: int, data: bytes) -> int:
        parsed = adoption.parse_offer(generation, data)
        configuration = parsed.ok()
        if configuration is not None:
            # The node handles messages in order, so the generation below
            # already includes this offer.
            node.tell(messages.ConfigurationReceived("peer", configuration))
        return _read(
            node,
            lambda tables: tables.members.versions.configuration_generation,
        )

    return PeerHandlers(fetch, offer)


def _active_configuration(tables: Tables) -> Configuration | None:
    return tables.adoption.active


def _read(node: pykka.ActorRef, function: Callable[[Tables], _T]) -> _T:
    return cast(_T, node.ask(messages.ReadState(function)))


__all__ = ["make_peer_handlers", "make_router"]
