from __future__ import annotations

import unittest

from bench import document_world
from bench.document_checks import Process
from bench.document_world import ENDPOINTS
from burdockspan.configuration.adoption import START_WAIT_S
from burdockspan.membership.values import (
    AgedReport,
    Member,
    Message,
    MessageKind,
)
from burdockspan.node import actor, fleet, messages
from burdockspan.node.context import Context

_NAME = ENDPOINTS[0]


class StaleNewsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 1000.0
        self.process = Process(0, self.now_s)
        held = messages.ConfigurationSeen(
            messages.PLATFORM_SOURCE, document_world.make_configuration(1)
        )
        listed = document_world.make_vm_list(1, frozenset())
        self._handle(messages.Tick(), held, messages.VmListSeen(listed))
        self.now_s += START_WAIT_S
        self._handle(messages.Tick())

    def test_message_that_waited_in_the_mailbox_is_no_news(self) -> None:
        """Guards against a datagram read before a freeze, handled after."""
        message = _make_message()
        self._handle(messages.PeerMessage(message, self.now_s - 5.0))
        self.assertFalse(self._is_usable())
        self._handle(messages.PeerMessage(message, self.now_s))
        self.assertTrue(self._is_usable())

    def test_poll_that_was_answered_before_a_freeze_is_no_news(self) -> None:
        """Guards against a poll's answer that is as old as a freeze."""
        asked_s = self.now_s
        self.now_s += 5.0
        report = document_world.make_report(_NAME, 1, False, asked_s)
        self._handle(document_world.make_polled(report, asked_s))
        self.assertFalse(self._is_usable())

    def _handle(self, *received: object) -> None:
        context = Context(
            self.process.settings,
            lambda: self.now_s,
            lambda: self.now_s,
            lambda: 0.5,
        )
        for message in received:
            actor.handle(self.process.tables, message, context)

    def _is_usable(self) -> bool:
        row = self.process.tables.endpoints_by_name[_NAME]
        return fleet.is_usable(row, self.now_s)


def _make_message() -> Message:
    sender = Member(
        "entry-2", document_world.make_address("entry-2"), "zone", 1
    )
    report = AgedReport(_NAME, "boot-1", False, 0, 0, 0, 0, age_ms=0)
    return Message(MessageKind.PING, 1, sender, "region", reports=(report,))
