from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from burdockspan.configuration import adoption
from burdockspan.configuration.adoption import (
    Adoption,
    InitialFetch,
    VersionedDocument,
)
from burdockspan.configuration.codec import dump_configuration
from burdockspan.configuration.document import Configuration
from burdockspan.membership.table import with_versions
from burdockspan.membership.values import Message, Versions
from burdockspan.peering.snapshot import is_behind
from tests.membership.network import Network

_VMS = ("0", "1", "2", "3")
_SEEDS = tuple(f"ip-{vm}:1" for vm in _VMS)
# Target P8: an accepted configuration takes effect on all VMs within 6 s.
_EVERYWHERE_LIMIT_S = 6.0

_VM = st.sampled_from(_VMS)
_EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("accept"), _VM),
        st.tuples(st.just("stop"), _VM),
        st.tuples(st.just("start"), _VM),
        st.tuples(st.just("freeze"), _VM),
        st.tuples(st.just("resume"), _VM),
        st.tuples(st.just("cut"), st.integers(0, 15)),
        st.tuples(st.just("loss"), st.sampled_from((0.0, 0.2))),
        st.tuples(st.just("wait"), st.sampled_from((0.1, 0.5, 1.5))),
    ),
    max_size=14,
)


class AdoptionTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(_EVENTS, st.integers(0, 99))
    def test_adoption_never_reverts_and_reaches_all_vms(
        self, events: list[tuple[str, object]], seed: int
    ) -> None:
        fleet = _Fleet(self, seed)
        for name, value in events:
            fleet.apply(name, value)
            fleet.run(value if isinstance(value, float) else 0.1)
        fleet.network.loss = 0.0
        fleet.network.side_by_vm = {}
        for vm in sorted(fleet.network.frozen):
            fleet.network.resume(vm)
        if fleet.network.tables:
            fleet.run_until_equal(_EVERYWHERE_LIMIT_S)

    def test_adoption_survives_a_restart_of_the_first_vm_in_an_outage(
        self,
    ) -> None:
        """Guards against a return to generation 1 after 2 was in force.

        VM 0 is the first to activate generation 2. It restarts during an
        outage of the platform, so that only a peer that has stored generation
        2 can supply it.
        """
        fleet = _Fleet(self, 1)
        fleet.accept("0")
        fleet.run(0.1)
        self.assertEqual(fleet.active("0"), 2)
        fleet.apply("stop", "0")
        fleet.platform_up = False
        fleet.apply("start", "0")
        fleet.run(adoption.INITIAL_FETCH_TIMEOUT_S)
        self.assertEqual(fleet.active("0"), 2)

    def test_adoption_waits_for_a_peer_or_the_timeout(self) -> None:
        state = adoption.store_configuration(
            Adoption(), _make(3), 10.0, from_peer=False
        )
        self.assertIsNone(adoption.activate(state, 10.9, ["b"]).active)
        self.assertEqual(
            adoption.choose_offer_targets(state, "a", ["b"]), ("b",)
        )
        confirmed = adoption.record_confirmation(state, 3)
        self.assertEqual(
            adoption.activate(confirmed, 10.1, ["b"]).active,
            _make(3),
        )
        self.assertEqual(
            adoption.choose_offer_targets(confirmed, "a", ["b"]), ()
        )
        self.assertEqual(adoption.activate(state, 11.0, ["b"]).active, _make(3))
        self.assertEqual(adoption.activate(state, 10.0, []).active, _make(3))
        self.assertIsNone(
            adoption.activate(
                adoption.record_confirmation(state, 2), 10.1, ["b"]
            ).active
        )

    def test_adoption_is_not_postponed_by_further_changes(self) -> None:
        state = Adoption()
        for generation in range(1, 12):
            now_s = generation / 10
            state = adoption.store_configuration(
                state, _make(generation), now_s, from_peer=False
            )
            state = adoption.activate(state, now_s, ["b"])
        self.assertEqual(adoption.generation_of(state.active), 11)

    def test_adoption_confirms_by_a_peer_with_the_same_generation(self) -> None:
        state = adoption.store_configuration(
            Adoption(), _make(3), 0.0, from_peer=False
        )
        state = adoption.store_configuration(
            state, _make(3), 0.1, from_peer=True
        )
        self.assertTrue(state.confirmed)

    def test_adoption_offers_to_a_bounded_number_of_peers(self) -> None:
        state = adoption.store_configuration(
            Adoption(), _make(3), 0.0, from_peer=False
        )
        peers = [f"entry-{number}" for number in range(50)]
        self.assertEqual(
            len(adoption.choose_offer_targets(state, "a", peers)), 3
        )

    def test_initial_fetch_takes_the_highest_generation(self) -> None:
        fetch, sources = adoption.add_sources(
            InitialFetch(0.0), ["b", "c", "platform"]
        )
        self.assertEqual(sources, ("b", "c", "platform"))
        fetch, sources = adoption.add_sources(fetch, ["b", "d"])
        self.assertEqual(sources, ("d",))
        fetch = adoption.record_answer(fetch, "b", _make(4), from_peer=True)
        self.assertIsNone(adoption.finish_initial_fetch(fetch, 1.9))
        fetch = adoption.record_answer(
            fetch, "platform", _make(5), from_peer=False
        )
        fetch = adoption.record_answer(fetch, "c", _make(3), from_peer=True)
        fetch = adoption.record_answer(fetch, "d", None, from_peer=True)
        state = adoption.finish_initial_fetch(fetch, 0.1)
        assert state is not None
        self.assertEqual(state.stored, _make(5))
        self.assertFalse(state.confirmed)

    def test_initial_fetch_waits_for_a_configuration(self) -> None:
        fetch, _ = adoption.add_sources(InitialFetch(0.0), ["b"])
        fetch = adoption.record_answer(fetch, "b", None, from_peer=True)
        self.assertIsNone(adoption.finish_initial_fetch(fetch, 3600.0))
        fetch, sources = adoption.add_sources(
            adoption.allow_retry(fetch, "b"), ["b"]
        )
        self.assertEqual(sources, ("b",))
        fetch = adoption.record_answer(fetch, "b", _make(1), from_peer=True)
        state = adoption.finish_initial_fetch(fetch, 3600.0)
        assert state is not None
        self.assertEqual(
            adoption.activate(state, 3600.0, ["b"]).active, _make(1)
        )

    def test_adoption_takes_the_highest_version(self) -> None:
        current = adoption.choose_newer_version(
            None, VersionedDocument(3, "three")
        )
        for offered in (
            VersionedDocument(2, "two"),
            VersionedDocument(3, "other"),
        ):
            current = adoption.choose_newer_version(current, offered)
            self.assertEqual(current, VersionedDocument(3, "three"))
        self.assertEqual(
            adoption.choose_newer_version(
                current, VersionedDocument(4, "x")
            ).value,
            "x",
        )

    def test_adoption_refuses_an_offer_with_another_generation(self) -> None:
        # A document that is stored under a higher generation than its own would
        # block the true document of that generation.
        data = dump_configuration(_make(3))
        self.assertEqual(adoption.parse_offer(3, data).unwrap(), _make(3))
        self.assertTrue(adoption.parse_offer(4, data).is_err())
        self.assertTrue(adoption.parse_offer(3, b"noise").is_err())


