from __future__ import annotations

import random
import time
import unittest

from result import Err, Ok, Result

from burdockspan.object_api.calls import Budget, CallLimit, make_call_limiter
from burdockspan.object_api.client import (
    PlatformClient,
    TimeLimits,
    make_platform_client,
)
from burdockspan.object_api.objects import PlatformError, VersionedObject
from burdockspan.object_api.retries import resolve_write
from burdockspan.object_api.transport import (
    VM_HEADER,
    ExchangeFailure,
    Request,
    Response,
    make_transport,
)
from burdockspan.object_api.watch import make_watch
from standins.launcher import Process, wait_until
from tests.support.processes import running_standin

_TIMES = TimeLimits(call_s=5.0, read_s=5.0)
# For calls that get no response at all.
_SHORT_TIMES = TimeLimits(call_s=0.3, read_s=0.3)
_NO_LIMIT = CallLimit(1e6, 1e6)


class ClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = self.enterContext(running_standin("platform"))
        self.clock_offset_s = 0.0
        self.client = self._make("vm-1")

    def _make(
        self,
        vm: str,
        limits: dict[Budget, CallLimit] | None = None,
        time_limits: TimeLimits = _TIMES,
    ) -> PlatformClient:
        def clock() -> float:
            return time.monotonic() + self.clock_offset_s

        no_limits = dict.fromkeys(Budget, _NO_LIMIT)
        return make_platform_client(
            make_transport(self.platform.address, {VM_HEADER: vm}, clock),
            make_call_limiter(clock, limits or no_limits),
            clock,
            random.Random(1).random,
            time_limits=time_limits,
        )

    def _count_calls(self, platform: Process, kind: str) -> int:
        calls = platform.call("GET", "/calls").json()
        return int(calls["by_caller"].get("vm-1", {}).get(kind, 0))

    def test_client_writes_under_conditions_only(self) -> None:
        """Guards against a lost update and a second creation."""
        name = "a/b c?%"
        first = self.client.create("k", name, {"n": 1}).unwrap()
        again = self.client.create("k", name, {"n": 2})
        self.assertIs(again.err(), PlatformError.CONFLICT)
        second = self.client.update("k", name, {"n": 2}, first.version)
        stale = self.client.update("k", name, {"n": 3}, first.version)
        self.assertIs(stale.err(), PlatformError.CONFLICT)
        self.assertEqual(self.client.get("k", name), second)
        listed = self.client.list_objects("k", "a/").unwrap()
        self.assertEqual(listed, (second.unwrap(),))
        stale_delete = self.client.delete("k", name, first.version)
        self.assertIs(stale_delete.err(), PlatformError.CONFLICT)
        self.client.delete("k", name, second.unwrap().version).unwrap()
        missing = self.client.get("k", name)
        self.assertIs(missing.err(), PlatformError.NOT_FOUND)

    def test_client_never_repeats_a_write_without_a_response(self) -> None:
        """Guards against an action applied twice by a retry."""
        self.platform.set_faults(lose_answers=1)
        lost = self.client.create("k", "n", 1)
        self.assertIs(lost.err(), PlatformError.UNCERTAIN)
        self.assertEqual(self._count_calls(self.platform, "put"), 1)
        resolved = resolve_write(
            lost, lambda: self.client.get("k", "n"), lambda v: v == 1, None
        )
        self.assertEqual(resolved.unwrap().value, 1)

    def test_client_limits_the_time_of_calls_to_a_frozen_platform(self) -> None:
        """Guards against threads that wait forever for a frozen platform."""
        self.client.create("k", "old", 1).unwrap()
        self.platform.set_faults(freeze=True)
        client = self._make("vm-1", time_limits=_SHORT_TIMES)
        started_s = time.monotonic()
        write = client.create("k", "n", 1)
        read = client.get("k", "old")
        self.assertLess(time.monotonic() - started_s, 5.0)
        self.assertIs(write.err(), PlatformError.UNCERTAIN)
        self.assertIs(read.err(), PlatformError.UNAVAILABLE)
        self.platform.set_faults(freeze=False)
        wait_until(
            lambda: self.client.get("k", "n").is_ok(),
            "the write is applied late",
        )

    def test_client_retries_reads_a_limited_number_of_times(self) -> None:
        """Guards against endless retries and against no retry at all."""
        self.platform.set_faults(down=True)
        failed = self.client.get("k", "n")
        self.assertIs(failed.err(), PlatformError.UNAVAILABLE)
        self.assertEqual(self._count_calls(self.platform, "get"), 3)
        self.platform.set_faults(down="error")
        write = self.client.create("k", "n", 1)
        self.assertIs(write.err(), PlatformError.UNCERTAIN)

    def test_client_sends_the_name_of_its_vm(self) -> None:
        """Guards against calls without the name of the VM that makes them."""
        self.platform.set_faults(cut_off=["vm-1"])
        cut = self._make("vm-1", time_limits=_SHORT_TIMES).get("k", "n")
        self.assertIs(cut.err(), PlatformError.UNAVAILABLE)
        other = self._make("vm-2").get("k", "n")
        self.assertIs(other.err(), PlatformError.NOT_FOUND)

    def test_client_replaces_connections_that_were_idle(self) -> None:
        """Guards against reusing a connection that failed while idle."""
        self.client.create("k", "n", 1).unwrap()
        self.platform.set_faults(silent_open=True)
        self.clock_offset_s = 6.0
        self.assertTrue(self.client.update("k", "n", 2, 1).is_ok())

    def test_client_reserves_calls_for_claims(self) -> None:
        """Guards against other calls that use up the claims reserve."""
        limits = {
            Budget.READ: _NO_LIMIT,
            Budget.WRITE: CallLimit(0.0, 2.0, claims_reserve=1.0),
        }
        client = self._make("vm-1", limits)
        self.assertTrue(client.create("k", "a", 1).is_ok())
        limited = client.create("k", "b", 1)
        self.assertIs(limited.err(), PlatformError.LIMITED)
        self.assertTrue(client.create("claims", "c", 1).is_ok())
        self.assertEqual(client.counts().limited, 1)
        self.assertEqual(client.counts().by_operation, {"create": 2})
        self.assertEqual(self._count_calls(self.platform, "put"), 2)

    def test_client_reads_vms_and_weights(self) -> None:
        """Guards against a mismatch with the platform's formats."""
        vm = {
            "name": "e-1",
            "availability_zone": "z",
            "address": "127.0.0.1",
            "port": 80,
            "service": "s",
            "pool": "service",
            "state": "live",
        }
        self.platform.call("PUT", "/control/vms", {"vms": [vm]})
        vms = self.client.list_vms().unwrap().vms
        self.assertEqual(
            [(v.name, v.address) for v in vms], [("e-1", "127.0.0.1:80")]
        )
        self.platform.call("PUT", "/control/weights/m/1", "w")
        self.assertEqual(
            self.client.get_weights("m", "1").unwrap().data, b'"w"'
        )
        missing = self.client.get_weights("m", "2")
        self.assertIs(missing.err(), PlatformError.NOT_FOUND)

    def test_watch_merges_kinds_and_survives_an_outage(self) -> None:
        """Guards against changes that are missed during an outage."""
        delivered: list[tuple[str, str]] = []
        watch = make_watch(
            self.client.watch,
            ("a", "b"),
            lambda events: delivered.extend((e.kind, e.name) for e in events),
            random.Random(1).random,
            poll_s=0.2,
        )
        watch.start()
        self.addCleanup(watch.stop)
        self.client.create("a", "1", 1).unwrap()
        wait_until(lambda: delivered == [("a", "1")], "the first event arrives")
        self.platform.set_faults(down=True)
        wait_until(lambda: watch.state().failures > 0, "the watch fails")
        self.platform.set_faults(down=False)
        self.client.create("b", "2", 1).unwrap()
        self.client.create("c", "3", 1).unwrap()
        wait_until(lambda: len(delivered) > 1, "the second event arrives")
        self.assertEqual(delivered, [("a", "1"), ("b", "2")])


