"""Schedules of faults; a seed always gives the same one."""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Callable

from soak.documents import Configuration
from soak.endpoints import Endless, Place

# Faults begin after the first requests, and end before the last ones.
_FIRST_S = 1.0
_LAST_S = 3.0
_EPISODE_S = (6.0, 12.0)
_SILENCE_S = (0.8, 2.0)


class Action(enum.Enum):
    """What a fault does.

    The first word of a name is its subject: a VM, the links of a VM, the store,
    or endpoints.
    """

    CONFIGURE = "configure"
    VM_HUP = "vm_hup"
    VM_TERM = "vm_term"
    VM_KILL = "vm_kill"
    VM_FREEZE = "vm_freeze"
    LINK_CALLERS = "link_callers"
    LINK_STORE = "link_store"
    STORE_DOWN = "store_down"
    STORE_SILENT = "store_silent"
    ENDPOINT_SILENT = "endpoint_silent"
    ENDPOINT_ENDLESS = "endpoint_endless"
    ENDPOINT_RESET = "endpoint_reset"
    ENDPOINT_REPLACE = "endpoint_replace"
    ENDPOINT_DRAIN = "endpoint_drain"


class Extent(enum.Enum):
    """How many endpoints of a service a fault concerns."""

    ONE = "one"
    SEVERAL = "several"
    ALL = "all"


class LinkFault(enum.Enum):
    """What happens to the connections of a link."""

    SLOW = "slow"
    RESET = "reset"
    CUT_TO_SERVER = "cut_to_server"
    CUT_TO_CLIENT = "cut_to_client"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of a schedule.

    Attributes:
      at_s: when it begins, in seconds after the start.
      action: what it does.
      target: number that selects a VM or endpoint.
      duration_s: how long it lasts.
      service: service of the endpoints.
      extent: number of the endpoints.
      places: parts of responses in which endpoints are silent.
      endless: what endpoints send without end.
      is_fast: whether they send it fast.
      link: what happens to a link.
      configuration: configuration to write; its version is a step.
    """

    at_s: float
    action: Action
    target: int = 0
    duration_s: float = 0.0
    service: str = ""
    extent: Extent = Extent.ONE
    places: tuple[Place, ...] = ()
    endless: Endless | None = None
    is_fast: bool = False
    link: LinkFault | None = None
    configuration: Configuration | None = None

    def __str__(self) -> str:
        parts = []
        for field in dataclasses.fields(self):
            value = getattr(self, field.name)
            if value == field.default and field.name != "target":
                continue
            if isinstance(value, tuple):
                value = "+".join(place.value for place in value)
            if isinstance(value, enum.Enum):
                value = value.value
            parts.append(f"{field.name}={value}")
        return " ".join(parts)


def make_schedule(seed: int, seconds: float) -> tuple[Fault, ...]:
    """Returns the faults of a seed, in the order of their begin.

    Episodes with all kinds of faults follow episodes in which endpoints only
    fall silent, beside changes of the configuration and settings.

    Args:
      seed: seed of the schedule.
      seconds: duration of the soak.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    start_s = _FIRST_S
    mixes = rng.random() < 0.5
    while start_s < seconds - _LAST_S:
        end_s = min(start_s + rng.uniform(*_EPISODE_S), seconds - _LAST_S)
        count = max(2, round((end_s - start_s) * rng.uniform(0.5, 1.2)))
        actions = _MIXED if mixes else _CALM
        for _ in range(count):
            at_s = round(rng.uniform(start_s, end_s), 2)
            faults += _draw_series(rng, rng.choice(actions), at_s, end_s)
        start_s, mixes = end_s, not mixes
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _draw_series(
    rng: random.Random, action: Action, at_s: float, end_s: float
) -> list[Fault]:
    """Returns one fault, or several of the same kind in short succession."""
    draw = _DRAW_BY_ACTION.get(action, _draw_plain)
    length = rng.choice((1, 1, 2, 3)) if action in _IN_SERIES else 1
    faults = []
    for _ in range(length):
        faults.append(draw(rng, action, round(at_s, 2)))
        at_s += rng.uniform(0.02, 1.0)
    return [fault for fault in faults if fault.at_s <= end_s]


def _draw_plain(rng: random.Random, action: Action, at_s: float) -> Fault:
    duration_s = round(rng.uniform(0.3, 2.5), 2)
    return Fault(at_s, action, rng.randrange(60), duration_s)


def _draw_configuration(
    rng: random.Random, action: Action, at_s: float
) -> Fault:
    configuration = Configuration(
        version=rng.randint(1, 5),
        timeout_ms=rng.choice((3000, 4000, 5000, 6000)),
        idle_timeout_ms=rng.choice((1000, 1500, 3000, 8000)),
        extra_routes=rng.randint(0, 3),
    )
    return Fault(at_s, action, configuration=configuration)


def _draw_link(rng: random.Random, action: Action, at_s: float) -> Fault:
    return dataclasses.replace(
        _draw_plain(rng, action, at_s), link=rng.choice(tuple(LinkFault))
    )


def _draw_silence(rng: random.Random, action: Action, at_s: float) -> Fault:
    return Fault(
        at_s,
        action,
        rng.randrange(60),
        round(rng.uniform(*_SILENCE_S), 2),
        rng.choice(("app", "llm")),
        rng.choice(tuple(Extent)),
        rng.choice(((Place.HEAD,), (Place.BODY,), (Place.HEAD, Place.BODY))),
    )


def _draw_endpoint(rng: random.Random, action: Action, at_s: float) -> Fault:
    fault = dataclasses.replace(
        _draw_plain(rng, action, at_s),
        service=rng.choice(("app", "llm")),
    )
    if action is Action.ENDPOINT_ENDLESS:
        return dataclasses.replace(
            fault,
            extent=rng.choice((Extent.ONE, Extent.ONE, Extent.SEVERAL)),
            endless=rng.choice(tuple(Endless)),
            is_fast=rng.random() < 0.5,
        )
    return fault


_Draw = Callable[[random.Random, Action, float], Fault]
_DRAW_BY_ACTION: dict[Action, _Draw] = {
    Action.CONFIGURE: _draw_configuration,
    Action.LINK_CALLERS: _draw_link,
    Action.LINK_STORE: _draw_link,
    Action.ENDPOINT_SILENT: _draw_silence,
    Action.ENDPOINT_ENDLESS: _draw_endpoint,
    Action.ENDPOINT_RESET: _draw_endpoint,
    Action.ENDPOINT_REPLACE: _draw_endpoint,
    Action.ENDPOINT_DRAIN: _draw_endpoint,
}
_IN_SERIES = (Action.CONFIGURE, Action.VM_HUP, Action.VM_TERM, Action.VM_FREEZE)
_CALM = (
    Action.CONFIGURE,
    Action.VM_HUP,
    Action.ENDPOINT_SILENT,
    Action.ENDPOINT_SILENT,
)
_MIXED = tuple(Action)

__all__ = ["Action", "Extent", "Fault", "LinkFault", "make_schedule"]