class _Fleet:
    """VMs that exchange configurations over an in-memory network."""

    def __init__(self, case: unittest.TestCase, seed: int) -> None:
        self.case = case
        self.network = Network(seed)
        self.network.on_receive = self._on_message
        self.platform_up = True
        self.accepted = 1
        self.adoptions: dict[str, Adoption] = {}
        self.fetches: dict[str, InitialFetch] = {}
        for vm in _VMS:
            self.network.start(vm, _SEEDS)
            self.adoptions[vm] = Adoption(_make(1), _make(1))
        self.run(2.0)

    def apply(self, name: str, value: object) -> None:
        network = self.network
        vm = str(value)
        if name == "accept" and vm in set(self.adoptions) - network.frozen:
            self.accept(vm)
        elif name == "stop" and vm in network.tables:
            network.stop(vm)
            self.adoptions.pop(vm, None)
            self.fetches.pop(vm, None)
        elif name == "start" and vm not in network.tables:
            network.start(vm, _SEEDS)
            self.fetches[vm] = InitialFetch(network.now_s)
        elif name == "freeze" and vm in network.tables:
            network.freeze(vm)
        elif name == "resume" and vm in network.frozen:
            network.resume(vm)
        elif name == "cut":
            assert isinstance(value, int)
            network.side_by_vm = {vm: value >> int(vm) & 1 for vm in _VMS}
        elif name == "loss":
            assert isinstance(value, float)
            network.loss = value

    def accept(self, vm: str) -> None:
        self.accepted += 1
        self._store(vm, _make(self.accepted), from_peer=False)
        peers = set(self.network.live_vms_at(vm)) - {vm}
        for peer in adoption.choose_offer_targets(
            self.adoptions[vm], vm, peers
        ):
            if peer in self.adoptions and self.network.connected(vm, peer):
                self._store(peer, _make(self.accepted), from_peer=True)
                self.adoptions[vm] = adoption.record_confirmation(
                    self.adoptions[vm], self.accepted
                )

    def active(self, vm: str) -> int:
        state = self.adoptions.get(vm, Adoption())
        return adoption.generation_of(state.active)

    def run(self, duration_s: float) -> None:
        end_s = self.network.now_s + duration_s
        while self.network.now_s < end_s:
            self._step()

    def run_until_equal(self, limit_s: float) -> None:
        end_s = self.network.now_s + limit_s
        while True:
            actives = {vm: self.active(vm) for vm in self.network.tables}
            # If the only VM with a generation stopped while it was cut off,
            # no peer has that generation, although the platform does.
            stored = (state.stored for state in self.adoptions.values())
            highest = max(
                map(adoption.generation_of, stored), default=self.accepted
            )
            if set(actives.values()) == {highest}:
                return
            self.case.assertLess(self.network.now_s, end_s, actives)
            self._step()

    def _step(self) -> None:
        before = {vm: self.active(vm) for vm in self.adoptions}
        self.network.step()
        for vm in sorted(set(self.network.tables) - self.network.frozen):
            self._continue_fetch(vm)
            if vm in self.adoptions:
                self.adoptions[vm] = adoption.activate(
                    self.adoptions[vm],
                    self.network.now_s,
                    set(self.network.live_vms_at(vm)) - {vm},
                )
        for vm, generation in before.items():
            self.case.assertGreaterEqual(self.active(vm), generation)
            stored = adoption.generation_of(self.adoptions[vm].stored)
            self.case.assertGreaterEqual(stored, self.active(vm))

    def _continue_fetch(self, vm: str) -> None:
        if vm not in self.fetches:
            return
        fetch, sources = adoption.add_sources(
            self.fetches[vm], (*_VMS, "platform")
        )
        for source in sources:
            stored = None
            if source == "platform" and self.platform_up:
                stored = _make(self.accepted)
            elif source in self.adoptions and self.network.connected(
                vm, source
            ):
                stored = self.adoptions[source].stored
            fetch = adoption.record_answer(
                fetch, source, stored, from_peer=source != "platform"
            )
            if stored is None:
                fetch = adoption.allow_retry(fetch, source)
        self.fetches[vm] = fetch
        state = adoption.finish_initial_fetch(fetch, self.network.now_s)
        if state is not None:
            del self.fetches[vm]
            self.adoptions[vm] = state
            # Only announces the generation in the membership table.
            self._store(vm, state.stored or _make(1), from_peer=False)

    def _on_message(self, vm: str, message: Message) -> None:
        peer = message.sender.vm
        versions = self.network.tables[vm].versions
        if vm not in self.adoptions or not is_behind(
            versions, message.versions
        ):
            return
        stored = self.adoptions[peer].stored if peer in self.adoptions else None
        if stored is not None and self.network.connected(vm, peer):
            self._store(vm, stored, from_peer=True)

    def _store(self, vm: str, offered: Configuration, from_peer: bool) -> None:
        self.adoptions[vm] = adoption.store_configuration(
            self.adoptions[vm], offered, self.network.now_s, from_peer=from_peer
        )
        generation = adoption.generation_of(self.adoptions[vm].stored)
        self.network.tables[vm] = with_versions(
            self.network.tables[vm], Versions(generation)
        )


def _make(generation: int) -> Configuration:
    return Configuration(generation, "team")
