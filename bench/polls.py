"""Polls of endpoints and the age of load reports at all nodes of a region.

Usage: python -m bench.polls [--nodes 4,35,100,200]

Runs the membership, gossip and polling functions of every node on a simulated
clock. A poll is answered after 2 ms. Each node polls the endpoints that it owns
and those whose report is stale, and disseminates the reports by gossip.
Processor time is that of these functions; sockets and HTTP are not part of it
(see `bench.capacity` for the time of a poll).
"""

from __future__ import annotations

import dataclasses
import random
import statistics
import time
from collections.abc import Callable

import click
from result import Ok

from bench.loop import EventLoop
from bench.node_cost import SERVICE, make_configuration
from burdockspan.configuration.adoption import Adoption
from burdockspan.membership import wire
from burdockspan.membership.merge import merge_members
from burdockspan.membership.table import make_members
from burdockspan.membership.values import Outgoing
from burdockspan.node import (
    documents,
    effects,
    endpoint_table,
    gossip,
    maintenance,
    messages,
)
from burdockspan.node.catalog import make_catalog
from burdockspan.node.context import Context
from burdockspan.node.tables import Tables
from burdockspan.object_api.vms import Vm, VmList, VmRole
from burdockspan.settings import Settings
from burdockspan.values.endpoint import LoadReport

_TICK_INTERVAL_S = 0.05
_ONE_WAY_DELAY_S = 0.0015
_POLL_DURATION_S = 0.002
_PROBE_INTERVAL_S = 0.2
_UDP_BYTES = 28
_WARM_UP_S = 6.0
_MEASURED_S = 6.0
_ENDPOINTS_PER_VM = 660 / 350
_ZONES = ("a", "b", "c")


@dataclasses.dataclass(frozen=True)
class Cost:
    """Cost of a node and its knowledge of the endpoints, as means over nodes.

    Attributes:
      polls_per_s: polls that one node makes.
      answered_per_s: polls that one endpoint answers.
      age_p50_s: median age of the reports of all nodes.
      age_p95_s: 95th percentile of that age.
      usable_share: share of the endpoints to which a node may send new work.
      usable_zone_share: the same share of the endpoints in the node's zone.
      processor_ms_per_s: processor time of one node.
      bytes_per_s: datagram bytes that one node sends and receives.
    """

    polls_per_s: float
    answered_per_s: float
    age_p50_s: float
    age_p95_s: float
    usable_share: float
    usable_zone_share: float
    processor_ms_per_s: float
    bytes_per_s: float


