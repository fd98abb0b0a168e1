"""Nodes without threads, on a test clock and an in-memory network."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Iterable
from concurrent.futures import Future

from burdockspan.configuration.adoption import Adoption
from burdockspan.configuration.document import Configuration, Model, Service
from burdockspan.membership.table import make_members
from burdockspan.membership.values import Member
from burdockspan.node import actor, documents, effects, endpoint_table, messages
from burdockspan.node.catalog import make_catalog
from burdockspan.node.context import Context
from burdockspan.node.effects import Effects
from burdockspan.node.tables import Tables
from burdockspan.object_api.vms import Vm, VmList, VmRole
from burdockspan.settings import Settings
from burdockspan.values.endpoint import LoadReport, Pool
from burdockspan.values.submission import CallKind, Priority, Submission

SERVICE = "models"
MODEL = "m"
TICK_S = 0.05
PIECES = 20


class NodeClock:
    """Monotonic seconds that a test advances."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        """Returns the time."""
        return self.now_s


@dataclasses.dataclass
class SimpleNode:
    """One node with the effects that it has requested so far."""

    tables: Tables
    context: Context
    performed_effects: list[effects.Effect]

    @property
    def vm(self) -> str:
        """Name of its VM."""
        return self.tables.members.vm


class Network:
    """Nodes that exchange datagrams without delay.

    Attributes:
      clock: the test clock of all nodes.
      drops: whether a datagram from one VM to another is lost.
      delivers_reports: whether each tick delivers a new load report of each
        engine to all nodes.
      nodes_by_vm: the nodes.
    """

    def __init__(self, vms: Iterable[str], engines: int, seed: int = 1) -> None:
        self.clock = NodeClock()
        self.drops: Callable[[str, str], bool] = lambda sender, receiver: False
        self.delivers_reports = True
        self._random_float = random.Random(seed).random
        names = list(vms)
        self.nodes_by_vm = {
            vm: self._make_node(vm, names, engines) for vm in names
        }
        self._vm_by_address = {
            node.tables.members.me.address: vm
            for vm, node in self.nodes_by_vm.items()
        }
        self.report_all()

    def submit(self, vm: str, submission: Submission) -> Future:
        """Submits a call; returns the future of its placement."""
        future: messages.PlacementFuture = Future()
        self.handle(vm, messages.Submit(submission, lambda: False, future))
        return future

    def handle(self, vm: str, message: object) -> None:
        """Handles a message at a node and carries out the effects."""
        node = self.nodes_by_vm[vm]
        _, new_effects = actor.handle(node.tables, message, node.context)
        self._perform(node, new_effects)

    def advance(self, duration_s: float) -> None:
        """Ticks all nodes until the time has passed."""
        for _ in range(round(duration_s / TICK_S)):
            self.clock.now_s += TICK_S
            if self.delivers_reports:
                self.report_all()
            for vm in self.nodes_by_vm:
                self.handle(vm, messages.Tick())

    def report_all(self) -> None:
        """Delivers a new report of each engine, with all memory free.

        The endpoint rows store only the time of receipt and the boot identity
        of a report. The node therefore computes free memory from its own
        reservations alone.
        """
        for node in self.nodes_by_vm.values():
            rows = node.tables.endpoints_by_name
            for name, row in rows.items():
                free = PIECES if row.endpoint.pool is Pool.DECODE else 0
                report = LoadReport(
                    name, "boot", False, free, free, 0, 0, self.clock()
                )
                rows[name] = dataclasses.replace(
                    endpoint_table.accept_report(row, report, self.clock()),
                    report=None,
                    boot="boot",
                )

    def _perform(self, node: SimpleNode, new_effects: Effects) -> None:
        for effect in new_effects:
            node.performed_effects.append(effect)
            if isinstance(effect, effects.Answer):
                effect.future.set_result(effect.outcome)
            elif isinstance(effect, effects.SendDatagram):
                self._send(node, effect)

    def _send(self, node: SimpleNode, effect: effects.SendDatagram) -> None:
        receiver = self._vm_by_address.get(effect.outgoing.address)
        if receiver is None or self.drops(node.vm, receiver):
            return
        self.handle(
            receiver,
            messages.PeerMessage(effect.outgoing.message, self.clock()),
        )

    def _make_node(self, vm: str, names: list[str], engines: int) -> SimpleNode:
        addresses = {
            name: f"127.0.0.1:{number + 1}" for number, name in enumerate(names)
        }
        settings = Settings(
            vm,
            "zone",
            "region",
            "127.0.0.1:65001",
            "127.0.0.1:65002",
            addresses[vm],
            "http://127.0.0.1:65003",
        )
        context = Context(
            settings, self.clock, lambda: 1.8e9, self._random_float
        )
        members = make_members(
            vm=vm,
            address=addresses[vm],
            availability_zone="zone",
            region="region",
            seeds=(),
            now_s=self.clock(),
            wall_s=1.0,
        )
        peers = {
            name: Member(name, address, "zone", 1000)
            for name, address in addresses.items()
        }
        members = dataclasses.replace(members, by_vm={**peers, **members.by_vm})
        tables = Tables(members)
        tables.initial_fetch = None
        configuration = Configuration(
            1,
            "team",
            services=(
                Service(SERVICE, models=(Model(MODEL, 64_000),), pieces=PIECES),
            ),
        )
        tables.adoption = Adoption(configuration, configuration)
        tables.catalog = make_catalog(configuration)
        vms = tuple(_make_vm(number) for number in range(engines))
        documents.receive_vm_list(
            tables, messages.VmListReceived(VmList(1, vms)), context
        )
        return SimpleNode(tables, context, [])


def make_submission(
    network: Network,
    request_id: str,
    priority: Priority = Priority.PATIENT,
    deadline_s: float = 30.0,
) -> Submission:
    """Returns a completion call of one piece that arrives now."""
    return Submission(
        request_id,
        "client",
        CallKind.COMPLETION,
        MODEL,
        "/v1/completions",
        priority,
        network.clock(),
        network.clock() + deadline_s,
        prompt_tokens=100,
        max_tokens=100,
        fingerprint="0" * 64,
    )


def _make_vm(number: int) -> Vm:
    role = VmRole.PREFILL if number % 2 == 0 else VmRole.DECODE
    address = f"127.0.0.1:{10_000 + number}"
    return Vm(f"engine-{number}", "zone", address, SERVICE, role, False)


__all__ = ["Network", "NodeClock", "SimpleNode", "make_submission"]
