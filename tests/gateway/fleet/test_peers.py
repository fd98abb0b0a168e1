"""Choice of the VM that serves a request which this VM cannot."""

from __future__ import annotations

import unittest

from burdockspan.gateway.endpoints import passive_health
from burdockspan.gateway.fleet.peers import Peer, Peers

_UNTRIED: frozenset[str] = frozenset()
_ABOVE_LIMIT = 5.0 * passive_health.SUSPECT_WEIGHT


class PeersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 1000.0
        self.peers = Peers("vm-1", "zone-a", lambda: self.now_s, lambda: 0.5)
        self.know("vm-2", "vm-3")

    def know(self, *vms: str) -> None:
        """Lets the VM hear of others."""
        self.peers.set_values(
            {
                vm: {"relay_address": f"10.0.0.{number}:80", "zone": "zone-a"}
                for number, vm in enumerate(vms, 2)
            }
        )

    def choose(self, tried: frozenset[str] = _UNTRIED) -> str | None:
        """Returns the name of the VM that a request asks next."""
        peer = self.peers.choose("app", tried, asks_again=True)
        return None if peer is None else peer.vm

    def find(self, vm: str) -> Peer:
        """Returns a VM by its name."""
        return self.peers._peer_by_vm[vm]

    def test_vm_under_suspicion_comes_last(self) -> None:
        """Guards against requests that wait for a VM that has failed."""
        self.peers.record_failure(self.find("vm-2"), _ABOVE_LIMIT)
        self.assertEqual(self.choose(), "vm-3")
        self.assertEqual(self.choose(frozenset({"vm-3"})), "vm-2")

    def test_suspicion_excludes_no_vm(self) -> None:
        """Guards against refusals while the only sound VM is suspected."""
        for vm in ("vm-2", "vm-3"):
            for _ in range(20):
                self.peers.record_failure(self.find(vm), _ABOVE_LIMIT)
        self.assertIsNotNone(self.choose())

    def test_one_request_at_a_time_waits_for_a_suspected_vm(self) -> None:
        """Guards against many requests that wait for a VM that is silent."""
        for vm in ("vm-2", "vm-3"):
            self.peers.record_failure(self.find(vm), _ABOVE_LIMIT)
        end_asks = [
            self.peers.begin_ask(self.find(vm)) for vm in ("vm-2", "vm-3")
        ]
        self.assertIsNone(self.choose())
        end_asks[1]()
        self.assertEqual(self.choose(), "vm-3")

    def test_streams_in_progress_do_not_keep_others_from_a_vm(self) -> None:
        """Guards against long streams that count as requests that wait."""
        for vm in ("vm-2", "vm-3"):
            self.peers.record_failure(self.find(vm), _ABOVE_LIMIT)
            self.peers.begin_work(self.find(vm))
        self.assertIsNotNone(self.choose())

    def test_answer_ends_the_suspicion(self) -> None:
        """Guards against suspicions that outlast their cause."""
        self.peers.record_failure(self.find("vm-2"), _ABOVE_LIMIT)
        self.peers.record_served(self.find("vm-2"))
        self.assertEqual(self.peers.describe("app")["vm-2"].suspicion, 0.0)

    def test_vm_that_declined_comes_after_all_others(self) -> None:
        """Guards against requests that a VM declines again and again."""
        self.peers.record_declined(self.find("vm-2"), "app")
        self.peers.record_failure(self.find("vm-3"), _ABOVE_LIMIT)
        self.now_s += 0.5
        self.assertEqual(self.choose(), "vm-3")

    def test_vms_that_all_declined_are_asked_again_soon(self) -> None:
        """Guards against a second of refusals after a moment's decline."""
        for vm in ("vm-2", "vm-3"):
            self.peers.record_declined(self.find(vm), "app")
        self.assertIsNone(self.choose())
        self.now_s += 0.2
        self.assertIsNotNone(self.choose())
        self.assertIsNone(self.peers.choose("app", _UNTRIED))
        for vm in ("vm-2", "vm-3"):
            self.peers.record_declined(self.find(vm), "app")
        self.assertIsNone(self.choose())
