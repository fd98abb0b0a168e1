"""The store may come back from a copy some seconds old.

What was written since is gone, and revisions are given out again.
"""

from __future__ import annotations

import unittest
from typing import Any, cast

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok, Result

from burdockspan.gateway.discovery import watchers as discovery
from burdockspan.gateway.discovery.watchers import ObjectWatcher, WatchPosition
from burdockspan.gateway.endpoints import crash_records
from burdockspan.gateway.endpoints.crash_records import CrashRecordStore
from burdockspan.gateway.endpoints.part_quarantine import Part, PartQuarantine
from burdockspan.gateway.fleet import vm_heartbeats
from burdockspan.gateway.fleet.vm_heartbeats import VmHeartbeats
from burdockspan.gateway.ports import (
    Consistency,
    Listing,
    Store,
    StoredObject,
    StoreError,
)
from burdockspan.observe.registry import make_registry
from burdockspan.platform.store import make_store
from standins.object_store import ObjectStore
from standins.scripted_endpoint import ScriptedEndpoint, respond
from tests.gateway.case import GatewayCase
from tests.gateway.choice.test_stage_orders import OrderSenderCase, make_engine
from tests.support.gateways import make_document, wait_for

_OK = respond(200, b"done", {"Response-Stamp": "s"})


class TestEndpoints(GatewayCase):
    def put(self, name: str, **changes: Any) -> None:
        """Writes an entry of the plain service, as its endpoint does."""
        endpoint = ScriptedEndpoint(name, lambda _: _OK)
        self.addCleanup(endpoint.close)
        entry = endpoint.as_store_entry("app", "zone-a", **changes)
        self.gateway.store.put("servers", name, entry)

    def usable_ids(self) -> set[str]:
        """Returns the endpoints that the gateway would send requests to."""
        state = self.gateway.components.context.state
        return {endpoint.id for endpoint in state.list_usable("app")}

    def test_endpoint_that_left_is_not_used_again(self) -> None:
        """Guards against requests to endpoints that the copy still lists."""
        store = self.gateway.store
        self.put("i-gone")
        self.put("i-drains")
        wait_for(lambda: self.usable_ids() == {"i-gone", "i-drains"})
        restore = store.copy()
        self.put("i-new")
        self.put("i-drains", state="draining")
        store.remove("servers", "i-gone")
        wait_for(lambda: self.usable_ids() == {"i-new"})
        lists = len(store.calls)
        restore()
        wait_for(
            lambda: any(
                call == ("GET", "/v1/objects/servers")
                for call in store.calls[lists:]
            )
        )
        wait_for(lambda: bool(self.gateway.events_named("store era rose")))
        # The new endpoint, which the copy lacks, writes its entry again.
        self.assertEqual(self.usable_ids(), {"i-new"})
        self.put("i-new")
        state = self.gateway.components.context.state
        wait_for(lambda: "i-gone" in state.endpoint_table().by_id)
        self.assertEqual(self.usable_ids(), {"i-new"})

    def test_configuration_of_the_copy_does_not_replace_a_newer_one(
        self,
    ) -> None:
        """Guards against a process that goes back to an older version."""
        restore = self.gateway.store.copy()
        self.gateway.configure(make_document(5))
        restore()
        wait_for(lambda: bool(self.gateway.events_named("store era rose")))
        self.assertEqual(self.gateway.configuration_version(), 5)


