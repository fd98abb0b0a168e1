"""What the VMs tell each other of their work at endpoints.

A status has the VM's work in flight by endpoint, and its newest samples of
finished work. Datagrams may be lost or repeated: each sample has a number and
is in two statuses, and a receiver takes each number once.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import random
import threading
import zlib
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from burdockspan.gateway.endpoints.capacity_estimates import Sample
from burdockspan.gateway.values import Endpoint, Stage
from burdockspan.values.clock import Clock

# With names of 32 bits, these bounds keep a status below about 800 bytes.
_MAX_SAMPLES = 14
_MAX_WORK_ITEMS = 16
# Samples that wait for the next status; older ones are left out.
_MAX_WAITING_SAMPLES = 28
_MAX_RUN = 2**31
_MAX_CACHED_KEYS = 4096
_MAX_ENDED_RUNS = 4
# A VM without a statement for this time has left.
_KEPT_S = 30.0
_MAX_NUMBER = 2**53
_SAMPLE_FIELDS = 3
_WORK_FIELDS = 3
# The pace of a sample is stated in microseconds, shares in hundredths.
_US_PER_S = 1e6
# Receivers refuse a pace of 0.
_MIN_PACE_US = 0.1
_HUNDREDTHS = 100.0
# Half of the smallest work that is stated.
_MIN_REQUESTS = 0.5 / _HUNDREDTHS


@dataclasses.dataclass(frozen=True)
class Work:
    """Work in flight at an endpoint; averages are no whole numbers."""

    requests: float = 0.0
    tokens: float = 0.0


NO_WORK = Work()


@dataclasses.dataclass(frozen=True)
class Statement:
    """What a VM states.

    Attributes:
      run: number of its process's run.
      number: number of the newest sample; 0 before the first one.
      samples: the samples up to that number, each with its endpoint's key.
      work_by_key: its work in flight by endpoint.
      status: number of the status; 0 from a VM of an earlier release.
    """

    run: int
    number: int
    samples: tuple[tuple[int, Sample], ...]
    work_by_key: dict[int, Work]
    status: int = 0


def make_key(endpoint: Endpoint) -> int:
    """Returns the short name of an endpoint's incarnation in statuses."""
    return _make_key(endpoint.id, endpoint.started_ms)


@functools.lru_cache(_MAX_CACHED_KEYS)
def _make_key(endpoint_id: str, started_ms: int) -> int:
    return zlib.crc32(f"{endpoint_id} {started_ms}".encode())


class OwnWork:
    """This VM's work in flight, and its samples that are not stated yet."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._run = random.SystemRandom().randrange(_MAX_RUN)
        self._number = 0
        self._status = 0
        self._samples: collections.deque[tuple[int, Sample]] = (
            collections.deque(maxlen=_MAX_WAITING_SAMPLES)
        )
        self._unstated = 0
        self._present_by_key: dict[int, Work] = {}
        # Work times seconds since the last status, and when it was last added.
        self._sum_by_key: dict[int, Work] = {}
        self._added_s_by_key: dict[int, float] = {}
        self._lasting: set[int] = set()
        self._stated_s = clock()
        self._was_empty = True

    def change(self, endpoint: Endpoint, requests: int, tokens: int) -> None:
        """Adds to the work in flight at an endpoint."""
        key = make_key(endpoint)
        with self._lock:
            self._add_up(key)
            work = self._present_by_key.get(key, NO_WORK)
            changed = Work(work.requests + requests, work.tokens + tokens)
            self._present_by_key[key] = changed
            if tokens and endpoint.stage is not Stage.PREFILL:
                self._lasting.add(key)

    def _add_up(self, key: int) -> None:
        now_s = self._clock()
        work = self._present_by_key.get(key, NO_WORK)
        since_s = max(self._added_s_by_key.get(key, now_s), self._stated_s)
        total = self._sum_by_key.get(key, NO_WORK)
        elapsed_s = max(0.0, now_s - since_s)
        self._sum_by_key[key] = Work(
            total.requests + work.requests * elapsed_s,
            total.tokens + work.tokens * elapsed_s,
        )
        self._added_s_by_key[key] = now_s

    def add_sample(self, key: int, sample: Sample) -> None:
        """Adds a sample to the next two statuses."""
        with self._lock:
            self._number += 1
            self._samples.append((key, sample))
            self._unstated += 1

    def make_value(self) -> Any:
        """Returns this VM's statement as JSON; None if it has not changed."""
        with self._lock:
            work = self._sum_up_work()
            stated = list(self._samples)[-_MAX_SAMPLES:]
            number = self._number
            # What was in this status and the previous one is left out next.
            while len(self._samples) > self._unstated:
                self._samples.popleft()
            self._unstated = 0
            is_empty = not work and not stated
            if is_empty and self._was_empty:
                return None
            self._was_empty = is_empty
            self._status += 1
            status = self._status
        return {
            "r": self._run,
            "i": status,
            "n": number,
            "s": [
                [
                    key,
                    max(_MIN_PACE_US, round(sample.pace_s * _US_PER_S, 1)),
                    round(sample.load * _HUNDREDTHS),
                ]
                for key, sample in stated
            ],
            "w": work,
        }

    def _sum_up_work(self) -> list[list[float]]:
        """Returns the greatest work since the last status."""
        now_s = self._clock()
        elapsed_s = max(1e-3, now_s - self._stated_s)
        items: list[list[float]] = []
        for key in list(self._sum_by_key):
            self._add_up(key)
            total, present = self._sum_by_key[key], self._present_by_key[key]
            if key in self._lasting:
                stated = present
            else:
                stated = Work(
                    total.requests / elapsed_s, total.tokens / elapsed_s
                )
            hundredths = round(stated.requests * _HUNDREDTHS)
            if hundredths > 0:
                items.append([key, hundredths, round(stated.tokens)])
            self._sum_by_key[key] = NO_WORK
            if present.requests <= 0:
                del self._sum_by_key[key], self._present_by_key[key]
                self._added_s_by_key.pop(key, None)
                self._lasting.discard(key)
        self._stated_s = now_s
        items.sort(key=lambda item: item[1], reverse=True)
        return items[:_MAX_WORK_ITEMS]


