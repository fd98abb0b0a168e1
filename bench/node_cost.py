"""Processor time and memory of a node's periodic work by table size.

Usage: python -m bench.node_cost

Runs the node's periodic tasks on a simulated clock, drops their effects, and
prints for each size the processor time per second of operation. The slope is
that of the least-squares line through the rows of one table.
"""

from __future__ import annotations

import dataclasses
import random
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from concurrent.futures import Future

from burdockspan.configuration.adoption import Adoption
from burdockspan.configuration.codec import (
    dump_configuration,
    load_configuration,
)
from burdockspan.configuration.document import (
    Client,
    Configuration,
    Model,
    Service,
)
from burdockspan.membership import table
from burdockspan.membership.table import make_members
from burdockspan.membership.values import Member
from burdockspan.node import (
    actor,
    call_admission,
    documents,
    endpoint_table,
    messages,
)
from burdockspan.node.catalog import make_catalog
from burdockspan.node.context import Context
from burdockspan.node.tables import Tables
from burdockspan.object_api.vms import Vm, VmList, VmRole
from burdockspan.settings import Settings
from burdockspan.values.endpoint import LoadReport, Pool
from burdockspan.values.submission import CallKind, Priority, Submission

_TICK_INTERVAL_S = 0.05
_RUN_S = 5.0
_SEED = 1
# By rendezvous hashing, entry-0 owns the pool of this service for all numbers
# of peers below, and entry-0 is the measured node.
SERVICE = "models-53"
_MODEL = "m"

SIZES = {
    "endpoints": (12, 48, 96, 330, 660),
    "peers": (4, 25, 50, 100, 175),
    "waiting": (0, 50, 200, 800),
    "streams": (0, 50, 100, 200, 400),
}
"""Measured sizes by field of `TableSizes`; a region has 175 entry VMs."""


@dataclasses.dataclass(frozen=True)
class TableSizes:
    """Sizes of the node's tables in one run.

    Attributes:
      endpoints: engines in the table, a third of them prefill.
      peers: live entry VMs of the zone.
      waiting: queued calls.
      streams: running calls.
      clients: client accounts of the configuration.
    """

    endpoints: int = 12
    peers: int = 4
    waiting: int = 0
    streams: int = 0
    clients: int = 10


