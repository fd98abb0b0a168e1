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
# Time after its first prompt before a VM measures its arrival rate.
_MIN_MEASURED_S = 2.0
# Load that prefill engines must handle, relative to the usual load. Bursts
# about double the load, and more in single zones.
_BURST_FACTOR = 2.5
# The same while decode memory is short: it runs out before prompts queue, so
# that capacity for less than the double suffices.
_SHORTAGE_BURST_FACTOR = 1.4
# Decode memory is short if at least this share of the prompts found none. A
# smaller share comes from single zones or engines.
_SHORTAGE_SHARE = 0.05
# Above this utilization, prompts queue for longer than a generation can wait.
_MAX_UTILIZATION = 0.9
# With two prefill engines, one remains after a crash.
MIN_PREFILL_ENGINES = 2
# An arrival rate from fewer prompts of all VMs is too uncertain to act on.
_MIN_FLEET_PROMPTS = 24
# Share of the live VMs that must have measured. In a large fleet, the VMs that
# have not differ from the others by chance only.
_MIN_MEASURED_SHARE = 0.25
# This quantile of the measured prefill rates is the rate of prompts that did
# not queue. Lower rates come from short prompts, and from prompts that waited
# for another one.
_RATE_QUANTILE = 0.75
_MAX_RATE_SAMPLES = 256
# Share of the prefill engines that may change at a time, which limits the
# effect of a measurement error.
_MAX_CHANGED_SHARE = 0.5
_MEASUREMENT_FIELDS = 5
# Up to this number, floats hold each whole number.
_MAX_NUMBER = 2**53


@dataclasses.dataclass(frozen=True)
class PromptMeasurement:
    """The prompts of a service that recently arrived at one VM.

    Attributes:
      tokens: tokens of the prompts that arrived after the first one.
      elapsed_s: time since the first of the prompts.
      prompts: number of the prompts.
      without_memory: number of the prompts that found no decode memory.
      engine_tokens_per_s: prompt tokens per second that one engine prefills; 0
        if unknown.
    """

    tokens: int
    elapsed_s: float
    prompts: int
    without_memory: int
    engine_tokens_per_s: float


@dataclasses.dataclass(frozen=True)
class Demand:
    """Demand for the prefill engines of a service, of all VMs.

    Attributes:
      tokens_per_s: arriving prompt tokens per second; 0 if unknown.
      engine_tokens_per_s: prompt tokens per second that one engine prefills; 0
        if unknown.
      shortage: share of the prompts that found no decode memory.
    """

    tokens_per_s: float
    engine_tokens_per_s: float
    shortage: float = 0.0


