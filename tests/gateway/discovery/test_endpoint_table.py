"""Entries of leaving, missing, renewed and restarted endpoints."""

from __future__ import annotations

import dataclasses
import unittest

from burdockspan.gateway.discovery import endpoint_table
from burdockspan.gateway.discovery.endpoint_table import (
    GRACE_PERIOD_S,
    EndpointTable,
)
from burdockspan.gateway.values import Endpoint


def _endpoint(name: str = "i-1", **changes: object) -> Endpoint:
    endpoint = Endpoint(name, 10, "app", "10.0.0.1:80", "zone-a", False, 4)
    return dataclasses.replace(endpoint, **changes)  # type: ignore[arg-type]


def _list_usable_ids(table: EndpointTable, now_s: float) -> list[str]:
    return sorted(
        endpoint.id
        for endpoint in endpoint_table.list_usable(table, "app", now_s)
    )


class TestEndpointTable(unittest.TestCase):
    def test_draining_endpoint_gets_no_new_work(self) -> None:
        """Guards against work for an endpoint that is leaving."""
        table = endpoint_table.apply_entry(EndpointTable(), _endpoint())
        self.assertEqual(_list_usable_ids(table, 0.0), ["i-1"])
        table = endpoint_table.apply_entry(table, _endpoint(leaving=True))
        self.assertEqual(_list_usable_ids(table, 0.0), [])

    def test_removed_entry_is_unusable_at_once(self) -> None:
        """Guards against requests to endpoints whose entry was removed."""
        table = endpoint_table.apply_entry(EndpointTable(), _endpoint())
        table = endpoint_table.remove_entry(table, "i-1", 5.0)
        self.assertEqual(_list_usable_ids(table, 5.0), [])

    def test_entry_missing_after_an_outage_is_kept_for_the_grace(self) -> None:
        """Guards against an empty table after an outage of the store."""
        table = endpoint_table.apply_listing(
            EndpointTable(), [_endpoint()], 0.0
        )
        table = endpoint_table.start_grace_period(table, 10.0)
        table = endpoint_table.apply_listing(table, [], 10.0)
        self.assertEqual(_list_usable_ids(table, 11.0), ["i-1"])
        grace_end_s = 10.0 + GRACE_PERIOD_S
        self.assertEqual(_list_usable_ids(table, grace_end_s), [])
        self.assertEqual(endpoint_table.expire(table, grace_end_s).by_id, {})

    def test_entry_renewed_after_an_outage_stays(self) -> None:
        """Guards against dropping an endpoint that renewed its entry."""
        table = endpoint_table.apply_listing(
            EndpointTable(), [_endpoint()], 0.0
        )
        table = endpoint_table.start_grace_period(table, 10.0)
        table = endpoint_table.apply_listing(table, [], 10.0)
        table = endpoint_table.apply_entry(table, _endpoint())
        self.assertEqual(_list_usable_ids(table, 20.0), ["i-1"])

    def test_missing_entry_of_a_leaving_endpoint_is_removed(self) -> None:
        """Guards against work for an endpoint that left during an outage."""
        table = endpoint_table.apply_listing(
            EndpointTable(), [_endpoint(leaving=True)], 0.0
        )
        table = endpoint_table.start_grace_period(table, 10.0)
        table = endpoint_table.apply_listing(table, [], 10.0)
        self.assertEqual(table.by_id, {})

    def test_second_outage_does_not_extend_the_grace(self) -> None:
        """Guards against endpoints that repeated outages keep in the table."""
        table = endpoint_table.apply_listing(
            EndpointTable(), [_endpoint()], 0.0
        )
        for regained_s in (10.0, 11.0, 12.0):
            table = endpoint_table.start_grace_period(table, regained_s)
            table = endpoint_table.apply_listing(table, [], regained_s)
        self.assertEqual(_list_usable_ids(table, 12.5), [])

    def test_write_of_an_earlier_process_is_ignored(self) -> None:
        """Guards against the address of a process that has ended."""
        table = endpoint_table.apply_entry(
            EndpointTable(), _endpoint(started_ms=20)
        )
        earlier = _endpoint(started_ms=10, address="10.0.0.9:80")
        table = endpoint_table.apply_entry(table, earlier)
        self.assertEqual(table.by_id["i-1"].endpoint.started_ms, 20)

    def test_endpoints_of_other_services_are_not_usable(self) -> None:
        """Guards against requests to an address that another service uses."""
        table = endpoint_table.apply_entry(
            EndpointTable(), _endpoint(service="other")
        )
        self.assertEqual(_list_usable_ids(table, 0.0), [])