class TestWatchPositions(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = ObjectStore()
        self.addCleanup(self.platform.close)
        self.store = make_store(self.platform.address, lambda: 0.0)
        self.names: set[str] = set()
        self.eras: list[int] = []

    def make_watcher(self) -> ObjectWatcher:
        """Returns a watcher that records the present objects."""

        def apply_change(stored: StoredObject) -> None:
            self.names.add(stored.name)

        def apply_listing(objects: tuple[StoredObject, ...]) -> None:
            self.names = {stored.name for stored in objects}

        return ObjectWatcher(
            "servers",
            apply_listing,
            apply_change,
            lambda _: None,
            lambda: None,
            watch_timeout_s=0.1,
            on_new_era=self.eras.append,
        )

    def poll(self, position: WatchPosition) -> WatchPosition:
        """Makes one call to the store."""
        return discovery.poll(
            self.store, self.make_watcher(), position, lambda: 0.0
        )[0]

    def test_revision_that_is_given_out_again_is_no_position(self) -> None:
        """Guards against changes that a watch from such a revision misses."""
        restore = self.platform.copy()
        for number in range(4):
            self.platform.put("servers", f"old-{number}", {})
        position = self.poll(WatchPosition())
        restore()
        for number in range(5):
            self.platform.put("servers", f"new-{number}", {})
        for _ in range(3):
            position = self.poll(position)
        self.assertEqual(self.names, {f"new-{number}" for number in range(5)})
        self.assertEqual(self.eras, [2])

    def test_answer_of_an_earlier_era_changes_nothing(self) -> None:
        """Guards against answers of two eras that arrive out of order."""
        self.platform.put("servers", "i-1", {})
        self.platform.era = 7
        position = self.poll(WatchPosition())
        self.platform.put("servers", "i-late", {})
        self.platform.era = 6
        position = self.poll(position)
        position = self.poll(position)
        self.assertEqual(self.names, {"i-1"})
        self.assertEqual(position.era, 7)


class _LossyStore:
    """A store in memory that can lose its last writes."""

    def __init__(self) -> None:
        self.era = 1
        # Name, and the value or None for a removal, by revision from 1.
        self._history: list[tuple[str, int | None]] = []

    def write(self, name: str, value: int | None) -> None:
        """Writes an object, or removes it if the value is None."""
        self._history.append((name, value))

    def lose(self, count: int) -> None:
        """Loses the last writes, as after a return from a copy."""
        del self._history[max(0, len(self._history) - count) :]
        self.era += 1

    def read(self) -> dict[str, int]:
        """Returns the present objects."""
        values = dict(self._history)
        return {
            name: value for name, value in values.items() if value is not None
        }

    def list_objects(
        self, kind: str, _: Consistency
    ) -> Result[Listing, StoreError]:
        """Returns the present objects of the only kind."""
        objects = tuple(
            StoredObject(name, 0, value, era=self.era)
            for name, value in self.read().items()
        )
        return Ok(Listing(objects, len(self._history), self.era))

    def watch(
        self, kind: str, revision: int, _: float, __: Consistency
    ) -> Result[Listing, StoreError]:
        """Returns the changes after a revision at once."""
        if revision > len(self._history):
            return Err(StoreError.COMPACTED)
        changes = tuple(
            StoredObject(name, 0, value, value is None, self.era)
            for name, value in self._history[revision:]
        )
        return Ok(Listing(changes, len(self._history), self.era))


_STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("write"),
            st.sampled_from(("a", "b", "c")),
            st.none() | st.integers(0, 9),
        ),
        st.tuples(st.just("lose"), st.integers(0, 5), st.none()),
        st.tuples(st.just("poll"), st.none(), st.none()),
    ),
    max_size=40,
)


class TestLossyHistories(unittest.TestCase):
    @settings(max_examples=500)
    @given(steps=_STEPS)
    def test_watcher_agrees_with_the_store_after_any_history(
        self, steps: list[tuple[str, Any, Any]]
    ) -> None:
        """Guards against objects that a watcher misses or keeps for ever."""
        store = _LossyStore()
        seen: dict[str, int] = {}

        def apply_change(stored: StoredObject) -> None:
            if stored.removed:
                seen.pop(stored.name, None)
            else:
                seen[stored.name] = stored.value

        def apply_listing(objects: tuple[StoredObject, ...]) -> None:
            seen.clear()
            seen.update({stored.name: stored.value for stored in objects})

        watcher = ObjectWatcher(
            "servers",
            apply_listing,
            apply_change,
            lambda _: None,
            lambda: None,
        )
        position = WatchPosition()

        def poll() -> WatchPosition:
            return discovery.poll(
                cast(Store, store), watcher, position, lambda: 0.0
            )[0]

        for step, first, second in steps:
            if step == "write":
                store.write(first, second)
            elif step == "lose":
                store.lose(first)
            else:
                position = poll()
        # A compaction and a new era each need one more call.
        for _ in range(3):
            position = poll()
        self.assertEqual(seen, store.read())