class ManualClock:
    """Monotonic clock in seconds that the caller advances."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        """Returns the current time."""
        return self.now_s


def main() -> None:
    """Prints one table per kind of size."""
    for name, counts in SIZES.items():
        _print_table(name, counts, make_size_factory(name))
    _print_configuration((10, 110, 220, 440))


def make_size_factory(name: str) -> Callable[[int], TableSizes]:
    """Returns a function that makes sizes with one field set, others default.

    Args:
      name: field of `TableSizes`.
    """
    return lambda size: dataclasses.replace(TableSizes(), **{name: size})


def _print_table(
    name: str, sizes: Sequence[int], make_sizes: Callable[[int], TableSizes]
) -> None:
    print(f"\n{name}: processor ms per second, allocated KB")
    costs_ms = []
    for size in sizes:
        cost_ms, memory_kb = measure(make_sizes(size))
        costs_ms.append(cost_ms)
        print(f"  {size:6d}  {cost_ms:8.2f} ms/s  {memory_kb:8.0f} KB")
    print(f"  slope {_fit_slope(sizes, costs_ms) * 1000:.2f} us/s for each")


def _print_configuration(sizes: Sequence[int]) -> None:
    print("\nconfiguration: client accounts, bytes, processor ms to adopt")
    costs_ms = []
    # The first call builds the codec, which is not part of the cost.
    load_configuration(dump_configuration(make_configuration(1))).unwrap()
    for size in sizes:
        document = make_configuration(size)
        data = dump_configuration(document)
        began_s = time.process_time()
        make_catalog(load_configuration(data).unwrap())
        cost_ms = (time.process_time() - began_s) * 1000
        costs_ms.append(cost_ms)
        print(f"  {size:6d}  {len(data):8d} B  {cost_ms:8.2f} ms")
    print(f"  slope {_fit_slope(sizes, costs_ms) * 1000:.2f} us for each")


def measure(sizes: TableSizes) -> tuple[float, float]:
    """Returns processor ms per second of operation, and KB of the tables."""
    tracemalloc.start()
    clock = ManualClock()
    context = Context(
        make_settings(), clock, lambda: 1.8e9, random.Random(_SEED).random
    )
    tables = make_tables(sizes, context)
    memory_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    ticks = int(_RUN_S / _TICK_INTERVAL_S)
    spent_s = 0.0
    for _ in range(ticks):
        clock.now_s += _TICK_INTERVAL_S
        refresh_reports(tables, clock.now_s)
        began_s = time.process_time()
        actor.run_periodic_tasks(tables, messages.Tick(), context)
        spent_s += time.process_time() - began_s
    return spent_s / _RUN_S * 1000, memory_kb


def make_settings() -> Settings:
    """Returns settings for a node that opens no sockets."""
    return Settings(
        "entry-0",
        "zone",
        "region",
        "127.0.0.1:1",
        "127.0.0.1:2",
        "127.0.0.1:3",
        "http://127.0.0.1:4",
    )


def make_configuration(clients: int) -> Configuration:
    """Returns a configuration with a number of client accounts."""
    return Configuration(
        1,
        "bench",
        clients=tuple(
            Client(f"client-{number}", f"{number:064x}", 10.0, 10)
            for number in range(clients)
        ),
        services=(Service(SERVICE, models=(Model(_MODEL, 100_000),)),),
    )


def make_tables(sizes: TableSizes, context: Context) -> Tables:
    """Returns the tables of a node, filled to the sizes."""
    now_s = context.clock()
    members = make_members(
        vm="entry-0",
        address="127.0.0.1:3",
        availability_zone="zone",
        region="region",
        seeds=(),
        now_s=now_s,
        wall_s=1.0,
    )
    peers = {
        f"entry-{number}": Member(
            f"entry-{number}", f"127.0.0.1:{number}", "zone", 1
        )
        for number in range(1, sizes.peers)
    }
    members = dataclasses.replace(members, by_vm={**members.by_vm, **peers})
    tables = Tables(members)
    tables.initial_fetch = None
    configuration = make_configuration(sizes.clients)
    tables.adoption = Adoption(configuration, configuration)
    tables.catalog = make_catalog(configuration)
    vms = tuple(_make_vm(number) for number in range(sizes.endpoints))
    documents.receive_vm_list(
        tables, messages.VmListReceived(VmList(1, vms)), context
    )
    refresh_reports(tables, now_s)
    _submit(tables, sizes.streams, context, free_pieces=20)
    _submit(tables, sizes.waiting, context, free_pieces=0)
    return tables


def _make_vm(number: int) -> Vm:
    role = VmRole.PREFILL if number % 3 == 0 else VmRole.DECODE
    address = f"127.0.0.1:{10_000 + number}"
    return Vm(f"engine-{number}", "zone", address, SERVICE, role, False)


def refresh_reports(tables: Tables, now_s: float, free_pieces: int = 0) -> None:
    """Refreshes endpoint reports and clears probes, as polls and acks would."""
    for name, endpoint_row in tables.endpoints_by_name.items():
        pieces = 20 if endpoint_row.endpoint.pool is Pool.DECODE else 0
        report = LoadReport(name, "b", False, pieces, free_pieces, 0, 0, now_s)
        tables.endpoints_by_name[name] = endpoint_table.accept_report(
            endpoint_row, report, now_s
        )
    tables.members = dataclasses.replace(
        tables.members, probes={}, suspicion_ends_s={}
    )
    tables.members = table.with_versions(
        tables.members, tables.members.versions
    )


def _submit(
    tables: Tables, count: int, context: Context, free_pieces: int
) -> None:
    for number in range(count):
        if free_pieces:
            refresh_reports(tables, context.clock(), free_pieces)
        future: messages.PlacementFuture = Future()
        submission = Submission(
            f"{free_pieces}-{number}",
            "client-0",
            CallKind.COMPLETION,
            _MODEL,
            "/v1/completions",
            Priority.PATIENT,
            context.clock(),
            context.clock() + 1e6,
            prompt_tokens=1000,
            max_tokens=100,
        )
        # The client account's rate limit would refuse the later calls.
        tables.buckets_by_client.clear()
        call_admission.submit(
            tables, messages.Submit(submission, lambda: False, future), context
        )


def _fit_slope(sizes: Sequence[int], costs_ms: Sequence[float]) -> float:
    mean_x = sum(sizes) / len(sizes)
    mean_y = sum(costs_ms) / len(costs_ms)
    cross_sum = sum(
        (x - mean_x) * (y - mean_y)
        for x, y in zip(sizes, costs_ms, strict=True)
    )
    return cross_sum / sum((x - mean_x) ** 2 for x in sizes)


if __name__ == "__main__":
    sys.exit(main())
