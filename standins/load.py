"""Load reports and operator orders, shared by engines and services."""

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


def make_boot() -> str:
    """Returns a fresh identity of this process."""
    return secrets.token_hex(8)


class LoadHistory:
    """Past loads, so that a report can be late by `load_lag_s`."""

    def __init__(
        self, faults: Faults, measure: Callable[[], dict[str, Any]]
    ) -> None:
        self._faults = faults
        self._measure = measure
        self._lock = threading.Lock()
        self._samples = [(time.monotonic(), measure())]

    def sample(self) -> None:
        """Records the load after it has changed."""
        with self._lock:
            self._samples.append((time.monotonic(), self._measure()))
            if len(self._samples) > 2 * _KEPT_SAMPLES:
                del self._samples[:-_KEPT_SAMPLES]

    def report(self) -> dict[str, Any]:
        """Returns the newest load that is at least the lag old."""
        lag_s = self._faults.seconds("load_lag_s")
        if not lag_s:
            return {**self._measure(), "age_s": 0.0}
        limit_s = time.monotonic() - lag_s
        with self._lock:
            after = bisect.bisect_right(
                self._samples, limit_s, key=lambda sample: sample[0]
            )
            load = self._samples[max(after - 1, 0)][1]
        return {**load, "age_s": lag_s}


class Orders:
    """Orders; an older fencing token than seen is refused.

    `apply` carries an order out and tells whether it could.
    """

    def __init__(
        self,
        faults: Faults,
        apply: Callable[[dict[str, Any]], bool] = lambda order: True,
    ) -> None:
        self._faults = faults
        self._apply = apply
        self._lock = threading.Lock()
        self._newest = 0
        self.taken: list[dict[str, Any]] = []

    def answer(self, order: dict[str, Any]) -> Response:
        """Answers `POST /orders`."""
        fencing = int(order.get("fencing", 0))
        with self._lock:
            old = fencing < self._newest
            if old or self._faults.spend("refuse_fencing"):
                body = {"outcome": "not_run", "fencing": self._newest}
                return json_response(409, body)
            if not self._apply(order):
                return json_response(503, {"outcome": "not_run"})
            self._newest = fencing
            self.taken.append(order)
        return json_response(200, {"fencing": fencing})


__all__ = ["LoadHistory", "Orders", "make_boot"]
