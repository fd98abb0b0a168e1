"""Measures prompt demand, and chooses prefill engines that should decode."""

from __future__ import annotations

import collections
import dataclasses
import math
import threading
from collections.abc import Mapping, Sequence
from typing import Any

from burdockspan.gateway.values import Endpoint
from burdockspan.values.clock import Clock

# The window of the arrival rate is so long that it covers bursts and lulls; a
# shorter one would mistake a burst for the usual load.
_WINDOW_S = 20.0
# A rate measured over a shorter time is too uncertain to act on.
_MIN_MEASURED_S = 3.0
# Load that prefill engines must handle, relative to the usual load. Bursts
# about double the load, but decode memory runs out before prompts queue, so
# that capacity for less than the double suffices.
BURST_FACTOR = 1.4
# Above this utilization, prompts queue for longer than a generation can wait.
_MAX_UTILIZATION = 0.9
# With two prefill engines, one remains after a crash.
MIN_PREFILL_ENGINES = 2
# A rate from fewer prompts is too uncertain to act on.
_MIN_PROMPTS = 8
# This quantile of the measured prefill rates is the rate of prompts that did
# not queue. Lower rates come from short prompts, and from prompts that waited
# for another one.
_RATE_QUANTILE = 0.75
_MAX_RATE_SAMPLES = 256
# Share of the prefill engines that may change at a time, which limits the
# effect of a measurement error.
_MAX_CHANGED_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class Demand:
    """Demand for the prefill engines of a service, of one VM or of all VMs.

    Attributes:
      tokens_per_s: arriving prompt tokens per second; 0 if unknown.
      engine_tokens_per_s: prompt tokens per second that one engine prefills; 0
        if unknown.
    """

    tokens_per_s: float
    engine_tokens_per_s: float


