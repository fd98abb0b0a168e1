"""Random histories of joins, deaths, freezes, partitions and message loss."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from burdockspan.membership import shared
from burdockspan.membership.merge import merge_members
from burdockspan.membership.table import live_vms
from burdockspan.membership.values import (
    LeavingStatus,
    Member,
    MemberState,
    precedence,
)
from burdockspan.values.endpoint import LoadReport
from tests.membership.network import Network, make_table

_SIZE = 5
_VMS = tuple(map(str, range(_SIZE)))
_SEEDS = tuple(f"ip-{vm}:1" for vm in _VMS)
# Two rounds of probes (2 * 5 * 0.2 s) until each node has probed the dead one,
# 1.05 s of timeouts at 50 ms ticks, and a second to disseminate the death.
_DEATH_BOUND_S = 4.1
# One contact interval for each member that has to be found again, and the time
# to disseminate the updates.
_MERGE_BOUND_S = 8.0

_VM = st.sampled_from(_VMS)
_EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("stop"), _VM),
        st.tuples(st.just("start"), _VM),
        st.tuples(st.just("freeze"), _VM),
        st.tuples(st.just("resume"), _VM),
        st.tuples(st.just("cut"), st.integers(0, 2**_SIZE - 1)),
        st.tuples(st.just("loss"), st.sampled_from((0.0, 0.1, 0.3, 0.6))),
        st.tuples(st.just("wait"), st.sampled_from((0.3, 1.0, 2.5))),
    ),
    max_size=14,
)
_REPRODUCIBLE = settings(derandomize=True, deadline=None, max_examples=60)


class HistoriesTest(unittest.TestCase):
    @_REPRODUCIBLE
    @given(_EVENTS, st.integers(0, 99))
    def test_histories_converge(
        self, events: list[tuple[str, object]], seed: int
    ) -> None:
        # Guards against live members that a node considers dead, against stale
        # incarnations that take precedence, and against undetected deaths.
        network = _make_network(seed)
        checker = _Checker(self, network)
        for name, value in events:
            _apply(network, name, value)
            checker.run(value if name == "wait" else 0.1)
        network.loss = 0.0
        network.side_by_vm = {}
        for vm in sorted(network.frozen):
            network.resume(vm)
        checker.run_until_convergence(_MERGE_BOUND_S)
        if len(network.tables) > 1:
            network.stop(min(network.tables))
            checker.run_until_convergence(_DEATH_BOUND_S)

    @_REPRODUCIBLE
    @given(
        st.lists(
            st.builds(
                Member,
                st.sampled_from(("b", "c")),
                st.sampled_from(("ip-1:1", "ip-2:1")),
                st.just("zone"),
                st.integers(1, 3),
                st.sampled_from(MemberState),
                st.integers(0, 2),
            ),
            max_size=12,
        ),
        st.randoms(use_true_random=False),
    )
    def test_histories_merge_in_any_order(
        self, updates: list[Member], rng: random.Random
    ) -> None:
        # The state must not depend on the order or repetition of datagrams.
        unique = {(m.vm, precedence(m)): m for m in updates}
        ordered = list(unique.values())
        table = merge_members(make_table(), ordered, 0.0)
        repeated = ordered * 2
        rng.shuffle(repeated)
        other = merge_members(make_table(), repeated, 0.0)
        self.assertEqual(table.by_vm, other.by_vm)
        self.assertEqual(live_vms(table), live_vms(other))
        self.assertEqual(
            set(table.suspicion_ends_s), set(other.suspicion_ends_s)
        )

    @_REPRODUCIBLE
    @given(
        st.lists(
            st.tuples(st.integers(1, 4), st.booleans(), st.integers(0, 20)),
            min_size=1,
            max_size=10,
        ),
        st.randoms(use_true_random=False),
    )
    def test_histories_share_entries_in_any_order(
        self, entries: list[tuple[int, bool, int]], rng: random.Random
    ) -> None:
        # A late report or leaving status must not replace a newer one.
        merged = shared.SharedEntries()
        rng.shuffle(entries)
        for generation, leaving, second in entries:
            report = LoadReport("e", "b", False, 1, 1, 0, 0, float(second))
            merged = shared.merge_reports(merged, [report])
            status = LeavingStatus("e", generation, leaving)
            merged = shared.merge_leaving_statuses(merged, [status])
        newest = max(second for _, _, second in entries)
        self.assertEqual(merged.reports["e"].measured_s, newest)
        highest = max(
            (generation, leaving) for generation, leaving, _ in entries
        )
        self.assertEqual(
            merged.leaving_statuses["e"], LeavingStatus("e", *highest)
        )


class _Checker:
    """Runs a network and checks its invariants at each step.

    No process is superseded, no node knows a higher incarnation of a VM than
    the VM has had, and what a process knows of a VM never falls in precedence.
    """

    def __init__(self, case: unittest.TestCase, network: Network) -> None:
        self.case = case
        self.network = network
        self.last_precedence: dict[tuple[str, int, str], tuple[int, ...]] = {}

    def run(self, duration_s: object) -> None:
        assert isinstance(duration_s, float)
        end_s = self.network.now_s + duration_s
        while self.network.now_s < end_s:
            self.step()

    def run_until_convergence(self, limit_s: float) -> None:
        end_s = self.network.now_s + limit_s
        while not self.network.has_converged():
            live_vms_by_vm = {
                vm: self.network.live_vms_at(vm) for vm in self.network.tables
            }
            self.case.assertLess(self.network.now_s, end_s, live_vms_by_vm)
            self.step()

    def step(self) -> None:
        self.network.step()
        for observer, table in self.network.tables.items():
            self.case.assertFalse(table.superseded)
            for vm, member in table.by_vm.items():
                incarnations = self.network.incarnations[vm]
                self.case.assertLessEqual(member.incarnation, max(incarnations))
                key = (observer, self.network.starts[observer], vm)
                member_precedence = precedence(member)
                self.case.assertGreaterEqual(
                    member_precedence, self.last_precedence.get(key, ())
                )
                self.last_precedence[key] = member_precedence


def _make_network(seed: int) -> Network:
    network = Network(seed)
    network.jitter_s = 0.08
    for vm in _VMS:
        network.start(vm, _SEEDS)
    network.run(2.0)
    return network


def _apply(network: Network, name: str, value: object) -> None:
    if name == "cut":
        assert isinstance(value, int)
        network.side_by_vm = {vm: value >> int(vm) & 1 for vm in _VMS}
    elif name == "loss":
        assert isinstance(value, float)
        network.loss = value
    elif name == "start" and value not in network.tables:
        network.start(str(value), _SEEDS)
    elif name == "stop" and value in network.tables:
        network.stop(str(value))
    elif name == "freeze" and value in network.tables:
        network.freeze(str(value))
    elif name == "resume" and value in network.frozen:
        network.resume(str(value))
