from __future__ import annotations

import dataclasses
import random
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import hypothesis
from hypothesis import strategies

from bench.document_model import run_history
from burdockspan.configuration import adoption
from burdockspan.node import endpoint_table
from burdockspan.node.endpoint_table import EndpointRow
from burdockspan.object_api import watch

_SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=150
)
_CHOICES = strategies.lists(
    strategies.integers(0, 255), min_size=150, max_size=500
)
_HISTORIES = 60
_COUNTED = ("accepted", "activated", "losses", "restarts", "placed")


class DocumentHistoriesTest(unittest.TestCase):
    @_SETTINGS
    @hypothesis.given(_CHOICES)
    def test_histories_keep_the_invariants(self, choices: list[int]) -> None:
        """Guards against reverted documents and work for stale endpoints."""
        remaining_choices = iter(choices)
        counts = run_history(lambda count: next(remaining_choices, 0) % count)
        self.assertEqual(counts.violations, [], counts.steps)

    def test_seeded_histories_keep_the_invariants(self) -> None:
        """Guards against histories too short for placements and restarts."""
        totals = _run_seeded()
        self.assertEqual(totals["violations"], 0)
        for name in _COUNTED:
            self.assertGreater(totals[name], 10, name)


class InjectedFaultsTest(unittest.TestCase):
    """The histories detect faults that are injected into the product."""

    def test_histories_detect_a_configuration_that_reverts(self) -> None:
        """Guards against a model that cannot detect a reverted document."""
        self._check_detected(
            mock.patch.object(adoption, "choose_newer", lambda _old, new: new)
        )

    def test_histories_detect_a_watch_that_ignores_the_era(self) -> None:
        """Guards against a model that misses reused versions."""
        original = watch.advance

        def advance(
            state: Any, outcome: Any, random_float: Any, _: int | None
        ) -> Any:
            return original(state, outcome, random_float)

        self._check_detected(mock.patch.object(watch, "advance", advance))

    def test_histories_detect_work_for_unresponsive_endpoints(self) -> None:
        """Guards against a model that misses an unresponsive endpoint."""
        self._check_detected(
            mock.patch.object(endpoint_table, "UNRESPONSIVE_AFTER_S", 2.5)
        )

    def test_histories_detect_work_for_leaving_endpoints(self) -> None:
        """Guards against a model that misses a leaving endpoint."""
        original = endpoint_table.is_usable

        def is_usable(row: EndpointRow, now_s: float) -> bool:
            stays = dataclasses.replace(row, reported_leaving=False)
            return original(stays, now_s)

        self._check_detected(
            mock.patch.object(endpoint_table, "is_usable", is_usable)
        )

    def test_histories_detect_work_for_drained_endpoints(self) -> None:
        """Guards against a model that misses drains and planned stops."""
        original = endpoint_table.is_usable

        def is_usable(row: EndpointRow, now_s: float) -> bool:
            stays = dataclasses.replace(row, drained=False)
            return original(stays, now_s)

        self._check_detected(
            mock.patch.object(endpoint_table, "is_usable", is_usable)
        )

    def test_histories_detect_report_ages_that_count_from_arrival(
        self,
    ) -> None:
        """Guards against a model that takes a delayed report as recent."""
        original = endpoint_table.accept_report

        def accept_report(
            row: EndpointRow, report: Any, report_received_s: float
        ) -> Any:
            return original(row, report, report_received_s + 1.0)

        self._check_detected(
            mock.patch.object(endpoint_table, "accept_report", accept_report)
        )

    def _check_detected(self, fault: Any) -> None:
        with fault:
            self.assertGreater(_run_seeded()["violations"], 0)


def _run_seeded() -> dict[str, int]:
    totals = dict.fromkeys((*_COUNTED, "violations"), 0)
    for number in range(_HISTORIES):
        choose: Callable[[int], int] = random.Random(number).randrange
        counts = run_history(choose)
        totals["violations"] += len(counts.violations)
        for name in _COUNTED:
            totals[name] += getattr(counts, name)
    return totals