class DemandMeter:
    """Measures the demand at this VM, by service."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_s = clock()
        self._lock = threading.Lock()
        self._prompts_by_service: dict[
            str, collections.deque[tuple[float, int]]
        ] = collections.defaultdict(collections.deque)
        self._engine_rates_by_service: dict[str, collections.deque[float]] = (
            collections.defaultdict(
                lambda: collections.deque(maxlen=_MAX_RATE_SAMPLES)
            )
        )

    def record_prompt(self, service: str, tokens: int) -> None:
        """Records the arrival of a prompt."""
        with self._lock:
            self._prompts_by_service[service].append((self._clock(), tokens))

    def record_prefill(
        self, service: str, tokens: int, duration_s: float
    ) -> None:
        """Records the duration of a prefill."""
        if duration_s > 0:
            with self._lock:
                self._engine_rates_by_service[service].append(
                    tokens / duration_s
                )

    def measure(self) -> dict[str, Demand] | None:
        """Returns the demand by service; None soon after the start."""
        now_s = self._clock()
        if now_s - self._started_s < _MIN_MEASURED_S:
            return None
        demand_by_service = {}
        with self._lock:
            for service, prompts in self._prompts_by_service.items():
                while prompts and prompts[0][0] < now_s - _WINDOW_S:
                    prompts.popleft()
                rate = _compute_rate(prompts, now_s)
                demand_by_service[service] = Demand(
                    rate, self._engine_tokens_per_s(service)
                )
        return demand_by_service

    def engine_tokens_per_s(self, service: str) -> float:
        """Returns the prefill rate of one engine; 0 if unknown."""
        with self._lock:
            return self._engine_tokens_per_s(service)

    def _engine_tokens_per_s(self, service: str) -> float:
        engine_rates = sorted(self._engine_rates_by_service[service])
        if not engine_rates:
            return 0.0
        return engine_rates[int(_RATE_QUANTILE * (len(engine_rates) - 1))]


def _compute_rate(prompts: Sequence[tuple[float, int]], now_s: float) -> float:
    if len(prompts) < _MIN_PROMPTS:
        return 0.0
    elapsed_s = now_s - prompts[0][0]
    if elapsed_s < _MIN_MEASURED_S:
        return 0.0
    return sum(tokens for _, tokens in prompts) / elapsed_s


def combine_demands(demands: Sequence[Demand | None]) -> Demand:
    """Returns the total demand of all live VMs.

    A VM that has measured no demand counts as an average one: if it counted as
    idle, the total would be too small, and prefill engines that are needed
    would be ordered to decode.

    Args:
      demands: the measurement of each live VM, None if it has none yet.

    Returns:
      The total; an unknown demand if fewer than half of the VMs have measured
      one.
    """
    measured = [
        demand for demand in demands if demand and demand.tokens_per_s > 0
    ]
    if 2 * len(measured) < len(demands):
        return Demand(0.0, 0.0)
    engine_rates = sorted(
        demand.engine_tokens_per_s
        for demand in measured
        if demand.engine_tokens_per_s > 0
    )
    engine_rate = engine_rates[len(engine_rates) // 2] if engine_rates else 0.0
    total = sum(demand.tokens_per_s for demand in measured)
    return Demand(total * len(demands) / max(1, len(measured)), engine_rate)


def count_needed_prefill_engines(demand: Demand) -> int | None:
    """Returns the number of prefill engines for a burst; None if unknown."""
    if demand.tokens_per_s <= 0 or demand.engine_tokens_per_s <= 0:
        return None
    busy_engines = (
        BURST_FACTOR * demand.tokens_per_s / demand.engine_tokens_per_s
    )
    return max(MIN_PREFILL_ENGINES, math.ceil(busy_engines / _MAX_UTILIZATION))


class SettledEngines:
    """Tracks the engines that already existed in the previous interval.

    During a rolling replacement of endpoints, a service has an additional
    engine for some seconds, which must not count as a surplus.
    """

    def __init__(self) -> None:
        self._previous_by_service: dict[str, frozenset[tuple[str, int]]] = {}

    def update(
        self, service: str, engines: Sequence[Endpoint]
    ) -> tuple[Endpoint, ...]:
        """Returns the engines that also existed at the previous update."""
        previous = self._previous_by_service.get(service, frozenset())
        present = frozenset(engine.incarnation for engine in engines)
        self._previous_by_service[service] = present
        return tuple(
            engine for engine in engines if engine.incarnation in previous
        )


def choose_engines_to_decode(
    prefill_engines: Sequence[Endpoint], demand: Demand
) -> tuple[Endpoint, ...]:
    """Returns the prefill engines that should decode instead.

    Decode engines are never changed to prefill engines: an engine refuses
    generations for seconds while it changes, and decode engines can prefill
    prompts themselves.
    """
    needed = count_needed_prefill_engines(demand)
    if needed is None or len(prefill_engines) <= needed:
        return ()
    return _choose_from_largest_zones(
        prefill_engines,
        min(len(prefill_engines) - needed, _max_changed(prefill_engines)),
    )


def _max_changed(engines: Sequence[Endpoint]) -> int:
    return max(1, int(_MAX_CHANGED_SHARE * len(engines)))


def _choose_from_largest_zones(
    engines: Sequence[Endpoint], count: int
) -> tuple[Endpoint, ...]:
    """Chooses engines one by one, each from the zone with the most engines."""
    remaining = sorted(engines, key=lambda engine: engine.id)
    chosen_engines = []
    for _ in range(count):
        by_zone = collections.Counter(engine.zone for engine in remaining)
        chosen = max(
            remaining, key=lambda engine: (by_zone[engine.zone], engine.id)
        )
        remaining.remove(chosen)
        chosen_engines.append(chosen)
    return tuple(chosen_engines)


def encode_demands(
    demands: Mapping[str, Demand] | None,
) -> dict[str, list[float]] | None:
    """Returns demands in the form that the store has them."""
    if demands is None:
        return None
    return {
        name: [
            round(demand.tokens_per_s, 1),
            round(demand.engine_tokens_per_s, 1),
        ]
        for name, demand in demands.items()
    }


def decode_demands(value: Any) -> dict[str, Demand] | None:
    """Returns the demands that a VM wrote; None if there are none."""
    if not isinstance(value, dict):
        return None
    return {
        name: Demand(float(pair[0]), float(pair[1]))
        for name, pair in value.items()
        if isinstance(pair, list)
        and len(pair) == 2
        and all(isinstance(number, int | float) for number in pair)
    }


__all__ = [
    "BURST_FACTOR",
    "MIN_PREFILL_ENGINES",
    "Demand",
    "DemandMeter",
    "SettledEngines",
    "choose_engines_to_decode",
    "combine_demands",
    "count_needed_prefill_engines",
    "decode_demands",
    "encode_demands",
]
