"""Guarantee P4: a refusal over the limit of a client account is truthful."""

from __future__ import annotations

import dataclasses
import unittest

from tests.support.bookings import (
    ANSWERED,
    SERVICE_OPTIONS,
    count_runs,
    look_up_outcome,
    read_outcome,
    send_booking,
)
from tests.support.fleets import make_configuration, make_plan, running_fleet

_BOOKINGS_COUNT = 24
# The 4 entry VMs share the limit of the client account: each accepts one
# booking at once and the next one 40 s later.
_LIMIT = {"requests_per_s": 0.1, "burst": 4}


class ClientLimitsTest(unittest.TestCase):
    def setUp(self) -> None:
        plan = make_plan(prefill=0, decode=0, services=SERVICE_OPTIONS)
        base_configuration = make_configuration()
        clients = tuple(
            dataclasses.replace(client, **_LIMIT)
            for client in base_configuration.clients
        )
        configuration = dataclasses.replace(base_configuration, clients=clients)
        self.fleet = self.enterContext(running_fleet(plan, configuration))

    def test_bookings_over_the_limit_are_refused_and_do_not_run(self) -> None:
        """Guards against a run of a booking that was refused as `not_run`."""
        entries = self.fleet.entries
        refused = []
        for number in range(_BOOKINGS_COUNT):
            key = f"over-{number}"
            response = send_booking(entries[number % len(entries)], key)
            outcome = read_outcome(response)
            runs = count_runs(self.fleet, key)
            if outcome == ANSWERED:
                self.assertEqual(runs, 1)
                continue
            self.assertEqual(
                (response.status, outcome), (429, "not_run"), response.body
            )
            self.assertGreater(int(response.headers["retry-after"]), 0)
            refused.append((key, entries[number % len(entries)]))
        self.assertGreater(len(refused), 0)
        for key, entry in refused:
            self.assertEqual(count_runs(self.fleet, key), 0)
            self.assertEqual(look_up_outcome(entry, key)["outcome"], "not_run")

    def test_repeats_over_the_limit_after_a_run_are_never_not_run(self) -> None:
        """Guards against `not_run` for a key that ran within the limit."""
        entries = self.fleet.entries
        self.assertEqual(send_booking(entries[0], "ran").status, 200)
        for entry in entries:
            outcomes = {
                read_outcome(send_booking(entry, "ran")) for _ in range(6)
            }
            self.assertLessEqual(outcomes, {ANSWERED, "unknown"})
        self.assertEqual(count_runs(self.fleet, "ran"), 1)
