from __future__ import annotations

import socket
import struct
import threading
import time
import unittest
from unittest import mock

from burdockspan.membership import shared
from burdockspan.membership.merge import merge_members
from burdockspan.membership.table import (
    is_live_process,
    with_shared,
    with_versions,
)
from burdockspan.membership.values import (
    CrashKey,
    LeavingStatus,
    Member,
    MemberState,
    Versions,
)
from burdockspan.peering.client import PeerFault, make_peer_client
from burdockspan.peering.server import (
    MAX_REQUEST_BYTES,
    PeerHandlers,
    PeerServer,
    make_peer_server,
)
from burdockspan.peering.snapshot import (
    Snapshot,
    is_behind,
    make_snapshot,
    merge_snapshot,
)
from tests.membership.network import make_table

_LIMIT_S = 20.0
_CRASH = CrashKey("ab" * 32, "e", "boot")


class PeeringTest(unittest.TestCase):
    def test_peering_fetches_only_documents_that_are_newer(self) -> None:
        server = self._serve(_fetch_from_table)
        client = make_peer_client(_LIMIT_S)
        snapshot = client.fetch(server.address, Versions()).unwrap()
        self.assertEqual(snapshot.configuration, b"document")
        self.assertEqual(snapshot.vm_list, b"list")
        known = Versions(5, 8)
        snapshot = client.fetch(server.address, known).unwrap()
        self.assertIsNone(snapshot.configuration)
        self.assertEqual(snapshot.vm_list, b"list")
        self.assertEqual(snapshot.versions, Versions(5, 9))
        self.assertTrue(is_behind(known, snapshot.versions))
        snapshot = client.fetch(server.address, Versions(4, 9)).unwrap()
        self.assertEqual(snapshot.configuration, b"document")
        self.assertIsNone(snapshot.vm_list)
        self.assertFalse(is_behind(Versions(6, 9), snapshot.versions))

    def test_peering_brings_a_new_node_up_to_date(self) -> None:
        # A new node needs deaths, leaving statuses and crash records at once
        # to cancel orphans and to decide on requests.
        server = self._serve(_fetch_from_table)
        client = make_peer_client(_LIMIT_S)
        snapshot = client.fetch(server.address, Versions()).unwrap()
        table = merge_snapshot(make_table("fresh"), snapshot, 0.0)
        self.assertIs(is_live_process(table, "gone", 7), False)
        self.assertIs(
            is_live_process(table, "a", table.by_vm["a"].incarnation), True
        )
        self.assertTrue(table.shared.leaving_statuses["e"].leaving)
        self.assertIn(_CRASH, table.shared.expiry_s_by_crash)

    def test_peering_offers_a_configuration(self) -> None:
        offered = []

        def offer(generation: int, data: bytes) -> int:
            offered.append((generation, data))
            return generation

        server = self._serve(_fetch_from_table, offer)
        client = make_peer_client(_LIMIT_S)
        generation = client.offer(server.address, 6, b"document").unwrap()
        self.assertEqual(generation, 6)
        self.assertEqual(offered, [(6, b"document")])

    def test_peering_reports_faults_as_values(self) -> None:
        def fail(known: Versions) -> Snapshot:
            raise RuntimeError("handler is broken")

        client = make_peer_client(_LIMIT_S)
        with self.assertLogs(level="ERROR"):
            server = self._serve(fail)
            fetched = client.fetch(server.address, Versions())
        self.assertIs(fetched.unwrap_err().fault, PeerFault.PROTOCOL)
        server.close()
        for address in (server.address, "nowhere", "127.0.0.1:99999"):
            fetched = client.fetch(address, Versions())
            self.assertIs(fetched.unwrap_err().fault, PeerFault.UNREACHABLE)

    def test_peering_times_out_on_an_unresponsive_peer(self) -> None:
        # A peer that accepts a connection and sends nothing must not block.
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            fetched = make_peer_client(0.2).fetch(address, Versions())
        self.assertIs(fetched.unwrap_err().fault, PeerFault.TIMED_OUT)

    def test_peering_rejects_a_response_that_is_not_thrift(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"

            def respond() -> None:
                connection, _ = listener.accept()
                with connection:
                    connection.sendall(struct.pack("!i", 5) + b"noise")
                    connection.recv(1)

            thread = threading.Thread(target=respond)
            thread.start()
            fetched = make_peer_client(_LIMIT_S).fetch(address, Versions())
            thread.join(_LIMIT_S)
        self.assertIs(fetched.unwrap_err().fault, PeerFault.PROTOCOL)

    def test_peering_closes_malformed_oversize_and_slow_requests(self) -> None:
        # Such a connection must not occupy a thread and its memory.
        server = self._serve(_fetch_from_table, timeout_s=0.2)
        ip, port = server.address.split(":")
        oversize = struct.pack("!i", MAX_REQUEST_BYTES + 1)
        for data in (struct.pack("!i", 5) + b"noise", oversize, b"\0"):
            with socket.create_connection((ip, int(port)), _LIMIT_S) as peer:
                peer.sendall(data)
                self.assertEqual(peer.recv(1), b"")
        # The counters are updated just before the socket is closed.
        self.assertEqual(server.counts.failed, 3)
        self.assertEqual(server.counts.open, 0)
        fetched = make_peer_client(_LIMIT_S).fetch(server.address, Versions())
        self.assertTrue(fetched.is_ok())

    def test_peering_serves_more_peers_than_threads(self) -> None:
        # Peers beyond the limit of connections must wait, not fail.
        server = self._serve(_fetch_from_table)
        client = make_peer_client(_LIMIT_S)
        results = []

        def fetch() -> None:
            results.append(client.fetch(server.address, Versions()))

        threads = [threading.Thread(target=fetch) for _ in range(40)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(_LIMIT_S)
        self.assertEqual([fetched.is_ok() for fetched in results], [True] * 40)

    def test_peering_closes_idle_connections_with_the_server(self) -> None:
        # Closing the server must not wait for the request timeout.
        server = self._serve(_fetch_from_table, timeout_s=600.0)
        ip, port = server.address.split(":")
        with socket.create_connection((ip, int(port)), _LIMIT_S) as peer:
            end_s = time.monotonic() + _LIMIT_S
            pause = threading.Event()
            while not server.counts.open and time.monotonic() < end_s:
                pause.wait(0.005)
            server.close()
            self.assertEqual(peer.recv(1), b"")
        self.assertEqual(server.counts.open, 0)

    def test_server_goes_on_after_a_thread_could_not_start(self) -> None:
        """Guards against a VM that no peer reaches for the rest of its life."""
        server = self._serve(_fetch_from_table)
        start = threading.Thread.start
        refused = threading.Event()

        def refuse_once(thread: threading.Thread) -> None:
            if thread.name == "peer-connection" and not refused.is_set():
                refused.set()
                raise RuntimeError("can't start new thread")
            start(thread)

        with mock.patch.object(threading.Thread, "start", refuse_once):
            client = make_peer_client(_LIMIT_S)
            self.assertTrue(client.fetch(server.address, Versions()).is_err())
            self.assertTrue(refused.is_set())
            self.assertTrue(client.fetch(server.address, Versions()).is_ok())

    def _serve(
        self,
        fetch: object,
        offer: object = lambda generation, data: 0,
        timeout_s: float = _LIMIT_S,
    ) -> PeerServer:
        handlers = PeerHandlers(fetch, offer)  # type: ignore[arg-type]
        server = make_peer_server("127.0.0.1:0", handlers, timeout_s).unwrap()
        self.addCleanup(server.close)
        return server


def _fetch_from_table(known: Versions) -> Snapshot:
    table = make_table("a")
    dead = Member("gone", "127.0.0.1:9", "zone", 7, MemberState.DEAD)
    table = merge_members(table, [dead], 0.0)
    entries = shared.merge_leaving_statuses(
        table.shared, [LeavingStatus("e", 5, True)]
    )
    entries = shared.merge_crash_records(entries, {_CRASH: 600.0}, 0.0)
    table = with_versions(with_shared(table, entries), Versions(5, 9))
    return make_snapshot(table, b"document", b"list", known, 0.0)