class OthersWork:
    """Work in flight of the other VMs, as they last stated it."""

    def __init__(self, clock: Clock, lapse_s: Callable[[], float]) -> None:
        self._clock = clock
        self._lapse_s = lapse_s
        self._lock = threading.Lock()
        self._statement_by_vm: dict[str, tuple[float, Statement]] = {}
        self._total_by_key: dict[int, Work] = {}
        # Runs of a VM's process that a later one has replaced.
        self._ended_runs_by_vm: dict[str, collections.deque[int]] = {}

    def receive(
        self, vm: str, statement: Statement
    ) -> tuple[tuple[int, Sample], ...]:
        """Applies a statement, and returns the samples that are new."""
        with self._lock:
            previous = self._statement_by_vm.get(vm)
            known = 0
            if statement.run in self._ended_runs_by_vm.get(vm, ()):
                return ()
            if previous is not None and previous[1].run == statement.run:
                known = previous[1].number
                if _is_overtaken(statement, previous[1]):
                    return ()
            elif previous is not None:
                self._ended_runs_by_vm.setdefault(
                    vm, collections.deque(maxlen=_MAX_ENDED_RUNS)
                ).append(previous[1].run)
            self._statement_by_vm[vm] = (self._clock(), statement)
            # Readers take no lock: they see one dictionary or the other.
            changed = dict(self._total_by_key)
            if previous is not None:
                _add(changed, previous[1], -1)
            _add(changed, statement, 1)
            self._total_by_key = changed
        new = statement.number - known
        count = min(new, len(statement.samples))
        return statement.samples[-count:] if count > 0 else ()

    def lapse(self) -> None:
        """Removes the work of statements that are too old."""
        now_s = self._clock()
        oldest_s = now_s - self._lapse_s()
        with self._lock:
            for vm, (received_s, statement) in list(
                self._statement_by_vm.items()
            ):
                if received_s < now_s - _KEPT_S:
                    del self._statement_by_vm[vm]
                    self._ended_runs_by_vm.pop(vm, None)
                elif received_s < oldest_s and statement.work_by_key:
                    lapsed = dataclasses.replace(statement, work_by_key={})
                    self._statement_by_vm[vm] = (received_s, lapsed)
            total_by_key: dict[int, Work] = {}
            for _, statement in self._statement_by_vm.values():
                _add(total_by_key, statement, 1)
            self._total_by_key = total_by_key

    def has_work(self) -> bool:
        """Returns whether another VM has work at any endpoint."""
        return bool(self._total_by_key)

    def work_at(self, key: int) -> Work:
        """Returns the work of the other VMs at an endpoint."""
        return self._total_by_key.get(key, NO_WORK)


def _is_overtaken(statement: Statement, latest: Statement) -> bool:
    """Returns whether a statement of the same run is not a new one."""
    if statement.number != latest.number:
        return statement.number < latest.number
    # A VM of an earlier release does not number its statuses.
    return 0 < statement.status <= latest.status


def _add(
    total_by_key: dict[int, Work], statement: Statement, sign: int
) -> None:
    for key, work in statement.work_by_key.items():
        total = total_by_key.get(key, NO_WORK)
        changed = Work(
            total.requests + sign * work.requests,
            total.tokens + sign * work.tokens,
        )
        # The sum of averages that were added and subtracted is not exactly 0.
        if changed.requests < _MIN_REQUESTS:
            total_by_key.pop(key, None)
        else:
            total_by_key[key] = changed


def decode_statement(value: Any) -> Result[Statement, str]:
    """Returns the statement in a JSON value, or an error text."""
    if not isinstance(value, dict):
        return Err("not an object")
    run, number = _decode_count(value, "r"), _decode_count(value, "n")
    if run is None or number is None:
        return Err("run or number is no count")
    status = _decode_count({"i": 0, **value}, "i")
    if status is None:
        return Err("status is no count")
    samples = _decode_items(value.get("s"), _SAMPLE_FIELDS)
    work = _decode_items(value.get("w"), _WORK_FIELDS)
    if samples is None or work is None:
        return Err("samples or work are no lists of numbers")
    if any(pace <= 0 for _, pace, _ in samples):
        return Err("a sample without a duration")
    return Ok(
        Statement(
            run,
            number,
            tuple(
                (int(key), Sample(pace / _US_PER_S, load / _HUNDREDTHS))
                for key, pace, load in samples
            ),
            {
                int(key): Work(requests / _HUNDREDTHS, tokens)
                for key, requests, tokens in work
            },
            status,
        )
    )


def _decode_count(value: dict[str, Any], name: str) -> int | None:
    number = value.get(name)
    if type(number) is int and 0 <= number < _MAX_NUMBER:
        return number
    return None


def _decode_items(value: Any, fields: int) -> list[list[float]] | None:
    if not isinstance(value, list) or len(value) > _MAX_WAITING_SAMPLES:
        return None
    for item in value:
        if not isinstance(item, list) or len(item) != fields:
            return None
        if not all(
            type(number) in (int, float) and 0 <= number < _MAX_NUMBER
            for number in item
        ):
            return None
    return value


__all__ = [
    "NO_WORK",
    "OthersWork",
    "OwnWork",
    "Statement",
    "Work",
    "decode_statement",
    "make_key",
]
