"""Settings files that change while the process runs."""

from __future__ import annotations

import unittest
from typing import Any

from result import Err, Ok, Result

from burdockspan.configuration.problem import Problem
from burdockspan.gateway.admission.retry_budget import RetryBudget
from burdockspan.gateway.choice.stage_orders import OrderSender
from burdockspan.gateway.graceful_stop import GracefulStop
from burdockspan.gateway.reload import make_reload
from burdockspan.gateway.settings import GatewaySettings, RetryBudgetSettings

_UNUSED: Any = None


def _make_settings(**changes: Any) -> GatewaySettings:
    return GatewaySettings(
        **{
            "vm": "vm-1",
            "availability_zone": "zone-a",
            "caller_address": "127.0.0.1:1",
            "ready_address": "127.0.0.1:2",
            "store_address": "127.0.0.1:3",
            **changes,
        }
    )


class TestReload(unittest.TestCase):
    def setUp(self) -> None:
        settings = _make_settings()
        self.now_s = 100.0
        self.loaded: Result[GatewaySettings, tuple[Problem, ...]] = Ok(settings)
        self.log_events: list[tuple[str, dict[str, Any]]] = []
        self.retry_budget = RetryBudget(
            settings.retry_budget, lambda: self.now_s, 1
        )
        self.now_s += 20.0
        self.graceful_stop = GracefulStop(settings.grace_s, lambda: self.now_s)
        order_sender = OrderSender(
            "vm-1", _UNUSED, _UNUSED, 3.0, lambda: self.now_s, _UNUSED
        )
        self.reload = make_reload(
            settings,
            lambda: self.loaded,
            self.retry_budget,
            self.graceful_stop,
            order_sender,
            lambda event, **fields: self.log_events.append((event, fields)),
        )

    def count_retries(self) -> int:
        """Spends the whole retry budget and returns its size."""
        retries = 0
        while self.retry_budget.try_spend("app"):
            retries += 1
        return retries

    def test_limits_apply_at_once(self) -> None:
        """Guards against limits of the previous file until the next start."""
        self.loaded = Ok(
            _make_settings(
                grace_s=20.0, retry_budget=RetryBudgetSettings(slack=10.5)
            )
        )
        self.reload()
        self.assertEqual(self.count_retries(), 8)
        self.graceful_stop.begin()
        self.assertEqual(self.graceful_stop.deadline_s, self.now_s + 19.5)
        self.assertEqual(
            self.log_events,
            [
                (
                    "settings reloaded",
                    {
                        "applied": ["grace_s", "retry_budget"],
                        "applied_at_next_start": [],
                    },
                )
            ],
        )

    def test_invalid_file_changes_nothing(self) -> None:
        """Guards against a process that stops or runs without limits."""
        self.loaded = Err((Problem("f.yaml", "grace_s", "'x'", "a number"),))
        self.reload()
        self.assertEqual(
            self.log_events,
            [
                (
                    "settings not reloaded",
                    {
                        "problems": [
                            "f.yaml: grace_s: 'x' is not allowed; a number"
                        ]
                    },
                )
            ],
        )
        self.graceful_stop.begin()
        self.assertEqual(self.graceful_stop.deadline_s, self.now_s + 7.5)
        self.assertEqual(self.count_retries(), 42)

    def test_grace_period_is_fixed_once_the_stop_has_begun(self) -> None:
        """Guards against a reload during a stop that ends requests early."""
        self.graceful_stop.begin()
        self.loaded = Ok(_make_settings(grace_s=1.0))
        self.reload()
        self.assertEqual(self.graceful_stop.deadline_s, self.now_s + 7.5)

    def test_changed_address_is_reported_until_the_next_start(self) -> None:
        """Guards against a silent difference between file and process."""
        self.loaded = Ok(_make_settings(caller_address="127.0.0.1:9"))
        for _ in range(2):
            self.reload()
        for event, fields in self.log_events:
            self.assertEqual(event, "settings reloaded")
            self.assertEqual(
                fields,
                {"applied": [], "applied_at_next_start": ["caller_address"]},
            )


if __name__ == "__main__":
    unittest.main()
