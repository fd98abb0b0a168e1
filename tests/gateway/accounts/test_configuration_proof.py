"""The proof that the configuration of a VM is the newest."""

from __future__ import annotations

import math
import unittest
from typing import Any

from result import Err

from burdockspan.gateway.accounts.configuration_proof import ConfigurationProof
from burdockspan.gateway.fleet.exchange import Received
from burdockspan.gateway.state import GatewayState
from burdockspan.observe.registry import make_registry
from burdockspan.platform import documents
from tests.support.gateways import make_document


class _Vm:
    """A VM with a configuration and its proof."""

    def __init__(self, version: int, **changes: Any) -> None:
        self.boot_s = 1000.0
        self.state = GatewayState("zone-a", lambda: 0.0, lambda: 0.0, 1.0)
        self.proof = ConfigurationProof(
            self.state.active_configuration,
            lambda: self.boot_s,
            make_registry(),
        )
        self.activate(version, **{"tenants": [], **changes})

    def activate(self, version: int, **changes: Any) -> None:
        document = make_document(version, **changes)
        self.state.activate(documents.decode_configuration(document))

    def receive(self, value: Any, sent_after_s: float | None) -> bool:
        """Applies a statement; returns whether it is well formed."""
        received = Received("vm-9", value, sent_after_s)
        return not isinstance(self.proof.receive(received), Err)


class TestConfigurationProof(unittest.TestCase):
    def test_proof_is_as_old_as_the_call(self) -> None:
        """Guards against an answer that the store gave long before."""
        vm = _Vm(3)
        self.assertEqual(vm.proof.age_s(), math.inf)
        vm.boot_s = 1003.0
        vm.proof.record_store_answer(1001.0)
        self.assertEqual(vm.proof.age_s(), 2.0)
        # A call that was overtaken says nothing.
        vm.proof.record_store_answer(1000.0)
        self.assertEqual(vm.proof.age_s(), 2.0)

    def test_freeze_ages_the_proof(self) -> None:
        """Guards against a VM that wakes up with a proof from before."""
        vm = _Vm(3)
        vm.proof.record_store_answer(1000.0)
        vm.boot_s += 60.0
        self.assertEqual(vm.proof.age_s(), 60.0)

    def test_statement_of_another_vm_proves_the_same_version(self) -> None:
        """Guards against refusals at a VM that others still inform."""
        vm = _Vm(3)
        vm.boot_s = 1010.0
        self.assertTrue(vm.receive([3, 1500], 1009.0))
        self.assertEqual(vm.proof.age_s(), 2.5)
        self.assertTrue(vm.receive([3, 9000], 1010.0))
        self.assertEqual(vm.proof.age_s(), 2.5)

    def test_statement_of_another_version_proves_nothing(self) -> None:
        """Guards against a VM that trusts those who know more, or less."""
        vm = _Vm(3)
        for version in (2, 4):
            self.assertTrue(vm.receive([version, 0], 1000.0))
            self.assertEqual(vm.proof.age_s(), math.inf)

    def test_statement_of_unknown_age_proves_nothing(self) -> None:
        """Guards against a datagram that has waited in a buffer."""
        vm = _Vm(3)
        self.assertTrue(vm.receive([3, 0], None))
        self.assertEqual(vm.proof.age_s(), math.inf)

    def test_malformed_statement_is_refused(self) -> None:
        """Guards against a statement that ends the exchange."""
        vm = _Vm(3)
        for value in (None, 3, [], [3], [3, 0, 0], ["3", 0], [3, -1], [3, 0.5]):
            with self.subTest(value=value):
                self.assertFalse(vm.receive(value, 1000.0))
        self.assertEqual(vm.proof.age_s(), math.inf)

    def test_proof_passes_between_vms_without_getting_younger(self) -> None:
        """Guards against VMs that keep each other's old proof alive."""
        first, second = _Vm(3), _Vm(3)
        second.boot_s = 5000.0
        first.proof.record_store_answer(1000.0)
        for _ in range(20):
            for sender, receiver in ((first, second), (second, first)):
                sent_s = receiver.boot_s
                receiver.receive(sender.proof.make_statement(), sent_s)
                first.boot_s += 0.25
                second.boot_s += 0.25
        self.assertGreaterEqual(first.proof.age_s(), 10.0)
        self.assertGreaterEqual(second.proof.age_s(), 10.0)

    def test_nothing_is_stated_without_accounts(self) -> None:
        """Guards against messages in deployments without accounts."""
        vm = _Vm(3, tenants=None)
        vm.proof.record_store_answer(1000.0)
        self.assertIsNone(vm.proof.make_statement())
        vm.activate(4, tenants=[])
        vm.boot_s = 1000.0004
        self.assertEqual(vm.proof.make_statement(), [4, 1])


if __name__ == "__main__":
    unittest.main()
