"""Schedules of faults; a seed always gives the same one."""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Iterator

from soak.documents import Configuration
from soak.endpoints import Endless, Place
from soak.links import Way
from soak.proxy import Direction

# Faults begin after the first requests, and end before the last ones.
_FIRST_S = 1.0
_LAST_S = 3.0
_EPISODE_S = (6.0, 12.0)
_FAULTS_PER_S = (0.5, 1.2)
_SILENCE_S = (0.8, 2.0)
_DURATION_S = (0.3, 2.5)
_SERIES_INTERVAL_S = (0.02, 1.0)
_TARGETS = 60
_ALL = 100


class Action(enum.Enum):
    """What a fault does; the first word of most names is its subject."""

    CONFIGURE = "configure"
    VM_HUP = "vm_hup"
    VM_TERM = "vm_term"
    VM_KILL = "vm_kill"
    VM_FREEZE = "vm_freeze"
    LINK_SLOW = "link_slow"
    LINK_RESET = "link_reset"
    LINK_CUT = "link_cut"
    STORE_DOWN = "store_down"
    STORE_SILENT = "store_silent"
    ENDPOINT_SILENT = "endpoint_silent"
    ENDPOINT_ENDLESS = "endpoint_endless"
    ENDPOINT_RESET = "endpoint_reset"
    ENDPOINT_REPLACE = "endpoint_replace"
    ENDPOINT_DRAIN = "endpoint_drain"
    ENDPOINT_BREAK_OFF = "endpoint_break_off"
    PART_CRASHES = "part_crashes"
    VM_CUT_OFF = "vm_cut_off"
    KEY_REPLACE = "key_replace"
    ENDPOINT_SLOW = "endpoint_slow"


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of a schedule; its action uses some of the fields.

    Attributes:
      at_s: when it begins, in seconds after the start.
      action: what it does.
      target: number that selects a VM, or the first endpoint.
      duration_s: how long it lasts.
      service: service of the endpoints.
      count: number of endpoints.
      places: parts of responses in which endpoints are silent.
      endless: what endpoints send without end.
      is_fast: whether they send it fast.
      is_store_link: whether the link of a VM to the store is meant; otherwise
        that of its callers.
      directions: directions in which a link is cut.
      configuration: configuration to write; its version is a step.
      is_framed: whether streams that are broken off have a last chunk.
      way: how VMs are cut off from the endpoints.
    """

    at_s: float
    action: Action
    target: int
    duration_s: float
    service: str
    count: int
    places: tuple[Place, ...]
    endless: Endless
    is_fast: bool
    is_store_link: bool
    directions: tuple[Direction, ...]
    configuration: Configuration
    is_framed: bool = False
    way: Way = Way.RESET

    def __str__(self) -> str:
        words = [f"{self.at_s:.2f} s", self.action.value]
        for name in _FIELDS_BY_ACTION.get(self.action, _USUAL_FIELDS):
            value = getattr(self, name)
            if isinstance(value, tuple):
                value = "+".join(item.value for item in value)
            elif isinstance(value, Way):
                value = value.value
            words.append(f"{name}={value}")
        return " ".join(words)


_USUAL_FIELDS = ("target", "duration_s")
_ENDPOINT_FIELDS = (*_USUAL_FIELDS, "service", "count")
_LINK_FIELDS = (*_USUAL_FIELDS, "is_store_link")
_FIELDS_BY_ACTION: dict[Action, tuple[str, ...]] = {
    Action.CONFIGURE: ("configuration",),
    Action.LINK_SLOW: _LINK_FIELDS,
    Action.LINK_RESET: _LINK_FIELDS,
    Action.LINK_CUT: (*_LINK_FIELDS, "directions"),
    Action.ENDPOINT_SILENT: (*_ENDPOINT_FIELDS, "places"),
    Action.ENDPOINT_ENDLESS: (*_ENDPOINT_FIELDS, "endless", "is_fast"),
    Action.ENDPOINT_RESET: _ENDPOINT_FIELDS,
    Action.ENDPOINT_REPLACE: _ENDPOINT_FIELDS,
    Action.ENDPOINT_DRAIN: _ENDPOINT_FIELDS,
    Action.ENDPOINT_BREAK_OFF: (*_ENDPOINT_FIELDS, "is_framed"),
    Action.VM_CUT_OFF: (*_USUAL_FIELDS, "count", "way"),
    Action.KEY_REPLACE: (*_LINK_FIELDS, "count"),
    Action.ENDPOINT_SLOW: ("target", "service"),
}
_IN_SERIES = (Action.CONFIGURE, Action.VM_HUP, Action.VM_TERM, Action.VM_FREEZE)
_CALM = (
    *(Action.CONFIGURE, Action.VM_HUP),
    *(Action.ENDPOINT_SILENT, Action.ENDPOINT_SILENT),
)
_FURTHER = (
    *(Action.ENDPOINT_BREAK_OFF, Action.PART_CRASHES),
    *(Action.VM_CUT_OFF, Action.KEY_REPLACE, Action.ENDPOINT_SLOW),
)
_MIXED = tuple(action for action in Action if action not in _FURTHER)
# A part crashes engines for so long that requests with it come after the fifth
# crash and the time in which all VMs must know it.
_PART_S = 20.0
_BREAK_OFFS_PER_S = 0.1
# Longer than a VM may take to notice that it is cut off.
_CUT_OFF_S = (6.0, 9.0)
_CONNECTED_S = (1.0, 6.0)
# A VM that misses the removal is out of touch for longer than the limit.
_KEY_CUT_S = (7.0, 9.0)
_KEY_INTERVAL_S = (2.0, 6.0)


def make_schedule(
    seed: int,
    seconds: float,
    with_streams: bool = False,
    with_cuts: bool = False,
    with_accounts: bool = False,
    with_speeds: bool = False,
) -> tuple[Fault, ...]:
    """Returns the faults of a seed, in the order of their begin.

    Episodes with all kinds of faults follow episodes in which endpoints only
    fall silent, beside changes of the configuration and settings.

    Args:
      seed: seed of the schedule.
      seconds: duration of the soak.
      with_streams: whether streams are also broken off, and prompts crash
        engines.
      with_cuts: whether VMs are also cut off from all endpoints.
      with_accounts: whether keys of client accounts are also replaced.
      with_speeds: whether an endpoint also halves its speed.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    start_s = _FIRST_S
    is_mixed = rng.random() < 0.5
    while start_s < seconds - _LAST_S:
        end_s = min(start_s + rng.uniform(*_EPISODE_S), seconds - _LAST_S)
        count = max(2, round((end_s - start_s) * rng.uniform(*_FAULTS_PER_S)))
        for _ in range(count):
            action = rng.choice(_MIXED if is_mixed else _CALM)
            at_s = rng.uniform(start_s, end_s)
            length = rng.choice((1, 1, 2, 3)) if action in _IN_SERIES else 1
            for _ in range(length):
                faults.append(_draw(rng, action, min(at_s, end_s)))
                at_s += rng.uniform(*_SERIES_INTERVAL_S)
        start_s, is_mixed = end_s, not is_mixed
    if with_streams:
        faults += _draw_further(seed, seconds)
    if with_cuts:
        faults += _draw_cuts(seed, seconds)
    if with_accounts:
        faults += _draw_key_changes(seed, seconds)
    if with_speeds:
        rng = random.Random(f"{seed}/speeds")
        at_s = rng.uniform(seconds / 3, seconds / 2)
        fault = _draw(rng, Action.ENDPOINT_SLOW, at_s)
        faults.append(dataclasses.replace(fault, count=1))
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _draw_further(seed: int, seconds: float) -> Iterator[Fault]:
    """Yields faults of streams and prompts.

    They have a generator of their own, so that seeds keep their other faults.
    """
    rng = random.Random(f"{seed}/further")
    last_s = seconds - _LAST_S
    for _ in range(max(1, round(seconds * _BREAK_OFFS_PER_S))):
        at_s = rng.uniform(_FIRST_S, last_s)
        fault = _draw(rng, Action.ENDPOINT_BREAK_OFF, at_s)
        yield dataclasses.replace(
            fault, service="llm", is_framed=rng.random() < 0.5
        )
    duration_s = min(_PART_S, last_s - _FIRST_S)
    at_s = rng.uniform(_FIRST_S, last_s - duration_s)
    fault = _draw(rng, Action.PART_CRASHES, at_s)
    yield dataclasses.replace(fault, service="llm", duration_s=duration_s)


