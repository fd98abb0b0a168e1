"""Chooses endpoints by what they take well, as all VMs have learned it."""

from __future__ import annotations

import collections
import copy
import math
import threading
from collections.abc import Callable, Iterable
from typing import Any

from result import Err, Ok, Result

from burdockspan.gateway.choice import ranking
from burdockspan.gateway.choice.capacity_ranking import (
    LoadScale,
    rank_by_capacity,
)
from burdockspan.gateway.choice.ranking import Candidate
from burdockspan.gateway.endpoints.capacity_estimates import (
    MEDIAN,
    CapacitySamples,
    Estimate,
    Sample,
)
from burdockspan.gateway.fleet.exchange import Exchange, Received
from burdockspan.gateway.fleet.work_statements import (
    NO_WORK,
    OthersWork,
    OwnWork,
    Work,
    decode_statement,
    make_key,
)
from burdockspan.gateway.values import Endpoint, EngineProperties, Stage
from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry
from burdockspan.placement.sampling import RandomFloat
from burdockspan.values.clock import Clock

TOPIC = "capacity"
# A statement lapses after this many intervals of the exchange.
_LAPSE_INTERVALS = 2.5
# Statements that waited in a buffer while this VM was suspended.
_MAX_PROOF_AGE_S = 5.0
# Calls to an endpoint take some time whatever their size. So small prompts
# count as larger ones, in tokens.
_OVERHEAD_TOKENS = 400
# A belief is logged again when it has changed by this ratio, at the earliest
# after this time.
_LOGGED_RATIO = 1.35
_LOG_INTERVAL_S = 5.0

# Average share of the slots in use from which some requests of a plain service
# wait for one, and from which most do.
_QUEUEING_LOADS = (0.6, 1.8)
# A plain endpoint counts at least this share of its slots: beyond what it takes
# well, it is still better than a full one.
_MIN_PLAIN_CAPACITY = 0.4
# Prompts and plain answers take less time than a statement is old, so that
# loads say little of the present queue, and are weighed little.
_PLAIN = LoadScale(ranking.OTHER_ZONE_LOAD_PENALTY, 2.0)
_PREFILL = LoadScale(ranking.OTHER_ZONE_TOKENS_PENALTY, 80_000.0)
_DECODE = LoadScale(ranking.OTHER_ZONE_MEMORY_PENALTY, 0.3)

Load = Callable[[Endpoint, int, int], float]
"""Load of an endpoint, given the requests and tokens of this VM there."""
ListEndpoints = Callable[[], Iterable[Endpoint]]


