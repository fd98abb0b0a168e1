"""Calls to the store, whose number must not grow with the changes of a fleet.

Guards against the load pattern of a large fleet that starts: dozens of endpoint
entries appear within seconds, and each VM watches them. One call for each entry
at each VM made 6,500 calls at 78 VMs before the first request.
"""

from __future__ import annotations

import time
import unittest
from collections.abc import Callable
from typing import Any

from result import Ok, Result

from burdockspan.gateway.discovery import watchers as discovery
from burdockspan.gateway.discovery.watchers import ObjectWatcher, WatchPosition
from burdockspan.gateway.fleet import vm_heartbeats
from burdockspan.gateway.fleet.vm_heartbeats import VmHeartbeats
from burdockspan.gateway.ports import (
    Consistency,
    Listing,
    Store,
    StoredObject,
    StoreError,
)
from burdockspan.gateway.settings import ChangeLimits
from burdockspan.platform.store import make_store
from standins.object_store import ObjectStore
from tests.support.endpoint_fake import EndpointFake, repeat


class _FleetStart:
    """A store in which one entry appears each 0.05 s, for 5 s."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.calls = 0

    def watch(
        self, _: str, revision: int, wait_s: float, __: Consistency
    ) -> Ok[Listing]:
        self.calls += 1
        if int(self.now_s / 0.05) <= revision:
            self.now_s += wait_s if revision >= 100 else 0.05
        current = min(100, int(self.now_s / 0.05))
        changed = tuple(
            StoredObject(f"i-{number}", number, {})
            for number in range(revision + 1, current + 1)
        )
        return Ok(Listing(changed, current))


class TestWatches(unittest.TestCase):
    def watch_fleet_start(self, watcher: ObjectWatcher) -> _FleetStart:
        """Watches until all entries have appeared."""
        store_state = _FleetStart()
        unused = None
        store = Store(
            list_objects=unused,  # type: ignore[arg-type]
            watch=store_state.watch,  # type: ignore[arg-type]
            create=unused,  # type: ignore[arg-type]
            replace=unused,  # type: ignore[arg-type]
            remove=unused,  # type: ignore[arg-type]
        )
        position = WatchPosition(0)
        while (position.revision or 0) < 100:
            position, delay_s = discovery.poll(
                store, watcher, position, lambda: 0.5
            )
            store_state.now_s += delay_s
        return store_state

    def make_watcher(self, names: list[str], collect_s: float) -> ObjectWatcher:
        """Returns a watcher that records the names of changed objects."""
        return ObjectWatcher(
            "servers",
            lambda objects: None,
            lambda stored: names.append(stored.name),
            lambda error: None,
            lambda: None,
            collect_s=collect_s,
        )

    def test_changes_of_a_starting_fleet_are_collected(self) -> None:
        """Guards against one call for each change."""
        names: list[str] = []
        limits = ChangeLimits()
        collect_s = discovery.compute_collect_s(limits.leaving_endpoint_s)
        fleet = self.watch_fleet_start(self.make_watcher(names, collect_s))
        self.assertEqual(names, [f"i-{number}" for number in range(1, 101)])
        self.assertLessEqual(fleet.calls, 12)

    def test_collecting_leaves_time_to_apply_a_change(self) -> None:
        """Guards against a delay that uses up the limit of a deployment."""
        for limit_s in (0.0, 0.4, 2.0, 4.0, 60.0):
            with self.subTest(limit_s=limit_s):
                self.assertLessEqual(
                    discovery.compute_collect_s(limit_s), limit_s / 2
                )

    def test_watch_ends_within_the_recovery_time(self) -> None:
        """Guards against a connection that stays unresponsive for longer."""
        for recovery_s in (2.0, 3.0, 5.0, 20.0):
            with self.subTest(recovery_s=recovery_s):
                self.assertLess(
                    discovery.compute_watch_timeout_s(recovery_s), recovery_s
                )


class TestEndlessStore(unittest.TestCase):
    """A store whose responses never end."""

    def setUp(self) -> None:
        self.fake = EndpointFake()
        self.addCleanup(self.fake.stop)
        self.fake.scripts = dict.fromkeys(
            ("GET /", "POST /", "PUT /", "DELETE /"),
            repeat(b"x", b"HTTP/1.1 200 OK\r\nX-Slow: "),
        )
        port = self.fake.server_address[1]
        # A clock that runs fast; bytes without end never reach a limit of
        # silence, which is measured in real time.
        self.store = make_store(
            f"127.0.0.1:{port}", lambda: time.monotonic() * 20.0
        )

    def test_watcher_notices_a_store_that_never_ends_its_answers(self) -> None:
        """Guards against a watcher that goes on with an old table unaware."""
        for revision in (None, 4):
            with self.subTest(revision=revision):
                lost: list[StoreError] = []
                watcher = ObjectWatcher(
                    "servers",
                    lambda objects: None,
                    lambda stored: None,
                    lost.append,
                    lambda: None,
                )
                discovery.poll(
                    self.store, watcher, WatchPosition(revision), lambda: 0.5
                )
                self.assertEqual(lost, [StoreError.UNAVAILABLE])

    def test_writes_end_within_their_time(self) -> None:
        """Guards against a heartbeat or a lease that is never renewed."""
        calls: dict[str, Callable[[], Result[Any, StoreError]]] = {
            "create": lambda: self.store.create("k", "n", 1),
            "replace": lambda: self.store.replace("k", "n", 1, 2),
            "remove": lambda: self.store.remove("k", "n"),
        }
        for name, call in calls.items():
            with self.subTest(name):
                self.assertIs(call().err(), StoreError.UNAVAILABLE)


class TestHeartbeats(unittest.TestCase):
    def test_heartbeats_of_all_vms_are_limited(self) -> None:
        """Guards against writes that grow with the number of VMs."""
        for vm_count in (1, 4, 26, 78, 300, 1000):
            with self.subTest(vm_count=vm_count):
                rate = vm_count / vm_heartbeats.interval_s(vm_count)
                self.assertLessEqual(rate, 8.0)

    def test_first_lists_are_the_latest_and_later_ones_cheap(self) -> None:
        """Guards against a budget share based on VMs that are not seen yet."""
        platform = ObjectStore()
        self.addCleanup(platform.close)
        heartbeats = VmHeartbeats(
            "vm-1",
            make_store(platform.address, lambda: 0.0),
            lambda: 0.0,
            dict,
            lambda live, values: None,
            lambda event, **fields: None,
        )
        for _ in range(4):
            heartbeats.send_and_count()
        lists = [path for method, path in platform.calls if method == "GET"]
        self.assertEqual(
            ["allow_stale=1" in path for path in lists],
            [False, False, True, True],
        )

    def test_one_vm_removes_the_objects_of_departed_vms(self) -> None:
        """Guards against a removal by each of hundreds of VMs."""
        platform = ObjectStore()
        self.addCleanup(platform.close)
        now_s = [0.0]
        store = make_store(platform.address, lambda: now_s[0])
        fleet = [
            VmHeartbeats(
                f"vm-{number}",
                store,
                lambda: now_s[0],
                dict,
                lambda live, values: None,
                lambda event, **fields: None,
            )
            for number in range(4)
        ]
        platform.put(vm_heartbeats.KIND, "departed", {"beat": 1})
        for _ in range(60):
            for heartbeats in fleet:
                heartbeats.send_and_count()
            now_s[0] += vm_heartbeats.HEARTBEAT_INTERVAL_S
        removals = [
            path for method, path in platform.calls if method == "DELETE"
        ]
        self.assertEqual(len(removals), 1)


if __name__ == "__main__":
    unittest.main()
