"""A request that crashes endpoints is quarantined at all VMs."""

from __future__ import annotations

import unittest
import unittest.mock
from typing import Any

from burdockspan.gateway.discovery.watchers import WatchPosition, poll
from burdockspan.gateway.endpoints.crash_records import (
    KIND,
    CrashRecordStore,
    compute_fingerprint,
)
from burdockspan.gateway.endpoints.part_quarantine import PartQuarantine
from burdockspan.gateway.settings import ChangeLimits
from burdockspan.gateway.values import Endpoint, InboundCall
from burdockspan.observe.registry import make_registry
from burdockspan.platform.store import make_store
from standins.object_store import ObjectStore
from tests.gateway.case import GatewayCase
from tests.support.gateways import wait_for


def _call(target: str = "/pay/x", body: bytes = b"1") -> InboundCall:
    return InboundCall(
        method="POST",
        target=target,
        host="app.example",
        headers=(),
        body=body,
        request_id="r",
        caller_timeout_s=1.0,
        generation_size=None,
        client="10.0.0.1",
        arrived_s=0.0,
    )


def _endpoint(name: str) -> Endpoint:
    return Endpoint(name, 1, "app", "127.0.0.1:1", "zone-a", False, 4)


class TestCrashRecordStore(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = ObjectStore()
        self.addCleanup(self.platform.close)
        self.now_s = 0.0
        self.log_events: list[tuple[str, dict[str, Any]]] = []

    def make_records(self, is_reachable: bool = False) -> CrashRecordStore:
        clock = lambda: self.now_s  # noqa: E731
        log = lambda event, **fields: self.log_events.append((event, fields))  # noqa: E731
        store = make_store(self.platform.address, clock)
        return CrashRecordStore(
            store,
            lambda _: is_reachable,
            clock,
            log,
            PartQuarantine(
                KIND, store, clock, lambda: 0.0, log, make_registry()
            ),
        )

    def test_third_crash_quarantines_the_request_at_all_vms(self) -> None:
        """Guards against a request that crashes endpoints at each VM."""
        vm_records = [
            self.make_records(),
            self.make_records(),
            self.make_records(),
        ]
        call = _call()
        for number, records in enumerate(vm_records):
            self.assertFalse(records.is_quarantined(call))
            records.check_endpoint(
                compute_fingerprint(call), _endpoint(f"i-{number}")
            )
            for other_records in vm_records:
                store = make_store(self.platform.address, lambda: 0.0)
                poll(
                    store,
                    other_records.make_watcher(),
                    WatchPosition(),
                    lambda: 0.0,
                )
        self.assertTrue(
            all(records.is_quarantined(call) for records in vm_records)
        )
        self.assertFalse(vm_records[0].is_quarantined(_call(body=b"2")))

    def test_reset_by_the_network_is_no_crash(self) -> None:
        """Guards against refusals of harmless requests after resets."""
        records = self.make_records(is_reachable=True)
        for number in range(5):
            records.check_endpoint(
                compute_fingerprint(_call()), _endpoint(f"i-{number}")
            )
        self.assertFalse(records.is_quarantined(_call()))
        self.assertEqual(self.platform.read(KIND), {})

    def test_crash_records_expire(self) -> None:
        """Guards against a request that is refused forever."""
        records = self.make_records()
        for number in range(3):
            records.check_endpoint(
                compute_fingerprint(_call()), _endpoint(f"i-{number}")
            )
        self.assertTrue(records.is_quarantined(_call()))
        self.now_s = 121.0
        self.assertFalse(records.is_quarantined(_call()))

    def test_malformed_object_is_ignored(self) -> None:
        """Guards against a malformed object that stops the watcher."""
        records = self.make_records()
        for name, value in (("a", None), ("b", {"crashes": [1, ["x"]]})):
            self.platform.put(KIND, name, value)
        store = make_store(self.platform.address, lambda: 0.0)
        position, _ = poll(
            store, records.make_watcher(), WatchPosition(), lambda: 0.0
        )
        self.assertIsNotNone(position.revision)


class TestWatch(GatewayCase):
    def test_silent_watch_of_crashes_ends_within_the_recovery_time(
        self,
    ) -> None:
        """Guards against a VM that learns late what crashes endpoints.

        After a cut its watch may be silent, although the store answers again.
        """
        waits_ms: list[int] = []
        store = self.gateway.store
        watch = store._watch

        def record(kind: str, query: dict[str, str]) -> tuple[int, Any]:
            if kind == KIND:
                waits_ms.append(int(query["wait_ms"]))
            return watch(kind, query)

        with unittest.mock.patch.object(store, "_watch", record):
            store.put(KIND, "f1", {"crashes": [["i-1", "1"]]})
            wait_for(lambda: bool(waits_ms))
        recovery_s = ChangeLimits().recovery_s
        self.assertLess(max(waits_ms), recovery_s * 1000)