class OutcomeTest(unittest.TestCase):
    def test_client_classifies_responses(self) -> None:
        """Guards against reporting a write as refused that may be applied."""
        cases: tuple[
            tuple[Result[Response, ExchangeFailure], str, str], ...
        ] = (
            (Err(ExchangeFailure.NOT_SENT), "unavailable", "unavailable"),
            (Err(ExchangeFailure.NO_RESPONSE), "uncertain", "unavailable"),
            (Ok(Response(500, b"")), "uncertain", "unavailable"),
            (Ok(Response(200, b"{")), "uncertain", "malformed"),
            (Ok(Response(200, b'{"version":true}')), "uncertain", "malformed"),
            (Ok(Response(429, b"")), "limited", "limited"),
            (Ok(Response(413, b"")), "malformed", "malformed"),
        )
        for response, write, read in cases:
            with self.subTest(response):
                client = _make_client_with_response(response)
                self.assertEqual(
                    client.create("k", "n", 1).unwrap_err().value, write
                )
                self.assertEqual(client.get("k", "n").unwrap_err().value, read)

    def test_resolve_write_returns_a_result_only_when_it_is_certain(
        self,
    ) -> None:
        """Guards against reporting a write as failed that may be applied."""
        lost: Result[VersionedObject, PlatformError] = Err(
            PlatformError.UNCERTAIN
        )
        missing: Result[VersionedObject, PlatformError] = Err(
            PlatformError.NOT_FOUND
        )
        cases = (
            (Ok(VersionedObject("n", 5, "ours")), 4, None),
            (Ok(VersionedObject("n", 4, "old")), 4, PlatformError.UNCERTAIN),
            (Ok(VersionedObject("n", 6, "other")), 4, PlatformError.CONFLICT),
            (
                Ok(VersionedObject("n", 6, "other")),
                None,
                PlatformError.CONFLICT,
            ),
            (missing, None, PlatformError.UNCERTAIN),
            (missing, 4, PlatformError.CONFLICT),
            (Err(PlatformError.UNAVAILABLE), 4, PlatformError.UNCERTAIN),
        )
        for found, base, expected in cases:
            with self.subTest(found=found, base=base):
                resolved = resolve_write(
                    lost,
                    lambda found=found: found,  # type: ignore[misc]
                    lambda value: value == "ours",
                    base,
                )
                self.assertIs(resolved.err(), expected)


def _make_client_with_response(
    response: Result[Response, ExchangeFailure],
) -> PlatformClient:
    def transport(request: Request) -> Result[Response, ExchangeFailure]:
        return response

    return make_platform_client(
        transport,
        make_call_limiter(lambda: 0.0),
        lambda: 0.0,
        lambda: 0.5,
        sleep=lambda seconds: None,
    )
