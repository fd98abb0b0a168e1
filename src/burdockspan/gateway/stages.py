"""How many engines of a service read prompts, and how many decode."""

from __future__ import annotations

import collections
import dataclasses
import math
import threading
from collections.abc import Mapping, Sequence
from typing import Any

from burdockspan.gateway.values import Endpoint
from burdockspan.values.clock import Clock

# The rate is measured over this time, which covers bursts and lulls alike; a
# shorter time would take a burst for the usual load.
_WINDOW_S = 20.0
# A rate that was measured for a shorter time is too uncertain to act on.
_MIN_MEASURED_S = 3.0
# Part of a burst that prefill engines have to read in time. Bursts about double
# the usual load, but then decode memory runs out before prompts queue.
BURST_FACTOR = 1.4
# Beyond this utilization prompts queue for longer than a generation can wait.
_PEAK_UTILIZATION = 0.9
# With two prefill engines, one may crash.
MIN_PREFILL_ENGINES = 2
# A rate of fewer prompts is too uncertain to act on.
_MIN_PROMPTS = 8
# Speeds of prompts that did not wait for another; the rest is shorter or
# waited.
_SPEED_QUANTILE = 0.75
_MAX_SPEED_SAMPLES = 256
# Share of the prefill engines that may change at a time, so that an error of
# the measurement costs little.
_MAX_CHANGED_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class Demand:
    """What one VM, or all together, ask of the prefill engines of a service.

    Attributes:
      tokens_per_s: prompt tokens that arrive.
      engine_tokens_per_s: prompt tokens per second that one engine
        prefills; 0 if unknown.
    """

    tokens_per_s: float
    engine_tokens_per_s: float


