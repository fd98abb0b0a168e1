"""Creates the parts of an entry process and connects them."""

from __future__ import annotations

import dataclasses
import random
from typing import Any

import pykka
from result import Err, Ok, Result

from burdockspan.claims.store import make_claims
from burdockspan.claims.write_retries import WriteRetries, make_write_retries
from burdockspan.configuration.document import Policy
from burdockspan.endpoints.connections import Connections, make_connections
from burdockspan.http.admin import make_admin_application
from burdockspan.http.application import make_application
from burdockspan.http.context import HandlerContext
from burdockspan.http.server import (
    Server,
    make_admin_server,
    make_caller_server,
)
from burdockspan.membership.table import make_members
from burdockspan.membership.transport import Transport, make_transport
from burdockspan.node import messages, queries
from burdockspan.node.actor import Node
from burdockspan.node.context import Context
from burdockspan.node.effect_runner import (
    EffectContext,
    EffectRunner,
    make_effect_runner,
)
from burdockspan.node.interfaces import make_peer_handlers, make_router
from burdockspan.node.node_handle import NodeHandle
from burdockspan.node.platform_reader import (
    PlatformReader,
    make_platform_reader,
)
from burdockspan.node.tables import Tables
from burdockspan.object_api.client import PlatformClient
from burdockspan.object_api.connection import connect_platform
from burdockspan.observe.metrics import Metrics, make_metrics
from burdockspan.observe.traces import Traces, make_traces
from burdockspan.peering.client import make_peer_client
from burdockspan.peering.server import PeerServer, make_peer_server
from burdockspan.placement.prefix import block_hashes
from burdockspan.settings import Settings
from burdockspan.values.clock import make_monotonic_clock, make_wall_clock


@dataclasses.dataclass(frozen=True)
class EntryProcess:
    """The parts of an entry process; not all of them are started.

    Attributes:
      context: settings and clocks of the node.
      node_handle: access to the node.
      node: the running node.
      transport: the running membership transport.
      peer_server: the running peer server.
      effect_runner: carries out the node's effects.
      platform_reader: reads the documents of the platform; not started.
      write_retries: retries claim writes; not started.
      caller_server: server for callers, listening but not serving.
      admin_server: server for operators, listening but not serving.
      metrics: counters and timings.
      traces: spans.
    """

    context: Context
    node_handle: NodeHandle
    node: pykka.ActorRef
    transport: Transport
    peer_server: PeerServer
    effect_runner: EffectRunner
    platform_reader: PlatformReader
    write_retries: WriteRetries
    caller_server: Server
    admin_server: Server
    metrics: Metrics
    traces: Traces


def make_entry_process(settings: Settings) -> Result[EntryProcess, str]:
    """Returns the parts of an entry process, or why one cannot be created."""
    context = Context(
        settings,
        make_monotonic_clock(),
        make_wall_clock(),
        random.Random().random,
    )
    node_handle = NodeHandle()
    result = _open_transport(settings, context, node_handle)
    if isinstance(result, Err):
        return result
    transport = result.ok_value
    metrics = make_metrics(settings.statsd_address)
    client = connect_platform(
        settings.platform_url, settings.vm, context.clock, context.random_float
    )
    platform_reader = make_platform_reader(
        client,
        node_handle.tell,
        lambda: node_handle.read(queries.is_watcher, False),
        lambda: node_handle.read(queries.count_zone_vms, 1),
        context.random_float,
    )
    connections = make_connections(
        context.clock, lambda: _read_policy(node_handle).connect_timeout_s
    )
    effect_runner = make_effect_runner(
        EffectContext(
            connections,
            make_peer_client(),
            transport.send,
            platform_reader.read_once,
            metrics,
            context.clock,
            node_handle.tell,
        )
    )
    node = _start_node(settings, context, effect_runner)
    node_handle.connect(node)
    peer_server = make_peer_server(
        settings.peer_address, make_peer_handlers(node, context)
    )
    if isinstance(peer_server, Err):
        return peer_server
    write_retries = make_write_retries(context.clock, context.random_float)
    traces = make_traces(settings.traces_url, settings.trace_ratio, settings.vm)
    handler_context = _make_handler_context(
        node,
        context,
        node_handle,
        client,
        write_retries,
        connections,
        metrics,
        traces,
    )
    servers = _open_servers(settings, node_handle, handler_context)
    return servers.map(
        lambda servers: EntryProcess(
            context,
            node_handle,
            node,
            transport,
            peer_server.ok_value,
            effect_runner,
            platform_reader,
            write_retries,
            servers[0],
            servers[1],
            metrics,
            traces,
        )
    )


def _open_transport(
    settings: Settings, context: Context, node_handle: NodeHandle
) -> Result[Transport, str]:
    def deliver(message: Any) -> None:
        node_handle.tell(messages.PeerMessage(message, context.clock()))

    return make_transport(settings.peer_address, deliver)


def _start_node(
    settings: Settings, context: Context, effect_runner: EffectRunner
) -> pykka.ActorRef:
    members = make_members(
        vm=settings.vm,
        address=settings.peer_address,
        availability_zone=settings.availability_zone,
        region=settings.region,
        seeds=settings.peers,
        now_s=context.clock(),
        wall_s=context.wall_clock(),
    )
    return Node.start(Tables(members), context, effect_runner.run)


def _make_handler_context(
    node: pykka.ActorRef,
    context: Context,
    node_handle: NodeHandle,
    client: PlatformClient,
    write_retries: WriteRetries,
    connections: Connections,
    metrics: Metrics,
    traces: Traces,
) -> HandlerContext:
    router = make_router(
        node, context, lambda: _describe_platform(write_retries, client)
    )
    claims = make_claims(
        client,
        write_retries,
        context.wall_clock,
        lambda: _read_policy(node_handle).key_retention_s,
    )
    return HandlerContext(
        router,
        claims,
        connections,
        context.clock,
        block_hashes,
        metrics,
        traces,
    )


def _open_servers(
    settings: Settings, node_handle: NodeHandle, handler_context: HandlerContext
) -> Result[tuple[Server, Server], str]:
    """Returns the servers for callers and for operators."""
    application = make_application(handler_context, settings.threads)
    try:
        caller_server = make_caller_server(
            application,
            settings.caller_address,
            settings.threads,
            lambda: _read_policy(node_handle).body_limit_bytes,
        )
        admin_server = make_admin_server(
            make_admin_application(handler_context.router),
            settings.admin_address,
        )
    except OSError as error:
        return Err(f"cannot listen: {error}")
    return Ok((caller_server, admin_server))


def _read_policy(node_handle: NodeHandle) -> Policy:
    return node_handle.read(queries.read_policy, Policy())


def _describe_platform(
    write_retries: WriteRetries, client: PlatformClient
) -> dict[str, Any]:
    calls = client.counts()
    return {
        # Counts of retried claim writes by state, such as waiting or given up.
        "claims": dataclasses.asdict(write_retries.counts()),
        "platform_calls": {
            "by_operation": calls.by_operation,
            "by_outcome": calls.by_outcome,
            "limited": calls.limited,
        },
    }


__all__ = ["EntryProcess", "make_entry_process"]