class TestVmCount(unittest.TestCase):
    def test_vms_that_the_copy_lacks_still_share_the_limits(self) -> None:
        """Guards against larger shares after heartbeats have been lost."""
        platform = ObjectStore()
        self.addCleanup(platform.close)
        now_s = [0.0]
        counts: list[int] = []
        restore = platform.copy()
        fleet = [
            VmHeartbeats(
                f"vm-{number}",
                make_store(platform.address, lambda: now_s[0]),
                lambda: now_s[0],
                dict,
                lambda live, values: None,
                lambda event, **fields: None,
                on_settled_count=counts.append,
            )
            for number in range(4)
        ]
        for _ in range(2):
            for heartbeats in fleet:
                heartbeats.send_and_count()
            now_s[0] += vm_heartbeats.HEARTBEAT_INTERVAL_S
        self.assertEqual(counts[-1], 4)
        restore()
        fleet[0].send_and_count()
        self.assertEqual(counts[-1], 4)
        now_s[0] += 60.0
        fleet[0].send_and_count()
        self.assertEqual(counts[-1], 1)


class TestCrashRecords(unittest.TestCase):
    def test_records_that_the_copy_lacks_are_written_again(self) -> None:
        """Guards against a request that may crash endpoints once more."""
        platform = ObjectStore()
        self.addCleanup(platform.close)
        store = make_store(platform.address, lambda: 0.0)
        log = lambda event, **fields: None  # noqa: E731
        clock = lambda: 0.0  # noqa: E731
        parts = PartQuarantine(
            crash_records.KIND, store, clock, clock, log, make_registry()
        )
        records = CrashRecordStore(store, lambda _: False, clock, log, parts)
        watcher = records.make_watcher()
        position, _ = discovery.poll(
            store, watcher, WatchPosition(), lambda: 0.0
        )
        restore = platform.copy()
        records.check_endpoint("f1", make_engine("i-1"), (Part("llm", "bad0"),))
        written = platform.read(crash_records.KIND)
        self.assertEqual(len(written), 2)
        restore()
        self.assertEqual(platform.read(crash_records.KIND), {})
        discovery.poll(store, watcher, position, lambda: 0.0)
        discovery.poll(
            store, watcher, WatchPosition(era=position.era), lambda: 0.0
        )
        self.assertEqual(platform.read(crash_records.KIND), written)


class TestOrders(OrderSenderCase):
    def test_fencing_tokens_rise_after_a_restore(self) -> None:
        """Guards against a token that is lower than one already seen."""
        first, second = self.make_sender("vm-1"), self.make_sender("vm-2")
        first.send_orders([make_engine("i-1")], self.stage)
        restore = self.platform.copy()
        for number in range(2, 5):
            self.now_s += 30.0
            first.send_orders([make_engine(f"i-{number}")], self.stage)
        restore()
        for _ in range(3):
            self.now_s += 30.0
            second.send_orders([make_engine("i-9")], self.stage)
        tokens = [order[2] for order in self.sent_orders]
        self.assertEqual(tokens, sorted(set(tokens)))
        self.assertGreater(len(tokens), 4)

    def test_lost_lease_is_not_taken_before_it_would_have_expired(self) -> None:
        """Guards against two holders at a time after a lease was lost."""
        first, second = self.make_sender("vm-1"), self.make_sender("vm-2")
        second.read_lease()
        restore = self.platform.copy()
        first.send_orders([make_engine("i-1")], self.stage)
        restore()
        self.now_s += 0.5
        second.send_orders([make_engine("i-2")], self.stage)
        self.assertEqual(len(self.sent_orders), 1)
        self.now_s += 10.0
        second.send_orders([make_engine("i-2")], self.stage)
        self.assertEqual(len(self.sent_orders), 2)


__all__ = [
    "TestCrashRecords",
    "TestEndpoints",
    "TestLossyHistories",
    "TestOrders",
    "TestVmCount",
    "TestWatchPositions",
]
