from __future__ import annotations

import random
import unittest

from result import Err, Ok

from burdockspan.configuration.document import Configuration, Model, Service
from burdockspan.object_api.calls import (
    Budget,
    CallLimit,
    TokenBucket,
    make_call_limiter,
    spend_token,
)
from burdockspan.object_api.objects import PlatformError, WatchBatch, WatchEvent
from burdockspan.object_api.vms import make_fleet, parse_vm_list
from burdockspan.object_api.watch import WatchState, advance

_LIMIT = CallLimit(10.0, 20.0, claims_reserve=5.0)


class CallsTest(unittest.TestCase):
    def test_calls_stay_under_rate_and_burst(self) -> None:
        """Guards against a VM that exceeds its share of the calls."""
        bucket, admitted = TokenBucket(20.0, 0.0), 0
        for step in range(1000):
            outcome = spend_token(bucket, _LIMIT, step / 100, for_claim=True)
            admitted += outcome.is_ok()
            bucket = outcome.unwrap_or(bucket)
        self.assertIn(admitted, (119, 120))

    def test_calls_of_other_kinds_leave_the_claims_reserve(self) -> None:
        """Guards against claims that have to wait because of other calls."""
        self.assertEqual(
            spend_token(TokenBucket(5.5, 0), _LIMIT, 0, False).err(), 0.05
        )
        left = spend_token(TokenBucket(5.5, 0), _LIMIT, 0, True).unwrap()
        self.assertEqual(left, TokenBucket(4.5, 0))

    def test_calls_ignore_a_clock_that_runs_backwards(self) -> None:
        """Guards against extra calls after a clock error."""
        left = spend_token(TokenBucket(2.0, 100.0), _LIMIT, 50.0, True).unwrap()
        self.assertEqual(left, TokenBucket(1.0, 100.0))

    def test_limiter_counts_calls_by_second(self) -> None:
        """Guards against counts that hide a burst of calls."""
        now = [0.0]
        limiter = make_call_limiter(lambda: now[0])
        for now[0] in (0.1, 0.9, 7.0):
            limiter.admit("get", Budget.READ, "k")
        self.assertEqual(limiter.counts().per_second, ((0, 2), (7, 1)))


class WatchTest(unittest.TestCase):
    def test_watch_never_goes_back_a_version(self) -> None:
        """Guards against delivering an old state after a newer one."""
        state = WatchState(after=7)
        old = WatchEvent("k", "n", 6, 1)
        new = WatchEvent("k", "n", 9, 2)
        step = advance(state, Ok(WatchBatch(9, (new, old))), lambda: 0.5)
        self.assertEqual((step.state.after, step.events), (9, (new,)))
        step = advance(state, Ok(WatchBatch(6, (old,))), lambda: 0.5)
        self.assertEqual((step.state, step.events), (WatchState(7, 1), ()))

    def test_watchers_spread_their_calls_after_an_outage(self) -> None:
        """Guards against a burst of calls when the platform is back."""
        # Windows of 0.1 s after the outage. All watchers call within the
        # longest delay, 4 s, and less than a tenth of them in any one window.
        outage_s, windows = 60.0, [0] * 200
        for number in range(350):
            random_float = random.Random(number).random
            now_s, state = 0.0, WatchState()
            while now_s < outage_s:
                step = advance(
                    state, Err(PlatformError.UNAVAILABLE), random_float
                )
                now_s, state = now_s + step.delay_s, step.state
            windows[int((now_s - outage_s) * 10)] += 1
        self.assertLess(max(windows), 35)
        self.assertEqual(sum(windows[:41]), 350)


class VmsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.vm: dict[str, object] = {
            "name": "d-1",
            "availability_zone": "z-a",
            "address": "10.0.0.1",
            "port": 8000,
            "service": "models",
            "pool": "decode",
            "state": "live",
        }

    def test_vms_become_endpoints_of_known_services(self) -> None:
        """Guards against routing to VMs that the configuration excludes."""
        changes: list[dict[str, object]] = [
            {"state": "leaving"},
            {"name": "p-1", "pool": "prefill", "port": 1},
            {"name": "x-1", "service": "other", "port": 2},
            {"name": "s-1", "pool": "service", "port": 3},
            {"name": "v-1", "pool": "entry", "service": "", "port": 4},
        ]
        vms = [{**self.vm, **change} for change in changes]
        vm_list = parse_vm_list({"version": 3, "vms": vms}).unwrap()
        service = Service("models", models=(Model("m", 8000),), pieces=12)
        fleet = make_fleet(vm_list, Configuration(1, "t", services=(service,)))
        self.assertEqual(set(fleet.endpoints), {"d-1", "p-1"})
        self.assertEqual(fleet.endpoints["d-1"].pieces, 12)
        self.assertEqual(fleet.endpoints["p-1"].concurrency, 4)
        self.assertEqual(fleet.leaving, {"d-1"})
        self.assertEqual(set(fleet.entry_vms), {"v-1"})
        self.assertEqual(len(fleet.problems), 2)

    def test_vms_are_parsed_strictly(self) -> None:
        """Guards against a malformed list that looks like lost endpoints."""
        changes: list[dict[str, object]] = [
            {"port": 0},
            {"port": "80"},
            {"address": "host"},
            {"pool": "other"},
            {"state": "gone"},
            {"name": ""},
            {"extra": 1},
        ]
        for change in changes:
            vms = [{**self.vm, **change}]
            with self.subTest(change):
                parsed = parse_vm_list({"version": 1, "vms": vms})
                self.assertIn("entry 0", str(parsed.err()))
        twice = parse_vm_list({"version": 1, "vms": [self.vm, self.vm]})
        self.assertIn("twice", str(twice.err()))
