"""Load reports and orders, shared by the engine and service stand-ins."""

from __future__ import annotations

import bisect
import secrets
import threading
import time
from collections.abc import Callable
from typing import Any

from standins.faults import Faults
from standins.messages import Response, json_response

_KEPT_SAMPLES = 100_000
"""Number of newest samples that are kept when older ones are removed."""


def make_boot_id() -> str:
    """Returns a random ID of this process start."""
    return secrets.token_hex(8)


class LoadHistory:
    """Load samples over time; the fault `load_lag_s` delays reports."""

    def __init__(
        self, faults: Faults, measure: Callable[[], dict[str, Any]]
    ) -> None:
        self._faults = faults
        self._measure = measure
        self._lock = threading.Lock()
        self._samples = [(time.monotonic(), measure())]

    def record(self) -> None:
        """Records a sample; called after each change of the load."""
        with self._lock:
            self._samples.append((time.monotonic(), self._measure()))
            if len(self._samples) > 2 * _KEPT_SAMPLES:
                del self._samples[:-_KEPT_SAMPLES]

    def get_report(self) -> dict[str, Any]:
        """Returns the load of `load_lag_s` ago, or the oldest one recorded."""
        lag_s = self._faults.get_seconds("load_lag_s")
        if not lag_s:
            return {**self._measure(), "age_s": 0.0}
        limit_s = time.monotonic() - lag_s
        with self._lock:
            next_index = bisect.bisect_right(
                self._samples, limit_s, key=lambda sample: sample[0]
            )
            load = self._samples[max(next_index - 1, 0)][1]
        return {**load, "age_s": lag_s}


class Orders:
    """Order receiver that rejects stale fencing tokens.

    `apply` carries out an order and returns whether it succeeded.
    """

    def __init__(
        self,
        faults: Faults,
        apply: Callable[[dict[str, Any]], bool] = lambda order: True,
    ) -> None:
        self._faults = faults
        self._apply = apply
        self._lock = threading.Lock()
        self._newest_token = 0
        self.accepted: list[dict[str, Any]] = []

    def handle(self, order: dict[str, Any]) -> Response:
        """Handles `POST /orders`."""
        fencing_token = int(order.get("fencing", 0))
        with self._lock:
            is_stale = fencing_token < self._newest_token
            if is_stale or self._faults.consume("refuse_fencing"):
                body = {"outcome": "not_run", "fencing": self._newest_token}
                return json_response(409, body)
            if not self._apply(order):
                return json_response(503, {"outcome": "not_run"})
            self._newest_token = fencing_token
            self.accepted.append(order)
        return json_response(200, {"fencing": fencing_token})


__all__ = ["LoadHistory", "Orders", "make_boot_id"]