class DemandMeter:
    """Measures the prompts that arrive at this VM, by service."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._prompts_by_service: dict[
            str, collections.deque[tuple[float, int]]
        ] = collections.defaultdict(collections.deque)
        self._without_memory_by_service: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self._engine_rates_by_service: dict[str, collections.deque[float]] = (
            collections.defaultdict(
                lambda: collections.deque(maxlen=_MAX_RATE_SAMPLES)
            )
        )

    def record_prompt(self, service: str, tokens: int) -> None:
        """Records the arrival of a prompt."""
        with self._lock:
            self._prompts_by_service[service].append((self._clock(), tokens))

    def record_without_memory(self, service: str) -> None:
        """Records a prompt that found no decode memory."""
        with self._lock:
            self._without_memory_by_service[service].append(self._clock())

    def record_prefill(
        self, service: str, tokens: int, duration_s: float
    ) -> None:
        """Records the duration of a prefill."""
        if duration_s > 0:
            with self._lock:
                self._engine_rates_by_service[service].append(
                    tokens / duration_s
                )

    def measure(self) -> dict[str, PromptMeasurement]:
        """Returns the measurements by service.

        A service that has received no prompt, or the first one only recently,
        is missing.
        """
        now_s = self._clock()
        measurements = {}
        with self._lock:
            for service, prompts in self._prompts_by_service.items():
                while prompts and prompts[0][0] < now_s - _WINDOW_S:
                    prompts.popleft()
                if not prompts or now_s - prompts[0][0] < _MIN_MEASURED_S:
                    continue
                without_memory = self._without_memory_by_service[service]
                while without_memory and without_memory[0] < prompts[0][0]:
                    without_memory.popleft()
                tokens = sum(tokens for _, tokens in prompts) - prompts[0][1]
                measurements[service] = PromptMeasurement(
                    tokens,
                    now_s - prompts[0][0],
                    len(prompts),
                    len(without_memory),
                    self._engine_tokens_per_s(service),
                )
        return measurements

    def engine_tokens_per_s(self, service: str) -> float:
        """Returns the prefill rate of one engine; 0 if unknown."""
        with self._lock:
            return self._engine_tokens_per_s(service)

    def _engine_tokens_per_s(self, service: str) -> float:
        engine_rates = sorted(self._engine_rates_by_service.get(service, ()))
        if not engine_rates:
            return 0.0
        return engine_rates[int(_RATE_QUANTILE * (len(engine_rates) - 1))]


def combine_measurements(
    measurements: Sequence[PromptMeasurement | None],
) -> Demand:
    """Returns the total demand of all live VMs.

    A VM without a measurement counts as an average one: if it counted as idle,
    the total would be too small, and prefill engines that are needed would be
    ordered to decode. The measured rates are not averaged but their prompts and
    times added up, since each VM of a large fleet receives too few prompts for
    a rate of its own.

    Args:
      measurements: the measurement of each live VM, None if it has none yet.

    Returns:
      The total; an unknown demand if too few prompts or VMs were measured.
    """
    measured = [item for item in measurements if item is not None]
    prompts = sum(item.prompts for item in measured)
    elapsed_s = sum(item.elapsed_s for item in measured)
    if (
        prompts < _MIN_FLEET_PROMPTS
        or elapsed_s <= 0
        or len(measured) < _MIN_MEASURED_SHARE * len(measurements)
    ):
        return Demand(0.0, 0.0)
    engine_rates = sorted(
        item.engine_tokens_per_s
        for item in measured
        if item.engine_tokens_per_s > 0
    )
    engine_rate = engine_rates[len(engine_rates) // 2] if engine_rates else 0.0
    tokens_per_s = sum(item.tokens for item in measured) / elapsed_s
    return Demand(
        tokens_per_s * len(measurements),
        engine_rate,
        sum(item.without_memory for item in measured) / prompts,
    )


def count_needed_prefill_engines(demand: Demand) -> int | None:
    """Returns the number of prefill engines for a burst; None if unknown."""
    if demand.tokens_per_s <= 0 or demand.engine_tokens_per_s <= 0:
        return None
    is_short = demand.shortage >= _SHORTAGE_SHARE
    burst_factor = _SHORTAGE_BURST_FACTOR if is_short else _BURST_FACTOR
    busy_engines = (
        burst_factor * demand.tokens_per_s / demand.engine_tokens_per_s
    )
    return max(MIN_PREFILL_ENGINES, math.ceil(busy_engines / _MAX_UTILIZATION))


class SettledEngines:
    """Tracks the engines that already existed in the previous interval.

    During a rolling replacement of endpoints, a service has an additional
    engine for some seconds, which must not count as a surplus.

    Calls that follow each other within `interval_s` belong to one interval.
    """

    def __init__(
        self, clock: Clock = lambda: 0.0, interval_s: float = 0.0
    ) -> None:
        self._clock = clock
        self._interval_s = interval_s
        self._began_s_by_service: dict[str, float] = {}
        self._previous_by_service: dict[str, frozenset[tuple[str, int]]] = {}
        self._present_by_service: dict[str, frozenset[tuple[str, int]]] = {}

    def update(
        self, service: str, engines: Sequence[Endpoint]
    ) -> tuple[Endpoint, ...]:
        """Returns the engines that also existed at the previous update."""
        now_s = self._clock()
        began_s = self._began_s_by_service.get(service)
        if began_s is None or now_s - began_s >= self._interval_s:
            self._began_s_by_service[service] = now_s
            self._previous_by_service[service] = self._present_by_service.get(
                service, frozenset()
            )
            self._present_by_service[service] = frozenset(
                engine.incarnation for engine in engines
            )
        previous = self._previous_by_service[service]
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


def encode_measurements(
    measurements: Mapping[str, PromptMeasurement],
) -> dict[str, list[float]]:
    """Returns measurements in the form that the store has them."""
    return {
        name: [
            item.tokens,
            round(item.elapsed_s, 3),
            item.prompts,
            item.without_memory,
            round(item.engine_tokens_per_s, 1),
        ]
        for name, item in measurements.items()
    }


def decode_measurements(value: Any) -> dict[str, PromptMeasurement]:
    """Returns the measurements that a VM wrote, without malformed ones."""
    if not isinstance(value, dict):
        return {}
    return {
        name: PromptMeasurement(
            int(item[0]),
            float(item[1]),
            int(item[2]),
            int(item[3]),
            float(item[4]),
        )
        for name, item in value.items()
        if isinstance(item, list)
        and len(item) == _MEASUREMENT_FIELDS
        and all(
            type(number) in (int, float) and 0 <= number <= _MAX_NUMBER
            for number in item
        )
    }


__all__ = [
    "MIN_PREFILL_ENGINES",
    "Demand",
    "DemandMeter",
    "PromptMeasurement",
    "SettledEngines",
    "choose_engines_to_decode",
    "combine_measurements",
    "count_needed_prefill_engines",
    "decode_measurements",
    "encode_measurements",
]
