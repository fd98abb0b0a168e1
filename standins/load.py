"""Load reports and operator orders, shared by engines and services."""

from __future__ import annotations

import secrets
import threading
import time
from collections.abc import Callable
from typing import Any

from standins.faults import Faults
from standins.server import Answer, json_answer

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
            del self._samples[:-_KEPT_SAMPLES]

    def report(self) -> dict[str, Any]:
        """Returns the newest load that is at least the lag old."""
        lag_s = self._faults.seconds("load_lag_s")
        if not lag_s:
            return {**self._measure(), "age_s": 0.0}
        limit_s = time.monotonic() - lag_s
        with self._lock:
            old = [load for at_s, load in self._samples if at_s <= limit_s]
            load = old[-1] if old else self._samples[0][1]
        return {**load, "age_s": lag_s}


class Orders:
    """Operator orders; an older fencing token than seen is refused."""

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._lock = threading.Lock()
        self._newest = 0
        self.taken: list[dict[str, Any]] = []

    def answer(self, order: dict[str, Any]) -> Answer:
        """Answers `POST /orders`."""
        fencing = int(order.get("fencing", 0))
        with self._lock:
            old = fencing < self._newest
            if old or self._faults.spend("refuse_fencing"):
                body = {"outcome": "not_run", "fencing": self._newest}
                return json_answer(409, body)
            self._newest = fencing
            self.taken.append(order)
        return json_answer(200, {"fencing": fencing})


__all__ = ["LoadHistory", "Orders", "make_boot"]
