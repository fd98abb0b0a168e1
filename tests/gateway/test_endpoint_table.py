"""Entries that leave, lapse, return or come from an earlier start."""

from __future__ import annotations

import dataclasses
import unittest

from burdockspan.gateway import endpoint_table
from burdockspan.gateway.endpoint_table import LAPSE_GRACE_S, EndpointTable
from burdockspan.gateway.values import Endpoint


def _endpoint(name: str = "i-1", **changes: object) -> Endpoint:
    held = Endpoint(name, 10, "app", "10.0.0.1:80", "zone-a", False, 4)
    return dataclasses.replace(held, **changes)  # type: ignore[arg-type]


def _names(table: EndpointTable, now_s: float) -> list[str]:
    return sorted(
        one.id for one in endpoint_table.list_usable(table, "app", now_s)
    )


class TestFleet(unittest.TestCase):
    def test_draining_endpoint_gets_no_new_work(self) -> None:
        """Guards against work for an endpoint that is leaving."""
        table = endpoint_table.apply_entry(EndpointTable(), _endpoint())
        self.assertEqual(_names(table, 0.0), ["i-1"])
        table = endpoint_table.apply_entry(table, _endpoint(leaving=True))
        self.assertEqual(_names(table, 0.0), [])

    def test_removed_entry_is_gone_at_once(self) -> None:
        """Guards against endpoints that leave without saying so."""
        table = endpoint_table.apply_entry(EndpointTable(), _endpoint())
        table = endpoint_table.remove_entry(table, "i-1", 5.0)
        self.assertEqual(_names(table, 5.0), [])

    def test_entry_that_lapsed_in_an_outage_is_kept_for_a_while(self) -> None:
        """Guards against an empty fleet after an outage of the store."""
        table = endpoint_table.apply_listing(
            EndpointTable(), [_endpoint()], 0.0
        )
        table = endpoint_table.start_lapse_grace(table, 10.0)
        table = endpoint_table.apply_listing(table, [], 10.0)
        self.assertEqual(_names(table, 11.0), ["i-1"])
        late_s = 10.0 + LAPSE_GRACE_S
        self.assertEqual(_names(table, late_s), [])
        self.assertEqual(endpoint_table.expire(table, late_s).by_id, {})

    def test_lapsed_entry_that_returns_stays(self) -> None:
        """Guards against dropping an endpoint that renewed its entry."""
        table = endpoint_table.apply_listing(
            EndpointTable(), [_endpoint()], 0.0
        )
        table = endpoint_table.start_lapse_grace(table, 10.0)
        table = endpoint_table.apply_listing(table, [], 10.0)
        table = endpoint_table.apply_entry(table, _endpoint())
        self.assertEqual(_names(table, 20.0), ["i-1"])

    def test_leaving_entry_does_not_lapse(self) -> None:
        """Guards against work for an endpoint that left in an outage."""
        table = endpoint_table.apply_listing(
            EndpointTable(), [_endpoint(leaving=True)], 0.0
        )
        table = endpoint_table.start_lapse_grace(table, 10.0)
        table = endpoint_table.apply_listing(table, [], 10.0)
        self.assertEqual(table.by_id, {})

    def test_second_outage_does_not_renew_a_lapse(self) -> None:
        """Guards against a departed endpoint that flapping keeps for ever."""
        table = endpoint_table.apply_listing(
            EndpointTable(), [_endpoint()], 0.0
        )
        for regained_s in (10.0, 11.0, 12.0):
            table = endpoint_table.start_lapse_grace(table, regained_s)
            table = endpoint_table.apply_listing(table, [], regained_s)
        self.assertEqual(_names(table, 12.5), [])

    def test_write_of_an_earlier_start_is_ignored(self) -> None:
        """Guards against the address of a process that has ended."""
        table = endpoint_table.apply_entry(
            EndpointTable(), _endpoint(started_ms=20)
        )
        old = _endpoint(started_ms=10, address="10.0.0.9:80")
        table = endpoint_table.apply_entry(table, old)
        self.assertEqual(table.by_id["i-1"].endpoint.started_ms, 20)

    def test_other_services_are_not_used(self) -> None:
        """Guards against an address that another service has taken over."""
        table = endpoint_table.apply_entry(
            EndpointTable(), _endpoint(service="other")
        )
        self.assertEqual(_names(table, 0.0), [])
