"""What VMs tell each other of their work, over links that lose and repeat."""

from __future__ import annotations

import json
import sys
import threading
import unittest

from result import Err

from burdockspan.gateway.endpoints.capacity_estimates import Sample
from burdockspan.gateway.fleet.work_statements import (
    NO_WORK,
    OthersWork,
    OwnWork,
    Work,
    decode_statement,
    make_key,
)
from burdockspan.gateway.values import Endpoint, Stage
from tests.support.capacity_fleets import make_engine

_PREFILL = make_engine("i-1")
_DECODE = Endpoint("i-2", 1, "llm", "a:1", "z", False, 64, Stage.DECODE)


class TestWorkStatements(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 0.0
        self.own = OwnWork(lambda: self.now_s)
        self.others = OthersWork(lambda: self.now_s, lambda: 2.5)

    def receive(self, value: object) -> int:
        """Returns the number of new samples in a statement."""
        statement = decode_statement(json.loads(json.dumps(value))).unwrap()
        return len(self.others.receive("vm-1", statement))

    def test_repeated_status_counts_once(self) -> None:
        self.own.change(_DECODE, 1, 500)
        self.own.add_sample(1, Sample(0.02))
        value = self.own.make_value()
        self.assertEqual([self.receive(value) for _ in range(3)], [1, 0, 0])
        self.assertEqual(self.others.work_at(make_key(_DECODE)), Work(1, 500))

    def test_lost_status_loses_no_sample(self) -> None:
        self.own.add_sample(1, Sample(0.02))
        self.receive(self.own.make_value())
        self.own.add_sample(1, Sample(0.03))
        self.own.make_value()
        self.own.add_sample(1, Sample(0.04))
        self.assertEqual(self.receive(self.own.make_value()), 2)

    def test_overtaken_status_does_not_replace_a_later_one(self) -> None:
        self.own.add_sample(1, Sample(0.02))
        early = self.own.make_value()
        self.own.add_sample(1, Sample(0.02))
        self.own.change(_DECODE, 1, 500)
        self.receive(self.own.make_value())
        self.assertEqual(self.receive(early), 0)
        self.assertEqual(self.others.work_at(make_key(_DECODE)).tokens, 500)

    def test_overtaken_status_without_samples_does_not_replace_a_later_one(
        self,
    ) -> None:
        """Guards against work that ended and comes back with a late status."""
        self.own.change(_DECODE, 1, 500)
        early = self.own.make_value()
        self.own.change(_DECODE, -1, -500)
        self.receive(self.own.make_value())
        self.receive(early)
        self.assertEqual(self.others.work_at(make_key(_DECODE)), NO_WORK)

    def test_late_status_of_an_earlier_run_counts_nothing(self) -> None:
        """Guards against a VM's samples and work from before its restart."""
        self.own.add_sample(1, Sample(0.02))
        self.own.change(_DECODE, 1, 500)
        early = self.own.make_value()
        self.receive(early)
        self.own = OwnWork(lambda: self.now_s)
        self.own.add_sample(1, Sample(0.02))
        late = self.own.make_value()
        self.assertEqual(self.receive(late), 1)
        self.assertEqual([self.receive(v) for v in (early, late)], [0, 0])
        self.assertEqual(self.others.work_at(make_key(_DECODE)), NO_WORK)

    def test_status_of_an_earlier_release_counts(self) -> None:
        """Guards against VMs that learn nothing during an update."""
        self.own.add_sample(1, Sample(0.02))
        value = {k: v for k, v in self.own.make_value().items() if k != "i"}
        self.assertEqual(self.receive(value), 1)

    def test_samples_of_a_restarted_vm_count(self) -> None:
        for _ in range(3):
            self.own.add_sample(1, Sample(0.02))
        self.receive(self.own.make_value())
        self.own = OwnWork(lambda: self.now_s)
        self.own.add_sample(1, Sample(0.02))
        self.assertEqual(self.receive(self.own.make_value()), 1)

    def test_statement_of_a_silent_vm_lapses(self) -> None:
        """Guards against work of a dead VM that keeps requests away."""
        self.own.change(_DECODE, 1, 500)
        self.receive(self.own.make_value())
        self.now_s = 2.6
        self.others.lapse()
        self.assertEqual(self.others.work_at(make_key(_DECODE)), NO_WORK)

    def test_readers_see_no_total_between_two_statements(self) -> None:
        """Guards against requests that see a busy endpoint as free.

        The others state the same work again and again, and a reader looks at
        it meanwhile without a lock.
        """
        value = {"r": 1, "s": [], "w": [[key, 100, 1000] for key in range(16)]}
        statements = [
            decode_statement({**value, "n": 0}).unwrap() for _ in range(60)
        ]
        for index, statement in enumerate(statements):
            self.others.receive(f"vm-{index}", statement)
        seen: set[float] = set()
        done = threading.Event()

        def read() -> None:
            while not done.is_set():
                seen.add(self.others.work_at(15).requests)

        reader = threading.Thread(target=read)
        interval_s = sys.getswitchinterval()
        sys.setswitchinterval(1e-5)
        self.addCleanup(sys.setswitchinterval, interval_s)
        reader.start()
        for _ in range(20):
            for index, statement in enumerate(statements):
                self.others.receive(f"vm-{index}", statement)
            self.others.lapse()
        done.set()
        reader.join()
        self.assertEqual(seen, {60.0})

    def test_short_work_is_stated_as_its_average(self) -> None:
        """Guards against statements that miss prompts between two of them."""
        self.own.change(_PREFILL, 1, 4000)
        self.now_s = 0.25
        self.own.change(_PREFILL, -1, -4000)
        self.now_s = 1.0
        self.receive(self.own.make_value())
        self.assertEqual(
            self.others.work_at(make_key(_PREFILL)), Work(0.25, 1000)
        )
        self.receive(self.own.make_value())
        self.assertEqual(self.others.work_at(make_key(_PREFILL)), NO_WORK)

    def test_status_stays_short(self) -> None:
        """A VM with 300 requests at 100 endpoints in one interval."""
        for number in range(300):
            endpoint = make_engine(f"i-{number % 100}")
            self.own.change(endpoint, 1, 11_000)
            self.own.add_sample(make_key(endpoint), Sample(1.23456, 0.5))
        self.now_s = 1.0
        encoded = json.dumps(self.own.make_value(), separators=(",", ":"))
        self.assertLessEqual(len(encoded), 800)

    def test_very_short_work_is_stated_with_a_duration(self) -> None:
        """Guards against a pace of 0, by which receivers would divide."""
        self.own.add_sample(1, Sample(1e-9))
        value = self.own.make_value()
        self.assertGreater(
            decode_statement(value).unwrap().samples[0][1].pace_s, 0
        )

    def test_idle_vm_states_nothing(self) -> None:
        self.assertIsNone(self.own.make_value())

    def test_malformed_statements_are_refused(self) -> None:
        head = {"r": 1, "n": 1, "s": [], "w": []}
        for value in (
            None,
            {},
            {**head, "n": -1},
            {**head, "r": True},
            {**head, "i": -1},
            {**head, "s": [[1, 2]]},
            {**head, "w": [[1, 2, "x"]]},
            {**head, "w": [[1, 2, float("nan")]]},
            {**head, "s": [[1, 2, 3]] * 1000},
            {**head, "s": [[1, 0, 3]]},
        ):
            with self.subTest(value=str(value)[:40]):
                self.assertIsInstance(decode_statement(value), Err)
