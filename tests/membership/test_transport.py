from __future__ import annotations

import queue
import socket
import threading
import unittest

from burdockspan.membership import swim
from burdockspan.membership.table import live_vms, make_members
from burdockspan.membership.transport import make_transport
from burdockspan.membership.values import Member, Message, MessageKind, Outgoing
from tests.support.caller import wait_until

_LIMIT_S = 20.0


class TransportTest(unittest.TestCase):
    def test_transport_joins_two_nodes_over_udp(self) -> None:
        inboxes: dict[str, queue.Queue[Message]] = {}
        tables = {}
        transports = {}
        for vm in ("a", "b"):
            inboxes[vm] = queue.Queue()
            transport = make_transport("127.0.0.1:0", inboxes[vm].put).unwrap()
            self.addCleanup(transport.close)
            transports[vm] = transport
            seeds = [transports["a"].address]
            tables[vm] = make_members(
                vm=vm,
                address=transport.address,
                availability_zone="zone",
                region="region",
                seeds=seeds,
                now_s=0.0,
                wall_s=1e9,
            )
        tables["b"], outgoing = swim.tick(tables["b"], 0.0, lambda: 0.5)
        for item in outgoing:
            transports["b"].send(item)
        for vm in ("a", "b"):
            message = inboxes[vm].get(timeout=_LIMIT_S)
            tables[vm], outgoing = swim.receive(tables[vm], message, 0.0)
            for item in outgoing:
                transports[vm].send(item)
            self.assertEqual(live_vms(tables[vm]), ("a", "b"))

    def test_transport_survives_damaged_datagrams_and_failed_sends(
        self,
    ) -> None:
        """Guards against a datagram or a send that stops the receiver."""
        inbox: queue.Queue[Message] = queue.Queue()
        transport = make_transport("127.0.0.1:0", inbox.put).unwrap()
        self.addCleanup(transport.close)
        ip, port = transport.address.split(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            for data in (b"", b"noise", bytes(1400), bytes(9000)):
                udp.sendto(data, (ip, int(port)))
        sender = Member("a", transport.address, "zone", 1)
        message = Message(MessageKind.PING, 1, sender, "region")
        transport.send(Outgoing("no address", message))
        transport.send(Outgoing(transport.address, message))
        self.assertEqual(inbox.get(timeout=_LIMIT_S), message)
        self.assertEqual(transport.counts.rejected, 4)
        self.assertEqual(transport.counts.failed, 1)

    def test_transport_drops_datagrams_that_waited_during_a_freeze(
        self,
    ) -> None:
        """Guards against stale load reports that a resumed process uses."""
        now_s = [0.0]
        sent = threading.Event()
        inbox: queue.Queue[int] = queue.Queue()

        def deliver(message: Message) -> None:
            inbox.put(message.sequence)
            if message.sequence == 1:
                sent.wait(_LIMIT_S)
                now_s[0] += 5.0

        transport = make_transport(
            "127.0.0.1:0", deliver, lambda: now_s[0]
        ).unwrap()
        self.addCleanup(transport.close)
        sender = Member("a", transport.address, "zone", 1)

        def send(sequence: int) -> None:
            message = Message(MessageKind.PING, sequence, sender, "region")
            transport.send(Outgoing(transport.address, message))

        send(1)
        self.assertEqual(inbox.get(timeout=_LIMIT_S), 1)
        for sequence in range(2, 7):
            send(sequence)
        sent.set()
        wait_until(self, lambda: transport.counts.stale == 5)
        send(7)
        self.assertEqual(inbox.get(timeout=_LIMIT_S), 7)

    def test_transport_closes_and_reports_an_address_in_use(self) -> None:
        """Guards against an address that stays bound after a close."""
        transport = make_transport("127.0.0.1:0", lambda message: None)
        address = transport.unwrap().address
        ignore = lambda message: None  # noqa: E731
        self.assertTrue(make_transport(address, ignore).is_err())
        transport.unwrap().close()
        again = make_transport(address, ignore).unwrap()
        again.close()
        self.assertTrue(make_transport("nowhere", ignore).is_err())
