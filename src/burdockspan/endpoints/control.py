"""Which orders an endpoint still needs, decided from values alone."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from burdockspan.configuration.document import Service
from burdockspan.endpoints.orders import Order, OrderKind, OrderOutcome
from burdockspan.values.endpoint import Pool

_FIRST_RETRY_S = 0.25
# An endpoint that fails for long is asked about four times a minute.
_LAST_RETRY_S = 16.0
_LAST_DOUBLING = 6


Slot = tuple[str, str, str]
"""What an order sets: its kind, and the model and adapter that it names."""


@dataclasses.dataclass(frozen=True)
class Load:
    """Weights that an endpoint is to hold.

    Attributes:
      model: name of the model.
      version: version of the model's weights.
      adapter: adapter of the model; empty for the model itself.
    """

    model: str
    version: str
    adapter: str = ""

    @property
    def slot(self) -> Slot:
        """Model and adapter, of which an endpoint uses one version."""
        return "load", self.model, self.adapter

    @property
    def base(self) -> Slot | None:
        """What must hold the same version before: the adapter's model."""
        return ("load", self.model, "") if self.adapter else None


@dataclasses.dataclass(frozen=True)
class Role:
    """Role that an engine is to have.

    Attributes:
      pool: prefill or decode.
      generation: configuration that wants it. The order is repeated for each
        generation, even if the engine has the role already, so that a late
        copy of any earlier order is refused.
    """

    pool: Pool
    generation: int
    slot: Slot = ("role", "", "")
    base: Slot | None = None

    @property
    def version(self) -> str:
        """Value that is confirmed."""
        return f"{self.pool.value}@{self.generation}"


Wanted = Load | Role


@dataclasses.dataclass(frozen=True)
class Pace:
    """Failed tries of one order.

    Attributes:
      failures: tries without a confirmation.
      next_s: when to try next, monotonic seconds.
    """

    failures: int
    next_s: float


@dataclasses.dataclass(frozen=True)
class Control:
    """What a node has ordered from one endpoint.

    Attributes:
      boot: boot identity that the confirmations belong to.
      confirmed: confirmed version by slot.
      paces: failed tries by slot.
      pending: what was sent and not answered yet.
      newest: highest generation sent.
      refused: highest generation that the endpoint refused as old; 0 for none.
    """

    boot: str = ""
    confirmed: Mapping[Slot, str] = dataclasses.field(default_factory=dict)
    paces: Mapping[Slot, Pace] = dataclasses.field(default_factory=dict)
    pending: Wanted | None = None
    newest: int = 0
    refused: int = 0


def list_wanted(service: Service) -> tuple[Load, ...]:
    """Returns what engines of a service are to hold, models first."""
    models = tuple(Load(m.name, m.version) for m in service.models)
    adapters = tuple(
        Load(model.name, model.version, adapter)
        for model in service.models
        for adapter in model.adapters
    )
    return models + adapters


def list_missing(
    control: Control, boot: str, wanted: tuple[Wanted, ...]
) -> tuple[Wanted, ...]:
    """Returns what the endpoint's process has not confirmed."""
    confirmed = control.confirmed if control.boot == boot else {}
    return tuple(
        item for item in wanted if confirmed.get(item.slot) != item.version
    )


def choose_order(
    control: Control,
    boot: str,
    wanted: tuple[Wanted, ...],
    generation: int,
    now_s: float,
) -> tuple[Control, Order | None]:
    """Returns the next order for an endpoint, None if there is none now.

    Only one order to an endpoint is under way at a time, so that orders of
    two generations cannot overtake each other inside this process. A
    generation that the endpoint refused is not sent again, even after a
    restart: the refusal shows that a newer one exists.

    Args:
      control: what was ordered so far.
      boot: boot identity of the endpoint's process in the newest report.
      wanted: what the configuration wants of it.
      generation: generation of that configuration, the fencing token.
      now_s: monotonic seconds.
    """
    if control.pending is not None or not boot:
        return control, None
    if control.boot != boot:
        control = dataclasses.replace(
            control, boot=boot, confirmed={}, paces={}
        )
    if generation <= control.refused or generation < control.newest:
        return control, None
    for item in list_missing(control, boot, wanted):
        pace = control.paces.get(item.slot)
        due = pace is None or now_s >= pace.next_s
        based = (
            item.base is None
            or control.confirmed.get(item.base) == item.version
        )
        if due and based:
            control = dataclasses.replace(
                control, pending=item, newest=generation
            )
            return control, _make_order(item, generation)
    return control, None


def note_answer(
    control: Control,
    generation: int,
    outcome: OrderOutcome | None,
    now_s: float,
) -> Control:
    """Returns the state after the pending order was answered.

    Args:
      control: state with a pending order.
      generation: fencing token of the order.
      outcome: what the endpoint answered; None if there was no usable answer.
      now_s: monotonic seconds.
    """
    item = control.pending
    if item is None:
        return control
    control = dataclasses.replace(control, pending=None)
    if outcome is OrderOutcome.DONE:
        paces = {k: v for k, v in control.paces.items() if k != item.slot}
        confirmed = {**control.confirmed, item.slot: item.version}
        return dataclasses.replace(control, confirmed=confirmed, paces=paces)
    if outcome is OrderOutcome.SUPERSEDED:
        refused = max(control.refused, generation)
        return dataclasses.replace(control, refused=refused)
    earlier = control.paces.get(item.slot)
    failures = 0 if earlier is None else earlier.failures
    delay_s = _FIRST_RETRY_S * 2.0 ** min(failures, _LAST_DOUBLING)
    pace = Pace(failures + 1, now_s + min(delay_s, _LAST_RETRY_S))
    return dataclasses.replace(
        control, paces={**control.paces, item.slot: pace}
    )


def _make_order(item: Wanted, generation: int) -> Order:
    if isinstance(item, Role):
        arguments = (("role", item.pool.value),)
        return Order(OrderKind.SET_ROLE, generation, arguments)
    named = (("model", item.model), ("version", item.version))
    if not item.adapter:
        return Order(OrderKind.LOAD_MODEL, generation, named)
    adapter = (*named, ("adapter", item.adapter))
    return Order(OrderKind.LOAD_ADAPTER, generation, adapter)


__all__ = [
    "Control",
    "Load",
    "Pace",
    "Role",
    "Slot",
    "Wanted",
    "choose_order",
    "list_missing",
    "list_wanted",
    "note_answer",
]
