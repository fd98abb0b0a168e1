from __future__ import annotations

import unittest
from concurrent.futures import Future

from burdockspan.node import messages
from burdockspan.values.placement import Failure, FailureKind
from burdockspan.values.submission import CallKind, Priority
from tests.support.node_calls import make_call
from tests.support.node_driver import NodeDriver


class CrashTest(unittest.TestCase):
    def setUp(self) -> None:
        self.driver = NodeDriver()
        call = make_call(
            self.driver, 1, CallKind.COMPLETION, Priority.PATIENT, 300.0
        )
        for _ in range(2):
            call.step()
        self.attempt = call.attempts[0]
        placement = call.futures[0].result().unwrap()
        assert placement.decode is not None
        self.engine = self.driver.engines[placement.decode.name]

    def fail_attempt(self, kind: FailureKind, boot: str = "") -> list[str]:
        """Fails the attempt; returns the boot identity of each crash record."""
        failure = Failure(kind, self.engine.name, boot=boot)
        future: messages.PlacementFuture = Future()
        self.driver.send(messages.Retry(self.attempt, failure, future))
        crash_records = self.driver.tables.members.shared.expiry_s_by_crash
        return [key.boot for key in crash_records]

    def test_lost_connection_alone_is_no_crash(self) -> None:
        """Guards against crash records of requests cut off by a partition."""
        self.assertEqual(
            self.fail_attempt(FailureKind.CONNECTION_LOST, "1"), []
        )

    def test_crash_is_confirmed_by_refused_connections(self) -> None:
        """Guards against crashes that the quarantine does not count."""
        self.assertEqual(self.fail_attempt(FailureKind.CRASHED), ["1"])

    def test_crash_is_confirmed_by_a_new_boot(self) -> None:
        """Guards against a crash missed because the engine restarts quickly."""
        self.assertEqual(
            self.fail_attempt(FailureKind.CONNECTION_LOST, "2"), ["1"]
        )

    def test_crash_is_confirmed_by_an_earlier_report_of_a_new_boot(
        self,
    ) -> None:
        """Guards against a crash missed because the report arrives first."""
        self.engine.restart()
        self.driver.now_s += 0.1
        self.driver.answer_poll(self.engine.name)
        self.assertEqual(
            self.fail_attempt(FailureKind.CONNECTION_LOST, "2"), ["1"]
        )
