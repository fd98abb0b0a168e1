"""Measures the cost of membership per node against the number of peers.

Runs the membership tables and the codec of the product on a simulated clock,
all nodes in this process. Every endpoint reports its load every 250 ms. Prints
bytes per second (with 28 bytes of UDP and IP headers per datagram), processor
time per second and the age of load reports. The network is simulated, so
socket calls are not part of the processor time.
"""

from __future__ import annotations

import dataclasses
import gc
import heapq
import itertools
import random
import time

import click

from burdockspan.membership import ownership, shared, swim, wire
from burdockspan.membership.merge import merge_members
from burdockspan.membership.table import (
    Members,
    live_vms,
    make_members,
    with_shared,
)
from burdockspan.membership.values import Outgoing
from burdockspan.values.endpoint import LoadReport

_TICK_INTERVAL_S = 0.05
_POLL_INTERVAL_S = 0.25
_PROBE_INTERVAL_S = 0.2
_ONE_WAY_DELAY_S = 0.0015
_HEADER_BYTES = 28
# 660 endpoints for 350 entry VMs.
_ENDPOINTS_PER_VM = 660 / 350


@dataclasses.dataclass(frozen=True)
class Cost:
    """Cost of one node at one number of peers.

    Attributes:
      nodes: number of nodes.
      endpoints: number of endpoints.
      sent_bytes_per_s: bytes sent, headers included.
      largest_bytes: largest datagram without headers.
      processor_ms_per_s: processor time of one node.
      age_p50_s: median age of the reports that all nodes have.
      age_p95_s: 95th percentile of that age.
      missing: share of the endpoints for which a node has no report.
      dead_after_s: time from the stop of one node until all others have
        declared it dead.
    """

    nodes: int
    endpoints: int
    sent_bytes_per_s: float
    largest_bytes: int
    processor_ms_per_s: float
    age_p50_s: float
    age_p95_s: float
    missing: float
    dead_after_s: float


