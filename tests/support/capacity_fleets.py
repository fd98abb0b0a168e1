"""Many VMs that choose among prefill engines, on a test clock."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Sequence

from burdockspan.gateway.choice.endpoint_capacity import EndpointCapacity
from burdockspan.gateway.choice.ranking import Candidate
from burdockspan.gateway.fleet.exchange import Received
from burdockspan.gateway.values import Endpoint, Stage
from burdockspan.observe.registry import make_registry

_TOKENS_PER_S = 55_556.0
_OVERHEAD_S = 0.006
_INTERVAL_S = 1.0
# Noise: some answers take longer, all those of an engine for some time.
NOISE_SHARE = 0.15
_NOISE_FACTOR = 2.5
_NOISE_S = 0.6


def make_engine(name: str, zone: str = "zone-a") -> Endpoint:
    """Returns a prefill engine."""
    return Endpoint(
        name, 1, "llm", "10.0.0.1:80", zone, False, 64, Stage.PREFILL
    )


@dataclasses.dataclass
class Engine:
    """An engine that reads one prompt after the other.

    Attributes:
      endpoint: its entry.
      speed: relative to the usual one, at a time in seconds.
      free_s: when it has read all prompts that it has.
    """

    endpoint: Endpoint
    speed: Callable[[float], float]
    free_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Prompt:
    """A prompt that was read; times in seconds."""

    endpoint: Endpoint
    tokens: int
    sent_s: float
    taken_s: float
    queued_s: float


class Fleet:
    """VMs that send prompts to engines, and their statuses to each other.

    Attributes:
      now_s: time of the test clock.
      prompts: the prompts that were read.
      loses_status: returns whether a status gets lost.
    """

    def __init__(
        self,
        speeds: Sequence[float | Callable[[float], float]],
        vms: int = 63,
        learned: bool = True,
        zones: Sequence[str] = ("zone-a",),
        noise_share: float = NOISE_SHARE,
        seed: int = 1,
    ) -> None:
        self.now_s = 0.0
        self.random = random.Random(seed)
        self.noise_share = noise_share
        self.prompts: list[Prompt] = []
        self.loses_status: Callable[[], bool] = lambda: False
        self.engines = [
            Engine(
                make_engine(f"i-{number}", zones[number % len(zones)]),
                speed if callable(speed) else (lambda _, value=speed: value),
            )
            for number, speed in enumerate(speeds)
        ]
        self._zones = zones
        self._noise_by_slot: dict[tuple[str, int], float] = {}
        self._counter = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self.running: list[dict[Endpoint, list[int]]] = [{} for _ in range(vms)]
        self.vms = [
            EndpointCapacity(
                learned,
                lambda: [engine.endpoint for engine in self.engines],
                lambda: _INTERVAL_S,
                lambda: self.now_s,
                lambda: self.now_s,
                self.random.random,
                lambda *_, **__: None,
                make_registry(),
            )
            for _ in range(vms)
        ]
        for index in range(vms):
            self._at(index / vms * _INTERVAL_S, lambda i=index: self._state(i))

    def _at(self, time_s: float, run: Callable[[], None]) -> None:
        heapq.heappush(self._due, (time_s, next(self._counter), run))

    def _state(self, index: int) -> None:
        value = (
            self.vms[index].make_value() if self.vms[index].is_learned else 0
        )
        for other, vm in enumerate(self.vms):
            if value and other != index and not self.loses_status():
                vm.receive(Received(f"vm-{index}", value, None))
        self._at(self.now_s + _INTERVAL_S, lambda: self._state(index))

    def run(self, until_s: float, prompts_per_s: float) -> None:
        """Runs until a time, with prompts at random times."""
        next_s = self.now_s + self.random.expovariate(prompts_per_s)
        while self._due:
            if next_s < min(until_s, self._due[0][0]):
                self.now_s = next_s
                self._send(self.random.randrange(len(self.vms)))
                next_s += self.random.expovariate(prompts_per_s)
                continue
            if self._due[0][0] >= until_s:
                break
            self.now_s, _, run = heapq.heappop(self._due)
            run()
        self.now_s = until_s

    def choose(self, index: int, tokens: int) -> Endpoint:
        """Returns the engine that a VM chooses for a prompt."""
        vm, running = self.vms[index], self.running[index]
        load = vm.make_prefill_load(tokens)
        candidates = tuple(
            Candidate(
                engine.endpoint,
                load(engine.endpoint, *running.get(engine.endpoint, (0, 0))),
                0.0,
                True,
            )
            for engine in self.engines
        )
        zone = self._zones[index % len(self._zones)]
        return vm.rank_prefill(candidates, zone)[0]

    def _send(self, index: int) -> None:
        tokens = int(min(11_000, self.random.lognormvariate(8.4, 0.5)))
        endpoint = self.choose(index, tokens)
        engine = next(e for e in self.engines if e.endpoint == endpoint)
        vm, running = self.vms[index], self.running[index]
        running.setdefault(endpoint, [0, 0])
        self._change(index, endpoint, 1, tokens)
        begin_s = max(self.now_s, engine.free_s)
        slot = (endpoint.id, int(begin_s / _NOISE_S))
        if slot not in self._noise_by_slot:
            is_slow = self.random.random() < self.noise_share
            self._noise_by_slot[slot] = _NOISE_FACTOR if is_slow else 1.0
        rate = _TOKENS_PER_S * engine.speed(begin_s)
        engine.free_s = begin_s + tokens / rate * self._noise_by_slot[slot]
        sent_s = self.now_s
        taken_s = engine.free_s + _OVERHEAD_S - sent_s
        queued_s = begin_s - sent_s

        def finish() -> None:
            self._change(index, endpoint, -1, -tokens)
            vm.record_prefill(endpoint, tokens, taken_s)
            self.prompts.append(
                Prompt(endpoint, tokens, sent_s, taken_s, queued_s)
            )

        self._at(sent_s + taken_s, finish)

    def _change(
        self, index: int, endpoint: Endpoint, requests: int, tokens: int
    ) -> None:
        work = self.running[index][endpoint]
        work[0] += requests
        work[1] += tokens
        self.vms[index].change_work(endpoint, requests, tokens)

    def since(self, time_s: float) -> list[Prompt]:
        """Returns the prompts that were sent after a time."""
        return [prompt for prompt in self.prompts if prompt.sent_s >= time_s]

    def shares(self, since_s: float) -> list[float]:
        """Returns each engine's share of the tokens sent after a time."""
        prompts = self.since(since_s)
        total = sum(prompt.tokens for prompt in prompts)
        return [
            sum(p.tokens for p in prompts if p.endpoint == engine.endpoint)
            / total
            for engine in self.engines
        ]

    def s_per_1000_tokens(self, since_s: float, quantile: float) -> float:
        """Returns a quantile of the time for 1,000 tokens, in seconds."""
        values = sorted(
            1000 * p.taken_s / p.tokens for p in self.since(since_s)
        )
        return values[int(quantile * (len(values) - 1))]


__all__ = ["NOISE_SHARE", "Engine", "Fleet", "Prompt", "make_engine"]
