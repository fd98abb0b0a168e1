"""Reconciles an endpoint with its desired state by orders.

All functions here are pure; `orders` sends the orders.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from burdockspan.configuration.document import Service
from burdockspan.endpoints.orders import Order, OrderKind, OrderOutcome
from burdockspan.values.endpoint import Pool

_FIRST_RETRY_DELAY_S = 0.25
# An endpoint that keeps failing receives about four orders a minute.
_MAX_RETRY_DELAY_S = 16.0
_MAX_DOUBLINGS = 6

ItemKey = tuple[str, str, str]
"""Identifies what an order sets: `load` or `role`, model and adapter."""


@dataclasses.dataclass(frozen=True)
class DesiredWeights:
    """Weights that an endpoint should load.

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
        """Key of the model or adapter, of which an endpoint has one version."""
        return "load", self.model, self.adapter

    @property
    def base_key(self) -> ItemKey | None:
        """Key of the model that must be loaded before its adapter, if any."""
        return ("load", self.model, "") if self.adapter else None


@dataclasses.dataclass(frozen=True)
class DesiredRole:
    """Role that an engine should have.

    Attributes:
      pool: prefill or decode.
      generation: generation of the configuration that requires the role. The
        order is repeated for each generation, even if the engine has the role
        already, so that it refuses delayed copies of earlier orders.
      key: key of the role, of which an engine has one.
      base_key: None; a role requires no other item.
    """

    pool: Pool
    generation: int
    key: ItemKey = ("role", "", "")
    base_key: ItemKey | None = None

    @property
    def version(self) -> str:
        """Role and generation, which the engine confirms together."""
        return f"{self.pool.value}@{self.generation}"


DesiredItem = DesiredWeights | DesiredRole


@dataclasses.dataclass(frozen=True)
class RetryState:
    """Unsuccessful sends of an order.

    Attributes:
      failures: number of sends without a confirmation.
      next_attempt_s: earliest time of the next send, monotonic seconds.
    """

    failures: int
    next_attempt_s: float


@dataclasses.dataclass(frozen=True)
class OrderState:
    """State of the orders of a node to one endpoint.

    Attributes:
      boot: boot identity of the process that confirmed the orders.
      confirmed_by_key: confirmed version by key of the item.
      retries_by_key: unsuccessful sends by key of the item.
      pending: item whose order was sent and has no response yet.
      newest_generation: highest generation that was sent.
      refused_generation: highest generation that the endpoint refused as
        superseded; 0 if there is none.
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
    """Returns the weights for the engines of a service, models first."""
    models = tuple(
        DesiredWeights(model.name, model.version) for model in service.models
    )
    adapters = tuple(
        DesiredWeights(model.name, model.version, adapter)
        for model in service.models
        for adapter in model.adapters
    )
    return models + adapters


def list_unconfirmed(
    state: OrderState, boot: str, desired: tuple[DesiredItem, ...]
) -> tuple[DesiredItem, ...]:
    """Returns the items that the process of the endpoint has not confirmed."""
    confirmed_by_key = state.confirmed_by_key if state.boot == boot else {}
    return tuple(
        item
        for item in desired
        if confirmed_by_key.get(item.key) != item.version
    )


def choose_order(
    state: OrderState,
    boot: str,
    desired: tuple[DesiredItem, ...],
    generation: int,
    now_s: float,
) -> tuple[OrderState, Order | None]:
    """Returns the next order to an endpoint, or None if none is due.

    At most one order per endpoint is pending, so that this process cannot
    reorder the orders of two generations. A generation that the endpoint
    refused is not sent again, even after a restart of the endpoint: the
    refusal shows that a newer generation exists.

    Args:
      state: state of the orders to the endpoint.
      boot: boot identity in the newest load report; empty if there is none.
      desired: items that the configuration requires of the endpoint.
      generation: generation of that configuration, used as fencing token.
      now_s: monotonic seconds.
    """
    if state.pending is not None or not boot:
        return state, None
    if state.boot != boot:
        state = dataclasses.replace(
            state, boot=boot, confirmed_by_key={}, retries_by_key={}
        )
    if (
        generation <= state.refused_generation
        or generation < state.newest_generation
    ):
        return state, None
    for item in list_unconfirmed(state, boot, desired):
        retry = state.retries_by_key.get(item.key)
        is_due = retry is None or now_s >= retry.next_attempt_s
        base_confirmed = (
            item.base_key is None
            or state.confirmed_by_key.get(item.base_key) == item.version
        )
        if is_due and base_confirmed:
            state = dataclasses.replace(
                state, pending=item, newest_generation=generation
            )
            return state, _make_order(item, generation)
    return state, None


def record_outcome(
    state: OrderState,
    generation: int,
    outcome: OrderOutcome | None,
    now_s: float,
) -> OrderState:
    """Returns the state after the pending order has ended.

    Args:
      state: state with a pending order.
      generation: fencing token of the order.
      outcome: outcome of the order; None if there was no usable response.
      now_s: monotonic seconds.
    """
    item = state.pending
    if item is None:
        return state
    state = dataclasses.replace(state, pending=None)
    if outcome is OrderOutcome.DONE:
        retries_by_key = {
            key: retry
            for key, retry in state.retries_by_key.items()
            if key != item.key
        }
        confirmed_by_key = {**state.confirmed_by_key, item.key: item.version}
        return dataclasses.replace(
            state,
            confirmed_by_key=confirmed_by_key,
            retries_by_key=retries_by_key,
        )
    if outcome is OrderOutcome.SUPERSEDED:
        refused_generation = max(state.refused_generation, generation)
        return dataclasses.replace(state, refused_generation=refused_generation)
    previous = state.retries_by_key.get(item.key)
    failures = 0 if previous is None else previous.failures
    delay_s = _FIRST_RETRY_DELAY_S * 2.0 ** min(failures, _MAX_DOUBLINGS)
    retry = RetryState(failures + 1, now_s + min(delay_s, _MAX_RETRY_DELAY_S))
    return dataclasses.replace(
        state, retries_by_key={**state.retries_by_key, item.key: retry}
    )


def _make_order(item: DesiredItem, generation: int) -> Order:
    if isinstance(item, DesiredRole):
        arguments = (("role", item.pool.value),)
        return Order(OrderKind.SET_ROLE, generation, arguments)
    model_arguments = (("model", item.model), ("version", item.version))
    if not item.adapter:
        return Order(OrderKind.LOAD_MODEL, generation, model_arguments)
    adapter_arguments = (*model_arguments, ("adapter", item.adapter))
    return Order(OrderKind.LOAD_ADAPTER, generation, adapter_arguments)


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
