"""Watches of the store that a few VMs of a zone hold for the others."""

from __future__ import annotations

import random
import threading
import unittest
from collections.abc import Callable, Iterable
from typing import Any

from burdockspan.gateway.discovery import watch_messages
from burdockspan.gateway.discovery.shared_watches import (
    SharedWatch,
    SharedWatches,
)
from burdockspan.gateway.discovery.watch_messages import Segment, Statement
from burdockspan.gateway.discovery.watchers import ObjectWatcher, WatchPosition
from burdockspan.gateway.fleet.exchange import Received
from burdockspan.gateway.ports import StoredObject
from burdockspan.membership import ownership
from burdockspan.observe.registry import make_registry

# Time limit for applying a change, in seconds.
_LIMIT_S = 3.0


class _Network:
    """Delivers messages between VMs at once, unless a link is cut."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        self.vm_by_name: dict[str, _Vm] = {}
        self.cut: set[str] = set()
        self.messages = 0

    def deliver(self, sender: str, receiver: str, value: Any) -> None:
        self.messages += 1
        if {sender, receiver} & self.cut or receiver not in self.vm_by_name:
            return
        vm = self.vm_by_name[receiver]
        vm.receive(Received(sender, value, self.now_s))


class _Exchange:
    address = "10.0.0.1:7000"

    def __init__(self, network: _Network, name: str) -> None:
        self._network = network
        self._name = name
        self.receive: Callable[[Received], Any] = lambda _: None

    def add_topic(self, _: str, __: Any, receive: Any) -> None:
        self.receive = receive

    def send(self, vm: str, _: str, value: Any) -> None:
        self._network.deliver(self._name, vm, value)

    def send_to_all(
        self, vms: Iterable[str], _: str, make_value: Callable[[], Any]
    ) -> None:
        value = make_value()
        for vm in vms:
            self._network.deliver(self._name, vm, value)


class _Vm:
    """A VM whose own calls to a store with numbered changes are counted."""

    def __init__(self, network: _Network, name: str) -> None:
        self.network = network
        self.name = name
        self.applied: dict[str, Any] = {}
        self.calls = 0
        exchange = _Exchange(network, name)
        self.watches = SharedWatches(
            exchange,  # type: ignore[arg-type]
            name,
            "zone-a",
            2,
            lambda: network.now_s,
            make_registry(),
            lambda *_, **__: None,
        )
        shared = self.watches.share(
            ObjectWatcher("servers", self._list, self._apply, _skip, _skip),
            _LIMIT_S,
        )
        assert shared is not None
        self.shared: SharedWatch = shared
        self.sharing = shared.make_sharing()
        self.receive = exchange.receive
        self.position = WatchPosition()
        network.vm_by_name[name] = self

    def _list(self, objects: tuple[StoredObject, ...]) -> None:
        self.applied = {stored.name: stored.value for stored in objects}

    def _apply(self, stored: StoredObject) -> None:
        if stored.removed:
            self.applied.pop(stored.name, None)
        else:
            self.applied[stored.name] = stored.value

    def follow(self) -> bool:
        """Returns whether the VM waits while others watch.

        The waiting lasts over several rounds, without a thread.
        """
        if not self.shared._is_following:
            ended = threading.Event()
            ended.set()
            self.sharing.follow(self.position, ended)
            self.shared._is_following = self.position.revision is not None
        if self.shared._follow_s() > 0:
            return True
        self.shared._is_following = False
        self.position = self.shared._position
        return False

    def poll(self, store: _Store) -> None:
        """Makes one call of this VM to the store."""
        before = self.position
        self.calls += 1
        self.sharing.watcher.on_call()
        if before.revision is None:
            self.sharing.watcher.apply_listing(store.list())
        else:
            for stored in store.changes_since(before.revision):
                self.sharing.watcher.apply_change(stored)
        self.position = WatchPosition(store.revision)
        self.sharing.record_poll(before, self.position)


class _Store:
    def __init__(self) -> None:
        self.revision = 1
        self.log: list[StoredObject] = []

    def put(self, name: str, value: Any) -> None:
        self.revision += 1
        self.log.append(StoredObject(name, self.revision, value, value is None))

    def list(self) -> tuple[StoredObject, ...]:
        latest = {stored.name: stored for stored in self.log}
        return tuple(s for s in latest.values() if not s.removed)

    def changes_since(self, revision: int) -> tuple[StoredObject, ...]:
        return tuple(s for s in self.log if s.revision > revision)

    def state(self) -> dict[str, Any]:
        return {stored.name: stored.value for stored in self.list()}


def _skip(*_: Any) -> None:
    pass


class SharedWatchesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.network = _Network()
        self.store = _Store()
        self.vms = [_Vm(self.network, f"vm-{i}") for i in range(8)]
        zones = {vm.name: "zone-a" for vm in self.vms}
        for vm in self.vms:
            vm.watches.set_vms(zones)
            vm.poll(self.store)
        for _ in range(3):
            self.run_round()

    def run_round(self) -> None:
        """Half a second: each VM follows, or else calls the store."""
        self.network.now_s += 0.5
        for vm in self.vms:
            vm.watches.send_statements()
        for vm in self.vms:
            if not vm.follow():
                vm.poll(self.store)

    def count_calls(self, rounds: int) -> int:
        before = sum(vm.calls for vm in self.vms)
        for _ in range(rounds):
            self.run_round()
        return sum(vm.calls for vm in self.vms) - before

    def assert_all_know(self) -> None:
        for vm in self.vms:
            self.assertEqual(vm.applied, self.store.state(), vm.name)

    def test_two_vms_of_a_zone_call_the_store(self) -> None:
        """Guards against calls that grow with the VMs of a zone."""
        self.assertEqual(self.count_calls(10), 2 * 10)

    def test_changes_reach_all_vms_by_the_watchers(self) -> None:
        self.store.put("i-1", {"state": "ready"})
        self.store.put("i-2", {"state": "ready"})
        self.run_round()
        self.store.put("i-1", None)
        self.assertEqual(self.count_calls(2), 2 * 2)
        self.assert_all_know()

    def test_watchers_that_die_are_replaced_within_the_time_limit(self) -> None:
        """Guards against VMs that follow VMs which say nothing any more."""
        watchers = [vm for vm in self.vms if vm.watches.is_watcher()]
        for vm in watchers:
            self.vms.remove(vm)
            del self.network.vm_by_name[vm.name]
        self.store.put("i-1", {"state": "draining"})
        for _ in range(5):
            self.run_round()
        self.assert_all_know()
        for _ in range(4):
            self.run_round()
        self.assertEqual(self.count_calls(10), 2 * 10)

    def test_vm_that_hears_no_watcher_asks_the_store(self) -> None:
        lonely = next(vm for vm in self.vms if not vm.watches.is_watcher())
        self.network.cut.add(lonely.name)
        self.store.put("i-1", {"state": "draining"})
        for _ in range(5):
            self.run_round()
        self.assertEqual(lonely.applied, self.store.state())

    def test_watchers_without_answers_of_the_store_are_not_followed(
        self,
    ) -> None:
        """Guards against taking a silent watch for an unchanged store."""
        watchers = [vm for vm in self.vms if vm.watches.is_watcher()]
        followers = [vm for vm in self.vms if vm not in watchers]
        self.store.put("i-1", {"state": "draining"})
        asked_s = None
        start_s = self.network.now_s
        while asked_s is None and self.network.now_s < start_s + 10.0:
            self.network.now_s += 0.1
            for vm in watchers:
                vm.watches.send_statements()
            if not all(vm.follow() for vm in followers):
                asked_s = self.network.now_s
        assert asked_s is not None
        self.assertLess(asked_s - start_s, _LIMIT_S)

    def test_new_watcher_states_a_change_that_it_received_from_others(
        self,
    ) -> None:
        """Guards against a VM that never learns of a change.

        Its message is lost, the watchers that sent it die, and a VM that
        received it from them watches in their place.
        """
        ranked = ownership.rank("watch/zone-a", {vm.name for vm in self.vms})
        lonely = self.network.vm_by_name[ranked[-1]]

        def end(name: str) -> None:
            self.vms.remove(self.network.vm_by_name.pop(name))

        end(ranked[0])
        for _ in range(3):
            self.run_round()
        self.store.put("i-1", {"state": "draining"})
        self.network.cut.add(lonely.name)
        self.network.vm_by_name[ranked[1]].poll(self.store)
        self.network.cut.clear()
        end(ranked[1])
        for _ in range(6):
            self.run_round()
        self.assert_all_know()

    def test_response_read_after_a_suspension_is_not_new(self) -> None:
        """Guards against a watcher that wakes with an old response.

        The store has answered by the end of the watch at the latest.
        """
        watcher = next(vm for vm in self.vms if vm.watches.is_watcher())
        watcher.sharing.watcher.on_call()
        self.network.now_s += 10.0
        watcher.sharing.record_poll(watcher.position, watcher.position)
        statement = watcher.shared.make_statement()
        assert statement is not None
        latest_age_s = 10.0 - watcher.sharing.watcher.watch_timeout_s
        self.assertGreaterEqual(statement.age_s, latest_age_s)

    def test_change_stated_during_an_own_call_is_asked_for(self) -> None:
        """Guards against a response that was late and is older than it."""
        follower = next(vm for vm in self.vms if not vm.watches.is_watcher())
        follower.shared._is_following = False
        self.store.put("i-1", {"state": "draining"})
        statement = Statement(None, self.store.revision, self.store.revision, 0)
        follower.shared.receive_statement("vm-9", statement, self.network.now_s)
        follower.sharing.record_poll(follower.position, follower.position)
        self.assertFalse(follower.follow())

    def test_parts_of_two_eras_are_not_joined(self) -> None:
        follower = next(vm for vm in self.vms if not vm.watches.is_watcher())
        shared = follower.shared
        for era, part in ((1, 0), (2, 1)):
            shared._position = WatchPosition(1, era=era)
            changes = (StoredObject(f"i-{part}", 2 + part, {}, era=era),)
            segment = Segment(era, 1, 3, part, 2, changes)
            shared.receive_segment("vm-9", segment)
        self.assertEqual(follower.applied, {})

    def test_lost_changes_are_asked_for(self) -> None:
        """Guards against a state that lacks a change whose message was lost."""
        generator = random.Random(7)
        deliver = self.network.deliver

        def lose(sender: str, receiver: str, value: Any) -> None:
            if generator.random() < 0.7:
                deliver(sender, receiver, value)

        self.network.deliver = lose  # type: ignore[method-assign]
        for number in range(60):
            name = f"i-{generator.randrange(5)}"
            value = None if generator.random() < 0.3 else {"n": number}
            self.store.put(name, value)
            self.run_round()
        self.network.deliver = deliver  # type: ignore[method-assign]
        for _ in range(5):
            self.run_round()
        self.assert_all_know()

    def test_vms_wait_for_a_watcher_while_the_store_does_not_answer(
        self,
    ) -> None:
        """Guards against tries of all VMs, several times a second."""
        watcher, follower = (
            next(vm for vm in self.vms if vm.watches.is_watcher() is watches)
            for watches in (True, False)
        )
        # The first try after a failure is not delayed, see the next test.
        failed = WatchPosition(None, 2)
        waits: list[float] = []

        def wait(_: float) -> None:
            waits.append(0.5)
            self.network.now_s += 0.5
            for vm in self.vms:
                vm.watches.send_statements()

        for vm in (watcher, follower):
            vm.shared._changed.wait = wait  # type: ignore[method-assign,assignment]
        for vm in self.vms:
            vm.sharing.record_poll(vm.position, failed)
        self.assertEqual(
            watcher.sharing.follow(failed, threading.Event()), failed
        )
        self.assertEqual(sum(waits), 0.0)
        follower.sharing.follow(failed, threading.Event())
        self.assertEqual(sum(waits), 2.0)
        waits.clear()
        watcher.position = failed
        watcher.poll(self.store)
        follower.sharing.follow(failed, threading.Event())
        self.assertEqual(sum(waits), 0.5)

    def test_single_failed_call_is_repeated_at_once(self) -> None:
        """Guards against a change that is late since one call was refused.

        A VM that asks for a change has used up to 1 s of the time limit.
        """
        follower = next(vm for vm in self.vms if not vm.watches.is_watcher())
        waits: list[float] = []

        def wait(wait_s: float) -> None:
            waits.append(wait_s)
            self.network.now_s += wait_s

        follower.shared._changed.wait = wait  # type: ignore[method-assign,assignment]
        failed = WatchPosition(None, 1)
        follower.sharing.record_poll(follower.position, failed)
        follower.sharing.follow(failed, threading.Event())
        self.assertEqual(waits, [])

    def test_short_time_limit_is_not_shared(self) -> None:
        watcher = ObjectWatcher("x", _skip, _skip, _skip, _skip)
        self.assertIsNone(self.vms[0].watches.share(watcher, 2.0))

    def test_statement_of_another_era_is_not_followed(self) -> None:
        follower = next(vm for vm in self.vms if not vm.watches.is_watcher())
        follower.shared._fresh_until_s_by_vm.clear()
        statement = Statement(7, 100, 1, 0.0)
        follower.shared.receive_statement("vm-9", statement, self.network.now_s)
        self.assertFalse(follower.follow())


class WatchMessagesTest(unittest.TestCase):
    def test_long_changes_are_divided_and_complete(self) -> None:
        changes = tuple(
            StoredObject(f"i-{n}", n, {"x": "y" * 200}) for n in range(9)
        )
        segments = watch_messages.divide(None, 1, 9, changes)
        self.assertGreater(len(segments), 1)
        decoded = [
            watch_messages.decode_segment(
                watch_messages.encode_segment("servers", segment)
            )
            for segment in segments
        ]
        self.assertEqual(decoded, [("servers", s) for s in segments])
        joined = tuple(c for segment in segments for c in segment.changes)
        self.assertEqual(joined, changes)

    def test_changes_that_fit_no_message_are_left_out(self) -> None:
        large = (StoredObject("main", 5, {"x": "y" * 5000}),)
        self.assertEqual(watch_messages.divide(None, 1, 5, large), ())

    def test_malformed_messages_are_rejected(self) -> None:
        segment = watch_messages.encode_segment(
            "servers", Segment(None, 1, 2, 0, 1, ())
        )
        for position in range(len(segment)):
            broken = list(segment)
            broken[position] = object()
            with self.subTest(position=position):
                self.assertIsNone(watch_messages.decode_segment(broken))
        for value in (None, [], [1, 2, 3], [None, 1, 2, -1], ["x", 1, 1, 1]):
            with self.subTest(value=value):
                self.assertIsNone(watch_messages.decode_statement(value))


if __name__ == "__main__":
    unittest.main()