class DemandMeter:
    """Prompts that arrived lately at this VM, by service."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_s = clock()
        self._lock = threading.Lock()
        self._prompts_by_service: dict[
            str, collections.deque[tuple[float, int]]
        ] = collections.defaultdict(collections.deque)
        self._speeds_by_service: dict[str, collections.deque[float]] = (
            collections.defaultdict(
                lambda: collections.deque(maxlen=_MAX_SPEED_SAMPLES)
            )
        )

    def record_prompt(self, service: str, tokens: int) -> None:
        """Counts a generation that has arrived."""
        with self._lock:
            self._prompts_by_service[service].append((self._clock(), tokens))

    def record_prefill(self, service: str, tokens: int, taken_s: float) -> None:
        """Notes how long an engine took to read a prompt."""
        if taken_s > 0:
            with self._lock:
                self._speeds_by_service[service].append(tokens / taken_s)

    def measure(self) -> dict[str, Demand] | None:
        """Returns the demand by service, None until it can be known."""
        now_s = self._clock()
        if now_s - self._started_s < _MIN_MEASURED_S:
            return None
        found = {}
        with self._lock:
            for service, prompts in self._prompts_by_service.items():
                while prompts and prompts[0][0] < now_s - _WINDOW_S:
                    prompts.popleft()
                rate = _rate(prompts, now_s)
                found[service] = Demand(
                    rate, self._engine_tokens_per_s(service)
                )
        return found

    def engine_tokens_per_s(self, service: str) -> float:
        """Returns the prompt tokens a second of one engine, 0 if unknown."""
        with self._lock:
            return self._engine_tokens_per_s(service)

    def _engine_tokens_per_s(self, service: str) -> float:
        speeds = sorted(self._speeds_by_service[service])
        if not speeds:
            return 0.0
        return speeds[int(_SPEED_QUANTILE * (len(speeds) - 1))]


def _rate(prompts: Sequence[tuple[float, int]], now_s: float) -> float:
    if len(prompts) < _MIN_PROMPTS:
        return 0.0
    elapsed_s = now_s - prompts[0][0]
    if elapsed_s < _MIN_MEASURED_S:
        return 0.0
    return sum(tokens for _, tokens in prompts) / elapsed_s


def combine_demands(demands: Sequence[Demand | None]) -> Demand:
    """Returns the demand of all live VMs together.

    A VM without a measurement, or that measured before the traffic began, is
    taken for an average one: a sum that is too small would give away engines
    that are needed.

    Args:
      demands: what each live VM measured, None if it knows nothing yet.
    """
    measured = [one for one in demands if one and one.tokens_per_s > 0]
    if 2 * len(measured) < len(demands):
        return Demand(0.0, 0.0)
    speeds = sorted(
        one.engine_tokens_per_s
        for one in measured
        if one.engine_tokens_per_s > 0
    )
    speed = speeds[len(speeds) // 2] if speeds else 0.0
    total = sum(one.tokens_per_s for one in measured)
    return Demand(total * len(demands) / max(1, len(measured)), speed)


def count_needed_prefill_engines(demand: Demand) -> int | None:
    """Returns how many prefill engines a burst needs, None if unknown."""
    if demand.tokens_per_s <= 0 or demand.engine_tokens_per_s <= 0:
        return None
    busy = BURST_FACTOR * demand.tokens_per_s / demand.engine_tokens_per_s
    return max(MIN_PREFILL_ENGINES, math.ceil(busy / _PEAK_UTILIZATION))


class SettledEngines:
    """Engines that were there at the last beat too, by service.

    While endpoints are replaced one after the other, there is one more for
    some seconds, which is none to give away.
    """

    def __init__(self) -> None:
        self._last_by_service: dict[str, frozenset[tuple[str, int]]] = {}

    def update(
        self, service: str, engines: Sequence[Endpoint]
    ) -> tuple[Endpoint, ...]:
        """Adds the engines of now; returns those that are settled."""
        last = self._last_by_service.get(service, frozenset())
        now = frozenset(one.incarnation for one in engines)
        self._last_by_service[service] = now
        return tuple(one for one in engines if one.incarnation in last)


def choose_engines_to_decode(
    prefill: Sequence[Endpoint], demand: Demand
) -> tuple[Endpoint, ...]:
    """Returns the prefill engines that should decode instead.

    Nothing is ordered the other way: an engine that stops decoding refuses
    generations for seconds, and decode engines can read prompts themselves.
    """
    needed = count_needed_prefill_engines(demand)
    if needed is None or len(prefill) <= needed:
        return ()
    return _choose_from_largest_zones(
        prefill, min(len(prefill) - needed, _max_changed(prefill))
    )


def _max_changed(engines: Sequence[Endpoint]) -> int:
    return max(1, int(_MAX_CHANGED_SHARE * len(engines)))


def _choose_from_largest_zones(
    engines: Sequence[Endpoint], count: int
) -> tuple[Endpoint, ...]:
    """Takes engines from the zones that have most of them."""
    left = sorted(engines, key=lambda one: one.id)
    taken = []
    for _ in range(count):
        by_zone = collections.Counter(one.zone for one in left)
        chosen = max(left, key=lambda one: (by_zone[one.zone], one.id))
        left.remove(chosen)
        taken.append(chosen)
    return tuple(taken)


def encode_demands(
    demands: Mapping[str, Demand] | None,
) -> dict[str, list[float]] | None:
    """Returns demands as the store holds them."""
    if demands is None:
        return None
    return {
        name: [round(one.tokens_per_s, 1), round(one.engine_tokens_per_s, 1)]
        for name, one in demands.items()
    }


def decode_demands(value: Any) -> dict[str, Demand] | None:
    """Returns the demands that another VM wrote, None if it knows none."""
    if not isinstance(value, dict):
        return None
    return {
        name: Demand(float(pair[0]), float(pair[1]))
        for name, pair in value.items()
        if isinstance(pair, list)
        and len(pair) == 2
        and all(isinstance(one, int | float) for one in pair)
    }


__all__ = [
    "BURST_FACTOR",
    "MIN_PREFILL_ENGINES",
    "SettledEngines",
    "Demand",
    "DemandMeter",
    "choose_engines_to_decode",
    "combine_demands",
    "decode_demands",
    "encode_demands",
    "count_needed_prefill_engines",
]
