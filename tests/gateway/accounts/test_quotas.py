"""Quotas of accounts at whole gateways."""

from __future__ import annotations

import contextlib
import time
import unittest
from typing import Any

from burdockspan.gateway.accounts.quotas import count_units
from burdockspan.gateway.accounts.values import Quota, QuotaUnit
from burdockspan.gateway.fleet import vm_heartbeats
from burdockspan.gateway.values import GenerationSize
from standins.object_store import ObjectStore
from standins.scripted_endpoint import ScriptedEndpoint, respond
from tests.support.gateways import (
    Gateway,
    ReceivedResponse,
    make_document,
    run_gateway,
    wait_for,
)

_OK = respond(200, b"done", {"Response-Stamp": "s"})
_NOT_STARTED = respond(503, b"", {"Not-Executed": "1"})
_KEY = {"Authorization": "Bearer secret-of-acme"}
_FREE_KEY = {"Authorization": "Bearer secret-of-free"}
_BURST = 4


def _make_document(version: int = 1, **quota: Any) -> dict[str, Any]:
    document = make_document(version)
    quota = quota or {"rate_per_s": 0.01, "burst": _BURST}
    document["tenants"] = [
        {"name": "acme", "api_keys": ["secret-of-acme"], **quota},
        {"name": "free", "api_keys": ["secret-of-free"]},
    ]
    return document


class _BootClock:
    """A boot clock that a test advances."""

    def __init__(self) -> None:
        self.offset_s = 0.0

    def __call__(self) -> float:
        return time.monotonic() + self.offset_s


class TestQuotas(unittest.TestCase):
    def run_gateway(self, **options: Any) -> tuple[Gateway, _BootClock]:
        clock = _BootClock()
        gateway = self.enterContext(
            contextlib.contextmanager(run_gateway)(
                _make_document(), boot_clock=clock, **options
            )
        )
        return gateway, clock

    def fill(self, gateway: Gateway, clock: _BootClock, held: float) -> None:
        """Lets the VM's share fill up."""
        quotas = gateway.components.context.account_quotas

        def is_full() -> bool:
            # Time before the VMs are counted adds nothing.
            clock.offset_s += 1000.0
            return quotas.measure("acme") == held

        wait_for(is_full)

    def read(
        self, gateway: Gateway, key: dict[str, str] | None = None
    ) -> ReceivedResponse:
        return gateway.call("GET", "/read/x", headers=key or _KEY)

    def test_requests_beyond_the_quota_are_refused(self) -> None:
        """Guards against accounts that use more than their limit."""
        gateway, clock = self.run_gateway()
        endpoint = ScriptedEndpoint("i-1", lambda _: _OK)
        gateway.add_endpoint(endpoint)
        self.fill(gateway, clock, _BURST)
        statuses = [self.read(gateway).status for _ in range(_BURST)]
        self.assertEqual(statuses, [200] * _BURST)
        refused = self.read(gateway)
        self.assertEqual(refused.status, 429)
        self.assertIn(b"not_run", refused.body)
        self.assertEqual(float(refused.headers["Retry-After"]), 60.0)
        self.assertEqual(len(endpoint.received), _BURST)
        self.assertEqual(self.read(gateway, _FREE_KEY).status, 200)
        (logged,) = gateway.events_named("quota refused")
        self.assertEqual((logged["account"], logged["units"]), ("acme", 1.0))

    def test_request_that_has_not_run_costs_nothing(self) -> None:
        """Guards against a quota used up by requests that no endpoint took."""
        gateway, clock = self.run_gateway()
        gateway.add_endpoint(ScriptedEndpoint("i-1", lambda _: _NOT_STARTED))
        self.fill(gateway, clock, _BURST)
        self.assertEqual(self.read(gateway).status, 503)
        quotas = gateway.components.context.account_quotas
        self.assertAlmostEqual(quotas.measure("acme") or 0.0, _BURST, 3)

    def test_lower_limit_takes_effect_with_its_configuration(self) -> None:
        """Guards against the old burst under a new configuration."""
        gateway, clock = self.run_gateway()
        self.fill(gateway, clock, _BURST)
        gateway.configure(_make_document(2, rate_per_s=0.01, burst=1))
        quotas = gateway.components.context.account_quotas
        self.assertEqual(quotas.measure("acme"), 1.0)

    def test_vm_borrows_what_other_vms_do_not_need(self) -> None:
        """Guards against refusals where an account's requests arrive."""
        store = ObjectStore()
        self.addCleanup(store.close)
        for vm in ("vm-1", "vm-2"):
            store.put(vm_heartbeats.KIND, vm, {"beat": 1})
        gateways = [
            self.run_gateway(
                shared_store=store, vm=vm, exchange_address="127.0.0.1:0"
            )
            for vm in ("vm-1", "vm-2")
        ]
        for gateway, clock in gateways:
            exchange = gateway.components.context.exchange
            wait_for(lambda exchange=exchange: exchange.list_peers() != ())
            self.fill(gateway, clock, _BURST / 2)
        gateway, _ = gateways[0]
        gateway.add_endpoint(ScriptedEndpoint("i-1", lambda _: _OK))
        statuses = [self.read(gateway).status for _ in range(_BURST + 1)]
        self.assertEqual(statuses, [200] * _BURST + [429])

    def test_units_of_a_request(self) -> None:
        """Guards against generations that count as one token."""
        tokens = Quota(QuotaUnit.TOKENS, 1.0, 1.0, 200.0)
        requests = Quota(QuotaUnit.REQUESTS, 1.0, 1.0)
        size = GenerationSize(5000, 160, 80)
        self.assertEqual(count_units(tokens, size), 5160.0)
        self.assertEqual(count_units(tokens, None), 200.0)
        self.assertEqual(count_units(requests, size), 1.0)


if __name__ == "__main__":
    unittest.main()