class EndpointCapacity:
    """Estimates of the endpoints, and the work of all VMs there.

    Attributes:
      is_learned: whether the estimates decide; if not, nothing is recorded.
      learns_plain: whether they decide for plain services as well.
    """

    def __init__(
        self,
        is_learned: bool,
        list_endpoints: ListEndpoints,
        exchange_interval_s: Callable[[], float],
        clock: Clock,
        boot_clock: Clock,
        random_float: RandomFloat,
        log: WriteEvent,
        registry: Registry,
        *,
        learns_plain: bool = True,
    ) -> None:
        self.is_learned = is_learned
        self.learns_plain = is_learned and learns_plain
        self._list_endpoints = list_endpoints
        self._clock = clock
        self._boot_clock = boot_clock
        self._random_float = random_float
        self._log = log
        self._registry = registry
        self._lock = threading.Lock()
        self._samples = CapacitySamples()
        self._own = OwnWork(clock)
        self._others = OthersWork(
            clock, lambda: _LAPSE_INTERVALS * exchange_interval_s()
        )
        self._estimate_by_key: dict[int, Estimate] = {}
        self._differing_keys: frozenset[int] = frozenset()
        self._logged_by_key: dict[int, tuple[float, float]] = {}

    def with_random(self, random_float: RandomFloat) -> EndpointCapacity:
        """Returns a view of the same estimates that draws otherwise."""
        view = copy.copy(self)
        view._random_float = random_float
        return view

    def join(self, exchange: Exchange) -> None:
        """Adds the topic of this VM's work to the exchange."""
        if self.is_learned:
            exchange.add_topic(TOPIC, self.make_value, self.receive)

    def change_work(
        self, endpoint: Endpoint, requests: int, tokens: int
    ) -> None:
        """Records that work of this VM begins or ends at an endpoint."""
        if self.learns_plain or (self.is_learned and tokens):
            self._own.change(endpoint, requests, tokens)

    def work_ahead(self, endpoint: Endpoint, running: int, tokens: int) -> Work:
        """Returns the work of all VMs at an endpoint, given that of this VM."""
        if not self.is_learned:
            return Work(running, tokens)
        others = self._others.work_at(make_key(endpoint))
        return Work(others.requests + running, others.tokens + tokens)

    def record_prefill(
        self,
        endpoint: Endpoint,
        tokens: int,
        duration_s: float,
    ) -> None:
        """Records the duration of a finished prefill of some tokens."""
        if self.is_learned:
            size = tokens + _OVERHEAD_TOKENS
            self._record(endpoint, Sample(duration_s / size))

    def record_plain(
        self, endpoint: Endpoint, requests_ahead: float, duration_s: float
    ) -> None:
        """Records an answer of a plain endpoint.

        Args:
          endpoint: the endpoint.
          requests_ahead: requests of all VMs there when it was sent.
          duration_s: duration of the call.
        """
        if self.learns_plain:
            load = requests_ahead / max(1, endpoint.slots)
            self._record(endpoint, Sample(duration_s, load))

    def _record(self, endpoint: Endpoint, sample: Sample) -> None:
        if sample.pace_s <= 0:
            return
        key = make_key(endpoint)
        self._own.add_sample(key, sample)
        with self._lock:
            self._samples.add(key, sample, self._clock())

    def make_value(self) -> Any:
        """Returns the statement of this VM, and renews the estimates."""
        self.renew()
        return self._own.make_value()

    def receive(self, received: Received) -> Result[None, str]:
        """Applies the statement of another VM."""
        decoded = decode_statement(received.value)
        if isinstance(decoded, Err):
            return decoded
        sent_after_s = received.sent_after_s
        if (
            sent_after_s is not None
            and self._boot_clock() - sent_after_s > _MAX_PROOF_AGE_S
        ):
            self._registry.count("capacity", "old_statement")
            return Ok(None)
        new = self._others.receive(received.vm, decoded.ok_value)
        now_s = self._clock()
        with self._lock:
            for key, sample in new:
                self._samples.add(key, sample, now_s)
        return Ok(None)

    def renew(self) -> None:
        """Renews the estimates from the samples."""
        self._others.lapse()
        endpoint_by_key = {
            make_key(endpoint): endpoint for endpoint in self._list_endpoints()
        }
        keys_by_group: dict[tuple[str, Stage | None], list[int]] = (
            collections.defaultdict(list)
        )
        for key, endpoint in endpoint_by_key.items():
            keys_by_group[endpoint.service, endpoint.stage].append(key)
        now_s = self._clock()
        estimates: dict[int, Estimate] = {}
        with self._lock:
            self._samples.set_present(endpoint_by_key, now_s)
            samples = self._samples.copy()
        # Request threads need the lock to record their samples.
        for keys in keys_by_group.values():
            estimates.update(samples.estimate_group(keys, now_s))
        self._estimate_by_key = estimates
        # Usually empty, so that equal endpoints need no look at each.
        self._differing_keys = frozenset(
            key for key, item in estimates.items() if item.capacity != 1.0
        )
        for (service, stage), keys in keys_by_group.items():
            name = f"{service}_{stage.value if stage else 'any'}"
            speeds = [estimates[key].speed for key in keys]
            self._registry.set_gauge(f"slowest_{name}", min(speeds))
            self._registry.set_gauge(f"fastest_{name}", max(speeds))
        self._log_changes(endpoint_by_key)

    def _log_changes(self, endpoint_by_key: dict[int, Endpoint]) -> None:
        for key in self._logged_by_key.keys() - endpoint_by_key.keys():
            del self._logged_by_key[key]
        now_s = self._clock()
        for key, endpoint in endpoint_by_key.items():
            estimate = self._estimate_by_key[key]
            capacity = estimate.speed * estimate.knee
            logged, logged_s = self._logged_by_key.get(key, (1.0, -math.inf))
            ratio = max(capacity / logged, logged / capacity)
            if ratio >= _LOGGED_RATIO and now_s - logged_s >= _LOG_INTERVAL_S:
                self._logged_by_key[key] = (capacity, now_s)
                self._registry.count("capacity", "changed")
                self._log("endpoint capacity changed", **self.explain(endpoint))

    def explain(self, endpoint: Endpoint) -> dict[str, Any]:
        """Returns what is believed of an endpoint, as plain data."""
        estimate = self.estimate(endpoint)
        others = self._others.work_at(make_key(endpoint))
        return {
            "endpoint": endpoint.id,
            "service": endpoint.service,
            "stage": endpoint.stage.value if endpoint.stage else None,
            "speed": round(estimate.speed, 2),
            "knee": estimate.knee,
            "ramp": round(estimate.ramp, 2),
            "samples": estimate.samples,
            "confidence": round(estimate.confidence, 2),
            "age_s": (
                round(estimate.age_s, 2)
                if math.isfinite(estimate.age_s)
                else None
            ),
            "others_requests": round(others.requests, 2),
            "others_tokens": round(others.tokens),
        }

    def estimate(self, endpoint: Endpoint) -> Estimate:
        """Returns the estimate of an endpoint."""
        return self._estimate_by_key.get(make_key(endpoint), MEDIAN)

    def _capacity(self, endpoint: Endpoint) -> float:
        return self.estimate(endpoint).capacity

    def make_plain_load(self) -> Load:
        """Returns a function for the requests per slot that a request meets.

        Those of other VMs count from a load that each request draws anew. So
        the higher the load, the more requests leave an endpoint, but not all.
        """
        if not self.learns_plain:
            return lambda endpoint, running, _: running / endpoint.slots
        low, high = _QUEUEING_LOADS
        queueing_load = low + (high - low) * self._random_float()

        def load(endpoint: Endpoint, running: int, tokens: int) -> float:
            key = make_key(endpoint)
            estimate = self._estimate_by_key.get(key, MEDIAN)
            capacity = max(_MIN_PLAIN_CAPACITY, estimate.capacity)
            slots = capacity * endpoint.slots
            others = self._others.work_at(key).requests / slots
            queued = others + running / slots - queueing_load
            return (
                running / slots
                + min(others, max(0.0, queued))
                + (1.0 / estimate.speed - 1.0) / endpoint.slots
            )

        return load

    def make_prefill_load(self, size_tokens: int) -> Load:
        """Returns a function for the tokens that a prompt would meet.

        Args:
          size_tokens: length of the prompt, which a slow engine reads slowly.
        """
        if not self.is_learned:
            return lambda _, __, tokens: float(tokens)

        def load(endpoint: Endpoint, running: int, tokens: int) -> float:
            key = make_key(endpoint)
            ahead = self._others.work_at(key).tokens + tokens
            capacity = self._estimate_by_key.get(key, MEDIAN).capacity
            return (ahead + size_tokens) / capacity - size_tokens

        return load

    def make_decode_load(self, engine: EngineProperties) -> Load:
        """Returns a function for the share of an engine's capacity in use."""
        if not self.is_learned:
            return lambda _, running, tokens: max(
                tokens / engine.kv_tokens, running / engine.slots
            )

        def load(endpoint: Endpoint, running: int, tokens: int) -> float:
            work = self.work_ahead(endpoint, running, tokens)
            return max(
                work.tokens / engine.kv_tokens, work.requests / engine.slots
            )

        return load

    def rank_plain(
        self, candidates: tuple[Candidate, ...]
    ) -> tuple[Endpoint, ...]:
        """Orders endpoints of a plain service, the best first."""
        if not self.learns_plain or not (
            self._capacities_differ(candidates)
            or self._others_queue(candidates)
        ):
            return ranking.rank_plain(candidates, self._random_float)
        return self._rank(candidates, _PLAIN)

    def _others_queue(self, candidates: Iterable[Candidate]) -> bool:
        """Returns whether requests of other VMs may wait at an endpoint."""
        return self._others.has_work() and any(
            self._others.work_at(make_key(endpoint)).requests
            > _QUEUEING_LOADS[0] * endpoint.slots
            for endpoint in _list_endpoints(candidates)
        )

    def rank_prefill(
        self, candidates: tuple[Candidate, ...], zone: str
    ) -> tuple[Endpoint, ...]:
        """Orders prefill engines, the best first.

        Args:
          candidates: the engines.
          zone: zone of the decode engine, which fetches the KV cache.
        """
        if not self.is_learned:
            return ranking.rank_prefill(candidates, zone, self._random_float)
        if not self._capacities_differ(candidates):
            tokens = [
                self._others.work_at(make_key(endpoint)).tokens
                for endpoint in _list_endpoints(candidates)
            ]
            if not tokens or (
                max(tokens) - min(tokens) <= _PREFILL.other_zone_penalty
            ):
                # If all VMs went by small differences, they would choose the
                # same engine until the next statements.
                own = tuple(
                    Candidate(
                        item.endpoint,
                        item.load - others,
                        item.suspicion,
                        item.local,
                    )
                    for item, others in zip(candidates, tokens, strict=True)
                )
                return ranking.rank_prefill(own, zone, self._random_float)
        return self._rank(ranking.relate_to_zone(candidates, zone), _PREFILL)

    def rank_decode(
        self, candidates: tuple[Candidate, ...]
    ) -> tuple[Endpoint, ...]:
        """Orders decode engines, the best first."""
        if not self.is_learned or not any(
            self._others.work_at(make_key(endpoint)) is not NO_WORK
            for endpoint in _list_endpoints(candidates)
        ):
            return ranking.rank_decode(candidates, self._random_float)
        return rank_by_capacity(
            candidates, _DECODE, lambda _: 1.0, self._random_float
        )

    def _rank(
        self, candidates: Iterable[Candidate], scale: LoadScale
    ) -> tuple[Endpoint, ...]:
        return rank_by_capacity(
            candidates, scale, self._capacity, self._random_float
        )

    def _capacities_differ(self, candidates: Iterable[Candidate]) -> bool:
        differing = self._differing_keys
        return bool(differing) and any(
            make_key(endpoint) in differing
            for endpoint in _list_endpoints(candidates)
        )


def _list_endpoints(candidates: Iterable[Candidate]) -> list[Endpoint]:
    return [candidate.endpoint for candidate in candidates]


__all__ = ["EndpointCapacity"]