class _Region:
    """All nodes of a region; no datagram is lost."""

    def __init__(self, nodes: int, seed: int) -> None:
        self.loop = EventLoop()
        self.random = random.Random(seed)
        self.poll_count = 0
        self.datagram_bytes = 0
        self.processor_s = 0.0
        self.endpoints = round(nodes * _ENDPOINTS_PER_VM)
        self.nodes = [self._make_node(number) for number in range(nodes)]
        self.by_address = {
            context.settings.peer_address: (tables, context)
            for tables, context in self.nodes
        }
        all_members = [tables.members.me for tables, _ in self.nodes]
        for tables, context in self.nodes:
            tables.members = dataclasses.replace(
                merge_members(tables.members, all_members, 0.0),
                next_probe_s=self.random.random() * _PROBE_INTERVAL_S,
                member_sends={},
            )
            self.loop.call_later(
                self.random.random() * _TICK_INTERVAL_S,
                lambda tables=tables, context=context: self._tick(
                    tables, context
                ),
            )

    def _make_node(self, number: int) -> tuple[Tables, Context]:
        zone = _ZONES[number % 3]
        address = f"10.0.{number // 250}.{number % 250 + 1}:7000"
        settings = Settings(
            f"entry-{number:03d}",
            zone,
            "region",
            "127.0.0.1:1",
            "127.0.0.1:2",
            address,
            "http://127.0.0.1:4",
        )
        context = Context(
            settings,
            lambda: self.loop.now_s,
            lambda: 1.8e9,
            random.Random(self.random.random()).random,
        )
        members = make_members(
            vm=settings.vm,
            address=address,
            availability_zone=zone,
            region="region",
            seeds=(),
            now_s=0.0,
            wall_s=1.0,
        )
        tables = Tables(members)
        tables.initial_fetch = None
        configuration = make_configuration(10)
        tables.adoption = Adoption(configuration, configuration)
        tables.catalog = make_catalog(configuration)
        vms = tuple(
            Vm(
                f"engine-{index:03d}",
                _ZONES[index % 3],
                f"10.1.{index // 250}.{index % 250 + 1}:8000",
                SERVICE,
                VmRole.PREFILL if index % 7 == 0 else VmRole.DECODE,
                False,
            )
            for index in range(self.endpoints)
        )
        message = messages.VmListReceived(VmList(1, vms))
        documents.receive_vm_list(tables, message, context)
        return tables, context

    def _tick(self, tables: Tables, context: Context) -> None:
        self._run_measured(
            tables,
            context,
            lambda: (
                *gossip.tick(tables, context),
                *maintenance.poll_endpoints(tables, context),
            ),
        )
        self.loop.call_later(
            _TICK_INTERVAL_S, lambda: self._tick(tables, context)
        )

    def _run_measured(
        self,
        tables: Tables,
        context: Context,
        action: Callable[[], effects.Effects],
    ) -> None:
        began_s = time.process_time()
        effect_batch = action()
        self.processor_s += time.process_time() - began_s
        for effect in effect_batch:
            if isinstance(effect, effects.SendDatagram):
                self._send(effect.outgoing)
            elif isinstance(effect, effects.PollLoad):
                self._poll(tables, context, effect.endpoint.name)

    def _send(self, outgoing: Outgoing) -> None:
        began_s = time.process_time()
        data = wire.encode(outgoing.message).unwrap()
        self.processor_s += time.process_time() - began_s
        self.datagram_bytes += 2 * (len(data) + _UDP_BYTES)
        tables, context = self.by_address[outgoing.address]

        def receive() -> effects.Effects:
            message = messages.PeerMessage(
                wire.decode(data).unwrap(), self.loop.now_s
            )
            return gossip.receive(tables, message, context)

        self.loop.call_later(
            _ONE_WAY_DELAY_S,
            lambda: self._run_measured(tables, context, receive),
        )

    def _poll(self, tables: Tables, context: Context, name: str) -> None:
        self.poll_count += 1
        sent_s = self.loop.now_s

        def receive_report() -> None:
            report = LoadReport(
                name, "0123456789abcdef", False, 20, 7, 13, 2, self.loop.now_s
            )
            polled = messages.LoadPolled(
                name, Ok(report), _POLL_DURATION_S, sent_s
            )
            self._run_measured(
                tables,
                context,
                lambda: gossip.record_poll(tables, polled, context),
            )

        self.loop.call_later(_POLL_DURATION_S, receive_report)


def measure(nodes: int, seed: int) -> Cost:
    """Returns the cost of one node among `nodes`, after a warm-up."""
    region = _Region(nodes, seed)
    region.loop.run_until(_WARM_UP_S)
    region.poll_count = region.datagram_bytes = 0
    region.processor_s = 0.0
    region.loop.run_until(_WARM_UP_S + _MEASURED_S)
    now_s = region.loop.now_s
    ages = []
    usable_flags, usable_zone_flags = [], []
    for tables, context in region.nodes:
        zone = context.settings.availability_zone
        for endpoint_row in tables.endpoints_by_name.values():
            is_usable = endpoint_table.is_usable(endpoint_row, now_s)
            usable_flags.append(is_usable)
            if endpoint_row.endpoint.availability_zone == zone:
                usable_zone_flags.append(is_usable)
            if endpoint_row.report is not None:
                ages.append(now_s - endpoint_row.report.measured_s)
    ages.sort()
    return Cost(
        region.poll_count / nodes / _MEASURED_S,
        region.poll_count / region.endpoints / _MEASURED_S,
        ages[len(ages) // 2],
        ages[len(ages) * 95 // 100],
        statistics.mean(usable_flags),
        statistics.mean(usable_zone_flags),
        region.processor_s / nodes / _MEASURED_S * 1000,
        region.datagram_bytes / nodes / _MEASURED_S,
    )


@click.command(help="Polls and age of reports at all nodes of a region.")
@click.option("--nodes", default="4,12,25,35,58,100,175,200", show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(nodes: str, seed: int) -> None:
    """Prints one line per number of nodes."""
    click.echo(
        "nodes endpoints node_polls/s asked/s age_p50_s p95_s usable"
        " usable_zone system_ms/s datagram_KB/s"
    )
    for size in map(int, nodes.split(",")):
        cost = measure(size, seed)
        click.echo(
            f"{size:5d} {round(size * _ENDPOINTS_PER_VM):9d}"
            f" {cost.polls_per_s:12.1f} {cost.answered_per_s:7.1f}"
            f" {cost.age_p50_s:9.2f} {cost.age_p95_s:5.2f}"
            f" {cost.usable_share:6.3f} {cost.usable_zone_share:11.3f}"
            f" {cost.processor_ms_per_s:11.2f} {cost.bytes_per_s / 1000:13.1f}"
        )


if __name__ == "__main__":
    main()