def _draw_cuts(seed: int, seconds: float) -> Iterator[Fault]:
    """Yields partitions of VMs from all endpoints, one after the other."""
    rng = random.Random(f"{seed}/cuts")
    at_s = rng.uniform(_FIRST_S, _CONNECTED_S[1])
    while True:
        duration_s = round(rng.uniform(*_CUT_OFF_S), 2)
        if at_s + duration_s > seconds - _LAST_S:
            return
        fault = _draw(rng, Action.VM_CUT_OFF, at_s)
        yield dataclasses.replace(
            fault,
            duration_s=duration_s,
            count=rng.choice((1, 1, _ALL)),
            way=rng.choice(tuple(Way)),
        )
        at_s += duration_s + rng.uniform(*_CONNECTED_S)


def _draw_key_changes(seed: int, seconds: float) -> Iterator[Fault]:
    """Yields replacements of keys; half of them are hidden from a VM."""
    rng = random.Random(f"{seed}/accounts")
    at_s = rng.uniform(*_KEY_INTERVAL_S)
    while at_s + _KEY_CUT_S[1] < seconds - _LAST_S:
        yield dataclasses.replace(
            _draw(rng, Action.KEY_REPLACE, at_s),
            duration_s=round(rng.uniform(*_KEY_CUT_S), 2),
            count=rng.randrange(_TARGETS),
        )
        at_s += rng.uniform(*_KEY_INTERVAL_S)


def _draw(rng: random.Random, action: Action, at_s: float) -> Fault:
    is_silence = action is Action.ENDPOINT_SILENT
    counts = (1, 2, _ALL) if is_silence else (1, 1, 2)
    durations_s = _SILENCE_S if is_silence else _DURATION_S
    both = (Direction.TO_SERVER, Direction.TO_CLIENT)
    return Fault(
        at_s=round(at_s, 2),
        action=action,
        target=rng.randrange(_TARGETS),
        duration_s=round(rng.uniform(*durations_s), 2),
        service=rng.choice(("app", "llm")),
        count=rng.choice(counts),
        places=rng.choice(((Place.HEAD,), (Place.BODY,), tuple(Place))),
        endless=rng.choice(tuple(Endless)),
        is_fast=rng.random() < 0.5,
        is_store_link=rng.random() < 0.5,
        directions=rng.choice((both[:1], both[1:], both)),
        configuration=Configuration(
            version=rng.randint(1, 5),
            timeout_ms=rng.choice((3000, 4000, 5000, 6000)),
            idle_timeout_ms=rng.choice((1000, 1500, 3000, 8000)),
            extra_routes=rng.randint(0, 3),
        ),
    )


__all__ = ["Action", "Fault", "make_schedule"]
