"""Entries that leave, lapse, return or come from an earlier start."""

from __future__ import annotations

import dataclasses
import unittest

from burdockspan.gateway import fleet as fleets
from burdockspan.gateway.fleet import LAPSE_GRACE_S, Fleet
from burdockspan.gateway.values import Endpoint


def _endpoint(name: str = "i-1", **changes: object) -> Endpoint:
    held = Endpoint(name, 10, "app", "10.0.0.1:80", "zone-a", False, 4)
    return dataclasses.replace(held, **changes)  # type: ignore[arg-type]


def _names(fleet: Fleet, now_s: float) -> list[str]:
    return sorted(one.id for one in fleets.usable(fleet, "app", now_s))


class TestFleet(unittest.TestCase):
    def test_draining_endpoint_gets_no_new_work(self) -> None:
        """Guards against work for an endpoint that is leaving."""
        fleet = fleets.adopt_entry(Fleet(), _endpoint())
        self.assertEqual(_names(fleet, 0.0), ["i-1"])
        fleet = fleets.adopt_entry(fleet, _endpoint(leaving=True))
        self.assertEqual(_names(fleet, 0.0), [])

    def test_removed_entry_is_gone_at_once(self) -> None:
        """Guards against endpoints that leave without saying so."""
        fleet = fleets.adopt_entry(Fleet(), _endpoint())
        fleet = fleets.remove_entry(fleet, "i-1", 5.0)
        self.assertEqual(_names(fleet, 5.0), [])

    def test_entry_that_lapsed_in_an_outage_is_kept_for_a_while(self) -> None:
        """Guards against an empty fleet after an outage of the store."""
        fleet = fleets.adopt_listing(Fleet(), [_endpoint()], 0.0)
        fleet = fleets.note_regained(fleet, 10.0)
        fleet = fleets.adopt_listing(fleet, [], 10.0)
        self.assertEqual(_names(fleet, 11.0), ["i-1"])
        late_s = 10.0 + LAPSE_GRACE_S
        self.assertEqual(_names(fleet, late_s), [])
        self.assertEqual(fleets.expire(fleet, late_s).by_id, {})

    def test_lapsed_entry_that_returns_stays(self) -> None:
        """Guards against dropping an endpoint that renewed its entry."""
        fleet = fleets.adopt_listing(Fleet(), [_endpoint()], 0.0)
        fleet = fleets.note_regained(fleet, 10.0)
        fleet = fleets.adopt_listing(fleet, [], 10.0)
        fleet = fleets.adopt_entry(fleet, _endpoint())
        self.assertEqual(_names(fleet, 20.0), ["i-1"])

    def test_leaving_entry_does_not_lapse(self) -> None:
        """Guards against work for an endpoint that left in an outage."""
        fleet = fleets.adopt_listing(Fleet(), [_endpoint(leaving=True)], 0.0)
        fleet = fleets.note_regained(fleet, 10.0)
        fleet = fleets.adopt_listing(fleet, [], 10.0)
        self.assertEqual(fleet.by_id, {})

    def test_second_outage_does_not_renew_a_lapse(self) -> None:
        """Guards against a departed endpoint that flapping keeps for ever."""
        fleet = fleets.adopt_listing(Fleet(), [_endpoint()], 0.0)
        for regained_s in (10.0, 11.0, 12.0):
            fleet = fleets.note_regained(fleet, regained_s)
            fleet = fleets.adopt_listing(fleet, [], regained_s)
        self.assertEqual(_names(fleet, 12.5), [])

    def test_write_of_an_earlier_start_is_ignored(self) -> None:
        """Guards against the address of a process that has ended."""
        fleet = fleets.adopt_entry(Fleet(), _endpoint(started_ms=20))
        old = _endpoint(started_ms=10, address="10.0.0.9:80")
        fleet = fleets.adopt_entry(fleet, old)
        self.assertEqual(fleet.by_id["i-1"].endpoint.started_ms, 20)

    def test_other_services_are_not_used(self) -> None:
        """Guards against an address that another service has taken over."""
        fleet = fleets.adopt_entry(Fleet(), _endpoint(service="other"))
        self.assertEqual(_names(fleet, 0.0), [])
