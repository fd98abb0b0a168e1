"""Estimates how much each endpoint takes well, from finished work.

Endpoints of one service differ in speed, and some slow down long before all
their slots are in use. An estimate is relative to the median of the endpoints
that do the same work, so that it needs no knowledge of the work.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import functools
import itertools
import math
import statistics
from collections.abc import Iterable, Mapping, Sequence

# Samples that an estimate uses at most, and their greatest age.
_MAX_SAMPLES = 160
_MAX_AGE_S = 10.0
# The newest samples decide soon after an endpoint has changed.
_HALF_LIFE_S = 1.5
# Weight of the assumption that an endpoint is like the median, in samples.
_PRIOR_SAMPLES = 2.0
# Smaller differences of two medians are chance.
_DEAD_BAND = 0.18
# Answers slower than this quantile may have met a queue, or a disturbance.
_PACE_QUANTILE = 0.3
# Answers that began at a higher load may have met a queue.
_QUEUEING_LOAD = 0.75
_MIN_SPEED = 0.1
_MAX_SPEED = 5.0
# Bounds between the bands of load in which durations are compared, in shares
# of the slots.
_LOAD_BANDS = (0.25, 0.5, 0.75)
# An endpoint has reached its knee in a band of load whose answers take longer
# than those of the lower bands by this factor more than at the median endpoint.
# At all of them, answers that take longer for a while raise the load as well.
_KNEE_FACTOR = 1.4
_MIN_BAND_SAMPLES = 6
# A new endpoint counts with this share of its capacity, and after the ramp with
# all of it.
_RAMP_START = 0.5
_RAMP_S = 4.0


@dataclasses.dataclass(frozen=True)
class Sample:
    """Finished work at an endpoint.

    Attributes:
      pace_s: duration by unit of work, in seconds.
      load: share of the endpoint's slots that was in use when the work began.
    """

    pace_s: float
    load: float = 0.0


@dataclasses.dataclass(frozen=True)
class Estimate:
    """What is believed of an endpoint.

    Attributes:
      speed: relative to the median of its group.
      knee: share of its slots up to which its answers stay as fast.
      ramp: share of its capacity that a new endpoint counts with.
      samples: number of the samples.
      confidence: weight of the samples, relative to all evidence; 0 to 1.
      age_s: age of the newest sample; infinite without one.
    """

    speed: float = 1.0
    knee: float = 1.0
    ramp: float = 1.0
    samples: int = 0
    confidence: float = 0.0
    age_s: float = math.inf

    @functools.cached_property
    def capacity(self) -> float:
        """Work that it takes well, relative to a median endpoint."""
        return self.speed * self.knee * self.ramp


MEDIAN = Estimate()


@dataclasses.dataclass(frozen=True)
class _Reading:
    """An endpoint's samples, summed up.

    Attributes:
      pace_s: weighted low quantile of the paces.
      slowdowns: by band of load, how much longer answers take than in the
        lower bands; None with too few samples.
      weight: weight of the samples without a queue, in samples that are new.
    """

    pace_s: float
    slowdowns: tuple[float | None, ...]
    samples: int
    weight: float
    age_s: float


class CapacitySamples:
    """The newest samples by endpoint. Not safe for use by several threads."""

    def __init__(self) -> None:
        self._samples_by_key: dict[
            int, collections.deque[tuple[float, Sample]]
        ] = {}
        self._first_seen_s_by_key: dict[int, float] = {}

    def add(self, key: int, sample: Sample, now_s: float) -> None:
        """Adds a sample of the endpoint with a key, unless it took no time."""
        if sample.pace_s <= 0:
            return
        samples = self._samples_by_key.get(key)
        if samples is None:
            samples = collections.deque(maxlen=_MAX_SAMPLES)
            self._samples_by_key[key] = samples
        samples.append((now_s, sample))

    def set_present(self, keys: Iterable[int], now_s: float) -> None:
        """Sets the endpoints there are, and forgets the others.

        Those of the first call were there before, so that they have no ramp.
        """
        present = set(keys)
        first_s = now_s if self._first_seen_s_by_key else -math.inf
        self._first_seen_s_by_key = {
            key: self._first_seen_s_by_key.get(key, first_s) for key in present
        }
        for key in self._samples_by_key.keys() - present:
            del self._samples_by_key[key]

    def copy(self) -> CapacitySamples:
        """Returns a copy, for estimates while samples are added to this one."""
        copied = CapacitySamples()
        copied._samples_by_key = {
            key: samples.copy() for key, samples in self._samples_by_key.items()
        }
        copied._first_seen_s_by_key = self._first_seen_s_by_key
        return copied

    def estimate_group(
        self, keys: Sequence[int], now_s: float
    ) -> Mapping[int, Estimate]:
        """Returns the estimates of the endpoints that do the same work."""
        reading_by_key = {}
        for key in keys:
            reading = _read_samples(self._samples_by_key.get(key, ()), now_s)
            if reading is not None:
                reading_by_key[key] = reading
        if not reading_by_key:
            return {key: Estimate(ramp=self._ramp(key, now_s)) for key in keys}
        readings = reading_by_key.values()
        median_s = statistics.median(reading.pace_s for reading in readings)
        usual = _find_usual_slowdowns(readings)
        return {
            key: _make_estimate(
                reading_by_key.get(key),
                median_s,
                usual,
                self._ramp(key, now_s),
            )
            for key in keys
        }

    def _ramp(self, key: int, now_s: float) -> float:
        age_s = now_s - self._first_seen_s_by_key.get(key, -math.inf)
        share = min(1.0, max(0.0, age_s / _RAMP_S))
        return _RAMP_START + (1.0 - _RAMP_START) * share


def _make_estimate(
    reading: _Reading | None,
    median_s: float,
    usual_slowdowns: Sequence[float],
    ramp: float,
) -> Estimate:
    if reading is None or median_s <= 0 or reading.pace_s <= 0:
        return Estimate(ramp=ramp)
    confidence = reading.weight / (reading.weight + _PRIOR_SAMPLES)
    speed = math.pow(median_s / reading.pace_s, confidence)
    if abs(math.log(speed)) < _DEAD_BAND:
        speed = 1.0
    return Estimate(
        min(_MAX_SPEED, max(_MIN_SPEED, speed)),
        _find_knee(reading, usual_slowdowns),
        ramp,
        reading.samples,
        confidence,
        reading.age_s,
    )


def _read_samples(
    samples: Iterable[tuple[float, Sample]], now_s: float
) -> _Reading | None:
    recent = [
        (now_s - at_s, sample)
        for at_s, sample in samples
        if now_s - at_s < _MAX_AGE_S
    ]
    if not recent:
        return None
    bands: list[list[tuple[float, float]]] = [
        [] for _ in range(len(_LOAD_BANDS) + 1)
    ]
    paces: list[tuple[float, float]] = []
    for age_s, sample in recent:
        sample_weight = math.pow(0.5, age_s / _HALF_LIFE_S)
        if sample.load < _QUEUEING_LOAD:
            paces.append((sample.pace_s, sample_weight))
        index = bisect.bisect_right(_LOAD_BANDS, sample.load)
        bands[index].append((sample.pace_s, sample_weight))
    if not paces:
        return None
    low = bands[0]
    slowdowns: list[float | None] = []
    for band in bands[1:]:
        slowdown = None
        if min(len(low), len(band)) >= _MIN_BAND_SAMPLES:
            slowdown = _median(band) / _median(low)
        slowdowns.append(slowdown)
        low = low + band
    return _Reading(
        _weighted_quantile(paces, _PACE_QUANTILE),
        tuple(slowdowns),
        len(recent),
        sum(weight for _, weight in paces),
        min(age_s for age_s, _ in recent),
    )


def _find_usual_slowdowns(readings: Iterable[_Reading]) -> list[float]:
    return [
        statistics.median_low(
            [item for item in band if item is not None] or [1.0]
        )
        for band in zip(
            *(reading.slowdowns for reading in readings), strict=True
        )
    ]


def _find_knee(reading: _Reading, usual_slowdowns: Sequence[float]) -> float:
    for bound, slowdown, usual in zip(
        _LOAD_BANDS, reading.slowdowns, usual_slowdowns, strict=True
    ):
        if slowdown is not None and slowdown > _KNEE_FACTOR * usual:
            return bound
    return 1.0


def _median(items: Sequence[tuple[float, float]]) -> float:
    return statistics.median(value for value, _ in items)


def _weighted_quantile(
    items: Sequence[tuple[float, float]], quantile: float
) -> float:
    ordered = sorted(items)
    totals = list(itertools.accumulate(weight for _, weight in ordered))
    return ordered[bisect.bisect_left(totals, quantile * totals[-1])][0]


__all__ = ["MEDIAN", "CapacitySamples", "Estimate", "Sample"]