class _Fleet:
    """Membership tables of all nodes and the datagrams between them."""

    def __init__(self, nodes: int, endpoints: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.datagrams = 0
        self.sent_bytes = 0
        self.largest_bytes = 0
        self.processor_s = 0.0
        self.sequence = itertools.count()
        self.in_flight: list[tuple[float, int, str, bytes]] = []
        self.tables = {
            f"10.0.{number // 250}.{number % 250 + 1}:7000": _make_table(number)
            for number in range(nodes)
        }
        all_members = [table.me for table in self.tables.values()]
        for address, table in self.tables.items():
            joined = merge_members(table, all_members, 0.0)
            # The nodes start their probes at different times within the probe
            # interval.
            start_s = self.random.random() * _PROBE_INTERVAL_S
            self.tables[address] = dataclasses.replace(
                joined, next_probe_s=start_s, member_sends={}
            )
        self.endpoint_names = [
            f"endpoint-{number:04d}" for number in range(endpoints)
        ]
        vms = live_vms(next(iter(self.tables.values())))
        address_by_vm = {
            table.vm: address for address, table in self.tables.items()
        }
        self.owned_by_address: dict[str, list[str]] = {
            address: [] for address in self.tables
        }
        for name in self.endpoint_names:
            owner = ownership.owner_of(name, vms)
            assert owner is not None
            self.owned_by_address[address_by_vm[owner]].append(name)

    def run(self, duration_s: float) -> None:
        """Advances the clock; counts bytes and processor time."""
        for _ in range(round(duration_s / _TICK_INTERVAL_S)):
            self.step()

    def step(self) -> None:
        """Advances the clock by one tick."""
        end_s = self.now_s + _TICK_INTERVAL_S
        began_s = time.process_time()
        while self.in_flight and self.in_flight[0][0] <= end_s:
            arrival_s, _, address, data = heapq.heappop(self.in_flight)
            table = self.tables.get(address)
            if table is not None:
                message = wire.decode(data).unwrap()
                table, outgoing = swim.receive(table, message, arrival_s)
                self.tables[address] = table
                self._send(outgoing, arrival_s)
        is_poll_due = int(end_s / _POLL_INTERVAL_S) > int(
            self.now_s / _POLL_INTERVAL_S
        )
        self.now_s = end_s
        for address, current in self.tables.items():
            table = current
            if is_poll_due and self.owned_by_address[address]:
                table = _poll_endpoints(
                    table, self.owned_by_address[address], end_s
                )
            table, outgoing = swim.tick(table, end_s, self.random.random)
            self.tables[address] = table
            self._send(outgoing, end_s)
        self.processor_s += time.process_time() - began_s

    def _send(self, outgoing: tuple[Outgoing, ...], now_s: float) -> None:
        for datagram in outgoing:
            data = wire.encode(datagram.message).unwrap()
            self.datagrams += 1
            self.sent_bytes += len(data) + _HEADER_BYTES
            self.largest_bytes = max(self.largest_bytes, len(data))
            event = (
                now_s + _ONE_WAY_DELAY_S,
                next(self.sequence),
                datagram.address,
                data,
            )
            heapq.heappush(self.in_flight, event)


def measure(nodes: int, endpoints: int, duration_s: float, seed: int) -> Cost:
    """Returns the cost of one node among `nodes`, after a warm-up of 3 s."""
    fleet = _Fleet(nodes, endpoints, seed)
    fleet.run(3.0)
    gc.collect()
    fleet.sent_bytes = 0
    fleet.processor_s = 0.0
    fleet.run(duration_s)
    sent_bytes, processor_s = fleet.sent_bytes, fleet.processor_s
    ages = sorted(
        fleet.now_s - report.measured_s
        for table in fleet.tables.values()
        for report in table.shared.reports.values()
    )
    expected_reports = nodes * len(fleet.endpoint_names)
    dead_after_s = _measure_death_detection_s(fleet)
    return Cost(
        nodes,
        len(fleet.endpoint_names),
        sent_bytes / nodes / duration_s,
        fleet.largest_bytes,
        processor_s / nodes / duration_s * 1000,
        ages[len(ages) // 2],
        ages[len(ages) * 95 // 100],
        1 - len(ages) / expected_reports,
        dead_after_s,
    )


def _measure_death_detection_s(fleet: _Fleet) -> float:
    address = sorted(fleet.tables)[-1]
    vm = fleet.tables.pop(address).vm
    stopped_s = fleet.now_s
    while any(table.by_vm[vm].live for table in fleet.tables.values()):
        fleet.step()
    return fleet.now_s - stopped_s


def _make_table(number: int) -> Members:
    return make_members(
        vm=f"entry-{number:03d}",
        address=f"10.0.{number // 250}.{number % 250 + 1}:7000",
        availability_zone=f"nl-west-{'abc'[number % 3]}",
        region="nl-west",
        seeds=(),
        now_s=0.0,
        wall_s=1_700_000_000.0,
    )


def _poll_endpoints(
    table: Members, endpoint_names: list[str], now_s: float
) -> Members:
    reports = [
        LoadReport(name, "0123456789abcdef", False, 20, 7, 13, 2, now_s)
        for name in endpoint_names
    ]
    return with_shared(table, shared.merge_reports(table.shared, reports))


@click.command(help="Cost of membership per node against the number of peers.")
@click.option("--nodes", default="8,32,128,350", show_default=True)
@click.option(
    "--endpoints", type=int, help="Same number for all; default 660 per 350."
)
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(nodes: str, endpoints: int | None, seconds: float, seed: int) -> None:
    """Prints one line per number of nodes."""
    click.echo(
        "nodes endpoints sent_B/s sent+received_B/s largest_B cpu_ms/s"
        " report_age_p50_s p95_s missing dead_after_s"
    )
    for size in map(int, nodes.split(",")):
        count = endpoints or round(size * _ENDPOINTS_PER_VM)
        cost = measure(size, count, seconds, seed)
        click.echo(
            f"{cost.nodes:5d} {cost.endpoints:9d}"
            f" {cost.sent_bytes_per_s:8.0f}"
            f" {2 * cost.sent_bytes_per_s:17.0f}"
            f" {cost.largest_bytes:9d}"
            f" {cost.processor_ms_per_s:8.2f}"
            f" {cost.age_p50_s:16.2f}"
            f" {cost.age_p95_s:5.2f}"
            f" {cost.missing:7.3f}"
            f" {cost.dead_after_s:12.2f}"
        )


if __name__ == "__main__":
    main()
