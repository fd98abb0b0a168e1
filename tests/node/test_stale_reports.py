from __future__ import annotations

import dataclasses
import unittest
from concurrent.futures import Future

from bench import document_fixtures
from bench.document_checks import Process
from bench.document_fixtures import ENDPOINTS
from burdockspan.configuration.adoption import INITIAL_FETCH_TIMEOUT_S
from burdockspan.membership.values import (
    AgedReport,
    Member,
    Message,
    MessageKind,
)
from burdockspan.node import actor, attempts, effects, endpoint_table, messages
from burdockspan.node.context import Context
from burdockspan.values.placement import AttemptEvent
from burdockspan.values.refusal import Execution

_NAME = ENDPOINTS[0]


class StaleReportsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 1000.0
        self.process = Process(0, self.now_s)
        configuration = messages.ConfigurationReceived(
            messages.PLATFORM_SOURCE, document_fixtures.make_configuration(1)
        )
        vm_list = document_fixtures.make_vm_list(1, frozenset())
        self._handle(
            messages.Tick(), configuration, messages.VmListReceived(vm_list)
        )
        self.now_s += INITIAL_FETCH_TIMEOUT_S
        self._handle(messages.Tick())

    def test_message_delayed_in_the_mailbox_is_ignored(self) -> None:
        """Guards against a datagram from before a freeze, handled after it."""
        message = _make_message()
        self._handle(messages.PeerMessage(message, self.now_s - 5.0))
        self.assertFalse(self._is_usable())
        self._handle(messages.PeerMessage(message, self.now_s))
        self.assertTrue(self._is_usable())

    def test_poll_answered_before_a_freeze_counts_as_stale(self) -> None:
        """Guards against a report from before a freeze taken as recent."""
        sent_s = self.now_s
        self.now_s += 5.0
        report = document_fixtures.make_report(_NAME, 1, False, sent_s)
        self._handle(document_fixtures.make_polled(report, sent_s))
        self.assertFalse(self._is_usable())

    def test_call_placed_before_a_freeze_is_not_dispatched(
        self,
    ) -> None:
        """Guards against a dispatch to an endpoint that has left meanwhile."""
        tables, context = self.process.tables, self._make_context()
        report = document_fixtures.make_report(_NAME, 1, False, self.now_s)
        for frozen_s, allowed in ((0.1, True), (5.0, False)):
            report = dataclasses.replace(report, measured_s=self.now_s)
            self._handle(document_fixtures.make_polled(report, self.now_s))
            future: messages.PlacementFuture = Future()
            submission = document_fixtures.make_submission(
                f"{frozen_s}", self.now_s
            )
            submit = messages.Submit(submission, lambda: False, future)
            _, handler_effects = actor.handle(tables, submit, context)
            placed = [
                effect.outcome.unwrap()
                for effect in handler_effects
                if isinstance(effect, effects.Answer)
            ]
            self.now_s += frozen_s
            record_event = messages.RecordEvent(
                placed[0].attempt, AttemptEvent.DISPATCHED
            )
            may_continue, _ = attempts.record_event(
                tables, record_event, context
            )
            self.assertEqual(may_continue, allowed)
            row = tables.requests_by_id[submission.request_id]
            if not allowed:
                self.assertIs(row.execution, Execution.NOT_RUN)

    def _make_context(self) -> Context:
        return Context(
            self.process.settings,
            lambda: self.now_s,
            lambda: self.now_s,
            lambda: 0.5,
        )

    def _handle(self, *received: object) -> None:
        for message in received:
            actor.handle(self.process.tables, message, self._make_context())

    def _is_usable(self) -> bool:
        row = self.process.tables.endpoints_by_name[_NAME]
        return endpoint_table.is_usable(row, self.now_s)


def _make_message() -> Message:
    sender = Member(
        "entry-2", document_fixtures.make_address("entry-2"), "zone", 1
    )
    report = AgedReport(_NAME, "boot-1", False, 0, 0, 0, 0, age_ms=0)
    return Message(MessageKind.PING, 1, sender, "region", reports=(report,))
