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


ItemKey = tuple[str, str, str]
"""What an order sets: its kind, and the model and adapter that it names."""


@dataclasses.dataclass(frozen=True)
class DesiredWeights:
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
    def key(self) -> ItemKey:
        """Model and adapter, of which an endpoint uses one version."""
        return "load", self.model, self.adapter

    @property
    def base_key(self) -> ItemKey | None:
        """What must hold the same version before: the adapter's model."""
        return ("load", self.model, "") if self.adapter else None


@dataclasses.dataclass(frozen=True)
class DesiredRole:
    """Role that an engine is to have.

    Attributes:
      pool: prefill or decode.
      generation: configuration that wants it. The order is repeated for each
        generation, even if the engine has the role already, so that a late
        copy of any earlier order is refused.
    """

    pool: Pool
    generation: int
    key: ItemKey = ("role", "", "")
    base_key: ItemKey | None = None

    @property
    def version(self) -> str:
        """Value that is confirmed."""
        return f"{self.pool.value}@{self.generation}"


DesiredItem = DesiredWeights | DesiredRole


@dataclasses.dataclass(frozen=True)
class RetryState:
    """Failed tries of one order.

    Attributes:
      failures: tries without a confirmation.
      next_s: when to try next, monotonic seconds.
    """

    failures: int
    next_s: float


@dataclasses.dataclass(frozen=True)
class OrderState:
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
    confirmed_by_key: Mapping[ItemKey, str] = dataclasses.field(
        default_factory=dict
    )
    retries_by_key: Mapping[ItemKey, RetryState] = dataclasses.field(
        default_factory=dict
    )
    pending: DesiredItem | None = None
    newest_generation: int = 0
    refused_generation: int = 0


def list_desired_weights(service: Service) -> tuple[DesiredWeights, ...]:
    """Returns what engines of a service are to hold, models first."""
    models = tuple(DesiredWeights(m.name, m.version) for m in service.models)
    adapters = tuple(
        DesiredWeights(model.name, model.version, adapter)
        for model in service.models
        for adapter in model.adapters
    )
    return models + adapters


def list_unconfirmed(
    control: OrderState, boot: str, wanted: tuple[DesiredItem, ...]
) -> tuple[DesiredItem, ...]:
    """Returns what the endpoint's process has not confirmed."""
    confirmed_by_key = control.confirmed_by_key if control.boot == boot else {}
    return tuple(
        item
        for item in wanted
        if confirmed_by_key.get(item.key) != item.version
    )


def choose_order(
    control: OrderState,
    boot: str,
    wanted: tuple[DesiredItem, ...],
    generation: int,
    now_s: float,
) -> tuple[OrderState, Order | None]:
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
            control, boot=boot, confirmed_by_key={}, retries_by_key={}
        )
    if (
        generation <= control.refused_generation
        or generation < control.newest_generation
    ):
        return control, None
    for item in list_unconfirmed(control, boot, wanted):
        pace = control.retries_by_key.get(item.key)
        due = pace is None or now_s >= pace.next_s
        based = (
            item.base_key is None
            or control.confirmed_by_key.get(item.base_key) == item.version
        )
        if due and based:
            control = dataclasses.replace(
                control, pending=item, newest_generation=generation
            )
            return control, _make_order(item, generation)
    return control, None


def record_outcome(
    control: OrderState,
    generation: int,
    outcome: OrderOutcome | None,
    now_s: float,
) -> OrderState:
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
        retries_by_key = {
            k: v for k, v in control.retries_by_key.items() if k != item.key
        }
        confirmed_by_key = {**control.confirmed_by_key, item.key: item.version}
        return dataclasses.replace(
            control,
            confirmed_by_key=confirmed_by_key,
            retries_by_key=retries_by_key,
        )
    if outcome is OrderOutcome.SUPERSEDED:
        refused_generation = max(control.refused_generation, generation)
        return dataclasses.replace(
            control, refused_generation=refused_generation
        )
    earlier = control.retries_by_key.get(item.key)
    failures = 0 if earlier is None else earlier.failures
    delay_s = _FIRST_RETRY_S * 2.0 ** min(failures, _LAST_DOUBLING)
    pace = RetryState(failures + 1, now_s + min(delay_s, _LAST_RETRY_S))
    return dataclasses.replace(
        control, retries_by_key={**control.retries_by_key, item.key: pace}
    )


def _make_order(item: DesiredItem, generation: int) -> Order:
    if isinstance(item, DesiredRole):
        arguments = (("role", item.pool.value),)
        return Order(OrderKind.SET_ROLE, generation, arguments)
    named = (("model", item.model), ("version", item.version))
    if not item.adapter:
        return Order(OrderKind.LOAD_MODEL, generation, named)
    adapter = (*named, ("adapter", item.adapter))
    return Order(OrderKind.LOAD_ADAPTER, generation, adapter)


__all__ = [
    "DesiredItem",
    "DesiredRole",
    "DesiredWeights",
    "ItemKey",
    "OrderState",
    "RetryState",
    "choose_order",
    "list_desired_weights",
    "list_unconfirmed",
    "record_outcome",
]
