"""Which orders an endpoint still needs, decided from values alone."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from burdockspan.configuration.document import Service
from burdockspan.endpoints.orders import Order, OrderKind, OrderOutcome

_FIRST_RETRY_S = 0.25
# An endpoint that fails for long is asked about four times a minute.
_LAST_RETRY_S = 16.0
_LAST_DOUBLING = 6


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
    def slot(self) -> tuple[str, str]:
        """Model and adapter, of which an endpoint uses one version."""
        return self.model, self.adapter


@dataclasses.dataclass(frozen=True)
class Pace:
    """Failed tries of one load.

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
      paces: failed tries by load.
      pending: load that was sent and not answered yet.
      newest: highest generation sent.
      refused: highest generation that the endpoint refused as old; 0 for none.
    """

    boot: str = ""
    confirmed: Mapping[tuple[str, str], str] = dataclasses.field(
        default_factory=dict
    )
    paces: Mapping[Load, Pace] = dataclasses.field(default_factory=dict)
    pending: Load | None = None
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
    control: Control, boot: str, wanted: tuple[Load, ...]
) -> tuple[Load, ...]:
    """Returns the loads that the endpoint's process has not confirmed."""
    confirmed = control.confirmed if control.boot == boot else {}
    return tuple(
        load for load in wanted if confirmed.get(load.slot) != load.version
    )


def choose_order(
    control: Control,
    boot: str,
    wanted: tuple[Load, ...],
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
      wanted: what the configuration wants it to hold.
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
    for load in list_missing(control, boot, wanted):
        pace = control.paces.get(load)
        due = pace is None or now_s >= pace.next_s
        # An adapter is loaded onto its model, so the model comes first.
        based = control.confirmed.get((load.model, "")) == load.version
        if due and (based or not load.adapter):
            control = dataclasses.replace(
                control, pending=load, newest=generation
            )
            return control, _make_order(load, generation)
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
    load = control.pending
    if load is None:
        return control
    control = dataclasses.replace(control, pending=None)
    if outcome is OrderOutcome.DONE:
        return dataclasses.replace(
            control,
            confirmed={**control.confirmed, load.slot: load.version},
            paces={k: v for k, v in control.paces.items() if k != load},
        )
    if outcome is OrderOutcome.SUPERSEDED:
        refused = max(control.refused, generation)
        return dataclasses.replace(control, refused=refused)
    earlier = control.paces.get(load)
    failures = 0 if earlier is None else earlier.failures
    delay_s = _FIRST_RETRY_S * 2.0 ** min(failures, _LAST_DOUBLING)
    pace = Pace(failures + 1, now_s + min(delay_s, _LAST_RETRY_S))
    return dataclasses.replace(control, paces={**control.paces, load: pace})


def _make_order(load: Load, generation: int) -> Order:
    arguments = (("model", load.model), ("version", load.version))
    if not load.adapter:
        return Order(OrderKind.LOAD_MODEL, generation, arguments)
    named = (*arguments, ("adapter", load.adapter))
    return Order(OrderKind.LOAD_ADAPTER, generation, named)


__all__ = [
    "Control",
    "Load",
    "Pace",
    "choose_order",
    "list_missing",
    "list_wanted",
    "note_answer",
]
